"""ragwortstand.http_server: HTTP/1.1 server with concurrent pipelining.

Pipelined requests run concurrently and their responses are sent in the order
of the requests. Requests and responses are buffered completely, so a response
is sent as a whole or not at all.
"""

import asyncio
import enum
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeAlias, cast

import anyio
import httptools

from ragwortstand import clock
from ragwortstand.events import Event, EventLog
from ragwortstand.lingering_close import LingeringClose
from ragwortstand.models import CallerLimits
from ragwortstand.verdicts import Answered, Header, Headers

#: Connections that may wait to be accepted; all clients of a fleet may
#: reconnect at the same time.
BACKLOG = 1024
# Maximum number of concurrent requests of one connection. Reading pauses at the
# first number and resumes below the second.
_MAX_PIPELINED = 32
_RESUME_READING_BELOW = 16
# Interval of the checks for header and idle timeouts; well below their default
# values.
_TIMEOUT_CHECK_INTERVAL_S = 1.0
# A new connection counts as busy for this time, as its first request may be on
# the way: callers send it once they are connected, one round trip later.
_FIRST_REQUEST_GRACE_S = 0.3
# Framing allowed for each chunk: its size in hexadecimal, a short extension and
# the line ends.
_CHUNK_FRAMING_BYTES = 32
# Statuses whose responses have no body (RFC 9110, section 6.4.1).
_BODILESS_STATUSES = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request of a caller.

    :param method: HTTP method in upper case.
    :param target: path and query as sent.
    :param headers: all headers, names in lower case.
    :param body: the whole body.
    :param arrived_at_s: when its last byte was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at_s: float


class CancelReason(enum.Enum):
    """Why a request was cancelled before its response was sent."""

    CALLER = 'caller'
    STOP = 'stop'
    EARLIER_RESPONSE = 'answer-before'


RequestHandler: TypeAlias = Callable[[CallerRequest], Awaitable[Answered]]


@dataclass(slots=True, eq=False)
class _Exchange:
    request: CallerRequest
    keeps_alive: bool
    response: Answered | None = None
    task: 'asyncio.Task[None] | None' = None


@dataclass(slots=True)
class _PartialRequest:
    """A request that is being read.

    `read_header_bytes` counts the bytes read before the end of the headers,
    `parsed_header_bytes` the complete headers and trailers, and
    `framing_bytes` the bytes read after the headers, without the body and
    `_CHUNK_FRAMING_BYTES` for each chunk.
    """

    started_at_s: float
    url: bytes = b''
    headers: list[Header] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    read_header_bytes: int = 0
    parsed_header_bytes: int = 0
    body_bytes: int = 0
    framing_bytes: int = 0
    has_headers: bool = False


