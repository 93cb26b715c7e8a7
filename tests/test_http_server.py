"""Tests of the HTTP server for callers over loopback connections."""

import contextlib
import socket
import tracemalloc
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream

from ragwortstand.http_server import (
    CallerConnection,
    CallerRequest,
    HttpServer,
)
from ragwortstand.models import CallerLimits
from ragwortstand.verdicts import Answered
from tests.fakes import ListLog
from tests.servers import running_http

_LIMITS = CallerLimits(
    max_header_bytes=512,
    max_body_bytes=100,
    header_timeout_s=0.2,
    idle_timeout_s=0.3,
)
# Number of pieces sent of a body without an end; the size of each is at least a
# fifth of the limit of headers.
_PIECES = 20
_BODY_LIMIT_BYTES = 64 * 1024
_CLOSE = b'connection: close'
# More than the buffers of a connection can hold.
_LARGE_BYTES = 8 * 1024 * 1024
_CHUNKED = b'POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'


class _Server:
    """A server that responds with the target of the request.

    `/slow` takes 0.2 seconds, and `/waits` waits for a request for `/last`.
    """

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.cancelled = 0
        self.last = anyio.Event()
        self.body: bytes | None = None
        self.http = HttpServer(self.handle_request, lambda: _LIMITS, ListLog())

    async def handle_request(self, request: CallerRequest) -> Answered:
        self.requests.append(request)
        try:
            if request.target.startswith('/slow'):
                await anyio.sleep(0.2)
            if request.target == '/waits':
                await self.last.wait()
            if request.target == '/last':
                self.last.set()
        except BaseException:
            self.cancelled += 1
            raise
        if request.target == '/fails':
            raise RuntimeError('no')
        body = request.target.encode() if self.body is None else self.body
        return Answered(200, ((b'x-a', b'b'),), body)


@asynccontextmanager
async def _connected() -> AsyncIterator[tuple[_Server, SocketStream]]:
    server = _Server()
    async with (
        running_http(server.http) as port,
        await anyio.connect_tcp('127.0.0.1', port) as stream,
    ):
        yield server, stream


async def _read(
    stream: SocketStream, expected_count: int, mark: bytes
) -> bytes:
    """Read until `mark` was received `expected_count` times, or to the end."""
    found = b''
    with anyio.fail_after(3):
        while found.count(mark) < expected_count:
            try:
                found += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return found
    return found


def _get(target: bytes, *headers: bytes) -> bytes:
    lines = (b'GET %b HTTP/1.1' % target, b'host: h', *headers)
    return b'\r\n'.join(lines) + b'\r\n\r\n'


class AnswerTests(unittest.IsolatedAsyncioTestCase):
    """Requests and responses on persistent connections."""

    async def test_request_is_passed_on_as_sent(self) -> None:
        async with _connected() as (server, stream):
            await stream.send(
                b'POST /a%20b?q=1 HTTP/1.1\r\nX-One: 1\r\n'
                b'transfer-encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
            )
            await _read(stream, 1, b'/a%20b?q=1')
            request = server.requests[0]
            self.assertEqual(request.method, 'POST')
            self.assertEqual(request.target, '/a%20b?q=1')
            self.assertEqual(request.body, b'abcde')
            self.assertIn((b'x-one', b'1'), request.headers)

    async def test_connection_is_kept(self) -> None:
        async with _connected() as (_, stream):
            for target in (b'/one', b'/two'):
                await stream.send(_get(target))
                self.assertNotIn(_CLOSE, await _read(stream, 1, target))

    async def test_connection_ends_when_the_caller_asks(self) -> None:
        async with _connected() as (_, stream):
            await stream.send(_get(b'/one', _CLOSE))
            found = await _read(stream, 99, b'never')
            self.assertIn(b'200 OK', found)
            self.assertIn(_CLOSE, found)

    async def test_failure_of_the_handler_is_a_server_error(self) -> None:
        async with _connected() as (_, stream):
            await stream.send(_get(b'/fails'))
            self.assertIn(b' 500 ', await _read(stream, 1, b'\r\n\r\n'))

    async def test_head_has_no_body(self) -> None:
        async with _connected() as (_, stream):
            await stream.send(_get(b'/abc', _CLOSE).replace(b'GET', b'HEAD'))
            found = await _read(stream, 99, b'never')
            self.assertIn(b'content-length: 4', found)
            self.assertTrue(found.endswith(b'\r\n\r\n'))


