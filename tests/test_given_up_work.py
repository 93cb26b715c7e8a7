"""Tests of requests given up while a backend server processes them."""

import asyncio
import contextlib
import threading
import time
import unittest
from collections import Counter
from socket import create_connection
from unittest import mock

import anyio
from msgspec.structs import replace

from ragwortstand import clock
from ragwortstand.backend_servers import Load
from ragwortstand.calls import Call
from ragwortstand.exceptions import PeerError
from ragwortstand.ids import (
    NO_VERSION,
    HostId,
    PeerAddress,
)
from ragwortstand.metrics import Metrics
from ragwortstand.peers.forwarding import ForwardedWork, Forwarder
from ragwortstand.peers.frames import FrameKind, FrameProtocol
from ragwortstand.peers.messages import (
    AskApplied,
    CancelWork,
    Done,
    Envelope,
    Join,
    Member,
    Ping,
    Reply,
    Request,
    Work,
    WorkDone,
    encode,
    outcome_of,
    work_done,
)
from ragwortstand.peers.shared_budget import RetryBudget, SharedBudgetRetries
from ragwortstand.peers.stream_listener import StreamListener
from ragwortstand.peers.streams import StreamLinks
from ragwortstand.sockets import bind, port_of
from ragwortstand.tools.model import run_in_virtual_time
from ragwortstand.verdicts import Answered, Cause, Outcome, Unknown, Verdict
from tests.fakes import ListLog, member
from tests.forwarded import new_call, new_work
from tests.test_gossip_lists import _Daemons

_BOOT = 7
_LIMIT_BYTES = 16 * 1024 * 1024
# More than fits into the buffers of a connection.
_LARGE_BYTES = 8 * 1024 * 1024
_HOST = '127.0.0.1'
# Bandwidth of the slowest link of a host, 3.5 Mbit/s, and the silence of a link
# after which no more work is sent over it.
_LINK_BYTES_PER_S = 3_500_000 / 8
_SILENT_AFTER_S = 0.3

_LONG_WORK = new_work('long', boot=_BOOT)