class HttpServer:
    """Listens on one address and calls `handle_request` for each request.

    Usage::

        >>> server = HttpServer(handle_request, limits, log)
        >>> await server.serve(listener)

    :param handle_request: returns the complete response to a request.
    :param limits: returns the limits on requests that are in force.
    :param log: receives failures of `handle_request` and lost connections.
    """

    def __init__(
        self,
        handle_request: RequestHandler,
        limits: Callable[[], CallerLimits],
        log: EventLog,
    ) -> None:
        """Create a server without connections."""
        self.handle_request = handle_request
        self.limits = limits
        self.log = log
        self.is_closing = False
        self._asyncio_server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self.connections: set[CallerConnection] = set()

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight.

        A request is in flight until the operating system has accepted the
        last byte of its response. A new connection counts as one request for
        a short time.
        """
        now_s = clock.now_s()
        return sum(
            connection.in_flight(now_s) for connection in self.connections
        )

    @property
    def unsent_bytes(self) -> int:
        """Return the size of the responses that wait to be sent."""
        return sum(connection.unsent_bytes for connection in self.connections)

    async def serve(self, listener: socket.socket) -> None:
        """Accept connections until cancelled.

        :param listener: a bound socket.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._new_connection, sock=listener, backlog=BACKLOG
        )
        self._asyncio_server = server
        self._listener = listener
        try:
            while True:
                await anyio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
                self._close_timed_out(clock.now_s())
        finally:
            server.close()
            for connection in tuple(self.connections):
                connection.close_and_cancel(CancelReason.STOP)

    async def stop_listening(self) -> None:
        """Stop accepting connections; open connections stay open.

        Callers' connections that wait to be accepted would be reset with the
        socket, so they are accepted first.
        """
        if self._asyncio_server is None or self._listener is None:
            return
        with self._listener.dup() as listener:
            self._listener = None
            self._asyncio_server.close()
            waiting = self._accept_waiting(listener)
        loop = asyncio.get_running_loop()
        for connection in waiting:
            await loop.connect_accepted_socket(self._new_connection, connection)

    def close_idle(self) -> None:
        """Close idle connections now and the others after their responses."""
        self.is_closing = True
        now_s = clock.now_s()
        for connection in tuple(self.connections):
            connection.close_if_idle(now_s)

    def _new_connection(self) -> 'CallerConnection':
        return CallerConnection(self)

    def _accept_waiting(self, listener: socket.socket) -> list[socket.socket]:
        """Return the connections that wait to be accepted, as they are now."""
        listener.setblocking(False)
        waiting: list[socket.socket] = []
        while len(waiting) < BACKLOG:
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as error:
                self.log.emit(
                    Event.CONNECTION_ENDED, problem=repr(error), requests=0
                )
                break
            connection.setblocking(False)
            waiting.append(connection)
        return waiting

    def _close_timed_out(self, now_s: float) -> None:
        limits = self.limits()
        for connection in tuple(self.connections):
            connection.close_if_timed_out(limits, now_s)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param server: the server that accepted it.
    """

    def __init__(self, server: HttpServer) -> None:
        """Create a connection without requests."""
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._partial: _PartialRequest | None = None
        self._opened_at_s = clock.now_s()
        self._idle_since_s = self._opened_at_s
        self._has_received_data = False
        self._lingering_close: LingeringClose | None = None
        self._has_refused_request = False
        self._has_completed_request = False
        self.exchanges: deque[_Exchange] = deque()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait in the write buffer."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the connection's requests, as their caller is gone."""
        if exc is not None:
            self._server.log.emit(
                Event.CONNECTION_ENDED,
                problem=repr(exc),
                requests=len(self.exchanges),
            )
        self._transport = None
        self._server.connections.discard(self)
        self._cancel_all(CancelReason.CALLER)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and check the size limits."""
        if self._has_refused_request or self._lingering_close:
            return
        self._has_received_data = True
        self._has_completed_request = False
        body_request = self._partial
        if body_request and body_request.has_headers:
            body_request.framing_bytes += len(data)
        else:
            body_request = None
        self._parse(data)
        self._check_header_size(len(data))
        self._check_framing(body_request)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._partial = _PartialRequest(clock.now_s())

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        if self._partial:
            self._partial.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header or trailer."""
        partial = self._partial
        if partial:
            partial.headers.append((name.lower(), value))
            partial.parsed_header_bytes += len(name) + len(value)

    def on_chunk_header(self) -> None:
        """Exempt the usual framing of a chunk from the size limit."""
        if self._partial:
            self._partial.framing_bytes -= _CHUNK_FRAMING_BYTES

    def on_headers_complete(self) -> None:
        """Check the headers' size, content length and `expect`."""
        partial = self._partial
        if partial is None or self._parser.should_upgrade():
            return
        partial.has_headers = True
        headers = dict(partial.headers)
        content_length = headers.get(b'content-length', b'0')
        limits = self._server.limits()
        if partial.parsed_header_bytes > limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif (
            content_length.isdigit()
            and int(content_length) > limits.max_body_bytes
        ):
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif headers.get(b'expect', b'').lower() == b'100-continue':
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        partial = self._partial
        if partial is None or self._has_refused_request:
            return
        partial.body_bytes += len(body)
        partial.framing_bytes -= len(body)
        if partial.body_bytes > self._server.limits().max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        partial.body += body

    def on_message_complete(self) -> None:
        """Check the headers' size and run the request."""
        if self._parser.should_upgrade():
            # The parser has skipped the body; `_parse` reads it.
            return
        partial = self._partial
        self._partial = None
        self._has_completed_request = True
        if partial is None or self._has_refused_request:
            return
        if partial.parsed_header_bytes > self._server.limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        request = CallerRequest(
            self._parser.get_method().decode('ascii'),
            partial.url.decode('latin-1'),
            tuple(partial.headers),
            bytes(partial.body),
            clock.now_s(),
        )
        exchange = _Exchange(request, self._parser.should_keep_alive())
        self.exchanges.append(exchange)
        if len(self.exchanges) >= _MAX_PIPELINED and self._transport:
            self._transport.pause_reading()
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._run(exchange))

    def in_flight(self, now_s: float) -> int:
        """Return the number of requests in flight.

        :param now_s: current time.
        """
        age_s = now_s - self._opened_at_s
        awaits_request = (
            not self._has_received_data and age_s < _FIRST_REQUEST_GRACE_S
        )
        is_busy = (
            self._partial is not None
            or self._lingering_close is not None
            or awaits_request
            or self.unsent_bytes > 0
        )
        return max(len(self.exchanges), int(is_busy))

    def close_if_idle(self, now_s: float) -> None:
        """Close the connection unless a request is in flight.

        :param now_s: current time.
        """
        if self._transport and not self.in_flight(now_s):
            self._transport.close()

    def close_and_cancel(self, reason: CancelReason) -> None:
        """Close the connection and cancel its requests.

        :param reason: why the requests are cancelled.
        """
        if self._transport:
            self._transport.close()
        self._cancel_all(reason)

    def close_if_timed_out(self, limits: CallerLimits, now_s: float) -> None:
        """Refuse slow headers and close a connection that is idle too long.

        :param limits: the limits in force.
        :param now_s: current time.
        """
        partial = self._partial
        if partial and not partial.has_headers:
            if now_s - partial.started_at_s > limits.header_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif now_s - self._idle_since_s > limits.idle_timeout_s:
            if self.unsent_bytes and not self.exchanges:
                self._start_lingering_close()
            self.close_if_idle(now_s)

    def _parse(self, data: bytes) -> None:
        """Parse received bytes, and run requests as if `upgrade` was not there.

        A server may ignore it (RFC 9110, section 7.8). As the parser ends such
        a request with its headers, another one reads it again without it.
        """
        remaining = data
        while remaining and not self._has_refused_request:
            try:
                self._parser.feed_data(remaining)
            except httptools.HttpParserUpgrade as upgrade:
                head = _head_without_upgrade(self._parser, self._partial)
                remaining = head + remaining[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                if not head:
                    self._refuse(HTTPStatus.NOT_IMPLEMENTED)
                continue
            except httptools.HttpParserError:
                self._refuse(HTTPStatus.BAD_REQUEST)
            return

    async def _run(self, exchange: _Exchange) -> None:
        try:
            exchange.response = await self._server.handle_request(
                exchange.request
            )
        except Exception as error:
            self._server.log.emit(
                Event.TASK_FAILED,
                task='answer',
                problem=repr(error),
            )
            exchange.response = Answered(500, (), b'')
        self._send_completed()

    def _send_completed(self) -> None:
        """Send all completed responses at the head of the queue."""
        while self.exchanges and self.exchanges[0].response:
            exchange = self.exchanges.popleft()
            self._send(exchange)
        self._idle_since_s = clock.now_s()
        if self._transport and len(self.exchanges) < _RESUME_READING_BELOW:
            self._transport.resume_reading()

    def _send(self, exchange: _Exchange) -> None:
        """Send one response.

        While the server closes, only the last pending response closes the
        connection; closing it earlier would discard later requests.
        """
        is_last = not exchange.keeps_alive
        if self._server.is_closing and not self.exchanges:
            is_last = is_last or self._partial is None
        if exchange.response is not None:
            is_head = exchange.request.method == 'HEAD'
            self._write(encode_response(exchange.response, is_last, is_head))
        if is_last and (exchange.keeps_alive or self._has_refused_request):
            self._start_lingering_close()
        elif is_last:
            self.close_and_cancel(CancelReason.EARLIER_RESPONSE)

    def _start_lingering_close(self) -> None:
        """Shut down the sending side and close once the caller has too.

        Requests that arrive from now on follow a response that closes the
        connection, and are discarded.
        """
        if self._lingering_close or not self._transport:
            return
        self._cancel_all(CancelReason.EARLIER_RESPONSE)
        self._lingering_close = LingeringClose(self._transport)

    def _refuse(self, status: HTTPStatus) -> None:
        """Refuse the request being read, with an error response.

        The response is sent after those of earlier requests.
        """
        if self._has_refused_request:
            return
        self._has_refused_request = True
        self._partial = None
        request = CallerRequest('', '', (), b'', clock.now_s())
        exchange = _Exchange(request, keeps_alive=False)
        exchange.response = Answered(status, (), b'')
        self.exchanges.append(exchange)
        self._send_completed()

    def _check_header_size(self, read_bytes: int) -> None:
        """Limit the size of headers that are not complete yet.

        Bytes read together with the end of a previous request are not
        counted, as a part of them belongs to that request.
        """
        partial = self._partial
        if (
            partial is None
            or partial.has_headers
            or self._has_completed_request
        ):
            return
        partial.read_header_bytes += read_bytes
        if partial.read_header_bytes > self._server.limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _check_framing(self, body_request: _PartialRequest | None) -> None:
        """Limit the size of trailers and of chunk framing.

        Chunks with less framing than `_CHUNK_FRAMING_BYTES` earn no credit
        for later chunks.

        :param body_request: the request whose body the bytes belong to; None if
            its headers came with them, as headers are counted separately.
        """
        partial = self._partial
        if partial is None:
            return
        is_counted = partial is body_request
        framing_bytes = max(0, partial.framing_bytes) if is_counted else 0
        partial.framing_bytes = framing_bytes
        size_bytes = max(framing_bytes, partial.parsed_header_bytes)
        if size_bytes > self._server.limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _write(self, encoded: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(encoded)

    def _cancel_all(self, reason: CancelReason) -> None:
        for exchange in self.exchanges:
            if exchange.task:
                exchange.task.cancel(reason)
        self.exchanges.clear()


def encode_response(response: Answered, is_last: bool, is_head: bool) -> bytes:
    """Encode a response as HTTP/1.1.

    :param response: the response.
    :param is_last: whether the connection closes after it.
    :param is_head: whether it responds to a HEAD request.
    """
    lines = [
        b'HTTP/1.1 %d %b\r\n' % (response.status, _reason_phrase(response))
    ]
    lines.extend(b'%b: %b\r\n' % pair for pair in response.headers)
    has_body = response.status not in _BODILESS_STATUSES
    if has_body:
        lines.append(b'content-length: %d\r\n' % len(response.body))
    if is_last:
        lines.append(b'connection: close\r\n')
    lines.append(b'\r\n')
    if has_body and not is_head:
        lines.append(response.body)
    return b''.join(lines)


def _head_without_upgrade(
    parser: httptools.HttpRequestParser, partial: _PartialRequest | None
) -> bytes:
    """Return the head of a request without `upgrade`; empty for `CONNECT`.

    :param parser: the parser of the request.
    :param partial: the request.
    """
    method = parser.get_method()
    if partial is None or method == b'CONNECT':
        return b''
    version = parser.get_http_version().encode()
    lines = [b'%b %b HTTP/%b' % (method, partial.url, version)]
    lines.extend(
        b'%b: %b' % header
        for header in partial.headers
        if header[0] != b'upgrade'
    )
    return b'\r\n'.join((*lines, b'', b''))


def _reason_phrase(response: Answered) -> bytes:
    try:
        return HTTPStatus(response.status).phrase.encode()
    except ValueError:
        return b'Status'
