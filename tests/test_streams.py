"""Tests of the TCP links between daemons and of forwarded work."""

import asyncio
import struct
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from unittest import mock

import anyio
from msgspec.structs import replace

from ragwortstand import clock
from ragwortstand.backend_servers import Load
from ragwortstand.calls import Call
from ragwortstand.events import Event
from ragwortstand.exceptions import PeerError, PeerGoneError
from ragwortstand.ids import HostId, PeerAddress, RequestId, Version
from ragwortstand.metrics import Metrics
from ragwortstand.peers.forwarding import ForwardedWork, Forwarder
from ragwortstand.peers.frames import FrameProtocol
from ragwortstand.peers.messages import (
    Applied,
    AskApplied,
    CancelWork,
    Done,
    Member,
    Reply,
    Request,
    Work,
    WorkDone,
    work_done,
)
from ragwortstand.peers.stream_listener import StreamListener
from ragwortstand.peers.streams import StreamLinks
from ragwortstand.peers.transit_time import TransitTimes
from ragwortstand.sockets import bind, port_of
from ragwortstand.tools.model import run_in_virtual_time
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)
from tests.fakes import ListLog, member
from tests.forwarded import new_call, new_work
from tests.platform_fleet import free_ports

_LIMIT_BYTES = 100_000
_MEBIBYTE = 1024 * 1024
_READ_BYTES = 65_536
_BOOT = 7
# More than fits into the buffers of a connection.
_LARGE_BYTES = 8 * 1024 * 1024
# Connecting to a busy test process may take longer than a peer is allowed.
_CONNECT_TIMEOUT_S = 3.0