class _Runner:
    """Runs requests after a time in the queue, for a given time."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.queue_s = 0.0
        self.ran: list[str] = []
        self.cancelled = 0

    async def run(self, call: Call) -> Outcome:
        """Wait for a slot, and run."""
        await anyio.sleep(self.queue_s)
        call.is_dispatched = True
        self.ran.append(call.request_id)
        try:
            await anyio.sleep(self.delay_s)
        except BaseException:
            self.cancelled += 1
            raise
        return Answered(200, (), b'body')


def _forwarded(runner: _Runner) -> ForwardedWork:
    return ForwardedWork(
        runner,
        lambda now_s: Load(4, 1, 0),
        lambda: None,
        bool,
        _BOOT,
        ListLog(),
    )


def _links(log: ListLog) -> StreamLinks:
    return StreamLinks(
        'c',
        HostId('a'),
        Metrics(),
        log,
        _LIMIT_BYTES,
        lambda address: 'zone',
        3.0,
    )


class _Peer:
    """A daemon that runs forwarded work behind a real listener."""

    def __init__(self, runner: _Runner) -> None:
        self.work = _forwarded(runner)
        self.listener = StreamListener('c', _LIMIT_BYTES, Metrics(), ListLog())
        self.socket = bind(_HOST, 0)
        self.socket.listen()
        self.address = PeerAddress(f'tcp://{_HOST}:{port_of(self.socket)}')

    async def serve(self) -> None:
        await self.listener.serve(self.socket, self.handle)

    async def handle(self, sender: HostId, request: Request) -> Reply:
        match request:
            case Work():
                return await self.work.run(request)
            case CancelWork():
                return self.work.cancel(request)
        return Done()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for accepted in tuple(self.listener.connections):
            accepted.abort()

    def member(self) -> Member:
        return replace(member('b'), peer_address=self.address, boot=_BOOT)


class OutcomeRetentionUntilDeadlineTests(unittest.TestCase):
    """Outcomes of work that is resent until its deadline."""

    # Guards against requests that run twice: outcomes were dropped 5 s after
    # the end of a run, while its sender resends work until its deadline, which
    # may be later.
    def test_work_is_not_run_again_before_its_deadline(self) -> None:
        async def scenario() -> list[str]:
            runner = _Runner()
            work = _forwarded(runner)
            await work.run(new_work('filing', remaining_s=20, boot=_BOOT))
            await anyio.sleep(6)
            await work.run(new_work('other', boot=_BOOT))
            await work.run(
                new_work('filing', remaining_s=14, is_resent=True, boot=_BOOT)
            )
            return runner.ran

        self.assertEqual(run_in_virtual_time(scenario), ['filing', 'other'])


class StalledRequesterTests(unittest.TestCase):
    """A requester whose event loop (uvloop, as in daemons) has stalled."""

    # Guards against lost requests: after a stall of its event loop a daemon
    # counted the time as silence of its peers and reset links although replies
    # were waiting to be read.
    def test_links_to_live_peers_outlive_a_stall(self) -> None:
        self._ready = threading.Event()
        server = threading.Thread(target=self._serve)
        server.start()
        self._ready.wait()
        log = ListLog()
        reply = anyio.run(
            self._send_request_and_stall,
            _links(log),
            backend_options={'use_uvloop': True},
        )
        server.join()
        self.assertEqual(log.events, [])
        self.assertIsInstance(reply, WorkDone)

    async def _send_request_and_stall(self, links: StreamLinks) -> object:
        connections = links._connections
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(links.run)
            pending = asyncio.create_task(
                links.send_request(
                    self._address, new_work('long', boot=_BOOT), timeout_s=4
                )
            )
            while not any(  # noqa: ASYNC110
                link.silent_s(clock.now_s()) for link in connections.values()
            ):
                await asyncio.sleep(0)
            time.sleep(1.0)  # noqa: ASYNC251
            replies = await asyncio.gather(pending, return_exceptions=True)
            links.close()
            tasks.cancel_scope.cancel()
        return replies[0]

    def _serve(self) -> None:
        async def serve() -> None:
            peer = _Peer(_Runner(1.8))
            self._address = peer.address
            self._ready.set()
            with anyio.move_on_after(4):
                await peer.serve()

        anyio.run(serve)


class RepeatedWorkTests(unittest.IsolatedAsyncioTestCase):
    """Idempotent work whose link is lost and can't be reopened at once."""

    async def _forward(
        self,
        call: Call,
        failures: int,
        dials: list[float],
    ) -> Outcome:
        """Reset the link after 0.1 s; then some dials time out."""
        peer = _Peer(_Runner(0.5))
        links = _links(ListLog())
        dial = StreamLinks._dial

        async def slow_dial(
            self: StreamLinks,
            address: PeerAddress,
            timeout_s: float,
        ):
            dials.append(clock.now_s())
            if 1 < len(dials) <= 1 + failures:
                await anyio.sleep(0.25)
                raise TimeoutError
            return await dial(self, address, timeout_s)

        with mock.patch.object(StreamLinks, '_dial', slow_dial):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(peer.serve)
                tasks.start_soon(links.run)
                loop = asyncio.get_running_loop()
                loop.call_later(0.1, peer.reset_connections)
                attempt = await Forwarder(links).forward(call, peer.member())
                links.close()
                tasks.cancel_scope.cancel()
        return attempt.outcome

    # Guards against lost requests: the second copy is sent 0.1 s after a dial
    # failed, within the 0.3 s in which the peer is not dialled again.
    async def test_second_copy_dials_again(self) -> None:
        dials: list[float] = []
        call = new_call('asked', 3, is_idempotent=True)
        outcome = await self._forward(call, 1, dials)
        self.assertEqual(len(dials), 3)
        self.assertEqual(outcome, Answered(200, (), b'body'))

    # Guards against lost requests: when no other attempt is allowed, the work
    # can't be tried on another backend server, and giving up fails a request
    # that is still running.
    async def test_last_attempt_is_resent_until_its_deadline(self) -> None:
        links = _FailingLinks(6)
        call = new_call('asked', 3, is_idempotent=True, max_attempts=1)
        peer = replace(member('b'), boot=_BOOT)
        attempt = await Forwarder(links).forward(call, peer)
        self.assertEqual(attempt.outcome, Answered(200, (), b'body'))


