"""Tests of how versions are polled and fetched."""

import random
import unittest

import anyio
from msgspec.structs import replace

from ragwortstand.exceptions import PeerError
from ragwortstand.ids import (
    HostId,
    PeerAddress,
    Version,
)
from ragwortstand.metrics import Metrics
from ragwortstand.models import digest_of
from ragwortstand.peers.deltas import decompress
from ragwortstand.peers.distribution import Distributor, store_readers
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    Done,
    FetchVersion,
    MemberState,
    NotHeld,
    Reply,
    Request,
    VersionContent,
)
from ragwortstand.peers.version_sources import DistributionPolicy
from ragwortstand.settings import MembershipSettings
from ragwortstand.tools.model import run_in_virtual_time
from ragwortstand.verdicts import Verdict
from ragwortstand.versions import OfferResult, VersionGate
from tests.fakes import (
    CONTENT,
    MESH,
    FakeVersionSource,
    ListLog,
    member,
)

_POLICY = DistributionPolicy(is_flat=True, join_wait_s=0)


class _NoLinks:
    """Links over which no peer is reachable."""

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        raise PeerError('cut off', Verdict.NOT_RUN)

    def close_link(self, address: PeerAddress) -> None:
        """Do nothing, as there are no links."""


class CutOffDaemonTests(unittest.TestCase):
    """A daemon that is no reader and is partitioned from all others."""

    def setUp(self) -> None:
        """Create two readers that reach the store better."""
        self.store = FakeVersionSource()
        self.gate = VersionGate()
        own = replace(member('own'), store_reach=1)
        self.members = Members(own, MembershipSettings(), 0.0)
        readers = [replace(member(name), store_reach=2) for name in 'ab']
        self.members.merge(readers, 0.0)

    async def _follow(self, contact_until_s: float, until_s: float) -> None:
        """Run; another member is in contact every second up to a time."""
        distributor = Distributor(
            self.gate,
            self.store,
            self.members,
            _NoLinks(),
            _POLICY,
            Metrics(),
            ListLog(),
            random.Random(1),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(distributor.run)
            await anyio.sleep(0.1)
            self.store.version = Version(2)
            while anyio.current_time() < until_s:
                now_s = anyio.current_time()
                if now_s < contact_until_s:
                    self.members.confirm_alive(HostId('a'), now_s)
                await anyio.sleep(1)
            tasks.cancel_scope.cancel()

    def test_reads_for_itself_within_two_seconds(self) -> None:
        """The store is all that it reaches."""
        run_in_virtual_time(lambda: self._follow(0.0, 2.0))
        self.assertEqual(self.gate.version, Version(2))

    # Six of 90 daemons were cut off from the others and heard each other: none
    # of them took itself for isolated, and a version came 3.02 s late.
    def test_reads_for_itself_beside_others_that_are_cut_off(self) -> None:
        """The readers are suspected, and another daemon is in contact."""
        self.members.merge([replace(member('c'), store_reach=1)], 0.0)

        async def probe() -> None:
            await anyio.sleep(1)
            for name in 'ab':
                self.members.suspect(HostId(name), anyio.current_time())
            for _ in range(3):
                now_s = anyio.current_time()
                self.members.confirm_alive(HostId('c'), now_s)
                await anyio.sleep(1)

        async def play() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow, 0.0, 3.0)
                tasks.start_soon(probe)

        run_in_virtual_time(play)
        self.assertEqual(self.gate.version, Version(2))

    def test_leaves_reading_to_the_readers_while_in_contact(self) -> None:
        """Each read of the store is billed."""
        run_in_virtual_time(lambda: self._follow(60.0, 60.0))
        self.assertEqual(self.store.reads, 1)
        self.assertEqual(self.gate.version, Version(1))


class StoreReadersTests(unittest.TestCase):
    """Members that read the store for all."""

    def setUp(self) -> None:
        """Create four members that reach the store alike."""
        self.members = Members(member('own'), MembershipSettings(), 0.0)
        self.members.merge([member(name) for name in 'abc'], 0.0)

    def test_suspected_readers_are_replaced_at_once(self) -> None:
        """The loss of both readers would hold up a version for seconds."""
        own = self.members.own
        first = [one for one in store_readers(self.members) if one != own]
        self.assertTrue(first)
        for reader in first:
            self.members.suspect(reader.host, 0.0)
        second = store_readers(self.members)
        self.assertEqual(len(second), 2)
        second_hosts = {reader.host for reader in second}
        self.assertFalse(second_hosts & {reader.host for reader in first})

    def test_suspected_members_read_if_there_are_no_others(self) -> None:
        self.members.update_own(state=MemberState.LEFT)
        for name in 'abc':
            self.members.suspect(HostId(name), 0.0)
        self.assertEqual(len(store_readers(self.members)), 2)

    def test_last_member_leaves(self) -> None:
        members = Members(member('own'), MembershipSettings(), 0.0)
        members.update_own(state=MemberState.LEFT)
        self.assertEqual(store_readers(members), [])


