"""ragwortstand.peers.gossip: probes, suspicion and the spread of news.

A daemon probes one member of its availability zone each interval. Two
members of each zone, chosen by rendezvous hashing, also probe one member of
each other zone of their region and one dead member of their zone, which finds
hosts that came back while the platform's table was out. Two members of each
region probe one member of each other region. Of a zone or region in which all
have died, a dead member is probed. News of members rides on the
probes, as in SWIM, and a digest of the list shows what news has missed.
"""

import random
from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from ragwortstand.exceptions import PeerError
from ragwortstand.ids import HostId, PeerAddress, Version, ZoneName
from ragwortstand.peers.anti_entropy import AntiEntropyTrigger
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    IndirectPing,
    IndirectPong,
    Join,
    Member,
    MemberList,
    MemberState,
    Ping,
    Pong,
)
from ragwortstand.peers.protocols import PeerLinks
from ragwortstand.settings import MembershipSettings

_BRIDGE_COUNT = 2
_HELPER_COUNT = 2
_JITTER = 0.1
_PAUSE_FACTOR = 3.0
_JOIN_TIMEOUT_S = 2.0
_LOST_PROBES_BEFORE_ZONE = 3
# Lists fetched from strangers within one interval.
_MAX_LISTS_FETCHED = 3
# Whole lists that are sent to daemons with a list of their own within one
# interval. All of a fleet meet a newcomer at the same moment, and as many lists
# as there are daemons would fill its link for seconds.
_MAX_LISTS_SENT = 3

VersionListener = Callable[[Version, PeerAddress], None]