class _FailingLinks:
    """Links that lose work once, then fail to open some times."""

    def __init__(self, failures: int) -> None:
        self._left = failures
        self._is_sent = False

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        if not self._is_sent:
            self._is_sent = True
            raise PeerError('link lost', Verdict.MAY_HAVE_RUN)
        if self._left:
            self._left -= 1
            raise PeerError('no link in time', Verdict.NOT_RUN)
        return work_done(Answered(200, (), b'body'), 0)

    def close_link(self, address: PeerAddress) -> None:
        """Do nothing, as there are no connections."""


class AbandonedWorkTests(unittest.TestCase):
    """Work that its sender resends too late."""

    # Guards against lost requests: work cancelled for lack of a link was
    # reported as cancelled by its caller, which ends the request without
    # another attempt.
    def test_idempotent_work_that_was_cut_is_tried_elsewhere(self) -> None:
        async def scenario() -> Outcome:
            work = _forwarded(_Runner(3))
            first = new_work('lookup', is_idempotent=True, boot=_BOOT)
            with anyio.move_on_after(0.1):
                await work.run(first)
            await anyio.sleep(0.6)
            return outcome_of(await work.run(replace(first, is_resent=True)))

        outcome = run_in_virtual_time(scenario)
        self.assertIsInstance(outcome, Unknown)
        retries = SharedBudgetRetries(RetryBudget(), lambda: 1)
        call = new_call('asked', 3, is_idempotent=True)
        self.assertTrue(retries.allows(call, outcome, clock.now_s()))

    # Guards against work for disconnected callers: queued work that can't be
    # repeated was still sent to a backend server after its caller left and its
    # link was lost.
    def test_queued_work_without_a_link_does_not_begin(self) -> None:
        async def scenario() -> list[str]:
            runner = _Runner(1)
            runner.queue_s = 2.0
            work = _forwarded(runner)
            with anyio.move_on_after(0.1):
                await work.run(new_work('filing', boot=_BOOT))
            await anyio.sleep(3)
            return runner.ran

        self.assertEqual(run_in_virtual_time(scenario), [])


class LostLinkStateTests(unittest.IsolatedAsyncioTestCase):
    """State of a link after its connection was lost."""

    # Guards against `LINK_SILENT` and `LINK_RESET` log lines, and refused work,
    # for a link whose connection was lost before the reply to a heartbeat.
    async def test_lost_link_is_not_counted_as_silent(self) -> None:
        log = ListLog()
        links = _links(log)
        peer = _Peer(_Runner(2))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer.serve)
            tasks.start_soon(links.run)
            pending = asyncio.create_task(
                links.send_request(
                    peer.address, new_work('long', boot=_BOOT), timeout_s=4
                )
            )
            await anyio.sleep(0.1)
            for accepted in peer.listener.connections:
                assert accepted.transport
                accepted.transport.pause_reading()
            await anyio.sleep(0.3)
            peer.reset_connections()
            with self.assertRaises(PeerError):
                await pending
            await anyio.sleep(1)
            links.close()
            tasks.cancel_scope.cancel()
        self.assertEqual(log.events, [])

    # Guards against lost requests: a link that was lost while it was being
    # dialled kept its request waiting until the timeout of the request.
    async def test_request_over_a_link_that_is_lost_fails_at_once(
        self,
    ) -> None:
        links = _links(ListLog())
        dial = StreamLinks._dial

        async def dial_and_lose(
            self: StreamLinks,
            address: PeerAddress,
            timeout_s: float,
        ):
            link = await dial(self, address, timeout_s)
            link.abort()
            await anyio.sleep(0.05)
            return link

        peer = _Peer(_Runner())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer.serve)
            started_s = clock.now_s()
            with (
                mock.patch.object(StreamLinks, '_dial', dial_and_lose),
                self.assertRaises(PeerError),
            ):
                await links.send_request(peer.address, AskApplied(), 2)
            self.assertLess(clock.now_s() - started_s, 1)
            links.close()
            tasks.cancel_scope.cancel()


