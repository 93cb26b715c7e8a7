"""ragwortstand.operators.documents: JSON documents of the admin API."""

import msgspec

from ragwortstand.ids import HostId, Version
from ragwortstand.storage import VersionRecord


class FaultReport(msgspec.Struct, frozen=True):
    """One fault of a configuration; the fields are those of `Fault`."""

    path: str
    problem: str


class CheckReport(msgspec.Struct, frozen=True):
    """Result of a check; without faults the configuration is valid."""

    faults: tuple[FaultReport, ...]


class SubmissionReport(msgspec.Struct, frozen=True):
    """Outcome of a submission.

    :param outcome: accepted, faulty, conflict or unavailable.
    :param record: the accepted version; after a conflict the version that was
        committed first.
    :param faults: faults of the configuration.
    :param problem: the error of the platform.
    :param verdict: whether the submission may have been accepted.
    """

    outcome: str
    record: VersionRecord | None = None
    faults: tuple[FaultReport, ...] = ()
    problem: str = ''
    verdict: str = ''


class StatusReport(msgspec.Struct, frozen=True):
    """State of one daemon.

    :param host: host of the daemon.
    :param version: version in force; 0 means none.
    :param digest: digest of that version.
    :param is_ready: whether it has a version in force.
    :param backend_server: state of the backend server on the same host.
    :param in_flight: number of requests running on that backend server.
    :param is_platform_reachable: whether the last call to the platform
        succeeded.
    """

    host: HostId
    version: Version
    digest: str
    is_ready: bool
    backend_server: str
    in_flight: int
    is_platform_reachable: bool


class AppliedReport(msgspec.Struct, frozen=True):
    """On which live daemons a version is in force.

    :param version: the requested version.
    :param applied: hosts with this version or a newer one.
    :param lagging: hosts with an older version.
    :param silent: hosts that did not respond.
    """

    version: Version
    applied: tuple[HostId, ...]
    lagging: tuple[HostId, ...]
    silent: tuple[HostId, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether the version is in force on all live daemons."""
        return not self.lagging and not self.silent


class MemberReport(msgspec.Struct, frozen=True):
    """One entry of the member list of a daemon."""

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
    """Member list of one daemon."""

    members: tuple[MemberReport, ...]


class ErrorReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Why the admin API refused a request."""

    problem: str
