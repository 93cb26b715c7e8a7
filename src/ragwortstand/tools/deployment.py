"""ragwortstand.tools.deployment: reads an example's `deployment.json`."""

import pathlib

import msgspec

from ragwortstand.tools.load import Stream


class Host(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A host with a backend server and its daemon.

    :param name: unique name.
    :param region: region of the host.
    :param availability_zone: availability zone of the host.
    :param service: service of the backend server.
    :param slots: requests that the backend server runs concurrently.
    :param connections: connections that the backend server accepts.
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
    :param store_region: region of the platform's store.
    :param hosts: all hosts.
    :param streams: normal load over all ranks.
    """

    cluster: str
    store_region: str
    hosts: tuple[Host, ...]
    streams: tuple[Stream, ...]


def load_deployment(folder: pathlib.Path) -> Deployment:
    """Load `deployment.json` from an example's folder.

    :raises msgspec.ValidationError: when the file has unknown or wrong fields.
    """
    text = (folder / 'deployment.json').read_bytes()
    return msgspec.json.decode(text, type=Deployment)
