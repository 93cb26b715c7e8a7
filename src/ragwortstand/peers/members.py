"""ragwortstand.peers.members: the list of members and its rules."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash
from msgspec.structs import replace

from ragwortstand.ids import HostId, RegionName, ServiceName, ZoneName
from ragwortstand.peers.messages import Member, MemberState
from ragwortstand.rendezvous import ranked
from ragwortstand.settings import MembershipSettings

_MAX_NEWS = 40
_MIN_SHARES = 3
_MASS_LOSS_SHARE = 0.5
_MASS_LOSS_MIN = 4
_USABLE = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclass(slots=True)
class _Entry:
    """A member, and until when it offered services that it no longer does."""

    member: Member
    changed_at_s: float
    offered_until_s: dict[ServiceName, float] = field(default_factory=dict)

    def replace(self, member: Member, now_s: float | None) -> None:
        """Take over a newer state of the member."""
        service = self.member.service
        self.changed_at_s = now_s or self.changed_at_s
        if service and service != member.service:
            self.offered_until_s[service] = self.changed_at_s
        self.member = member

    def has_offered(self, service: ServiceName, since_s: float) -> bool:
        """Return whether the member offered a service at or after a time."""
        if self.member.service == service:
            return True
        until_s = self.offered_until_s.get(service)
        return until_s is not None and until_s >= since_s


class Members:
    """All known members, this daemon among them.

    A higher incarnation wins; of one incarnation the higher state wins. When
    half of the members are suspected at once, this daemon is taken to be cut
    off: the suspects are kept, and the outcomes of calls decide.

    `digest` is the same in lists with the same present members. `heard_at_s` is
    when any other member last spoke or answered.

    :param own: this daemon.
    :param settings: times of suspicion and memory.
    :param now_s: present time.
    """

    def __init__(
        self,
        own: Member,
        settings: MembershipSettings,
        now_s: float,
    ) -> None:
        """Start with this daemon alone."""
        self._settings = settings
        self._entries = {own.host: _Entry(own, now_s)}
        self._own_host = own.host
        self._news: dict[HostId, int] = {own.host: 0}
        self._candidates: dict[ServiceName, tuple[Member, ...]] | None = None
        self._orders: dict[str, list[HostId]] = {}
        self.heard_at_s = now_s
        self.digest = _fingerprint(own)
        self.on_change: Callable[[Member], None] = _ignore
        self.on_refute: Callable[[], None] = _nothing
        self.on_rumour: Callable[[Member], None] = _ignore

    @property
    def own(self) -> Member:
        """Return this daemon's own entry."""
        return self._entries[self._own_host].member

    def __len__(self) -> int:
        """Return how many members are known, in any state."""
        return len(self._entries)

    def get(self, host: HostId) -> Member | None:
        """Return a member by host."""
        entry = self._entries.get(host)
        return entry.member if entry else None

    def all(self) -> tuple[Member, ...]:
        """Return all known members in any state."""
        return tuple(entry.member for entry in self._entries.values())

    def usable(self) -> list[Member]:
        """Return members that are alive or merely suspected."""
        return [member for member in self.all() if member.state in _USABLE]

    def peers(self) -> list[Member]:
        """Return the usable members without this daemon."""
        return [
            member for member in self.usable() if member.host != self._own_host
        ]

    def departed(self, state: MemberState) -> list[Member]:
        """Return the members that are still known to be in a state."""
        return [member for member in self.all() if member.state is state]

    def offering(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the members whose backend server offers a service."""
        if self._candidates is None:
            self._candidates = _by_service(self.usable())
        return self._candidates.get(service, ())

    def hosts_since(self, service: ServiceName, since_s: float) -> list[HostId]:
        """Return hosts, departed ones too, that offered a service lately.

        :param service: the service.
        :param since_s: time since when one offered it.
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
        """Change this daemon's own entry and spread it."""
        incarnation = self.own.incarnation + 1
        self._store(replace(self.own, incarnation=incarnation, **changes))

    def merge(self, news: Iterable[Member], now_s: float) -> None:
        """Take in what another daemon knows.

        :param news: entries of members.
        :param now_s: present time.
        """
        for member in news:
            if member.host == self._own_host:
                self._refute(member)
            elif self._is_news(member):
                self._store(member, now_s)

    def suspect(self, host: HostId, now_s: float) -> None:
        """Suspect a member that did not answer."""
        member = self.get(host)
        if member and member.state is MemberState.ALIVE:
            self._store(replace(member, state=MemberState.SUSPECT), now_s)

    def vouch(self, host: HostId, now_s: float) -> None:
        """Drop a suspicion of our own, as the member was just heard."""
        self.heard_at_s = now_s
        member = self.get(host)
        if member and member.state is MemberState.SUSPECT:
            self._store(replace(member, state=MemberState.ALIVE), now_s)

    def expire(self, now_s: float) -> bool:
        """Turn old suspects into dead members, and forget departed ones.

        :param now_s: present time.
        :returns: whether a member has died.
        """
        has_died = False
        is_cut_off = self._is_cut_off()
        for entry in tuple(self._entries.values()):
            age_s = now_s - entry.changed_at_s
            state = entry.member.state
            if state is MemberState.SUSPECT and not is_cut_off:
                if age_s >= self._settings.suspicion_s:
                    dead = replace(entry.member, state=MemberState.DEAD)
                    self._store(dead, now_s)
                    has_died = True
            elif state not in _USABLE and age_s > self._settings.departed_s:
                self._forget(entry.member.host)
        return has_died

    def postpone(self, now_s: float) -> None:
        """Restart all suspicions, after this daemon itself was paused."""
        for entry in self._entries.values():
            if entry.member.state is MemberState.SUSPECT:
                entry.changed_at_s = now_s

    def take_news(self) -> tuple[Member, ...]:
        """Return changes to tell next, the least told first."""
        repeats = self._settings.news_repeats
        if repeats is None:
            repeats = _MIN_SHARES + 2 * len(self._entries).bit_length()
        chosen = sorted(self._news, key=self._news.__getitem__)[:_MAX_NEWS]
        for host in chosen:
            self._news[host] += 1
            if self._news[host] >= repeats:
                self._news.pop(host)
        return tuple(self._entries[host].member for host in chosen)

    def drop_news(self, host: HostId) -> None:
        """Stop to pass on a change that all members were told directly."""
        self._news.pop(host, None)

    def leaders(
        self,
        role: str,
        count: int,
        *,
        zone: ZoneName | None = None,
        region: RegionName | None = None,
    ) -> list[Member]:
        """Return the members that hold a role, by rendezvous hashing.

        :param role: name of the role.
        :param count: how many hold it.
        :param zone: only members of this availability zone.
        :param region: only members of this region.
        """
        key = f'{role}/{region}/{zone}'
        order = self._orders.get(key)
        if order is None:
            order = ranked(key, self._hosts_in(zone, region))
            self._orders[key] = order
        return [self._entries[host].member for host in order[:count]]

    def _hosts_in(
        self,
        zone: ZoneName | None,
        region: RegionName | None,
    ) -> list[HostId]:
        return [
            member.host
            for member in self.usable()
            if zone in {None, member.zone} and region in {None, member.region}
        ]

    def _is_news(self, member: Member) -> bool:
        known = self.get(member.host)
        if known is None:
            return True
        return (member.incarnation, member.state) > (
            known.incarnation,
            known.state,
        )

    def _is_cut_off(self) -> bool:
        states = self.states()
        suspects = states[MemberState.SUSPECT]
        usable = suspects + states[MemberState.ALIVE]
        if suspects < _MASS_LOSS_MIN:
            return False
        return suspects > usable * _MASS_LOSS_SHARE

    def _refute(self, rumour: Member) -> None:
        self.on_rumour(rumour)
        own = self.own
        is_newer = rumour.incarnation > own.incarnation
        is_wrong = rumour.state > own.state
        if is_newer or (rumour.incarnation == own.incarnation and is_wrong):
            raised = rumour.incarnation + 1
            self._store(replace(own, incarnation=raised))
            self.on_refute()

    def _store(self, member: Member, now_s: float | None = None) -> None:
        entry = self._entries.get(member.host)
        self.digest ^= _fingerprint(member)
        if entry:
            self.digest ^= _fingerprint(entry.member)
        if entry is None:
            self._entries[member.host] = _Entry(member, now_s or 0.0)
        else:
            entry.replace(member, now_s)
        self._news[member.host] = 0
        self._candidates = None
        self._orders.clear()
        self.on_change(member)

    def _forget(self, host: HostId) -> None:
        entry = self._entries.pop(host)
        self.digest ^= _fingerprint(entry.member)
        self._news.pop(host, None)
        self._candidates = None
        self._orders.clear()


def _by_service(
    members: Iterable[Member],
) -> dict[ServiceName, tuple[Member, ...]]:
    found: dict[ServiceName, list[Member]] = {}
    for member in members:
        if member.service and member.is_ready:
            found.setdefault(member.service, []).append(member)
    return {name: tuple(offering) for name, offering in found.items()}


def _fingerprint(member: Member) -> int:
    """Return the part of a member in the digest of a list.

    Departed members have none, since each list forgets them at its own time.
    """
    if member.state not in _USABLE:
        return 0
    text = f'{member.host}/{member.incarnation}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _nothing() -> None:
    """Do nothing when this daemon refutes."""


def _ignore(member: Member) -> None:
    """Do nothing when a member changes."""
