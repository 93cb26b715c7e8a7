"""ragwortstand.sidecar_dependencies: settings and adapters of a sidecar."""

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
    :param ready: address for readiness checks.
    :param control: address for the backend server's announcements.
    :param metrics: address for requests for metrics.
    :param seeds: daemons to join through while the store is unavailable.
    :param retry_terms: retry budget that all daemons share.
    :param grace_s: time between the signal to stop and the exit.
    """

    daemon: DaemonSettings
    ready: Listen
    control: Listen
    metrics: Listen
    seeds: tuple[PeerAddress, ...]
    retry_terms: RetryBudget
    grace_s: float


@dataclass(frozen=True, slots=True)
class SidecarDependencies:
    """Adapters to the platform.

    :param callers: reads the headers of callers' requests and encodes their
        responses.
    :param backend_servers: writes the headers of requests to backend servers
        and interprets their responses.
    :param versions: reads accepted versions.
    :param table: the platform's table service.
    """

    callers: CallerDialect
    backend_servers: BackendDialect
    versions: VersionSource
    table: TableService
