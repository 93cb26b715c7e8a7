"""Tests of how different lists of members become equal."""

import random
import unittest
from collections import Counter
from collections.abc import Iterable

import anyio
from msgspec.structs import replace

from ragwortstand.backend_servers.rate_limiter import ServerRateLimit
from ragwortstand.exceptions import PeerError
from ragwortstand.ids import NO_VERSION, HostId, PeerAddress
from ragwortstand.peers.anti_entropy import AntiEntropyTrigger
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    Join,
    Member,
    MemberList,
    MemberState,
    Ping,
    Reply,
    Request,
)
from ragwortstand.settings import MembershipSettings
from ragwortstand.verdicts import Verdict
from tests.fakes import member

_INTERVAL_S = 0.02
_NEVER_S = 60.0
_OLD = 1
_NEW = 2


class _Daemons:
    """Daemons that exchange messages without a network."""

    def __init__(
        self, difference_s: float, interval_s: float = _INTERVAL_S
    ) -> None:
        self.lists: dict[HostId, Members] = {}
        self.joins = 0
        self.entries_sent: Counter[PeerAddress] = Counter()
        self._settings = MembershipSettings(
            probe_interval_s=interval_s, difference_s=difference_s
        )
        self._gossips: dict[PeerAddress, Gossip] = {}

    def start(self, own: Member, known: Iterable[Member]) -> None:
        """Add a daemon without pending updates."""
        members = Members(own, self._settings, 0)
        members.merge(known, 0)
        for one in members.all():
            members.drop_update(one.host)
        self.lists[own.host] = members
        self._gossips[own.peer_address] = Gossip(
            members,
            _Links(self, own.host),
            self._settings,
            KeyOwners(members, window_s=600),
            lambda: NO_VERSION,
            _no_version,
            random.Random(len(self.lists)),
        )

    def gossip(self, own: Member) -> Gossip:
        """Return the gossip of a daemon."""
        return self._gossips[own.peer_address]

    async def run(self, seconds: float) -> None:
        """Run the probes of all daemons for a time."""
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                for gossip in self._gossips.values():
                    tasks.start_soon(gossip.run)

    async def send_request(
        self, sender: HostId, address: PeerAddress, request: Request
    ) -> Reply:
        """Return the reply of the daemon at an address."""
        await anyio.lowlevel.checkpoint()
        gossip = self._gossips.get(address)
        if isinstance(request, Join) and gossip:
            self.joins += 1
            reply = gossip.on_join(request)
            self.entries_sent[address] += len(reply.members)
            return reply
        if isinstance(request, Ping) and gossip:
            return gossip.on_ping(sender, request)
        raise PeerError(Verdict.NOT_RUN, 'lost')


class _Links:
    def __init__(self, daemons: _Daemons, own: HostId) -> None:
        self._daemons = daemons
        self._own = own

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        with anyio.fail_after(timeout_s):
            return await self._daemons.send_request(self._own, address, request)

    def close_link(self, address: PeerAddress) -> None:
        """Do nothing."""


def _no_version(version: object, address: object) -> None:
    """Ignore the version of a peer."""


