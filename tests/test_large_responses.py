"""Large responses to slow callers, and breaks in the middle of them."""

import asyncio
import socket
import tracemalloc
import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from ragwortstand import clock
from ragwortstand.events import Event
from ragwortstand.http_server import CallerRequest, HttpServer
from ragwortstand.models import CallerLimits
from ragwortstand.platform.headers import REQUEST_ID, STAMP
from ragwortstand.sockets import bind, port_of
from ragwortstand.tools.model import run_in_virtual_time
from ragwortstand.verdicts import Answered, Cause, Unknown
from tests.fakes import ListLog, sidecar_server
from tests.forwarded import new_call
from tests.servers import answering, running_http, running_server
from tests.test_busy_links import _SMALL_WITHIN_S, _callers
from tests.test_in_band_signals import announcement

_LARGE_BYTES = 540_000
# More than the kernel buffers between both ends of a loopback connection.
_VERY_LARGE_BYTES = 16_000_000
_READ_BYTES = 1 << 20
_COUNT = 100
_BUFFER_BYTES = 16_384
_LIMITS = CallerLimits(idle_timeout_s=0.5)
_HEAD = b'HTTP/1.1 200 OK\r\n' + STAMP + b': s\r\n' + REQUEST_ID + b': a\r\n'


def _get(target: bytes) -> bytes:
    return b'GET %b HTTP/1.1\r\nhost: h\r\n\r\n' % target


async def _answer(request: CallerRequest) -> Answered:
    is_large = request.target == '/large'
    return Answered(200, (), bytes(_VERY_LARGE_BYTES if is_large else 10))


def _traced_bytes() -> int:
    return tracemalloc.get_traced_memory()[0]


def _shrink_buffers(own: socket.socket) -> None:
    """Let the kernel buffer little of what the other end does not read."""
    own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)


async def _send_and_wait(port: int) -> SocketStream:
    """Send a request over a new connection, and do not read the response."""
    caller = await anyio.connect_tcp('127.0.0.1', port)
    _shrink_buffers(caller.extra(SocketAttribute.raw_socket))
    await caller.send(_get(b'/large'))
    return caller


async def _time_of_small_s(port: int) -> float:
    """Return how long a small response takes over a new connection."""
    started_s = clock.now_s()
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        await stream.send(_get(b'/small'))
        await stream.receive()
    return clock.now_s() - started_s


class SlowCallerTests(unittest.IsolatedAsyncioTestCase):
    """A caller that reads a large response slowly."""

    async def _read_slowly(self, port: int) -> None:
        """Read for longer than a connection may be idle."""
        async with await anyio.connect_tcp('127.0.0.1', port) as stream:
            await stream.send(_get(b'/large'))
            left_bytes = _VERY_LARGE_BYTES
            while left_bytes > 0:
                await anyio.sleep(0.05)
                left_bytes -= len(await stream.receive(_READ_BYTES))
        self.received_bytes = _VERY_LARGE_BYTES - left_bytes

    async def test_gets_all_of_it_and_delays_no_other(self) -> None:
        server = HttpServer(_answer, lambda: _LIMITS, ListLog())
        taken_s = []
        async with (
            running_http(server) as port,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._read_slowly, port)
            for _ in range(10):
                taken_s.append(await _time_of_small_s(port))
                await anyio.sleep(0.1)
        self.assertGreaterEqual(self.received_bytes, _VERY_LARGE_BYTES)
        self.assertLess(sorted(taken_s)[5], _SMALL_WITHIN_S)


class MemoryTests(unittest.IsolatedAsyncioTestCase):
    """A hundred large responses on their way at once."""

    def setUp(self) -> None:
        """Trace allocations, which are freed afterwards."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def test_to_callers_that_do_not_read(self) -> None:
        """Each response is in memory once, until its caller has left."""

        async def answer(request: CallerRequest) -> Answered:
            return Answered(200, (), bytes(_LARGE_BYTES))

        server = HttpServer(answer, CallerLimits, ListLog())
        listener = bind('127.0.0.1', 0)
        _shrink_buffers(listener)
        listener.listen()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, listener)
            callers = [
                await _send_and_wait(port_of(listener)) for _ in range(_COUNT)
            ]
            # The kernel buffers the rest.
            held_bytes = _COUNT * _LARGE_BYTES
            with anyio.fail_after(5):
                while _traced_bytes() < 0.9 * held_bytes:  # noqa: ASYNC110
                    await anyio.sleep(0.1)
            self.assertLess(_traced_bytes(), 1.1 * held_bytes)
            for caller in callers:
                await caller.aclose()
            await anyio.sleep(0.2)
            self.assertLess(_traced_bytes(), 0.1 * held_bytes)
            tasks.cancel_scope.cancel()

    def test_between_daemons(self) -> None:
        """Both ends are in this process, so each is in memory twice at most."""

        async def play() -> None:
            async with _callers(10) as callers, anyio.create_task_group() as tg:
                for caller in callers * (_COUNT // len(callers)):
                    tg.start_soon(caller.send, _LARGE_BYTES)
                await anyio.sleep(1)
                self.assertLess(_traced_bytes(), 2 * _COUNT * _LARGE_BYTES)

        run_in_virtual_time(play)


class BrokenHopTests(unittest.IsolatedAsyncioTestCase):
    """A break in the middle of a response is never taken for its end."""

    async def _outcome_of(self, response: bytes) -> object:
        server = sidecar_server()
        async with running_server(answering(response)) as endpoint:
            await server.announce(announcement(endpoint), anyio.current_time())
            call = new_call('a', 2.0)
            call.headers = ((REQUEST_ID, b'a'),)
            return await server.run(call)

    async def test_between_server_and_daemon(self) -> None:
        body = bytes(_LARGE_BYTES)
        with_length = b'content-length: %d\r\n\r\n' % _LARGE_BYTES + body
        chunk = b'%x\r\n' % 90_000 + bytes(90_000) + b'\r\n'
        chunked = b'transfer-encoding: chunked\r\n\r\n' + chunk * 6
        for whole in (with_length, chunked):
            for sent_bytes in (200, 100_000, len(whole) - 1):
                with self.subTest(sent_bytes=sent_bytes):
                    outcome = await self._outcome_of(_HEAD + whole[:sent_bytes])
                    self.assertEqual(outcome, Unknown(Cause.CONNECTION_LOST))

    def test_between_daemons(self) -> None:
        async def play() -> None:
            async with _callers(1) as callers:
                caller = callers[0]
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(caller.send, _LARGE_BYTES)
                    await asyncio.sleep(0.4)
                    caller.links.close()
                self.assertEqual(len(caller.failures), 1)
                self.assertIn('link lost', caller.failures[0])
                await caller.send(_LARGE_BYTES)
                self.assertEqual(len(caller.failures), 1)
                self.assertNotIn(Event.LINK_RESET, caller.log.events)

        run_in_virtual_time(play)
