"""ragwortstand.peers.offering_index: members by the service that they offer."""

from msgspec.structs import asdict

from ragwortstand.ids import HostId, ServiceName
from ragwortstand.peers.messages import Member

# Fields of an entry that do not matter to who sends it requests; they change
# far more often than the others.
_IRRELEVANT_FIELDS = ('incarnation', 'state', 'store_reach', 'departed')


class OfferingIndex:
    """The usable members whose backend server is ready, by service.

    The change of a member costs the same in a fleet of any size; the tuple of
    its service is built when it is next asked for.
    """

    def __init__(self) -> None:
        """Create an index without members."""
        self._members: dict[ServiceName, dict[HostId, Member]] = {}
        self._services: dict[HostId, ServiceName] = {}
        self._tuples: dict[ServiceName, tuple[Member, ...]] = {}

    def get(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the members that offer a service.

        The same tuple is returned until one of them changes.

        :param service: the service.
        """
        found = self._tuples.get(service)
        if found is None:
            found = tuple(self._members.get(service, {}).values())
            self._tuples[service] = found
        return found

    def put(self, member: Member, *, is_usable: bool) -> None:
        """Add, replace or remove a member.

        :param member: its present entry.
        :param is_usable: whether its daemon is alive or suspected.
        """
        service = member.service
        if not is_usable or not member.is_ready or not service:
            self.remove(member.host)
            return
        if self._services.get(member.host) != service:
            self.remove(member.host)
        members = self._members.setdefault(service, {})
        previous = members.get(member.host)
        if previous is None or _relevant(previous) != _relevant(member):
            members[member.host] = member
            self._services[member.host] = service
            self._tuples.pop(service, None)

    def remove(self, host: HostId) -> None:
        """Remove a member; an unknown one is ignored.

        :param host: its host.
        """
        service = self._services.pop(host, None)
        if service is not None:
            self._members[service].pop(host)
            self._tuples.pop(service, None)


def _relevant(member: Member) -> dict[str, object]:
    fields = asdict(member)
    for name in _IRRELEVANT_FIELDS:
        fields.pop(name)
    return fields