class PipelineTests(unittest.IsolatedAsyncioTestCase):
    """Requests sent before the response to the first."""

    async def test_run_side_by_side_and_answer_in_order(self) -> None:
        async with _connected() as (_, stream):
            await stream.send(_get(b'/waits') + _get(b'/fast') + _get(b'/last'))
            found = await _read(stream, 1, b'/last')
            order = [
                found.index(name) for name in (b'/waits', b'/fast', b'/last')
            ]
            self.assertEqual(order, sorted(order))

    async def test_closing_server_answers_all_before_the_end(self) -> None:
        async with _connected() as (server, stream):
            await stream.send(_get(b'/slow1') + _get(b'/slow2'))
            await anyio.sleep(0.05)
            server.http.close_idle()
            found = await _read(stream, 99, b'never')
            self.assertEqual(found.count(b'200 OK'), 2)
            self.assertEqual(found.count(_CLOSE), 1)
            self.assertLess(found.index(b'/slow1'), found.index(_CLOSE))


class ClosingTests(unittest.IsolatedAsyncioTestCase):
    """Connections that the server closes while callers are sending."""

    # Guards against LOST: closing the socket reset the connection, and the
    # response was lost.
    async def test_last_answer_survives_requests_sent_behind_it(self) -> None:
        server = _Server()
        server.body = b'x' * _LARGE_BYTES
        async with running_http(server.http) as port:
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            with caller:
                caller.connect(('127.0.0.1', port))
                caller.sendall(_get(b'/slow'))
                await anyio.sleep(0.05)
                server.http.close_idle()
                await anyio.sleep(0.3)
                caller.sendall(_get(b'/behind'))
                found = await anyio.to_thread.run_sync(_read_all, caller)
        self.assertIn(_CLOSE, found)
        self.assertEqual(len(found.partition(b'\r\n\r\n')[2]), _LARGE_BYTES)
        self.assertEqual(len(server.requests), 1)

    # Guards against LOST: connections were closed before their first request.
    async def test_new_connection_gets_to_send_its_request(self) -> None:
        async with _connected() as (server, stream):
            await anyio.sleep(0.05)
            server.http.close_idle()
            await anyio.sleep(0.05)
            await stream.send(_get(b'/first'))
            found = await _read(stream, 99, b'never')
            self.assertIn(b'200 OK', found)
            self.assertIn(_CLOSE, found)

    # Guards against LOST: the exit of the process dropped responses that slow
    # callers had not read yet.
    async def test_answers_that_are_not_sent_yet_are_under_way(self) -> None:
        server = _Server()
        server.body = b'x' * _LARGE_BYTES
        async with running_http(server.http) as port:
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(('127.0.0.1', port))
                caller.sendall(_get(b'/one', _CLOSE))
                await anyio.sleep(0.2)
                self.assertEqual(server.http.in_flight, 1)
                await anyio.to_thread.run_sync(_read_all, caller)
            await anyio.sleep(0.05)
            self.assertEqual(server.http.in_flight, 0)

    async def test_callers_that_stop_reading_are_disconnected(self) -> None:
        server = _Server()
        server.body = b'x' * _LARGE_BYTES
        async with running_http(server.http) as port:
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(('127.0.0.1', port))
                caller.sendall(_get(b'/one'))
                await anyio.sleep(0.2)
                self.assertEqual(len(server.http.connections), 1)
                await anyio.sleep(_LIMITS.idle_timeout_s + 3)
                self.assertEqual(len(server.http.connections), 0)


def _read_all(caller: socket.socket) -> bytes:
    """Read until the other end closes or resets the connection."""
    found = b''
    caller.settimeout(3)
    with contextlib.suppress(ConnectionError, TimeoutError):
        while part := caller.recv(1 << 16):
            found += part
    return found


class CallerGoneTests(unittest.IsolatedAsyncioTestCase):
    """Callers that close their connection."""

    async def test_request_is_cancelled(self) -> None:
        async with _connected() as (server, stream):
            await stream.send(_get(b'/slow'))
            await anyio.sleep(0.05)
            await stream.aclose()
            await anyio.sleep(0.05)
            self.assertEqual(server.cancelled, 1)