class _Runner:
    """Records requests, and responds after a delay."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.remaining_s: dict[str, float] = {}
        self.cancelled = 0
        self.delay_s = 0.0

    async def run(self, call: Call) -> Outcome:
        self.ran.append(call.request_id)
        self.remaining_s[call.request_id] = call.remaining_s(clock.now_s())
        call.is_dispatched = True
        try:
            await anyio.sleep(self.delay_s)
        except BaseException:
            self.cancelled += 1
            raise
        return Answered(200, (), call.body)


class _Peer:
    """A daemon that runs forwarded work."""

    def __init__(self) -> None:
        self.log = ListLog()
        self.runner = _Runner()
        self.boot = _BOOT
        self.is_leaving = False
        self.before: Callable[[Request], Awaitable[None]] | None = None
        self.work = self._new_work()
        self.listener = StreamListener('c', _LIMIT_BYTES, Metrics(), self.log)
        self.socket = bind('127.0.0.1', 0)
        self.socket.listen()
        self.address = PeerAddress(f'tcp://127.0.0.1:{port_of(self.socket)}')

    def restart(self) -> None:
        self.boot += 1
        self.work = self._new_work()

    async def handle(self, sender: HostId, request: Request) -> Reply:
        if self.before:
            await self.before(request)
        match request:
            case Work():
                return await self.work.run(request)
            case CancelWork():
                return self.work.cancel(request)
            case AskApplied():
                return Applied(Version(3))
        return Done()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for accepted in tuple(self.listener.connections):
            accepted.abort()

    def stop_reading(self) -> None:
        """Stop reading from all connections, as during a network failure."""
        for accepted in self.listener.connections:
            assert accepted.transport
            accepted.transport.pause_reading()

    def continue_reading(self) -> None:
        """Resume reading from all connections."""
        for accepted in self.listener.connections:
            assert accepted.transport
            accepted.transport.resume_reading()

    def member(self) -> Member:
        return replace(member('b'), peer_address=self.address, boot=_BOOT)

    def _new_work(self) -> ForwardedWork:
        return ForwardedWork(
            self.runner,
            lambda now_s: Load(4, 1, 0),
            lambda: None,
            lambda: self.is_leaving,
            self.boot,
            self.log,
        )


def _lookup(name: str) -> Work:
    return new_work(name, is_idempotent=True)


async def _fail_request(request: Request) -> None:
    """Fail a request before it reaches running work."""
    raise RuntimeError('no')


class _FlakyLinks:
    """Links that fail with some errors and then reply."""

    def __init__(self, *errors: PeerError) -> None:
        self._errors = list(errors)
        self.resent: list[bool] = []

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        assert isinstance(request, Work)
        self.resent.append(request.is_resent)
        if self._errors:
            raise self._errors.pop(0)
        return work_done(Answered(200, (), request.body), 0)

    def close_link(self, address: PeerAddress) -> None:
        """Do nothing, as there are no connections."""


class _Fixture:
    def __init__(self) -> None:
        self.peer = _Peer()
        self.log = ListLog()
        self.links = StreamLinks(
            'c',
            HostId('a'),
            Metrics(),
            self.log,
            _LIMIT_BYTES,
            lambda address: 'zone',
            _CONNECT_TIMEOUT_S,
        )
        self.forwarder = Forwarder(self.links)

    async def forward(
        self,
        name: str,
        budget_s: float = 2.0,
        *,
        is_idempotent: bool = False,
    ) -> Outcome:
        call = new_call(name, budget_s, is_idempotent=is_idempotent)
        attempt = await self.forwarder.forward(call, self.peer.member())
        return attempt.outcome


@asynccontextmanager
async def _fixture() -> AsyncIterator[_Fixture]:
    fixture = _Fixture()
    async with anyio.create_task_group() as tasks:
        fixture.forwarder.start(tasks)
        tasks.start_soon(
            fixture.peer.listener.serve,
            fixture.peer.socket,
            fixture.peer.handle,
        )
        tasks.start_soon(fixture.links.run)
        yield fixture
        fixture.links.close()
        tasks.cancel_scope.cancel()


class LinkTests(unittest.IsolatedAsyncioTestCase):
    """Requests and replies over one link."""

    async def test_many_requests_share_a_link(self) -> None:
        async with _fixture() as fixture:
            replies: list[Reply] = []

            async def send_request() -> None:
                address = fixture.peer.address
                replies.append(
                    await fixture.links.send_request(address, AskApplied(), 1)
                )

            async with anyio.create_task_group() as asking:
                for _ in range(50):
                    asking.start_soon(send_request)
            self.assertEqual(replies, [Applied(Version(3))] * 50)

    async def test_nobody_listens(self) -> None:
        async with _fixture() as fixture:
            listener = bind('127.0.0.1', 0)
            port = port_of(listener)
            listener.close()
            address = PeerAddress(f'tcp://127.0.0.1:{port}')
            for _ in range(2):
                with self.assertRaises(PeerError) as caught:
                    await fixture.links.send_request(address, AskApplied(), 1)
                self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    async def test_other_cluster_is_refused(self) -> None:
        async with _fixture() as fixture:
            stranger = StreamLinks(
                'other',
                HostId('x'),
                Metrics(),
                ListLog(),
                _LIMIT_BYTES,
                lambda address: 'zone',
            )
            with self.assertRaises(PeerError):
                await stranger.send_request(
                    fixture.peer.address, AskApplied(), 1
                )
            self.assertIn(Event.PEER_MESSAGE_REFUSED, fixture.peer.log.events)
            stranger.close()

    async def test_late_reply_is_an_open_outcome(self) -> None:
        async with _fixture() as fixture:
            fixture.peer.runner.delay_s = 1
            outcome = await fixture.forward('late', budget_s=0.1)
            self.assertEqual(outcome, Unknown(Cause.DEADLINE))

    async def test_closing_a_lost_link_is_harmless(self) -> None:
        async with _fixture() as fixture:
            await fixture.links.send_request(
                fixture.peer.address, AskApplied(), 1
            )
            fixture.peer.reset_connections()
            await anyio.sleep(0.05)
            fixture.links.close()


class DialTests(unittest.IsolatedAsyncioTestCase):
    """Requests to a peer that can't be reached."""

    # Guards against requests that each wait for the failed dials of all
    # requests before them.
    async def test_requests_that_wait_for_a_dial_share_its_failure(
        self,
    ) -> None:
        dials = 0

        async def dial(
            links: StreamLinks, address: PeerAddress, timeout_s: float
        ) -> None:
            nonlocal dials
            dials += 1
            await anyio.sleep(0.1)
            raise TimeoutError

        async with _fixture() as fixture:
            send_request = fixture.links.send_request(
                fixture.peer.address, AskApplied(), 1
            )
            again = fixture.links.send_request(
                fixture.peer.address, AskApplied(), 1
            )
            with mock.patch.object(StreamLinks, '_dial', dial):
                found = await asyncio.gather(
                    send_request, again, return_exceptions=True
                )
        self.assertEqual([type(one) for one in found], [PeerError] * 2)
        self.assertEqual(dials, 1)

    async def test_resent_work_does_not_wait_for_the_dials_of_others(
        self,
    ) -> None:
        """Resent work dials at once; its dials must not add up."""

        async def dial(
            links: StreamLinks, address: PeerAddress, timeout_s: float
        ) -> None:
            with anyio.fail_after(timeout_s):
                await anyio.sleep_forever()

        async with _fixture() as fixture:
            started_s = clock.now_s()
            with mock.patch.object(StreamLinks, '_dial', dial):
                found = await asyncio.gather(
                    *[
                        fixture.links.send_request(
                            fixture.peer.address,
                            new_work(f'{number}', is_resent=True),
                            0.2,
                        )
                        for number in range(10)
                    ],
                    return_exceptions=True,
                )
            self.assertLess(clock.now_s() - started_s, 1.0)
        for one in found:
            self.assertIsInstance(one, PeerError)
            self.assertIs(one.verdict, Verdict.NOT_RUN)

    async def test_departed_peers_leave_nothing(self) -> None:
        """Addresses of hosts that are gone are not stored for ever."""
        async with _fixture() as fixture:
            for port in free_ports(5):
                address = PeerAddress(f'tcp://127.0.0.1:{port}')
                with self.assertRaises(PeerError):
                    await fixture.links.send_request(address, AskApplied(), 1)
                fixture.links.close_link(address)
            self.assertEqual(fixture.links._dial_locks, {})
            self.assertEqual(fixture.links._no_dial_until_s, {})


