"""ragwortstand.tools.deployment: hosts of an example deployment."""

import pathlib

import msgspec

from ragwortstand.tools.load import Stream


class Host(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A host with a backend server and its daemon.

    :param name: unique name.
    :param region: its region.
    :param availability_zone: its availability zone.
    :param service: service of the backend server.
    :param slots: requests that the backend server runs at once.
    :param connections: connections that it accepts.
    :param service_time_s: mean time to run a request.
    """

    name: str
    region: str
    availability_zone: str
    service: str
    slots: int
    connections: int
    service_time_s: float


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment for the demo and the experiments.

    :param cluster: name of the cluster.
    :param store_region: region that holds the platform's store.
    :param hosts: all hosts.
    :param streams: ordinary load over all ranks.
    """

    cluster: str
    store_region: str
    hosts: tuple[Host, ...]
    streams: tuple[Stream, ...]


def load_deployment(folder: pathlib.Path) -> Deployment:
    """Read `deployment.json` in an example's folder."""
    text = (folder / 'deployment.json').read_bytes()
    return msgspec.json.decode(text, type=Deployment)