class ListsTest(unittest.IsolatedAsyncioTestCase):
    """Lists that differ although no updates are pending."""

    async def test_restarted_daemons_rejoin_the_fleet_at_once(self) -> None:
        """Two that know only each other are found by probes of others."""
        daemons = _Daemons(_NEVER_S)
        returned = [member(f'h{one}', incarnation=_NEW) for one in range(2)]
        gone = [member(f'h{one}', incarnation=_OLD) for one in range(2)]
        others = [member(f'h{one}') for one in range(2, 6)]
        for own in returned:
            daemons.start(own, returned)
        for own in others:
            daemons.start(own, [*gone, *others])
        await daemons.run(40 * _INTERVAL_S)
        digests = {one.digest for one in daemons.lists.values()}
        self.assertEqual(len(digests), 1)
        for members in daemons.lists.values():
            self.assertEqual(len(members.usable()), 6)

    async def test_a_dead_daemon_alone_in_its_zone_is_found(self) -> None:
        """A daemon restarts at its address after it was declared dead."""
        await self._return_from_death('a9', 'a')

    async def test_a_dead_daemon_alone_in_its_region_is_found(self) -> None:
        """Other regions probe it too."""
        await self._return_from_death('b1', 'b')

    async def test_a_dead_daemon_of_a_live_zone_is_found(self) -> None:
        """The bridges of a zone probe its dead members."""
        await self._return_from_death('a2', 'a')

    async def _return_from_death(self, zone: str, region: str) -> None:
        daemons = _Daemons(_NEVER_S)
        near = [member(f'h{one}', zone='a1') for one in range(4)]
        far = [member(f'h{one}', zone='a2') for one in range(4, 8)]
        dead = member('back', zone=zone, region=region, state=MemberState.DEAD)
        back = member('back', zone=zone, region=region, incarnation=_NEW)
        for own in (*near, *far):
            daemons.start(own, [*near, *far, dead])
        daemons.start(back, [])
        await daemons.run(40 * _INTERVAL_S)
        for members in daemons.lists.values():
            self.assertEqual(len(members.usable()), 9)

    async def test_two_groups_are_merged(self) -> None:
        """Agreement within a group does not hide the other group."""
        daemons = _Daemons(10 * _INTERVAL_S)
        fleet = [member(f'h{one}') for one in range(8)]
        gone = member('gone')
        left = member('gone', state=MemberState.LEFT)
        for number, own in enumerate(fleet):
            daemons.start(own, [*fleet, left if number % 2 else gone])
        await daemons.run(60 * _INTERVAL_S)
        for members in daemons.lists.values():
            self.assertEqual(members.get(left.host), left)

    async def test_a_newcomer_with_the_whole_list_is_not_asked(self) -> None:
        """A growing fleet does not fetch lists equal to its own."""
        daemons = _Daemons(_NEVER_S)
        fleet = [member(f'h{one}') for one in range(6)]
        newcomer = member('new')
        for own in fleet:
            daemons.start(own, fleet)
        daemons.start(newcomer, fleet)
        await daemons.run(40 * _INTERVAL_S)
        for members in daemons.lists.values():
            self.assertIsNotNone(members.get(HostId('new')))
        self.assertEqual(daemons.joins, 0)

    async def test_list_fetches_of_one_interval_are_bounded(self) -> None:
        """A daemon fetches few lists when many others restart at once."""
        daemons = _Daemons(_NEVER_S, interval_s=10)
        own = member('own')
        daemons.start(own, [])
        restarted = [member(f'h{one}') for one in range(50)]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(daemons.run, 0.2)
            await anyio.sleep(0.05)
            for sender in restarted:
                daemons.start(sender, [])
                ping = Ping(NO_VERSION, None, 1, (sender,))
                await daemons.send_request(sender.host, own.peer_address, ping)
        self.assertEqual(len(daemons.lists[own.host].usable()), 51)
        self.assertEqual(daemons.joins, 3)


class NewcomerTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that starts in a large fleet."""

    # Guards against lost requests (LOST): all others fetched the newcomer's
    # list, which saturated its link; they then reset the link while requests
    # were in flight on it.
    async def test_few_fetch_the_list_of_a_newcomer(self) -> None:
        for size in (18, 90, 200):
            with self.subTest(size=size):
                self.assertLessEqual(await self._entries_sent(size), 5 * size)

    async def _entries_sent(self, size: int) -> int:
        """Return the number of entries a newcomer sends after its probes."""
        daemons = _Daemons(_NEVER_S, interval_s=10)
        fleet = [member(f'h{one}') for one in range(size)]
        newcomer = member('new')
        for own in fleet:
            daemons.start(own, fleet)
        daemons.start(newcomer, fleet[:1])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(daemons.run, _NEVER_S)
            await anyio.sleep(0.05)
            ping = Ping(NO_VERSION, None, 1, (newcomer,))
            for own in fleet:
                await daemons.send_request(
                    newcomer.host, own.peer_address, ping
                )
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()
        for members in daemons.lists.values():
            self.assertIsNotNone(members.get(newcomer.host))
        return daemons.entries_sent[newcomer.peer_address]

    async def test_a_newcomer_gets_the_whole_list(self) -> None:
        """Also when many other daemons have requested it before."""
        daemons = _Daemons(_NEVER_S)
        fleet = [member(f'h{one}') for one in range(90)]
        daemons.start(fleet[0], fleet)
        for one in fleet[1:]:
            join = Join(one, is_newcomer=False)
            await daemons.send_request(one.host, fleet[0].peer_address, join)
        reply = await daemons.send_request(
            HostId('new'), fleet[0].peer_address, Join(member('new'))
        )
        assert isinstance(reply, MemberList)
        self.assertEqual(len(reply.members), 91)


class AntiEntropyTriggerTest(unittest.TestCase):
    """Which differences cause the fetch of a whole list."""

    def setUp(self) -> None:
        """Create a trigger that lets lists differ for 8 s."""
        self.trigger = AntiEntropyTrigger(MembershipSettings(difference_s=8))
        self.trigger.restart(0)

    def test_agreement_with_another_peer_restarts_nothing(self) -> None:
        """A lasting difference is found although other lists agree."""
        is_due = self.trigger.is_sync_due
        found = []
        for now_s in range(10):
            self.assertFalse(is_due(1, 1, now_s))
            found.append(is_due(1, 2, now_s + 0.5))
        self.assertEqual(found, [*(False,) * 9, True])

    def test_a_fetch_restarts_the_timer(self) -> None:
        """A list that stays different is fetched once in each period."""
        is_due = self.trigger.is_sync_due
        found = [now_s for now_s in range(30) if is_due(1, 2, now_s)]
        self.assertEqual(found, [9, 18, 27])

    def test_updates_in_transit_cause_no_fetch(self) -> None:
        """Short differences by new updates cause no fetch."""
        is_due = self.trigger.is_sync_due
        for now_s in range(100):
            self.assertFalse(is_due(now_s, now_s + 1, now_s))
            self.assertFalse(is_due(now_s, now_s, now_s + 0.5))

    def test_no_agreement_at_all(self) -> None:
        """A list that never agrees is fetched although all lists change."""
        is_due = self.trigger.is_sync_due
        found = [
            now_s for now_s in range(30) if is_due(now_s, 100 + now_s, now_s)
        ]
        self.assertEqual(found, [9, 18, 27])


class RestartTests(unittest.IsolatedAsyncioTestCase):
    """A daemon that restarts learns what its last process has published."""

    def setUp(self) -> None:
        """Create a peer that knows the last process of a daemon."""
        self.last = replace(member('h'), boot=1, departed=('i-1', 1000))
        self.daemons = _Daemons(_NEVER_S)
        self.daemons.start(member('peer'), [self.last])
        self.again = replace(
            member('h'), boot=2, incarnation=_NEW, service=None
        )
        self.heard: list[Member] = []

    async def _restart(self) -> None:
        self.daemons.start(self.again, ())
        restarted = self.daemons.lists[self.again.host]
        restarted.on_update_about_self = self.heard.append
        await self.daemons.gossip(self.again).join(member('peer').peer_address)

    async def test_from_the_peer_that_it_joins(self) -> None:
        """Guards against using a server again that has left."""
        await self._restart()
        self.assertIn(self.last.departed, [one.departed for one in self.heard])

    async def test_rate_limit_of_its_server(self) -> None:
        limit = ServerRateLimit(('i-1', 1000), 5.0)
        peer = self.daemons.lists[member('peer').host]
        peer.merge(
            [
                replace(
                    self.last, incarnation=2, departed=None, rate_limit=limit
                )
            ],
            1,
        )
        self.again = replace(self.again, incarnation=3)
        await self._restart()
        self.assertIn(limit, [one.rate_limit for one in self.heard])

    # A daemon restarted beside many others, and joined only such as had been
    # restarted themselves: nobody told it which server had left.
    async def test_from_a_peer_that_it_probes(self) -> None:
        self.daemons.start(self.again, [member('peer')])
        restarted = self.daemons.lists[self.again.host]
        restarted.on_update_about_self = self.heard.append
        for _ in range(3):
            await self.daemons.gossip(self.again).send_own_entry()
        departures = [one.departed for one in self.heard if one.departed]
        self.assertEqual(departures, [self.last.departed])

    async def test_from_a_peer_that_probes_it(self) -> None:
        self.daemons.start(self.again, [member('peer')])
        restarted = self.daemons.lists[self.again.host]
        restarted.on_update_about_self = self.heard.append
        peer = self.daemons.lists[member('peer').host]
        peer.merge([self.again], 1)
        for _ in range(3):
            await self.daemons.gossip(member('peer')).send_own_entry()
        departures = [one.departed for one in self.heard if one.departed]
        self.assertEqual(departures, [self.last.departed])

    # A process that was told nothing hid what its predecessor had published.
    async def test_after_a_process_that_knew_only_a_limit(self) -> None:
        peer = self.daemons.lists[member('peer').host]
        limit = ServerRateLimit(('i-2', 2000), 5.0)
        peer.merge([replace(self.again, rate_limit=limit)], 1)
        self.again = replace(self.again, boot=3, incarnation=_NEW + 1)
        await self._restart()
        self.assertIn(self.last.departed, [one.departed for one in self.heard])

    async def test_from_a_peer_that_has_its_new_entry(self) -> None:
        peer = self.daemons.lists[member('peer').host]
        peer.merge([self.again], 1)
        peer.merge([replace(self.again, boot=3, incarnation=3)], 2)
        await self._restart()
        self.assertIn(self.last.departed, [one.departed for one in self.heard])