class LostLinkTests(unittest.IsolatedAsyncioTestCase):
    """Work whose link is lost by a reset."""

    async def _forward_and_lose_link(
        self, name: str, lose_link
    ) -> tuple[Outcome, list[str]]:
        """Forward work, and fail its first link with `lose_link`."""
        async with _fixture() as fixture:

            async def before(request: Request) -> None:
                if isinstance(request, Work) and not request.is_resent:
                    await lose_link(fixture.peer, request)

            fixture.peer.before = before
            outcome = await fixture.forward(name)
            return outcome, fixture.peer.runner.ran

    async def test_answer_is_fetched_over_a_new_link(self) -> None:
        async def lose_link(peer: _Peer, request: Work) -> None:
            peer.runner.delay_s = 0.2
            asyncio.get_running_loop().call_later(0.05, peer.reset_connections)

        outcome, ran = await self._forward_and_lose_link('once', lose_link)
        self.assertEqual(outcome, Answered(200, (), b'body'))
        self.assertEqual(ran, ['once'])

    async def test_work_that_ended_meanwhile_is_not_run_again(self) -> None:
        async def lose_link(peer: _Peer, request: Work) -> None:
            await peer.work.run(request)
            peer.reset_connections()

        outcome, ran = await self._forward_and_lose_link('ended', lose_link)
        self.assertEqual(outcome, Answered(200, (), b'body'))
        self.assertEqual(ran, ['ended'])

    async def test_restarted_peer_does_not_run_it(self) -> None:
        async def lose_link(peer: _Peer, request: Work) -> None:
            peer.restart()
            peer.reset_connections()
            await anyio.sleep(1)

        outcome, ran = await self._forward_and_lose_link('restarted', lose_link)
        self.assertEqual(outcome, Unknown(Cause.PEER_UNREACHABLE))
        self.assertEqual(ran, [])

    # Guards against lost requests: work was given up when the first attempt to
    # open a new link to a running peer failed.
    async def test_answer_is_fetched_when_a_new_link_takes_a_while(
        self,
    ) -> None:
        links = _FlakyLinks(
            PeerError('link lost', Verdict.MAY_HAVE_RUN),
            PeerError('no link in time', Verdict.NOT_RUN),
            PeerError('no link in time', Verdict.NOT_RUN),
            PeerError('no link in time', Verdict.NOT_RUN),
        )
        attempt = await Forwarder(links).forward(
            new_call('kept', budget_s=3), replace(member('b'), boot=_BOOT)
        )
        self.assertEqual(attempt.outcome, Answered(200, (), b'body'))
        self.assertEqual(links.resent, [False, True, True, True, True])

    async def test_work_of_a_terminated_process_is_not_resent(self) -> None:
        links = _FlakyLinks(
            PeerError('link lost', Verdict.MAY_HAVE_RUN),
            PeerGoneError('connection refused'),
        )
        started_s = clock.now_s()
        attempt = await Forwarder(links).forward(
            new_call('gone', budget_s=3), replace(member('b'), boot=_BOOT)
        )
        self.assertEqual(attempt.outcome, Unknown(Cause.PEER_UNREACHABLE))
        self.assertLess(clock.now_s() - started_s, 1)

    # Guards against lost requests: non-idempotent work was cancelled because a
    # link was reset.
    async def test_work_that_may_not_be_repeated_outlives_its_link(
        self,
    ) -> None:
        async with _fixture() as fixture:
            fixture.peer.runner.delay_s = 30
            pending = asyncio.create_task(
                fixture.forward('filing', budget_s=60)
            )
            while not fixture.peer.runner.ran:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            fixture.peer.reset_connections()
            fixture.peer.before = _fail_request
            await anyio.sleep(0.6)
            self.assertEqual(fixture.peer.runner.cancelled, 0)
            self.assertEqual(fixture.peer.work.in_flight, 1)
            pending.cancel()

    async def test_orphaned_work_is_cancelled_within_half_a_second(
        self,
    ) -> None:
        async with _fixture() as fixture:
            fixture.peer.runner.delay_s = 5
            with anyio.move_on_after(0.1):
                await fixture.forward('orphan', budget_s=5, is_idempotent=True)
            fixture.links.close()
            await anyio.sleep(0.45)
            self.assertEqual(fixture.peer.runner.cancelled, 1)

    async def test_caller_that_leaves_cancels_the_work(self) -> None:
        async with _fixture() as fixture:
            fixture.peer.runner.delay_s = 5
            with anyio.move_on_after(0.1):
                await fixture.forward('left', budget_s=5)
            await anyio.sleep(0.1)
            self.assertEqual(fixture.peer.runner.cancelled, 1)

    async def test_work_that_comes_with_its_cancellation_never_runs(
        self,
    ) -> None:
        peer = _Peer()
        work = _lookup('late')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer.handle, HostId('a'), work)
            tasks.start_soon(
                peer.handle, HostId('a'), CancelWork(RequestId('late'))
            )
        self.assertEqual(peer.runner.ran, [])

    async def test_leaving_peer_refuses_new_work(self) -> None:
        async with _fixture() as fixture:
            fixture.peer.is_leaving = True
            outcome = await fixture.forward('refused')
            self.assertEqual(outcome, Refused(Cause.LEAVING))


