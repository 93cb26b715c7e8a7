"""ragwortstand.operators.documents: what the admin side answers."""

import msgspec

from ragwortstand.ids import HostId, Version
from ragwortstand.storage import VersionRecord


class FaultReport(msgspec.Struct, frozen=True):
    """One fault of a configuration; fields as in `Fault`."""

    path: str
    problem: str


class CheckReport(msgspec.Struct, frozen=True):
    """Result of a check; no faults means that it is sound."""

    faults: tuple[FaultReport, ...]


class SubmissionReport(msgspec.Struct, frozen=True):
    """What became of a submission.

    :param outcome: accepted, faulty, conflict or unavailable.
    :param record: the accepted version, or the winner of a conflict.
    :param faults: faults of the configuration.
    :param problem: what is wrong with the platform.
    :param verdict: whether the submission may have been accepted.
    """

    outcome: str
    record: VersionRecord | None = None
    faults: tuple[FaultReport, ...] = ()
    problem: str = ''
    verdict: str = ''


class StatusReport(msgspec.Struct, frozen=True):
    """State of one daemon.

    :param host: its host.
    :param version: version in force; 0 means none.
    :param digest: digest of that version.
    :param is_ready: whether it serves callers.
    :param backend_server: state of the backend server beside it.
    :param in_flight: requests on that backend server.
    :param is_platform_reachable: whether the last call to the platform worked.
    """

    host: HostId
    version: Version
    digest: str
    is_ready: bool
    backend_server: str
    in_flight: int
    is_platform_reachable: bool


class AppliedReport(msgspec.Struct, frozen=True):
    """Which live daemons have a version in force.

    :param version: the version that was asked for.
    :param applied: hosts that have it, or a newer one.
    :param lagging: hosts that have an older one.
    :param silent: hosts that did not answer.
    """

    version: Version
    applied: tuple[HostId, ...]
    lagging: tuple[HostId, ...]
    silent: tuple[HostId, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether the version is in force everywhere."""
        return not self.lagging and not self.silent


class MemberReport(msgspec.Struct, frozen=True):
    """One member as this daemon sees it."""

    host: HostId
    region: str
    zone: str
    state: str
    service: str
    slots: int
    is_ready: bool
    incarnation: int
    peer_address: str


class HistoryReport(msgspec.Struct, frozen=True):
    """Accepted versions, newest first."""

    versions: tuple[VersionRecord, ...]


class MembersReport(msgspec.Struct, frozen=True):
    """Members as one daemon sees them."""

    members: tuple[MemberReport, ...]


class ErrorReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Why the admin side refused a request."""

    problem: str
