"""ragwortstand.peers.link_scopes: how far the link to a daemon reaches."""

import enum

from ragwortstand.ids import HostId, PeerAddress
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member


class LinkScope(enum.Enum):
    """How far a link reaches; traffic between regions is billed by volume."""

    ZONE = 'zone'
    REGION = 'region'
    CROSS_REGION = 'regional'
    UNKNOWN = 'unknown'


class LinkScopes:
    """Determines the scope of the link to each daemon.

    :param members: the member list.
    """

    def __init__(self, members: Members) -> None:
        """Create scopes without known addresses."""
        self._members = members
        self._hosts: dict[PeerAddress, HostId] = {}

    def record_address(self, member: Member) -> None:
        """Record the address of a member."""
        self._hosts[member.peer_address] = member.host

    def of_address(self, address: PeerAddress) -> LinkScope:
        """Return the scope of the link to an address."""
        host = self._hosts.get(address)
        return self.of_host(host) if host else LinkScope.UNKNOWN

    def of_host(self, host: HostId) -> LinkScope:
        """Return the scope of the link to a host."""
        member = self._members.get(host)
        if member is None:
            return LinkScope.UNKNOWN
        own = self._members.own
        if member.region != own.region:
            return LinkScope.CROSS_REGION
        return LinkScope.ZONE if member.zone == own.zone else LinkScope.REGION