class StoppedListenerTests(unittest.IsolatedAsyncioTestCase):
    """A listener that stops right after it has sent a reply."""

    # Guards against lost requests: a stop reset links while replies were being
    # sent.
    async def test_reply_in_transmission_is_delivered(self) -> None:
        listener = StreamListener('c', _LARGE_BYTES * 2, Metrics(), ListLog())
        socket = bind('127.0.0.1', 0)
        socket.listen()
        links = StreamLinks(
            'c',
            HostId('a'),
            Metrics(),
            ListLog(),
            _LARGE_BYTES * 2,
            lambda address: 'zone',
            _CONNECT_TIMEOUT_S,
        )
        address = PeerAddress(f'tcp://127.0.0.1:{port_of(socket)}')
        scope = anyio.CancelScope()

        async def handle(sender: HostId, request: Request) -> Reply:
            asyncio.get_running_loop().call_later(0.001, scope.cancel)
            answered = Answered(200, (), b'x' * _LARGE_BYTES)
            return work_done(answered, 0)

        async def serve() -> None:
            with scope:
                await listener.serve(socket, handle)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            reply = await links.send_request(address, _lookup('w'), timeout_s=3)
            links.close()
        self.assertIsInstance(reply, WorkDone)


class PausedPeerTests(unittest.IsolatedAsyncioTestCase):
    """A daemon that is paused while work for it arrives."""

    # Guards against work that runs after its caller has left: the time that was
    # left on sending was given to work that had lain unread for a second.
    async def test_work_that_lay_unread_for_too_long_does_not_run(self) -> None:
        async with _fixture() as fixture:
            await fixture.forward('before')
            fixture.peer.stop_reading()
            outcome = await fixture.forward('late', budget_s=0.25)
            self.assertEqual(outcome, Unknown(Cause.DEADLINE))
            fixture.peer.continue_reading()
            await fixture.forward('after')
            self.assertEqual(fixture.peer.runner.ran, ['before', 'after'])

    async def test_work_is_given_what_is_left_of_its_time(self) -> None:
        async with _fixture() as fixture:
            # The first work waits for the connection too; the fastest counts.
            for number in range(5):
                await fixture.forward(f'before-{number}')
            fixture.peer.stop_reading()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.forward, 'late')
                await anyio.wait_all_tasks_blocked()
                await anyio.sleep(0.25)
                fixture.peer.continue_reading()
            self.assertLess(fixture.peer.runner.remaining_s['late'], 1.8)
            self.assertGreater(fixture.peer.runner.remaining_s['late'], 1.0)


