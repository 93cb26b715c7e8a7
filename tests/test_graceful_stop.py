"""Tests of the graceful stop of a sidecar, in one process."""

import asyncio
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import anyio

from ragwortstand import clock, graceful_stop
from ragwortstand.exit_limits import ExitLimits
from ragwortstand.graceful_stop import GracefulStop
from ragwortstand.http_server import CallerRequest, HttpServer
from ragwortstand.models import CallerLimits
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import MemberState
from ragwortstand.settings import MembershipSettings
from ragwortstand.verdicts import Answered
from tests.fakes import ListLog, member
from tests.servers import running_http

_GRACE_S = 6.0
# Time between the start of a request and the signal to stop.
_STARTED_BEFORE_S = 0.1
_REQUEST = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'


class _StoppingDaemon:
    """The components of a sidecar; requests take `delay_s`."""

    def __init__(self) -> None:
        self.proxy = SimpleNamespace(is_refusing=False, last_request_at_s=0.0)
        self.forwarded = SimpleNamespace(in_flight=0)
        self.members = Members(member('own'), MembershipSettings(), 0.0)
        self.announcements = 0
        self.unsent_bytes = 0
        self.delay_s = 0.0
        self.exit_s = 0.0
        self.ended_at_s = 0.0
        self.server = HttpServer(self.handle_request, CallerLimits, ListLog())
        self.stop = GracefulStop(
            self.proxy,  # type: ignore[arg-type]
            self.forwarded,  # type: ignore[arg-type]
            lambda: self.unsent_bytes,
            self.members,
            self.announce,
            ExitLimits(self, self, self),
            ListLog(),
        )

    def announce(self) -> None:
        self.announcements += 1

    def set_exit(self, exit_s: float, rerouted_at_s: float = 0.0) -> None:
        self.exit_s = exit_s

    def refuse_late(self, now_s: float) -> None:
        """Leave waiting requests to the tests of `ExitRefusals`."""

    def limit(self, now_s: float) -> None:
        """Send nothing to other daemons."""

    def end_all(self) -> None:
        self.ended_at_s = clock.now_s()

    async def handle_request(self, request: CallerRequest) -> Answered:
        self.proxy.last_request_at_s = clock.now_s()
        if self.proxy.is_refusing:
            return Answered(503, (), b'')
        await anyio.sleep(self.delay_s)
        return Answered(200, (), b'')


class StopTests(unittest.IsolatedAsyncioTestCase):
    """Callers' connections and requests during a stop."""

    async def test_no_connection_is_left_open(self) -> None:
        daemon = _StoppingDaemon()
        async with running_http(daemon.server) as port:
            early_connection = await anyio.connect_tcp('127.0.0.1', port)
            daemon.server.close_idle()
            await early_connection.aclose()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(daemon.stop.run, daemon.server, 6.0)
                await anyio.sleep(1)
                idle_connection = await anyio.connect_tcp('127.0.0.1', port)
            self.assertEqual(daemon.server.connections, set())
            with self.assertRaises(OSError):
                await anyio.connect_tcp('127.0.0.1', port)
            await idle_connection.aclose()

    async def test_last_requests_are_answered_before_the_end(self) -> None:
        daemon = _StoppingDaemon()
        daemon.delay_s = 0.3
        async with running_http(daemon.server) as port:
            found = b''

            async def send_request() -> None:
                nonlocal found
                stream = await anyio.connect_tcp('127.0.0.1', port)
                async with stream:
                    await anyio.sleep(graceful_stop._CALLERS_REROUTED_S - 0.2)
                    await stream.send(_REQUEST)
                    found = await stream.receive()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(daemon.stop.run, daemon.server, 6.0)
                await anyio.sleep(0.1)
                tasks.start_soon(send_request)
            self.assertIn(b'200 OK', found)
            self.assertIn(b'connection: close', found)

    async def test_time_that_runs_out_ends_it(self) -> None:
        daemon = _StoppingDaemon()
        daemon.forwarded.in_flight = 1
        started_s = clock.now_s()
        async with running_http(daemon.server):
            await daemon.stop.run(daemon.server, 3.0)
        self.assertLess(clock.now_s() - started_s, 3.0)
        self.assertLess(started_s, daemon.ended_at_s)
        self.assertIs(daemon.members.own.state, MemberState.LEFT)
        self.assertGreater(daemon.announcements, 0)


