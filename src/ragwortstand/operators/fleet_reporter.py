"""ragwortstand.operators.fleet_reporter: reports on all daemons."""

from collections.abc import Iterable

import anyio

from ragwortstand import api
from ragwortstand.ids import HostId, Version
from ragwortstand.operators.documents import (
    AppliedReport,
    MemberReport,
    MembersReport,
)
from ragwortstand.peers.distribution import Distributor
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member
from ragwortstand.storage import VersionRecord

_MAX_CONCURRENT_QUERIES = 64


class FleetReporter:
    """Reports on all daemons, and applies versions accepted here.

    :param members: the member list.
    :param distributor: applies versions and queries the versions of peers.
    """

    def __init__(
        self,
        members: Members,
        distributor: Distributor,
    ) -> None:
        """Store the member list and the distributor."""
        self._members = members
        self._distributor = distributor

    @property
    def own_host(self) -> HostId:
        """Return this daemon's host."""
        return self._members.own.host

    @property
    def is_ready(self) -> bool:
        """Return whether this daemon has a version in force."""
        return self._distributor.version_in_force > 0

    def members(self) -> MembersReport:
        """Return the member list of this daemon."""
        known = sorted(self._members.all(), key=lambda member: member.host)
        return MembersReport(tuple(_member_report(one) for one in known))

    def apply_accepted(self, record: VersionRecord, content: bytes) -> None:
        """Put in force a version that was accepted here, and offer it to peers.

        :param record: the accepted version.
        :param content: the submitted JSON text.
        """
        canonical = api.parse(content).to_json().encode()
        self._distributor.apply_accepted(record, canonical)

    async def applied(self, version: Version) -> AppliedReport:
        """Query the version in force on every live daemon.

        :param version: the version to compare with.
        """
        versions_by_host: dict[HostId, Version | None] = {
            self._members.own.host: self._distributor.version_in_force,
        }
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_QUERIES)

        async def query_version(member: Member) -> None:
            async with limiter:
                reply = await self._distributor.query_applied(member)
                versions_by_host[member.host] = reply

        async with anyio.create_task_group() as tasks:
            for member in self._members.peers():
                tasks.start_soon(query_version, member)
        return _applied_report(version, versions_by_host)


def _member_report(member: Member) -> MemberReport:
    return MemberReport(
        host=member.host,
        region=member.region,
        zone=member.zone,
        state=member.state.name.lower(),
        service=member.service or '',
        slots=member.slots,
        is_ready=member.is_ready,
        incarnation=member.incarnation,
        peer_address=member.peer_address,
    )


def _applied_report(
    version: Version,
    versions_by_host: dict[HostId, Version | None],
) -> AppliedReport:
    known_versions = {
        host: one for host, one in versions_by_host.items() if one is not None
    }
    return AppliedReport(
        version=version,
        applied=_hosts(
            host for host, one in known_versions.items() if one >= version
        ),
        lagging=_hosts(
            host for host, one in known_versions.items() if one < version
        ),
        silent=_hosts(
            host for host in versions_by_host if host not in known_versions
        ),
    )


def _hosts(hosts: Iterable[HostId]) -> tuple[HostId, ...]:
    return tuple(sorted(hosts))