class TransitTimesTests(unittest.TestCase):
    """The time on the way, between clocks that differ by an hour."""

    def setUp(self) -> None:
        """Create an object that has seen work without a delay."""
        self.transit_times = TransitTimes()
        self._deduct(100, 0.012)

    def _deduct(self, sent_at_s: float, taken_s: float) -> Work:
        work = replace(_lookup('w'), sent_at_s=sent_at_s, goal_s=0.5)
        return self.transit_times.deduct(work, 3600 + sent_at_s + taken_s)

    def test_usual_time_is_not_deducted(self) -> None:
        for sent_at_s in range(101, 200):
            work = self._deduct(sent_at_s, 0.012)
            self.assertAlmostEqual(work.remaining_s, 5.0)

    def test_delay_is_deducted_from_the_objective_too(self) -> None:
        work = self._deduct(101, 1.012)
        self.assertAlmostEqual(work.remaining_s, 4.0)
        self.assertAlmostEqual(work.goal_s or 0, -0.5)

    def test_longer_way_becomes_usual(self) -> None:
        for sent_at_s in range(101, 130):
            work = self._deduct(sent_at_s, 0.2)
        self.assertAlmostEqual(work.remaining_s, 5.0)

    def test_sender_that_does_not_say_it(self) -> None:
        self.assertEqual(
            self.transit_times.deduct(_lookup('w'), 5.0), _lookup('w')
        )


class OutcomeRetentionTests(unittest.TestCase):
    """How long a daemon keeps the outcomes of forwarded work."""

    def _ran_after(self, pause_s: float) -> list[str]:
        """Send work, other work after a pause, and resend the first."""

        async def scenario() -> list[str]:
            peer = _Peer()
            await peer.handle(HostId('a'), _lookup('kept'))
            await anyio.sleep(pause_s)
            await peer.handle(HostId('a'), _lookup('other'))
            await peer.handle(HostId('a'), _lookup('kept'))
            peer.socket.close()
            self.assertEqual(peer.work.in_flight, 0)
            return peer.runner.ran

        return run_in_virtual_time(scenario)

    def test_a_copy_within_seconds_gets_the_outcome(self) -> None:
        """Outcomes are kept for resent copies of the work."""
        self.assertEqual(self._ran_after(4.0), ['kept', 'other'])

    def test_outcomes_do_not_pile_up(self) -> None:
        """Old outcomes are dropped, as senders do not resend that late."""
        self.assertEqual(self._ran_after(6.0), ['kept', 'other', 'kept'])

    def test_large_outcomes_do_not_fill_the_memory(self) -> None:
        """Of idempotent work as many bytes are kept as a host can hold."""

        async def scenario() -> tuple[int, list[str]]:
            peer = _Peer()
            filing = replace(new_work('filing'), body=bytes(_MEBIBYTE))
            await peer.work.run(filing)
            for number in range(100):
                lookup = replace(
                    _lookup(f'{number}'), body=bytes(_MEBIBYTE // 2)
                )
                await peer.work.run(lookup)
                await asyncio.sleep(0)
            kept = [
                run.result.result()
                for runs in peer.work._runs.values()
                for run in runs.values()
            ]
            await peer.work.run(replace(filing, is_resent=True))
            peer.socket.close()
            return sum(len(one.body) for one in kept), peer.runner.ran

        kept_bytes, ran = run_in_virtual_time(scenario)
        self.assertLessEqual(kept_bytes, 17 * _MEBIBYTE)
        self.assertGreaterEqual(kept_bytes, 16 * _MEBIBYTE)
        self.assertEqual(ran.count('filing'), 1)

    def test_cancellation_ends_no_other_request(self) -> None:
        """A cancellation applies to the request that it names only."""

        async def scenario() -> None:
            peer = _Peer()
            peer.runner.delay_s = 1.0
            async with anyio.create_task_group() as tasks:
                for name in ('left', 'stays'):
                    tasks.start_soon(
                        peer.handle,
                        HostId('a'),
                        _lookup(name),
                    )
                await anyio.sleep(0.5)
                peer.work.cancel(CancelWork(RequestId('left')))
                await anyio.sleep(0.1)
                self.assertEqual(peer.runner.cancelled, 1)
                self.assertEqual(peer.work.in_flight, 1)
            peer.socket.close()

        run_in_virtual_time(scenario)


class SilentLinkTests(unittest.IsolatedAsyncioTestCase):
    """Work whose link fails without a reset."""

    async def test_no_work_is_sent_over_a_silent_link(self) -> None:
        """It is refused as not run at once, so it can be sent elsewhere."""
        async with _fixture() as fixture:
            await fixture.links.send_request(
                fixture.peer.address, AskApplied(), 1
            )
            fixture.peer.stop_reading()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.forward, 'first')
                await anyio.sleep(0.75)
                self.assertIn(Event.LINK_SILENT, fixture.log.events)
                started_s = clock.now_s()
                outcome = await fixture.forward('second')
                self.assertEqual(outcome, Refused(Cause.PEER_UNREACHABLE))
                self.assertLess(clock.now_s() - started_s, 0.1)
                tasks.cancel_scope.cancel()

    async def test_replies_to_earlier_work_do_not_hide_a_one_way_cut(
        self,
    ) -> None:
        """Only the reply to a heartbeat shows that requests still arrive."""
        async with _fixture() as fixture:
            fixture.peer.runner.delay_s = 0.6
            async with anyio.create_task_group() as tasks:
                for number in range(6):
                    tasks.start_soon(fixture.forward, f'earlier {number}')
                    await anyio.sleep(0.05)
                fixture.peer.stop_reading()
                tasks.start_soon(fixture.forward, 'held up')
                await anyio.sleep(0.75)
                self.assertIn(Event.LINK_SILENT, fixture.log.events)
                tasks.cancel_scope.cancel()

    async def test_link_recovers(self) -> None:
        """After the reply to a heartbeat work is sent over it again."""
        async with _fixture() as fixture:
            await fixture.links.send_request(
                fixture.peer.address, AskApplied(), 1
            )
            fixture.peer.stop_reading()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.forward, 'first')
                await anyio.sleep(0.75)
                fixture.peer.continue_reading()
                await anyio.sleep(0.25)
                outcome = await fixture.forward('second')
            self.assertEqual(outcome, Answered(200, (), b'body'))
            self.assertIn(Event.LINK_BACK, fixture.log.events)

    async def test_long_work_of_a_live_peer_is_waited_for(self) -> None:
        async with _fixture() as fixture:
            fixture.peer.runner.delay_s = 0.8
            outcome = await fixture.forward('long')
            self.assertEqual(outcome, Answered(200, (), b'body'))
            self.assertNotIn(Event.LINK_SILENT, fixture.log.events)


