"""Tests of the discovery of daemons through the platform's table."""

import random
import unittest

import anyio
import msgspec

from ragwortstand.events import Event
from ragwortstand.ids import HostId, PeerAddress
from ragwortstand.peers.member_discovery import MemberDiscovery
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member, MemberState
from ragwortstand.settings import MembershipSettings
from ragwortstand.storage import EntryPoint
from ragwortstand.storage.table import Transaction, Write
from ragwortstand.tools.standin_platform import Table
from tests.fakes import FakePlatform, ListLog, member


class _Gossip:
    """Records which daemons are joined."""

    def __init__(self, members: Members) -> None:
        self._members = members
        self.joined: list[PeerAddress] = []
        self.fleet: list[Member] = []
        self.is_down = False

    async def join(self, address: PeerAddress) -> bool:
        self.joined.append(address)
        if not self.is_down:
            # A joined daemon replies with all members that it knows.
            self._members.merge(self.fleet, 0.0)
        return not self.is_down


class _Base(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        """Create a daemon that knows no other."""
        self.platform = FakePlatform()
        self.log = ListLog()
        own = member('own')
        self.members = Members(own, MembershipSettings(), 0.0)
        self.gossip = _Gossip(self.members)
        self.seeds: tuple[PeerAddress, ...] = ()

    async def _run(self, seconds: float = 0.6) -> None:
        self.discovery = MemberDiscovery(
            self.members,
            self.gossip,  # type: ignore[arg-type]
            self.platform,
            'c',
            self.seeds,
            self.log,
            random.Random(1),
        )
        with anyio.move_on_after(seconds):
            await self.discovery.run()

    def _put(self, name: str, text: str | None = None) -> None:
        found = member(name)
        self.gossip.fleet.append(found)
        row = EntryPoint('c', found.host, found.peer_address, 0.0)
        content = text or msgspec.json.encode(row).decode()
        write = Write(f'member/c/{name}', content)
        self.platform.table.transact(Transaction((), (write,)))

    def _hosts(self) -> list[str]:
        rows = self.platform.table.scan('member/c/', 100)
        return [row.key.rpartition('/')[2] for row in rows]


class StartTests(_Base):
    """A daemon that starts."""

    async def test_writes_its_row_and_joins_the_others(self) -> None:
        self._put('b')
        await self._run()
        self.assertEqual(self._hosts(), ['b', 'own'])
        self.assertEqual(self.gossip.joined, [member('b').peer_address])

    async def test_joins_members_of_existing_rows_at_once(self) -> None:
        """It does not wait before it joins running daemons."""
        self._put('b')
        await self._run(0.1)
        self.assertEqual(self.gossip.joined, [member('b').peer_address])

    async def test_reads_again_for_daemons_that_start_together(self) -> None:
        """After a power failure, no daemon of the rows replies at first."""
        self._put('b')
        self.gossip.is_down = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run)
            await anyio.sleep(0.2)
            self.gossip.is_down = False
        self.assertEqual(len(self.members.peers()), 1)

    async def test_joins_a_few_of_many(self) -> None:
        for number in range(30):
            self._put(f'h{number}')
        await self._run()
        self.assertEqual(len(self.gossip.joined), 4)

    async def test_rows_that_cannot_be_decoded_are_logged(self) -> None:
        self._put('b')
        self._put('c', 'not json')
        await self._run()
        self.assertEqual(self.gossip.joined, [member('b').peer_address])
        self.assertIn(Event.ROW_REFUSED, self.log.events)

    async def test_joins_seeds_while_the_store_is_unavailable(self) -> None:
        self.platform.is_unavailable = True
        self.seeds = (PeerAddress('tcp://seed:1'),)
        await self._run()
        self.assertEqual(self.gossip.joined, ['tcp://seed:1'])
        self.assertIn(Event.PLATFORM_OUTAGE, self.log.events)

    async def test_row_is_written_when_the_store_is_available_again(
        self,
    ) -> None:
        self.platform.is_unavailable = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run, 2.0)
            await anyio.sleep(0.5)
            self.platform.is_unavailable = False
        self.assertEqual(self._hosts(), ['own'])


class KeeperTests(_Base):
    """A member that maintains the rows."""

    async def test_restores_rows_that_were_lost(self) -> None:
        self.members.merge([member('b')], 0.0)
        await self._run()
        self.assertEqual(self._hosts(), ['b', 'own'])

    async def test_departed_members_need_no_row(self) -> None:
        gone = member('b', state=MemberState.LEFT)
        self.members.merge([gone], 0.0)
        await self._run()
        self.assertEqual(self._hosts(), ['own'])

    async def test_address_of_a_host_that_changed_is_joined(self) -> None:
        self.members.merge([member('b')], 0.0)
        row = EntryPoint('c', HostId('b'), PeerAddress('tcp://b:2'), 0.0)
        self._put('b', msgspec.json.encode(row).decode())
        moved = msgspec.structs.replace(
            member('b', incarnation=2), peer_address=row.peer_address
        )
        self.gossip.fleet = [moved]
        await self._run()
        self.assertEqual(self.gossip.joined, ['tcp://b:2'])


class RestoredTableTests(_Base):
    """The table returns from a copy without the rows of the last seconds."""

    async def test_lost_rows_are_written_again_at_once(self) -> None:
        """Guards against newcomers that find no other daemon for 15 s."""
        others = [member(f'h{number}') for number in range(40)]
        self.members.merge(others, 0.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run, 2.0)
            await anyio.sleep(0.6)
            self.platform.table = Table()
            self.discovery.check_rows()
            await anyio.sleep(0.5)
            found = len(self._hosts())
            tasks.cancel_scope.cancel()
        self.assertEqual(found, 41)
