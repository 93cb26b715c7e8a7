"""ragwortstand.peers.gossip: probes members and exchanges updates, as SWIM.

A daemon probes one member of its availability zone each interval. Two
bridges of each zone, chosen by rendezvous hashing, also probe one member of
each other zone of their region and one dead member of their zone, which finds
hosts that came back while the platform's table was unavailable. Two bridges of
each region probe one member of each other region. If all members of a zone or
region are dead, a dead one is probed. Updates of members are piggybacked on
the probes, and a digest of the list shows whether updates were missed.
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
_LOST_MEMBERS_BEFORE_ZONE = 3
# Lists fetched from unknown daemons within one interval.
_MAX_LISTS_FETCHED = 3
# Whole lists sent within one interval to daemons that have a list of their
# own. The whole fleet discovers a newcomer at the same moment; if each daemon
# fetched its list, its link would be saturated for seconds.
_MAX_LISTS_SENT = 3

VersionListener = Callable[[Version, PeerAddress], None]


class Gossip:
    """Keeps the list of members up to date.

    :param members: the member list.
    :param links: links to the other daemons.
    :param settings: intervals and timeouts.
    :param key_owners: records outages of the store that peers report.
    :param version_in_force: returns the version in force at this daemon.
    :param on_version: called with the version of a peer and its address.
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
        """Create an object that starts to probe when `run` is called."""
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
        """Send pending updates to a few random members at once."""
        peers = self._members.peers()
        fanout = min(self._settings.news_fanout, len(peers))
        chosen = self._rng.sample(peers, fanout)
        async with anyio.create_task_group() as probes:
            for peer in chosen:
                probes.start_soon(self._ping_and_record, peer)

    async def send_own_entry(self) -> None:
        """Send only this daemon's own entry to a few random members."""
        peers = self._members.peers()
        fanout = min(self._settings.news_fanout, len(peers))
        chosen = self._rng.sample(peers, fanout)
        if len(chosen) == len(peers):
            self._members.drop_update(self._members.own.host)
        own = (self._members.own,)
        async with anyio.create_task_group() as probes:
            for peer in chosen:
                probes.start_soon(self._ping_and_record, peer, own)

    async def join(
        self,
        address: PeerAddress,
        *,
        is_newcomer: bool = True,
    ) -> bool:
        """Request the list of members from a daemon and merge it.

        :param address: address that the daemon listens on.
        :param is_newcomer: whether this daemon needs the whole list, as it has
            none of its own; otherwise the reply may omit it.
        :returns: whether the daemon replied with a list.
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
        """Return the reply to a probe.

        :param sender: the host that sent the probe.
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
        updates = self._updates_for(sender)
        previous_boots = self._members.previous_boots
        previous_boot = previous_boots.unreturned(member) if member else None
        if member and previous_boot:
            updates = (*updates, previous_boot)
            previous_boots.record_returned(member)
        return Pong(
            self._version_in_force(),
            self._key_owners.outage_age_s(now_s),
            self._members.digest,
            updates,
            self._key_owners.outage_began_age_s(now_s),
        )

    async def on_indirect_ping(self, request: IndirectPing) -> IndirectPong:
        """Probe another daemon on behalf of the sender."""
        member = self._members.get(request.host)
        if member is None:
            return IndirectPong(is_alive=False)
        return IndirectPong(await self._ping(member))

    def on_join(self, request: Join) -> MemberList:
        """Return the list of members, or only the own entry.

        The sender also gets what an earlier process of it has published.

        :param request: the request, with the entry of its sender.
        """
        now_s = anyio.current_time()
        self._members.merge([request.member], now_s)
        members = self._members.all()
        if not request.is_newcomer:
            if self._list_sends_left:
                self._list_sends_left -= 1
            else:
                members = (self._members.own,)
        previous_boot = self._members.previous_boots.get(request.member.host)
        if previous_boot:
            members = (*members, previous_boot)
        return MemberList(
            members,
            self._version_in_force(),
            self._key_owners.outage_age_s(now_s),
            self._key_owners.outage_began_age_s(now_s),
        )

    def _sync_with_unknown(self, digest: int, address: PeerAddress) -> None:
        """Fetch the list of an unknown daemon, unless the digests are equal.

        A daemon that restarted may know few others or none.

        :param digest: digest of the daemon's list.
        :param address: address that the daemon listens on.
        """
        is_equal = digest == self._members.digest
        if self._tasks and self._list_fetches_left and not is_equal:
            self._list_fetches_left -= 1
            self._tasks.start_soon(self._fetch_list, address)

    def _sync_if_due(self, digest: int, address: PeerAddress) -> None:
        """Fetch the list of a peer if the lists have differed for a while.

        :param digest: digest of the peer's list.
        :param address: address that the peer listens on.
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
        is_reachable = await self._ping_and_record(target)
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
        """Suspect a whole zone if probes of several members fail in a row.

        A bridge probes one member of a zone each second, so it would otherwise
        take one probe for each member to detect the loss of a zone.

        :param target: the member whose probe failed last.
        """
        unreachable = self._unreachable_by_zone.setdefault(target.zone, set())
        unreachable.add(target.host)
        if len(unreachable) < _LOST_MEMBERS_BEFORE_ZONE:
            return
        now_s = anyio.current_time()
        for peer in self._members.peers():
            if peer.zone == target.zone:
                self._members.suspect(peer.host, now_s)

    async def _ping_and_record(
        self,
        target: Member,
        updates: tuple[Member, ...] | None = None,
    ) -> bool:
        is_answered = await self._ping(target, updates)
        self._record_result(is_answered=is_answered)
        return is_answered

    def _record_result(self, *, is_answered: bool) -> None:
        now_s = anyio.current_time()
        self._members.replies.record(now_s, is_answered=is_answered)

    async def _ping(
        self,
        target: Member,
        updates: tuple[Member, ...] | None = None,
    ) -> bool:
        if updates is None:
            updates = self._with_own_entry(self._updates_for(target.host))
        previous_boot = self._members.previous_boots.unreturned(target)
        if previous_boot:
            updates = (*updates, previous_boot)
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
        if previous_boot:
            self._members.previous_boots.record_returned(target)
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
            self._record_result(is_answered=False)
            return
        self._record_result(is_answered=True)
        replies.append(isinstance(reply, IndirectPong) and reply.is_alive)

    def _updates_for(self, host: HostId) -> tuple[Member, ...]:
        """Return pending updates, and entries that a host may lack.

        A host that is not alive in this list also gets its own entry, so that
        it can refute it. Such a host and an unknown one get the entry of this
        daemon, too.
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
        """Return updates with the own entry, as a probe lacks its address."""
        own = self._members.own
        return updates if own in updates else (*updates, own)

    def _next_in_round(self, group: list[Member]) -> Member | None:
        """Return the next member; each round has a new random order."""
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
    usable: Iterable[Member],
    dead: Iterable[Member],
    own: str,
    group_key: Callable[[Member], str],
) -> list[list[Member]]:
    """Return usable members by group, dead ones for groups without any.

    The own group is left out.
    """
    groups = _by_group_key(dead, group_key) | _by_group_key(usable, group_key)
    groups.pop(own, None)
    return list(groups.values())


def _by_group_key(
    members: Iterable[Member], group_key: Callable[[Member], str]
) -> dict[str, list[Member]]:
    groups: dict[str, list[Member]] = {}
    for member in members:
        groups.setdefault(group_key(member), []).append(member)
    return groups
