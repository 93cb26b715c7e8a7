"""ragwortstand.backend_servers.connections: HTTP connections and their pool.

Two clients stand behind one protocol: httptools, the parser that uvicorn
uses, directly on a transport, and httpcore as the baseline.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, cast

import anyio
import httpcore
import httptools

from ragwortstand.exceptions import BackendServerError
from ragwortstand.verdicts import Answered, Header, Headers, Verdict

CONNECT_TIMEOUT_S = 1.0
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Address of a backend server."""

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class WireRequest:
    """A request as it goes over a connection.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: end-to-end headers, names in lower case.
    :param body: the whole body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes


class HttpConnection(Protocol):
    """A connection that carries one exchange at a time."""

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may follow."""

    async def exchange(self, request: WireRequest) -> Answered:
        """Send a request and return the whole answer."""

    def close(self) -> None:
        """Close the connection at once."""


Connect = Callable[[Endpoint, int], Awaitable[HttpConnection]]


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection."""
    return tuple(pair for pair in headers if pair[0] not in _HOP_BY_HOP)


class HttptoolsConnection(asyncio.Protocol):
    """HTTP/1.1 connection over the httptools parser.

    :param endpoint: address of the server.
    :param max_answer_bytes: limit of an answer's body.
    """

    def __init__(self, endpoint: Endpoint, max_answer_bytes: int) -> None:
        """Prepare a connection that is not open yet."""
        self._host = f'{endpoint.address}:{endpoint.port}'.encode()
        self._max_answer_bytes = max_answer_bytes
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Answered] | None = None
        self._reset()

    @classmethod
    async def connect(
        cls,
        endpoint: Endpoint,
        max_answer_bytes: int,
    ) -> 'HttptoolsConnection':
        """Open a connection.

        :raises BackendServerError: when the server does not accept in time.
        """
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: cls(endpoint, max_answer_bytes),
                    endpoint.address,
                    endpoint.port,
                )
        except OSError as error:
            raise BackendServerError(str(error), Verdict.NOT_RUN) from error
        return connection

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may follow."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    async def exchange(self, request: WireRequest) -> Answered:
        """Send a request and return the whole answer.

        :raises BackendServerError: when the connection ends early.
        """
        if self._transport is None or self._transport.is_closing():
            raise BackendServerError('connection is closed', Verdict.NOT_RUN)
        self._reset()
        self._is_head = request.method == 'HEAD'
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(_encode(request, self._host))
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._answer = None

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the open transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that was under way."""
        self._transport = None
        self._fail(f'connection lost: {exc}')

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._answer is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f'malformed answer: {error}')
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """End the answer to HEAD, which has no body."""
        if self._is_head:
            self._finish()
            self.close()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._size_bytes += len(body)
        if self._size_bytes > self._max_answer_bytes:
            self._fail('answer exceeds the limit')
            self.close()
            return
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Deliver the answer."""
        if self._parser.get_status_code() >= 200:
            self._finish()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._parts: list[bytes] = []
        self._size_bytes = 0
        self._is_head = False

    def _finish(self) -> None:
        if self._answer is None or self._answer.done():
            return
        if not self._parser.should_keep_alive():
            self.close()
        answered = Answered(
            self._parser.get_status_code(),
            end_to_end(tuple(self._headers)),
            b''.join(self._parts),
        )
        self._answer.set_result(answered)

    def _fail(self, problem: str) -> None:
        if self._answer is not None and not self._answer.done():
            error = BackendServerError(problem, Verdict.MAY_HAVE_RUN)
            self._answer.set_exception(error)


class HttpcoreConnection:
    """HTTP/1.1 connection of httpcore; the baseline.

    :param connection: the library's connection.
    :param endpoint: address of the server.
    :param max_answer_bytes: limit of an answer's body.
    """

    def __init__(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        endpoint: Endpoint,
        max_answer_bytes: int,
    ) -> None:
        """Wrap an open connection."""
        self._connection = connection
        self._url = f'http://{endpoint.address}:{endpoint.port}'
        self._max_answer_bytes = max_answer_bytes
        self._is_closed = False

    @classmethod
    async def connect(
        cls,
        endpoint: Endpoint,
        max_answer_bytes: int,
    ) -> 'HttpcoreConnection':
        """Open a connection.

        :raises BackendServerError: when the server does not accept in time.
        """
        origin = httpcore.Origin(
            b'http', endpoint.address.encode(), endpoint.port
        )
        try:
            stream = await httpcore.AnyIOBackend().connect_tcp(
                endpoint.address, endpoint.port, timeout=CONNECT_TIMEOUT_S
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise BackendServerError(str(error), Verdict.NOT_RUN) from error
        connection = httpcore.AsyncHTTP11Connection(origin, stream)
        return cls(connection, endpoint, max_answer_bytes)

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may follow."""
        if self._is_closed or self._connection.is_closed():
            return False
        return not self._connection.has_expired()

    async def exchange(self, request: WireRequest) -> Answered:
        """Send a request and return the whole answer.

        :raises BackendServerError: when the connection ends early.
        """
        try:
            answer = await self._connection.request(
                request.method,
                self._url + request.target,
                headers=list(end_to_end(request.headers)),
                content=request.body,
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            problem = str(error)
            verdict = Verdict.MAY_HAVE_RUN
            raise BackendServerError(problem, verdict) from error
        if len(answer.content) > self._max_answer_bytes:
            problem = 'answer exceeds the limit'
            raise BackendServerError(problem, Verdict.MAY_HAVE_RUN)
        headers = tuple((name.lower(), text) for name, text in answer.headers)
        return Answered(answer.status, end_to_end(headers), answer.content)

    def close(self) -> None:
        """Close the connection as soon as the event loop allows."""
        self._is_closed = True
        closing = asyncio.ensure_future(self._connection.aclose())
        closing.add_done_callback(_ignore_failure)


@dataclass(frozen=True, slots=True)
class _Idle:
    connection: HttpConnection
    since_s: float


class ConnectionPool:
    """Open connections to one backend server, bounded in number.

    :param connect: opens a connection.
    :param endpoint: address of the server.
    :param limit: connections that may be open at once.
    :param max_answer_bytes: limit of an answer's body.
    """

    def __init__(
        self,
        connect: Connect,
        endpoint: Endpoint,
        limit: int,
        max_answer_bytes: int,
    ) -> None:
        """Start without connections."""
        self._connect = connect
        self._endpoint = endpoint
        self._limit = limit
        self._max_answer_bytes = max_answer_bytes
        self._idle: deque[_Idle] = deque()
        self.in_use = 0

    async def acquire(self, reuse_s: float, now_s: float) -> HttpConnection:
        """Return a connection for one exchange.

        :param reuse_s: age up to which an idle connection is used again.
        :param now_s: present time.
        :raises BackendServerError: when no connection can be opened.
        """
        while self._idle:
            idle = self._idle.pop()
            is_fresh = now_s - idle.since_s <= reuse_s
            if is_fresh and idle.connection.is_reusable:
                self.in_use += 1
                return idle.connection
            idle.connection.close()
        if self.in_use >= self._limit:
            problem = f'all {self._limit} connections are in use'
            raise BackendServerError(problem, Verdict.NOT_RUN)
        self.in_use += 1
        try:
            return await self._connect(self._endpoint, self._max_answer_bytes)
        except BaseException:
            self.in_use -= 1
            raise

    def release(self, connection: HttpConnection, now_s: float) -> None:
        """Take a connection back after an exchange.

        :param connection: the connection.
        :param now_s: present time.
        """
        self.in_use -= 1
        if connection.is_reusable:
            self._idle.append(_Idle(connection, now_s))
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().connection.close()


def _encode(request: WireRequest, host: bytes) -> bytes:
    size = len(request.body)
    lines = [
        f'{request.method} {request.target} HTTP/1.1\r\n'.encode(),
        b'host: %b\r\ncontent-length: %d\r\n' % (host, size),
    ]
    lines.extend(
        b'%b: %b\r\n' % pair
        for pair in request.headers
        if pair[0] not in _HOP_BY_HOP
    )
    lines.append(b'\r\n')
    lines.append(request.body)
    return b''.join(lines)


def _ignore_failure(closing: 'asyncio.Future[None]') -> None:
    if not closing.cancelled():
        closing.exception()