class FetchTests(unittest.TestCase):
    """Replies to peers that fetch a version."""

    def setUp(self) -> None:
        """Apply two versions."""
        self.gate = VersionGate()
        members = Members(member('own'), MembershipSettings(), 0.0)
        self.distributor = Distributor(
            self.gate,
            FakeVersionSource(),
            members,
            _NoLinks(),
            _POLICY,
            Metrics(),
            ListLog(),
            random.Random(1),
        )
        for number in (1, 2):
            self._accept(number)

    def _accept(self, number: int) -> None:
        route = MESH.routes[0].model_copy(update={'deadline_s': number})
        mesh = MESH.model_copy(update={'routes': (route,)})
        content = mesh.to_json().encode()
        self.assertIs(
            self.gate.offer(Version(number), digest_of(content), content),
            OfferResult.APPLIED,
        )

    def _fetched(self, wanted: int, held: int) -> VersionContent:
        """Return the reply to a peer, after a check of its content."""
        request = FetchVersion(Version(wanted), Version(held))
        reply = self.distributor.on_fetch(request)
        assert isinstance(reply, VersionContent)
        base = self.gate.content(reply.base) or b''
        content = decompress(reply.payload, base)
        self.assertEqual(digest_of(content), reply.digest)
        self.assertEqual(reply.version, self.gate.version)
        return reply

    def test_peers_that_hold_the_same_get_the_same_bytes(self) -> None:
        first = self._fetched(2, held=1)
        self.assertEqual(first.base, 1)
        self.assertIs(self._fetched(2, held=1).payload, first.payload)

    def test_peers_that_hold_others_get_their_own(self) -> None:
        whole = self._fetched(2, held=0)
        self.assertEqual(whole.base, 0)
        self.assertEqual(self._fetched(2, held=1).base, 1)
        # An unknown version is no base.
        self.assertIs(self._fetched(2, held=9).payload, whole.payload)

    def test_a_newer_version_clears_the_cached_payloads(self) -> None:
        self._fetched(2, held=1)
        self._accept(3)
        for held in (0, 1, 2):
            self.assertEqual(self._fetched(2, held=held).base, held)
        request = FetchVersion(Version(4), Version(3))
        self.assertIsInstance(self.distributor.on_fetch(request), NotHeld)


class _SilentPeerLinks(_NoLinks):
    """Links over which peer `a` never replies, and the others do at once."""

    def __init__(self, holder: Distributor) -> None:
        self._holder = holder

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        if address == member('a').peer_address:
            await anyio.sleep(timeout_s)
            raise PeerError('no reply', Verdict.MAY_HAVE_RUN)
        if not isinstance(request, FetchVersion):
            return Done()
        return self._holder.on_fetch(request)


class OfferTests(unittest.TestCase):
    """A version that several peers offer."""

    def setUp(self) -> None:
        """Create a peer that has version 2."""
        self.holder_gate = VersionGate()
        self.holder = self._distributor(self.holder_gate, _NoLinks())
        self.holder_gate.offer(Version(2), digest_of(CONTENT), CONTENT)
        self.gate = VersionGate()

    def _distributor(self, gate: VersionGate, links: _NoLinks) -> Distributor:
        members = Members(member('own'), MembershipSettings(), 0.0)
        members.merge([member('a'), member('b')], 0.0)
        return Distributor(
            gate,
            FakeVersionSource(),
            members,
            links,
            _POLICY,
            Metrics(),
            ListLog(),
            random.Random(1),
        )

    # A daemon whose first offer came from a host that fell silent ignored the
    # offers of all others until that request had timed out.
    def test_silent_peer_does_not_hold_up_the_offers_of_others(self) -> None:
        async def play() -> None:
            links = _SilentPeerLinks(self.holder)
            distributor = self._distributor(self.gate, links)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(distributor.run)
                await anyio.sleep(0.1)
                for name in ('a', 'b'):
                    address = member(name).peer_address
                    distributor.on_peer_version(Version(2), address)
                    await anyio.sleep(0.05)
                # Versions have to be in force 2 s after their acceptance.
                await anyio.sleep(1.5)
                self.assertEqual(self.gate.version, Version(2))
                tasks.cancel_scope.cancel()

        run_in_virtual_time(play)