class Gossip:
    """Keeps the list of members true.

    :param members: the list.
    :param links: links to the other daemons.
    :param settings: intervals and timeouts.
    :param key_owners: told of outages of the store.
    :param version_in_force: returns this daemon's version.
    :param on_version: told of the version that a peer holds.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        settings: MembershipSettings,
        key_owners: KeyOwners,
        version_in_force: Callable[[], Version],
        on_version: VersionListener,
        rng: random.Random,
    ) -> None:
        """Keep the collaborators."""
        self._members = members
        self._links = links
        self._settings = settings
        self._key_owners = key_owners
        self._version_in_force = version_in_force
        self._on_version = on_version
        self._rng = rng
        self._probe_order: list[HostId] = []
        self._tasks: TaskGroup | None = None
        self._anti_entropy = AntiEntropyTrigger(settings)
        self._list_fetches_left = _MAX_LISTS_FETCHED
        self._list_sends_left = _MAX_LISTS_SENT
        self._unreachable_by_zone: dict[ZoneName, set[HostId]] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        interval_s = self._settings.probe_interval_s
        self._anti_entropy.restart(anyio.current_time())
        async with anyio.create_task_group() as probes:
            self._tasks = probes
            previous_s = anyio.current_time()
            while True:
                jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
                await anyio.sleep(interval_s * jitter)
                now_s = anyio.current_time()
                if now_s - previous_s > interval_s * _PAUSE_FACTOR:
                    self._members.restart_suspicions(now_s)
                previous_s = now_s
                self._list_fetches_left = _MAX_LISTS_FETCHED
                self._list_sends_left = _MAX_LISTS_SENT
                if self._members.expire(now_s):
                    probes.start_soon(self.send_updates)
                for target in self.probe_targets():
                    probes.start_soon(self._probe, target)

    def probe_targets(self) -> list[Member]:
        """Return the members to probe in this interval."""
        own = self._members.own
        peers = self._members.peers()
        dead = self._members.in_state(MemberState.DEAD)
        groups = [[peer for peer in peers if peer.zone == own.zone]]
        if own in self._members.role_holders(
            'bridge', _BRIDGE_COUNT, zone=own.zone
        ):
            near = [peer for peer in peers if peer.region == own.region]
            near_dead = [one for one in dead if one.region == own.region]
            groups.extend(_grouped(near, near_dead, own.zone, _zone_of))
            groups.append([one for one in dead if one.zone == own.zone])
        if own in self._members.role_holders(
            'bridge', _BRIDGE_COUNT, region=own.region
        ):
            groups.extend(_grouped(peers, dead, own.region, _region_of))
        first = self._next_in_round(groups[0])
        others = [self._rng.choice(group) for group in groups[1:] if group]
        return [first, *others] if first else others

    async def send_updates(self) -> None:
        """Tell a few random members the news at once."""
        peers = self._members.peers()
        fanout = min(self._settings.news_fanout, len(peers))
        chosen = self._rng.sample(peers, fanout)
        async with anyio.create_task_group() as probes:
            for peer in chosen:
                probes.start_soon(self._ping, peer)

    async def send_own_entry(self) -> None:
        """Tell members of this daemon's own entry, without other news."""
        peers = self._members.peers()
        fanout = min(self._settings.news_fanout, len(peers))
        chosen = self._rng.sample(peers, fanout)
        if len(chosen) == len(peers):
            self._members.drop_update(self._members.own.host)
        own = (self._members.own,)
        async with anyio.create_task_group() as probes:
            for peer in chosen:
                probes.start_soon(self._ping, peer, own)

    async def join(
        self,
        address: PeerAddress,
        *,
        is_newcomer: bool = True,
    ) -> bool:
        """Ask a daemon for the list of members.

        :param address: where it listens.
        :param is_newcomer: whether this daemon can't do without an answer.
        :returns: whether it answered.
        """
        request = Join(self._members.own, is_newcomer)
        try:
            reply = await self._links.send_request(
                address, request, _JOIN_TIMEOUT_S
            )
        except PeerError:
            return False
        if not isinstance(reply, MemberList):
            return False
        now_s = anyio.current_time()
        self._members.merge(reply.members, now_s)
        self._record_reported_outage(reply, now_s)
        self._on_version(reply.version, address)
        return True

    def on_ping(self, sender: HostId, ping: Ping) -> Pong:
        """Answer a probe.

        :param sender: the host that probes.
        :param ping: the probe.
        """
        now_s = anyio.current_time()
        is_unknown = self._members.get(sender) is None
        self._members.merge(ping.news, now_s)
        member = self._members.get(sender)
        if member:
            self._members.confirm_alive(sender, now_s)
            self._record_reported_outage(ping, now_s)
            self._on_version(ping.version, member.peer_address)
        if member and is_unknown:
            self._sync_with_unknown(ping.members_digest, member.peer_address)
        elif member:
            self._sync_if_due(ping.members_digest, member.peer_address)
        return Pong(
            self._version_in_force(),
            self._key_owners.outage_age_s(now_s),
            self._members.digest,
            self._updates_for(sender),
            self._key_owners.outage_began_age_s(now_s),
        )

    async def on_indirect_ping(self, request: IndirectPing) -> IndirectPong:
        """Probe a third daemon for the sender."""
        member = self._members.get(request.host)
        if member is None:
            return IndirectPong(is_alive=False)
        return IndirectPong(await self._ping(member))

    def on_join(self, request: Join) -> MemberList:
        """Answer with the list of members, or with the own entry alone.

        :param request: who asks.
        """
        now_s = anyio.current_time()
        self._members.merge([request.member], now_s)
        members = self._members.all()
        if not request.is_newcomer:
            if self._list_sends_left:
                self._list_sends_left -= 1
            else:
                members = (self._members.own,)
        return MemberList(
            members,
            self._version_in_force(),
            self._key_owners.outage_age_s(now_s),
            self._key_owners.outage_began_age_s(now_s),
        )

    def _sync_with_unknown(self, digest: int, address: PeerAddress) -> None:
        """Fetch the list of a daemon that was not known, unless it is alike.

        A daemon that restarted may know few others or none.

        :param digest: digest of the daemon's list.
        :param address: where the daemon listens.
        """
        is_equal = digest == self._members.digest
        if self._tasks and self._list_fetches_left and not is_equal:
            self._list_fetches_left -= 1
            self._tasks.start_soon(self._fetch_list, address)

    def _sync_if_due(self, digest: int, address: PeerAddress) -> None:
        """Fetch a whole list when lists have differed for a while.

        :param digest: digest of a peer's list.
        :param address: where the peer listens.
        """
        now_s = anyio.current_time()
        own = self._members.digest
        is_sync_due = self._anti_entropy.is_sync_due(own, digest, now_s)
        if is_sync_due and self._tasks:
            self._tasks.start_soon(self._fetch_list, address)

    async def _fetch_list(self, address: PeerAddress) -> None:
        await self.join(address, is_newcomer=False)

    def _record_reported_outage(
        self, message: Ping | Pong | MemberList, now_s: float
    ) -> None:
        self._key_owners.record_reported_outage(
            message.outage_age_s, now_s, message.outage_began_age_s
        )

    async def _probe(self, target: Member) -> None:
        is_reachable = await self._ping(target)
        if is_reachable or await self._ping_indirectly(target):
            self._unreachable_by_zone.pop(target.zone, None)
            return
        if target.state is MemberState.DEAD:
            self._links.close_link(target.peer_address)
            return
        self._members.suspect(target.host, anyio.current_time())
        if target.zone != self._members.own.zone:
            self._suspect_zone(target)
        if target.state is MemberState.ALIVE:
            await self.send_updates()

    def _suspect_zone(self, target: Member) -> None:
        """Suspect a whole zone when several of its members in turn are lost.

        A bridge probes one member of a zone a second, so a lost zone would
        otherwise be found member by member.

        :param target: the member that was lost last.
        """
        unreachable = self._unreachable_by_zone.setdefault(target.zone, set())
        unreachable.add(target.host)
        if len(unreachable) < _LOST_PROBES_BEFORE_ZONE:
            return
        now_s = anyio.current_time()
        for peer in self._members.peers():
            if peer.zone == target.zone:
                self._members.suspect(peer.host, now_s)

    async def _ping(
        self,
        target: Member,
        updates: tuple[Member, ...] | None = None,
    ) -> bool:
        if updates is None:
            updates = self._with_own_entry(self._updates_for(target.host))
        now_s = anyio.current_time()
        ping = Ping(
            self._version_in_force(),
            self._key_owners.outage_age_s(now_s),
            self._members.digest,
            updates,
            self._key_owners.outage_began_age_s(now_s),
        )
        timeout_s = self._settings.probe_timeout_s
        try:
            reply = await self._links.send_request(
                target.peer_address, ping, timeout_s
            )
        except PeerError:
            return False
        if not isinstance(reply, Pong):
            return False
        now_s = anyio.current_time()
        self._members.merge(reply.news, now_s)
        self._members.confirm_alive(target.host, now_s)
        self._record_reported_outage(reply, now_s)
        self._on_version(reply.version, target.peer_address)
        self._sync_if_due(reply.members_digest, target.peer_address)
        return True

    async def _ping_indirectly(self, target: Member) -> bool:
        helpers = [
            peer
            for peer in self._members.peers()
            if peer.host != target.host and peer.state is MemberState.ALIVE
        ]
        chosen = self._rng.sample(helpers, min(_HELPER_COUNT, len(helpers)))
        replies: list[bool] = []
        async with anyio.create_task_group() as probes:
            for helper in chosen:
                probes.start_soon(
                    self._request_indirect_probe, helper, target, replies
                )
        return any(replies)

    async def _request_indirect_probe(
        self,
        helper: Member,
        target: Member,
        replies: list[bool],
    ) -> None:
        request = IndirectPing(target.host)
        timeout_s = self._settings.probe_timeout_s * 2
        try:
            reply = await self._links.send_request(
                helper.peer_address, request, timeout_s
            )
        except PeerError:
            return
        replies.append(isinstance(reply, IndirectPong) and reply.is_alive)

    def _updates_for(self, host: HostId) -> tuple[Member, ...]:
        """Return news, with what a host that was out of sight must know.

        It is told what is said of it, so that it can refute, and who tells.
        """
        updates = self._members.take_updates()
        member = self._members.get(host)
        if member and member.state is MemberState.ALIVE:
            return updates
        if member is None:
            return (*updates, self._members.own)
        return (*updates, member, self._members.own)

    def _with_own_entry(
        self, updates: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        """Return news with this daemon's address, which a probe lacks."""
        own = self._members.own
        return updates if own in updates else (*updates, own)

    def _next_in_round(self, group: list[Member]) -> Member | None:
        """Return members in rounds, each round in a new random order."""
        by_host = {member.host: member for member in group}
        while self._probe_order:
            found = by_host.get(self._probe_order.pop())
            if found:
                return found
        self._probe_order = list(by_host)
        self._rng.shuffle(self._probe_order)
        return by_host[self._probe_order.pop()] if self._probe_order else None


def _zone_of(member: Member) -> str:
    return member.zone


def _region_of(member: Member) -> str:
    return member.region


def _grouped(
    present: Iterable[Member],
    dead: Iterable[Member],
    own: str,
    group_key: Callable[[Member], str],
) -> list[list[Member]]:
    """Return the members of each other part, dead ones where all are."""
    groups = _by_group_key(dead, group_key) | _by_group_key(present, group_key)
    groups.pop(own, None)
    return list(groups.values())


def _by_group_key(
    members: Iterable[Member], group_key: Callable[[Member], str]
) -> dict[str, list[Member]]:
    groups: dict[str, list[Member]] = {}
    for member in members:
        groups.setdefault(group_key(member), []).append(member)
    return groups