class ExitTests(unittest.TestCase):
    """A process that ends right after it has sent a reply."""

    # Guards against lost requests: the rest of a reply that was not yet written
    # to the socket was dropped when the process ended.
    def test_reply_in_transmission_survives_the_end_of_the_loop(self) -> None:
        socket = bind(_HOST, 0)
        socket.listen()
        port = port_of(socket)

        async def serve() -> None:
            listener = StreamListener('c', _LIMIT_BYTES, Metrics(), ListLog())
            scope = anyio.CancelScope()

            async def handle(sender: HostId, request: Request) -> Reply:
                asyncio.get_running_loop().call_later(0.001, scope.cancel)
                return work_done(Answered(200, (), b'x' * _LARGE_BYTES), 0)

            with scope:
                await listener.serve(socket, handle)

        server = threading.Thread(target=anyio.run, args=(serve,))
        server.start()
        received_bytes = 0
        with create_connection((_HOST, port), timeout=1) as connection:
            wire = encode(Envelope('c', HostId('a'), new_work('w', boot=_BOOT)))
            connection.sendall(_frame(wire))
            time.sleep(0.2)
            with contextlib.suppress(TimeoutError):
                while received := connection.recv(65536):
                    received_bytes += len(received)
        server.join()
        self.assertGreater(received_bytes, _LARGE_BYTES)


def _frame(body: bytes) -> bytes:
    """Return the bytes of a frame with a request."""
    frames = FrameProtocol(_LIMIT_BYTES)
    transport = mock.Mock()
    transport.is_closing.return_value = False
    frames.transport = transport
    frames.send(FrameKind.REQUEST, 1, body)
    return bytes(transport.write.call_args.args[0])


class LastMomentsBeforeDeadlineTests(unittest.IsolatedAsyncioTestCase):
    """Work that is resent until just before its deadline."""

    # Guards against lost requests: a few milliseconds before its deadline a
    # request got a response of the daemon that did not name the deadline as
    # the cause.
    async def test_work_is_not_given_up_before_its_deadline(self) -> None:
        call = new_call('asked', 0.015)
        peer = replace(member('b'), boot=_BOOT)
        attempt = await Forwarder(_FailingLinks(100)).forward(call, peer)
        self.assertEqual(attempt.outcome, Unknown(Cause.DEADLINE))


class NewcomerTests(unittest.IsolatedAsyncioTestCase):
    """Hosts that join a large fleet at the same time."""

    # Guards against lost requests: all other daemons fetched the member list of
    # a new host at once, and responses of its backend server were queued behind
    # the lists.
    async def test_few_lists_are_fetched_from_each_newcomer(self) -> None:
        daemons = _CountingDaemons(60, interval_s=10)
        fleet = [_member_with_long_fields(number) for number in range(82)]
        newcomers = [
            _member_with_long_fields(number) for number in range(82, 90)
        ]
        for own in fleet:
            daemons.start(own, fleet)
        for own in newcomers:
            daemons.start(own, fleet)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(daemons.run, 60)
            await anyio.sleep(0.1)
            for own in newcomers:
                digest = daemons.lists[own.host].digest
                ping = Ping(NO_VERSION, None, digest, (own,))
                for other in fleet:
                    await daemons.send_request(
                        own.host, other.peer_address, ping
                    )
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        most_bytes = max(daemons.sent_bytes.values(), default=0)
        self.assertLess(most_bytes / _LINK_BYTES_PER_S, _SILENT_AFTER_S)


class _CountingDaemons(_Daemons):
    """Daemons in memory; counts the bytes of member lists they send."""

    def __init__(self, difference_s: float, interval_s: float) -> None:
        super().__init__(difference_s, interval_s)
        self.sent_bytes: Counter[PeerAddress] = Counter()

    async def send_request(
        self, sender: HostId, address: PeerAddress, request: Request
    ) -> Reply:
        reply = await super().send_request(sender, address, request)
        if isinstance(request, Join):
            self.sent_bytes[address] += len(encode(reply))
        return reply


def _member_with_long_fields(number: int) -> Member:
    """Return a member whose fields are as long as in a real fleet."""
    return replace(
        member(f'sidecar-{number}', incarnation=1_700_000_000_000),
        boot=1 << 47,
    )