class LateLoopTests(unittest.TestCase):
    """A stop whose event loop (uvloop, as in daemons) is held up.

    Callers connect and send meanwhile, and the kernel accepts both.
    """

    def _run_beside_stop(
        self,
        daemon: _StoppingDaemon,
        send: Callable[[int], Awaitable[None]],
    ) -> None:
        """Stop a daemon while callers send; no request may be lost."""

        async def scenario() -> None:
            async with (
                anyio.create_task_group() as tasks,
                running_http(daemon.server) as port,
            ):
                tasks.start_soon(send, port)
                await daemon.stop.run(daemon.server, _GRACE_S)
            self.assertEqual(self._lost(), 0)

        self._run(scenario)

    def _run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        self.sockets: list[socket.socket] = []
        try:
            anyio.run(scenario, backend_options={'use_uvloop': True})
        finally:
            for one in self.sockets:
                one.close()

    def _send_request(self, port: int) -> None:
        """Send a request over a new connection, without the event loop."""
        try:
            caller = socket.create_connection(('127.0.0.1', port), 1)
        except ConnectionRefusedError:
            return
        caller.sendall(_REQUEST)
        self.sockets.append(caller)

    def _lost(self) -> int:
        return sum(not _first_byte(one) for one in self.sockets)

    # Guards against requests that were accepted and got no answer: connections
    # that waited to be accepted were reset when the daemon stopped listening.
    def test_connections_that_wait_are_served(self) -> None:
        daemon = _StoppingDaemon()

        async def scenario() -> None:
            async with running_http(daemon.server) as port:
                await anyio.sleep(0.05)
                for _ in range(5):
                    self._send_request(port)
                await daemon.server.stop_listening()
                await anyio.sleep(0.2)
                self.assertEqual(len(self.sockets), 5)
                self.assertEqual(self._lost(), 0)
                self._send_request(port)
                self.assertEqual(len(self.sockets), 5)

        self._run(scenario)

    # The same for a request that came during a delay: due timers run before the
    # sockets are read, and the connection was closed as idle.
    def test_request_that_waits_on_a_new_connection_is_answered(self) -> None:
        daemon = _StoppingDaemon()

        async def send_during_a_delay(port: int) -> None:
            await anyio.sleep(graceful_stop._CALLERS_REROUTED_S - 0.1)
            caller = socket.create_connection(('127.0.0.1', port), 1)
            self.sockets.append(caller)
            await anyio.sleep(0.25)
            await _delay_reading(0.3, lambda: caller.sendall(_REQUEST))

        self._run_beside_stop(daemon, send_during_a_delay)

    def test_requests_of_any_moment_are_answered(self) -> None:
        daemon = _StoppingDaemon()

        async def delay_loop(port: int) -> None:
            while daemon.members.own.state is not MemberState.LEFT:
                self._send_request(port)
                time.sleep(0.35)  # noqa: ASYNC251
                self._send_request(port)
                await anyio.sleep(0.01)
            for _ in range(3):
                self._send_request(port)
                time.sleep(0.35)  # noqa: ASYNC251
                await anyio.sleep(0.01)

        self._run_beside_stop(daemon, delay_loop)
        self.assertGreater(len(self.sockets), 10)


async def _delay_reading(delay_s: float, action: Callable[[], None]) -> None:
    """Hold the loop up while it reads from a socket, after an action.

    What is sent meanwhile waits until the due timers have run.
    """
    writer, reader = socket.socketpair()
    done = anyio.Event()

    def hold_up() -> None:
        reader.recv(1)
        action()
        time.sleep(delay_s)
        done.set()

    loop = asyncio.get_running_loop()
    with writer, reader:
        loop.add_reader(reader, hold_up)
        writer.send(b'x')
        await done.wait()
        loop.remove_reader(reader)


def _first_byte(caller: socket.socket) -> bytes:
    try:
        return caller.recv(1)
    except OSError:
        return b''


class LongWorkTests(unittest.IsolatedAsyncioTestCase):
    """Long requests that are in flight when a stop begins."""

    # Guards against LOST: requests were cut off while the backend server was
    # still processing them.
    async def test_work_is_not_cut_before_the_last_sixth_of_the_grace(
        self,
    ) -> None:
        daemon = _StoppingDaemon()
        daemon.delay_s = _GRACE_S * 5 / 6 + _STARTED_BEFORE_S
        found = b''

        async def send_request(port: int) -> None:
            nonlocal found
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(_REQUEST)
                found = await stream.receive()

        async with (
            anyio.create_task_group() as tasks,
            running_http(daemon.server) as port,
        ):
            tasks.start_soon(send_request, port)
            await anyio.sleep(_STARTED_BEFORE_S)
            await daemon.stop.run(daemon.server, _GRACE_S)
        self.assertIn(b'200 OK', found)


class RefusedWorkTests(unittest.IsolatedAsyncioTestCase):
    """Requests of other daemons that arrive while a daemon stops."""

    # Guards against LOST: requests were started that could not finish before
    # the exit.
    async def test_work_that_would_outlast_the_stop_goes_elsewhere(
        self,
    ) -> None:
        daemon = _StoppingDaemon()
        self.assertFalse(daemon.stop.refuses_work(60.0, clock.now_s()))
        async with (
            anyio.create_task_group() as tasks,
            running_http(daemon.server),
        ):
            tasks.start_soon(daemon.stop.run, daemon.server, _GRACE_S)
            await anyio.sleep(0.1)
            now_s = clock.now_s()
            self.assertFalse(daemon.stop.refuses_work(0.4, now_s))
            self.assertTrue(daemon.stop.refuses_work(4.0, now_s))
            tasks.cancel_scope.cancel()
