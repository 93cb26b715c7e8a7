"""ragwortstand.peers.members: the list of members of the cluster."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash
from msgspec.structs import replace

from ragwortstand.ids import HostId, RegionName, ServiceName, ZoneName
from ragwortstand.peers.messages import Member, MemberState
from ragwortstand.peers.offering_index import OfferingIndex
from ragwortstand.peers.previous_boots import PreviousBoots
from ragwortstand.peers.reply_record import ReplyRecord
from ragwortstand.rendezvous import ranked
from ragwortstand.settings import MembershipSettings

_MAX_UPDATES = 40
_MIN_TRANSMISSIONS = 3
_PARTITION_SUSPECT_SHARE = 0.5
_PARTITION_MIN_SUSPECTS = 4
_USABLE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclass(slots=True)
class _Entry:
    """A member, and when it stopped offering services of the past."""

    member: Member
    changed_at_s: float
    offered_until_s: dict[ServiceName, float] = field(default_factory=dict)

    def replace(self, member: Member, now_s: float | None) -> None:
        """Replace the member by a newer entry of the same host."""
        service = self.member.service
        self.changed_at_s = now_s or self.changed_at_s
        if service and service != member.service:
            self.offered_until_s[service] = self.changed_at_s
        self.member = member

    def has_offered(self, service: ServiceName, since_s: float) -> bool:
        """Return whether the member offered a service at a time or later."""
        if self.member.service == service:
            return True
        until_s = self.offered_until_s.get(service)
        return until_s is not None and until_s >= since_s


class Members:
    """The list of all known members, including this daemon.

    Of two entries of a host the one with the higher incarnation is kept, and
    with equal incarnations the one with the higher state. When more than half
    of the usable members, and at least four, are suspected at once, this daemon
    is assumed to be partitioned from the cluster: the suspects stay in the
    list, and the outcomes of calls decide which of them are used.

    `digest` is equal for lists with the same present members.
    `previous_boots` has what earlier processes of daemons have published.
    `last_contact_s` is the time of the last message from any other member.
    `replies` has which of the recent requests to others got a reply.

    :param own: this daemon.
    :param settings: how long members stay suspected or departed.
    :param now_s: current time.
    """

    def __init__(
        self,
        own: Member,
        settings: MembershipSettings,
        now_s: float,
    ) -> None:
        """Create a list that contains only this daemon."""
        self._settings = settings
        self._entries = {own.host: _Entry(own, now_s)}
        self._own_host = own.host
        self._pending_updates: dict[HostId, int] = {own.host: 0}
        self._offering = OfferingIndex()
        self._offering.put(own, is_usable=own.state in _USABLE_STATES)
        self._role_orders: dict[str, list[HostId]] = {}
        self.previous_boots = PreviousBoots()
        self.replies = ReplyRecord()
        self.last_contact_s = now_s
        self.digest = _entry_hash(own)
        self.on_change: Callable[[Member], None] = _ignore_member
        self.on_refute: Callable[[], None] = _do_nothing
        self.on_update_about_self: Callable[[Member], None] = _ignore_member

    @property
    def own(self) -> Member:
        """Return this daemon's own entry."""
        return self._entries[self._own_host].member

    def __len__(self) -> int:
        """Return the number of known members in any state."""
        return len(self._entries)

    def get(self, host: HostId) -> Member | None:
        """Return a member by host."""
        entry = self._entries.get(host)
        return entry.member if entry else None

    def all(self) -> tuple[Member, ...]:
        """Return all known members in any state."""
        return tuple(entry.member for entry in self._entries.values())

    def usable(self) -> list[Member]:
        """Return the members that are alive or suspected."""
        return [
            member for member in self.all() if member.state in _USABLE_STATES
        ]

    def peers(self) -> list[Member]:
        """Return the usable members except this daemon."""
        return [
            member for member in self.usable() if member.host != self._own_host
        ]

    def in_state(self, state: MemberState) -> list[Member]:
        """Return the members in a state."""
        return [member for member in self.all() if member.state is state]

    def offering(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the usable members whose backend server offers a service."""
        return self._offering.get(service)

    def hosts_offering_since(
        self, service: ServiceName, since_s: float
    ) -> list[HostId]:
        """Return hosts that offered a service at or after a time.

        Departed members are included.

        :param service: the service.
        :param since_s: the time.
        """
        return [
            host
            for host, entry in self._entries.items()
            if entry.has_offered(service, since_s)
        ]

    def states(self) -> Counter[MemberState]:
        """Return the number of members in each state."""
        return Counter(member.state for member in self.all())

    def update_own(self, **changes: object) -> None:
        """Change this daemon's own entry and queue it as an update."""
        incarnation = self.own.incarnation + 1
        self._put_entry(replace(self.own, incarnation=incarnation, **changes))

    def merge(self, updates: Iterable[Member], now_s: float) -> None:
        """Merge entries that another daemon sent.

        :param updates: entries of members.
        :param now_s: current time.
        """
        for member in updates:
            if member.host == self._own_host:
                self._refute_if_wrong(member)
            elif self._is_newer(member):
                self._put_entry(member, now_s)

    def suspect(self, host: HostId, now_s: float) -> None:
        """Mark a member that did not reply as suspected."""
        member = self.get(host)
        if member and member.state is MemberState.ALIVE:
            self._put_entry(replace(member, state=MemberState.SUSPECT), now_s)

    def confirm_alive(self, host: HostId, now_s: float) -> None:
        """Clear a suspicion in this list, as the member just sent a message."""
        self.last_contact_s = now_s
        member = self.get(host)
        if member and member.state is MemberState.SUSPECT:
            self._put_entry(replace(member, state=MemberState.ALIVE), now_s)

    def expire(self, now_s: float) -> bool:
        """Declare old suspects dead and remove members that departed long ago.

        :param now_s: current time.
        :returns: whether a member was declared dead.
        """
        has_died = False
        is_partitioned = self._is_partitioned()
        for entry in tuple(self._entries.values()):
            age_s = now_s - entry.changed_at_s
            state = entry.member.state
            if state is MemberState.SUSPECT and not is_partitioned:
                if age_s >= self._settings.suspicion_s:
                    dead = replace(entry.member, state=MemberState.DEAD)
                    self._put_entry(dead, now_s)
                    has_died = True
            elif (
                state not in _USABLE_STATES
                and age_s > self._settings.departed_s
            ):
                self._remove(entry.member.host)
        return has_died

    def restart_suspicions(self, now_s: float) -> None:
        """Restart the time of all suspicions after this daemon was paused."""
        for entry in self._entries.values():
            if entry.member.state is MemberState.SUSPECT:
                entry.changed_at_s = now_s

    def take_updates(self) -> tuple[Member, ...]:
        """Return the updates to send next, the least sent first."""
        repeats = self._settings.news_repeats
        if repeats is None:
            repeats = _MIN_TRANSMISSIONS + 2 * len(self._entries).bit_length()
        chosen = sorted(
            self._pending_updates, key=self._pending_updates.__getitem__
        )[:_MAX_UPDATES]
        for host in chosen:
            self._pending_updates[host] += 1
            if self._pending_updates[host] >= repeats:
                self._pending_updates.pop(host)
        return tuple(self._entries[host].member for host in chosen)

    def drop_update(self, host: HostId) -> None:
        """Drop a pending update that was sent to all members directly."""
        self._pending_updates.pop(host, None)

    def role_holders(
        self,
        role: str,
        count: int,
        *,
        zone: ZoneName | None = None,
        region: RegionName | None = None,
    ) -> list[Member]:
        """Return the members that hold a role, by rendezvous hashing.

        Daemons with equal lists select the same members without an election.

        :param role: name of the role, part of the hashed key.
        :param count: number of members that hold it.
        :param zone: only members of this availability zone.
        :param region: only members of this region.
        """
        key = f'{role}/{region}/{zone}'
        order = self._role_orders.get(key)
        if order is None:
            order = ranked(key, self._usable_hosts(zone, region))
            self._role_orders[key] = order
        return [self._entries[host].member for host in order[:count]]

    def _usable_hosts(
        self,
        zone: ZoneName | None,
        region: RegionName | None,
    ) -> list[HostId]:
        return [
            member.host
            for member in self.usable()
            if zone in {None, member.zone} and region in {None, member.region}
        ]

    def _is_newer(self, member: Member) -> bool:
        known = self.get(member.host)
        if known is None:
            return True
        return (member.incarnation, member.state) > (
            known.incarnation,
            known.state,
        )

    def _is_partitioned(self) -> bool:
        states = self.states()
        suspects = states[MemberState.SUSPECT]
        usable = suspects + states[MemberState.ALIVE]
        if suspects < _PARTITION_MIN_SUSPECTS:
            return False
        return suspects > usable * _PARTITION_SUSPECT_SHARE

    def _refute_if_wrong(self, update: Member) -> None:
        self.on_update_about_self(update)
        own = self.own
        is_newer = update.incarnation > own.incarnation
        is_worse = update.state > own.state
        if is_newer or (update.incarnation == own.incarnation and is_worse):
            next_incarnation = update.incarnation + 1
            self._put_entry(replace(own, incarnation=next_incarnation))
            self.on_refute()

    def _put_entry(self, member: Member, now_s: float | None = None) -> None:
        entry = self._entries.get(member.host)
        self.digest ^= _entry_hash(member)
        previous = entry.member if entry else None
        if previous:
            self.digest ^= _entry_hash(previous)
            if previous.boot != member.boot:
                self.previous_boots.keep(previous)
        if entry is None:
            self._entries[member.host] = _Entry(member, now_s or 0.0)
        else:
            entry.replace(member, now_s)
        self._pending_updates[member.host] = 0
        self._offering.put(member, is_usable=member.state in _USABLE_STATES)
        if previous is None or _role_key(previous) != _role_key(member):
            self._role_orders.clear()
        self.on_change(member)

    def _remove(self, host: HostId) -> None:
        entry = self._entries.pop(host)
        self.digest ^= _entry_hash(entry.member)
        self._pending_updates.pop(host, None)
        self.previous_boots.forget(host)
        self._offering.remove(host)
        self._role_orders.clear()


def _role_key(member: Member) -> tuple[object, ...]:
    """Return what decides on which roles a member can hold."""
    return (member.zone, member.region, member.state in _USABLE_STATES)


def _entry_hash(member: Member) -> int:
    """Return the hash of an entry, which is combined into the digest by XOR.

    It is 0 for departed members, since each daemon removes them at a different
    time.
    """
    if member.state not in _USABLE_STATES:
        return 0
    text = f'{member.host}/{member.incarnation}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _do_nothing() -> None:
    """Ignore that this daemon refuted an entry."""


def _ignore_member(member: Member) -> None:
    """Ignore an entry of a member."""