class _BodySizeRecorder(FrameProtocol):
    """Records the sizes of the bodies of frames."""

    def __init__(self) -> None:
        super().__init__(64 * _MEBIBYTE)
        self.bodies: list[int] = []

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        self.bodies.append(len(body))


class _CopyCountingBuffer(bytearray):  # noqa: WPS600
    """Records the bytes that are copied by slicing it or its slices."""

    def __init__(self, content: bytes = b'', copies=None) -> None:
        super().__init__(content)
        self.copies: list[int] = [] if copies is None else copies

    def __getitem__(self, part):
        found = super().__getitem__(part)
        if isinstance(found, int):
            return found
        self.copies.append(len(found))
        return _CopyCountingBuffer(found, self.copies)


class LargeFrameTests(unittest.TestCase):
    """Splitting bytes into frames copies each byte only a few times."""

    def test_bytes_are_copied_once_or_twice(self) -> None:
        size = 4 * _MEBIBYTE
        frames = _BodySizeRecorder()
        buffer = _CopyCountingBuffer()
        frames._buffer = buffer
        part = bytes(_READ_BYTES)
        frames.data_received(struct.pack('!IBI', size, 1, 1))
        for _ in range(size // _READ_BYTES):
            frames.data_received(part)
        self.assertEqual(frames.bodies, [size])
        self.assertLessEqual(sum(buffer.copies), 2 * size)

    def test_frames_across_reads(self) -> None:
        wire = b''.join(
            struct.pack('!IBI', size, 1, 1) + b'x' * size for size in range(40)
        )
        for step in (1, 7, 64, len(wire)):
            frames = _BodySizeRecorder()
            for start in range(0, len(wire), step):
                frames.data_received(wire[start : start + step])
            self.assertEqual(frames.bodies, list(range(40)))
