"""Tests of the HTTP clients of backend servers, over loopback."""

import asyncio
import itertools
import unittest
from dataclasses import replace

from anyio.abc import SocketStream

from ragwortstand.backend_servers.connections import (
    ConnectionPool,
    Endpoint,
    HttpConnection,
    WireRequest,
)
from ragwortstand.backend_servers.httpcore_client import HttpcoreConnection
from ragwortstand.backend_servers.httptools_client import HttptoolsConnection
from ragwortstand.exceptions import BackendServerError
from ragwortstand.verdicts import Verdict
from tests.servers import OK, answering, running_server

_LIMIT_BYTES = 1000
_SWITCH = (
    b'HTTP/1.1 101 Switching Protocols\r\n'
    b'connection: upgrade\r\nupgrade: x\r\n\r\nabc'
)
_EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
_CLIENTS = (HttptoolsConnection, HttpcoreConnection)


def _request(method: str = 'GET') -> WireRequest:
    return WireRequest(method, '/a?b=c', ((b'x-key', b'1'),), b'')


class ClientsTest(unittest.IsolatedAsyncioTestCase):
    """Both clients return whole responses or an error with a verdict."""

    async def test_whole_responses_on_one_connection(self) -> None:
        """Two exchanges share a connection."""
        for client in _CLIENTS:
            async with running_server(answering(OK, OK)) as endpoint:
                connection = await client.connect(endpoint, _LIMIT_BYTES)
                for _ in range(2):
                    answered = await connection.exchange(_request())
                    self.assertEqual(answered.status, 200)
                    self.assertEqual(answered.body, b'body')
                    self.assertEqual(answered.headers, ((b'x-a', b'b'),))
                connection.close()

    async def test_truncated_response_may_have_run(self) -> None:
        """A response that ends early is an error, never a truncated body."""
        cuts = (b'', b'HTTP/1.1 200', OK[:-2], b'nonsense\r\n\r\n')
        for client in _CLIENTS:
            for cut in cuts:
                async with running_server(answering(cut or b'H')) as endpoint:
                    connection = await client.connect(endpoint, _LIMIT_BYTES)
                    verdict = await self._failure(connection)
                    self.assertIs(verdict, Verdict.MAY_HAVE_RUN)
                    connection.close()

    async def test_head_that_ends_early_is_no_response(self) -> None:
        """Guards against a success with a body that is empty or cut short."""
        heads = (
            OK.partition(b'body')[0],
            b'HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n',
            b'HTTP/1.1 200 OK\nx-a: b\n\n',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            _EARLY_HINTS + OK.partition(b'body')[0],
        )
        heads_cut = [
            head[:size] for head in heads for size in range(1, len(head))
        ]

        async def end_early(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(OK)
                request = await stream.receive()
                number = int(request.partition(b' HTTP')[0].split(b'/')[-1])
                await stream.send(heads_cut[number])

        async with running_server(end_early) as endpoint:
            for client, number in itertools.product(
                _CLIENTS, range(len(heads_cut))
            ):
                connection = await client.connect(endpoint, _LIMIT_BYTES)
                await connection.exchange(_request())
                request = replace(_request(), target=f'/{number}')
                with self.assertRaises(
                    BackendServerError, msg=str(heads_cut[number])
                ):
                    await connection.exchange(request)
                connection.close()

    async def _failure(self, connection: HttpConnection) -> Verdict:
        """Return the verdict of an exchange that fails."""
        with self.assertRaises(BackendServerError) as caught:
            await connection.exchange(_request())
        return caught.exception.verdict

    async def test_refused_connection_has_not_run(self) -> None:
        """A request without a connection has not run."""
        for client in _CLIENTS:
            with self.assertRaises(BackendServerError) as caught:
                await client.connect(Endpoint('127.0.0.1', 1), _LIMIT_BYTES)
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    async def test_oversized_response_is_an_error(self) -> None:
        """A response over the limit is an error."""
        size = _LIMIT_BYTES + 1
        large = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % size
        for client in _CLIENTS:
            async with running_server(
                answering(large + b'x' * size)
            ) as endpoint:
                connection = await client.connect(endpoint, _LIMIT_BYTES)
                with self.assertRaises(BackendServerError):
                    await connection.exchange(_request())
                connection.close()

    async def test_response_to_head_has_no_body(self) -> None:
        """The response to HEAD ends with the headers."""
        head = OK.removesuffix(b'body')
        for client in _CLIENTS:
            async with running_server(answering(head)) as endpoint:
                connection = await client.connect(endpoint, _LIMIT_BYTES)
                answered = await connection.exchange(_request('HEAD'))
                self.assertEqual(answered.body, b'')
                connection.close()

    async def test_head_skips_informational_responses(self) -> None:
        """HEAD gets the final response, not an informational one."""
        wire = _EARLY_HINTS + OK.removesuffix(b'body')
        for client in _CLIENTS:
            async with running_server(answering(wire)) as endpoint:
                connection = await client.connect(endpoint, _LIMIT_BYTES)
                answered = await connection.exchange(_request('HEAD'))
                self.assertEqual(answered.status, 200)
                self.assertEqual(answered.headers, ((b'x-a', b'b'),))
                connection.close()

    async def test_head_rejects_response_to_another_request(self) -> None:
        """HEAD does not accept a response that identifies another request."""
        request = replace(_request('HEAD'), echo=(b'x-a', b'own'))
        wire = OK.removesuffix(b'body')
        async with running_server(answering(wire)) as endpoint:
            connect = HttptoolsConnection.connect
            connection = await connect(endpoint, _LIMIT_BYTES)
            with self.assertRaises(BackendServerError) as caught:
                await connection.exchange(request)
            self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    async def test_protocol_switch_is_an_error(self) -> None:
        """An unrequested protocol switch fails the exchange cleanly."""
        problems: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: problems.append(context))
        async with running_server(answering(_SWITCH)) as endpoint:
            connect = HttptoolsConnection.connect
            connection = await connect(endpoint, _LIMIT_BYTES)
            verdict = await self._failure(connection)
            self.assertIs(verdict, Verdict.MAY_HAVE_RUN)
            self.assertFalse(connection.is_reusable)
        self.assertEqual(problems, [])


class ConnectionPoolTest(unittest.IsolatedAsyncioTestCase):
    """The pool reuses recent connections and never exceeds its limit."""

    async def test_reuse_by_age(self) -> None:
        """An idle connection that is too old is closed."""
        async with running_server(answering(OK, OK)) as endpoint:
            pool = self._pool(endpoint, 2)
            first = await pool.acquire(10, 0)
            pool.release(first, 0)
            self.assertIs(await pool.acquire(10, 9), first)
            pool.release(first, 10)
            self.assertIsNot(await pool.acquire(2, 13), first)

    async def test_limit(self) -> None:
        """A connection beyond the limit is refused as not run."""
        async with running_server(answering(OK)) as endpoint:
            pool = self._pool(endpoint, 1)
            await pool.acquire(1, 0)
            with self.assertRaises(BackendServerError) as caught:
                await pool.acquire(1, 0)
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    def _pool(self, endpoint: Endpoint, limit: int) -> ConnectionPool:
        connect = HttptoolsConnection.connect
        return ConnectionPool(connect, endpoint, limit, _LIMIT_BYTES)
