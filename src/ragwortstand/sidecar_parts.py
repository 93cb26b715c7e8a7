"""ragwortstand.sidecar_parts: what a sidecar is put together from."""

from dataclasses import dataclass

from ragwortstand.backend_servers.dialect import BackendDialect
from ragwortstand.callers.proxy import CallerDialect
from ragwortstand.ids import PeerAddress
from ragwortstand.peers.shared_budget import RetryBudget
from ragwortstand.peers.version_sources import VersionSource
from ragwortstand.settings import DaemonSettings, Listen
from ragwortstand.storage.table import TableService


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of a sidecar.

    :param daemon: settings that all daemons have.
    :param ready: where readiness is asked for.
    :param control: where the backend server announces itself.
    :param metrics: where metrics are read.
    :param seeds: daemons to join through while the store is out.
    :param retry_terms: budget of retries that all daemons share.
    :param grace_s: time between the signal to stop and the end.
    """

    daemon: DaemonSettings
    ready: Listen
    control: Listen
    metrics: Listen
    seeds: tuple[PeerAddress, ...]
    retry_terms: RetryBudget
    grace_s: float


@dataclass(frozen=True, slots=True)
class Parts:
    """What an adapter brings.

    :param callers: headers of callers' requests.
    :param backend_servers: headers of requests to backend servers.
    :param versions: reads accepted versions.
    :param table: the platform's table service.
    """

    callers: CallerDialect
    backend_servers: BackendDialect
    versions: VersionSource
    table: TableService
