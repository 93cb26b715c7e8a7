"""ragwortstand.backend_servers.clients: two HTTP clients for one protocol.

httptools, the parser that uvicorn uses, works directly on a transport;
httpcore is the baseline.
"""

import asyncio
import socket
from typing import cast

import anyio
import httpcore
import httptools

from ragwortstand.backend_servers.connections import (
    HOP_BY_HOP,
    Endpoint,
    WireRequest,
    end_to_end,
)
from ragwortstand.exceptions import (
    AnswerTooLargeError,
    BackendServerError,
)
from ragwortstand.verdicts import Answered, Header, Verdict

CONNECT_TIMEOUT_S = 1.0
# Seconds of silence before a probe and between probes, and how many.
_KEEPALIVE = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 3),
)


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
        _watch_connection(transport.get_extra_info('socket'))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that was under way."""
        self._transport = None
        problem = f'connection lost: {exc}'
        self._fail(BackendServerError(problem, Verdict.MAY_HAVE_RUN))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._answer is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            problem = f'malformed answer: {error}'
            self._fail(BackendServerError(problem, Verdict.MAY_HAVE_RUN))
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
            self._fail(AnswerTooLargeError())
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

    def _fail(self, error: BackendServerError) -> None:
        if self._answer is not None and not self._answer.done():
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
            raise AnswerTooLargeError
        headers = tuple((name.lower(), text) for name, text in answer.headers)
        return Answered(answer.status, end_to_end(headers), answer.content)

    def close(self) -> None:
        """Close the connection as soon as the event loop allows."""
        self._is_closed = True
        closing = asyncio.ensure_future(self._connection.aclose())
        closing.add_done_callback(_ignore_failure)


def _encode(request: WireRequest, host: bytes) -> bytes:
    size = len(request.body)
    lines = [
        f'{request.method} {request.target} HTTP/1.1\r\n'.encode(),
        b'host: %b\r\ncontent-length: %d\r\n' % (host, size),
    ]
    lines.extend(
        b'%b: %b\r\n' % pair
        for pair in request.headers
        if pair[0] not in HOP_BY_HOP
    )
    lines.append(b'\r\n')
    lines.append(request.body)
    return b''.join(lines)


def _watch_connection(connection: socket.socket | None) -> None:
    """Let the kernel end a connection whose other end is out of reach."""
    if connection is None:
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, amount in _KEEPALIVE:
        connection.setsockopt(socket.IPPROTO_TCP, option, amount)


def _ignore_failure(closing: 'asyncio.Future[None]') -> None:
    if not closing.cancelled():
        closing.exception()