class LimitTests(unittest.IsolatedAsyncioTestCase):
    """Requests that exceed the limits or are malformed."""

    async def _status(self, request: bytes) -> bytes:
        async with _connected() as (server, stream):
            await stream.send(request)
            found = await _read(stream, 99, b'never')
            self.assertEqual(server.requests, [])
            return found.split(b' ')[1] if found else b''

    async def test_headers_too_large(self) -> None:
        request = _get(b'/a', b'x: ' + b'y' * 600)
        self.assertEqual(await self._status(request), b'431')

    async def test_headers_without_an_end(self) -> None:
        request = b'GET /a HTTP/1.1\r\nx: ' + b'y' * 600
        self.assertEqual(await self._status(request), b'431')

    async def test_announced_body_too_large(self) -> None:
        request = _get(b'/a', b'content-length: 101')
        self.assertEqual(await self._status(request), b'413')

    async def test_chunked_body_too_large(self) -> None:
        request = _get(b'/a', b'transfer-encoding: chunked')
        request += b'80\r\n' + b'z' * 128 + b'\r\n'
        self.assertEqual(await self._status(request), b'413')

    async def test_bytes_that_are_no_request(self) -> None:
        self.assertEqual(await self._status(b'\x16\x03\x01\r\n\r\n'), b'400')

    async def test_length_and_chunks_at_once_are_refused(self) -> None:
        request = _get(
            b'/a', b'content-length: 4', b'transfer-encoding: chunked'
        )
        request += b'0\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
        self.assertEqual(await self._status(request), b'400')

    async def test_slow_headers(self) -> None:
        status = await self._status(b'GET /a HTTP/1.1\r\n')
        self.assertEqual(status, b'408')

    async def test_idle_connections_end(self) -> None:
        async with _connected() as (_, stream):
            await stream.send(_get(b'/one'))
            found = await _read(stream, 99, b'never')
            self.assertIn(b'200 OK', found)


class EndlessRequestTests(unittest.IsolatedAsyncioTestCase):
    """Endless chunk framing and trailers in chunked bodies."""

    async def test_framing_without_an_end(self) -> None:
        for head, piece in (
            (b'1;', b'x' * 4096),
            (b'1;', b'x' * 100),
            (b'', b'0' * 4096),
            (b'1\r\nx\r\n0\r\n', b'x-a: b\r\n' * 500),
            (b'0\r\nx-a: ', b'y' * 4096),
        ):
            with self.subTest(head=head, piece=piece[:8]):
                self.assertIn(b' 431 ', await self._flooded(head, piece))

    async def test_whole_trailers_over_the_limit(self) -> None:
        trailers = b'0\r\n' + b'x-a: b\r\n' * 200 + b'\r\n'
        self.assertIn(b' 431 ', await self._flooded(trailers, b''))

    async def test_small_chunks_within_the_limits(self) -> None:
        async with _connected() as (server, stream):
            await stream.send(_CHUNKED)
            for _ in range(90):
                await stream.send(b'1;name=value\r\nz\r\n')
            await stream.send(b'0\r\nx-a: b\r\n\r\n')
            self.assertIn(b' 200 ', await _read(stream, 1, b'/a'))
            self.assertEqual(server.requests[0].body, b'z' * 90)

    async def test_framing_count_restarts_with_each_request(
        self,
    ) -> None:
        async with _connected() as (_, stream):
            for target in (b'/one', b'/two', b'/three'):
                request = _CHUNKED.replace(b'/a', target)
                request += b'1;%b\r\nz\r\n' % (b'e' * 300)
                await stream.send(request)
                await stream.send(b'0\r\n\r\n')
                self.assertIn(b' 200 ', await _read(stream, 1, target))

    async def _flooded(self, head: bytes, piece: bytes) -> bytes:
        """Return the response to a body that repeats `piece` without an end."""
        async with _connected() as (server, stream):
            await stream.send(_CHUNKED + head)
            found = b''
            for _ in range(_PIECES):
                with anyio.move_on_after(0.05):
                    found = await _read(stream, 1, b'\r\n\r\n')
                if found:
                    break
                await stream.send(piece)
            self.assertEqual(server.requests, [])
            return found


class SmallChunksTests(unittest.IsolatedAsyncioTestCase):
    """Memory use of a body depends on its size, not on its chunks."""

    async def test_body_in_parts_of_two_bytes(self) -> None:
        limits = CallerLimits(max_body_bytes=_BODY_LIMIT_BYTES)
        connection = CallerConnection(
            HttpServer(_refused, lambda: limits, ListLog())
        )
        connection.data_received(_CHUNKED)
        tracemalloc.start()
        try:
            for number in range(_BODY_LIMIT_BYTES // 2):
                part = number.to_bytes(3, 'big')[1:]
                connection.data_received(b'2\r\n%b\r\n' % part)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(held_bytes, 2 * _BODY_LIMIT_BYTES)


async def _refused(request: CallerRequest) -> Answered:
    raise AssertionError(request.target)
