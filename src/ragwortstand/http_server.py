"""ragwortstand.http_server: HTTP/1.1 server with parallel pipelining.

Pipelined requests run side by side and are answered in their order. Requests
and answers are held whole, so an answer is sent whole or not at all.
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
from ragwortstand.lingering import LingeringClose
from ragwortstand.models import CallerLimits
from ragwortstand.verdicts import Answered, Header, Headers

#: Connections that may wait to be accepted; a fleet's clients return at once.
BACKLOG = 1024
# Requests of one connection that run side by side, and how many may be left
# before more are read.
_MAX_PIPELINED = 32
_RESUME_PIPELINED = 16
# How often header and idle timeouts are checked; well below either limit.
_SWEEP_S = 1.0
# A connection is left alone this long before its first request: callers send
# it as soon as they are connected, one round trip later.
_FIRST_REQUEST_S = 0.3
# Size of a chunk in hexadecimal, a short extension, and the line ends.
_CHUNK_FRAMING_BYTES = 32
# Statuses whose answers have no body (RFC 9110, section 6.4.1).
_WITHOUT_BODY = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request of a caller.

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


class Ending(enum.Enum):
    """Why the connection of a request ended before its answer."""

    CALLER = 'caller'
    STOP = 'stop'
    ANSWER_BEFORE = 'answer-before'


Answer: TypeAlias = Callable[[CallerRequest], Awaitable[Answered]]


@dataclass(slots=True, eq=False)
class _Exchange:
    request: CallerRequest
    keeps_alive: bool
    answered: Answered | None = None
    task: 'asyncio.Task[None] | None' = None


@dataclass(slots=True)
class _Incoming:
    """The parts of a request that is being read.

    `header_bytes` counts what was read before the headers ended,
    `whole_bytes` the headers and trailers that are whole, and `framing_bytes`
    what was read after the headers beside the body and short chunk sizes.
    """

    since_s: float
    url: bytes = b''
    headers: list[Header] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    header_bytes: int = 0
    whole_bytes: int = 0
    body_bytes: int = 0
    framing_bytes: int = 0
    has_headers: bool = False


class HttpServer:
    """Serves one address; `answer` is called once for each request.

    Usage::

        >>> server = HttpServer(answer, limits, log)
        >>> await server.serve(listener)

    :param answer: returns the whole answer to a request.
    :param limits: returns the bounds on requests that are in force.
    :param log: tells of failures of `answer`.
    """

    def __init__(
        self,
        answer: Answer,
        limits: Callable[[], CallerLimits],
        log: EventLog,
    ) -> None:
        """Start without connections."""
        self.answer = answer
        self.limits = limits
        self.log = log
        self.is_closing = False
        self._listening: asyncio.Server | None = None
        self.connections: set[CallerConnection] = set()

    @property
    def in_flight(self) -> int:
        """Return how many requests are under way.

        A request is under way until the operating system has the last byte
        of its answer. New connections count as one request for a moment.
        """
        now_s = clock.now_s()
        return sum(one.in_flight(now_s) for one in self.connections)

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of answers wait for their connections."""
        return sum(one.unsent_bytes for one in self.connections)

    async def serve(self, listener: socket.socket) -> None:
        """Accept connections until cancelled.

        :param listener: a bound socket.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(self), sock=listener, backlog=BACKLOG
        )
        self._listening = server
        try:
            while True:
                await anyio.sleep(_SWEEP_S)
                self._sweep(clock.now_s())
        finally:
            server.close()
            for connection in tuple(self.connections):
                connection.end(Ending.STOP)

    def stop_listening(self) -> None:
        """Accept no further connections; those that are open go on."""
        if self._listening:
            self._listening.close()

    def close_idle(self) -> None:
        """End kept connections: idle ones now, others with their answers."""
        self.is_closing = True
        now_s = clock.now_s()
        for connection in tuple(self.connections):
            connection.close_if_idle(now_s)

    def _sweep(self, now_s: float) -> None:
        limits = self.limits()
        for connection in tuple(self.connections):
            connection.expire(limits, now_s)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param server: the server that accepted it.
    """

    def __init__(self, server: HttpServer) -> None:
        """Start without requests."""
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._incoming: _Incoming | None = None
        self._opened_at_s = clock.now_s()
        self._idle_since_s = self._opened_at_s
        self._has_begun = False
        self._lingering: LingeringClose | None = None
        self._is_refused = False
        self._has_completed = False
        self.exchanges: deque[_Exchange] = deque()

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes the operating system has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the open transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller no longer waits for."""
        if exc is not None:
            self._server.log.emit(
                Event.CONNECTION_ENDED,
                problem=repr(exc),
                requests=len(self.exchanges),
            )
        self._transport = None
        self._server.connections.discard(self)
        self._cancel_all(Ending.CALLER)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._is_refused or self._lingering:
            return
        self._has_begun = True
        self._has_completed = False
        reading = self._incoming
        if reading and reading.has_headers:
            reading.framing_bytes += len(data)
        else:
            reading = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)
        self._check_header_size(len(data))
        self._check_framing(reading)

    def on_message_begin(self) -> None:
        """Start to collect a request."""
        self._incoming = _Incoming(clock.now_s())

    def on_url(self, url: bytes) -> None:
        """Collect a part of the target."""
        if self._incoming:
            self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        incoming = self._incoming
        if incoming:
            incoming.headers.append((name.lower(), value))
            incoming.whole_bytes += len(name) + len(value)

    def on_chunk_header(self) -> None:
        """Leave the framing of a chunk out of account."""
        if self._incoming:
            self._incoming.framing_bytes -= _CHUNK_FRAMING_BYTES

    def on_headers_complete(self) -> None:
        """Check what the headers announce."""
        incoming = self._incoming
        if incoming is None:
            return
        incoming.has_headers = True
        headers = dict(incoming.headers)
        announced = headers.get(b'content-length', b'0')
        limits = self._server.limits()
        if incoming.whole_bytes > limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif announced.isdigit() and int(announced) > limits.max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif headers.get(b'expect', b'').lower() == b'100-continue':
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        incoming = self._incoming
        if incoming is None or self._is_refused:
            return
        incoming.body_bytes += len(body)
        incoming.framing_bytes -= len(body)
        if incoming.body_bytes > self._server.limits().max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        incoming.body += body

    def on_message_complete(self) -> None:
        """Start to answer the request."""
        incoming = self._incoming
        self._incoming = None
        self._has_completed = True
        if incoming is None or self._is_refused:
            return
        if incoming.whole_bytes > self._server.limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        request = CallerRequest(
            self._parser.get_method().decode('ascii'),
            incoming.url.decode('latin-1'),
            tuple(incoming.headers),
            bytes(incoming.body),
            clock.now_s(),
        )
        exchange = _Exchange(request, self._parser.should_keep_alive())
        self.exchanges.append(exchange)
        if len(self.exchanges) >= _MAX_PIPELINED and self._transport:
            self._transport.pause_reading()
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._run(exchange))

    def in_flight(self, now_s: float) -> int:
        """Return how many requests are under way.

        :param now_s: present time.
        """
        is_busy = (
            self._incoming is not None
            or self._lingering is not None
            or self._is_new(now_s)
            or self.unsent_bytes > 0
        )
        return max(len(self.exchanges), int(is_busy))

    def close_if_idle(self, now_s: float) -> None:
        """Close the connection unless a request is under way.

        :param now_s: present time.
        """
        if self._transport and not self.in_flight(now_s):
            self._transport.close()

    def end(self, ending: Ending) -> None:
        """Close the connection and cancel what is under way on it.

        :param ending: why.
        """
        if self._transport:
            self._transport.close()
        self._cancel_all(ending)

    def expire(self, limits: CallerLimits, now_s: float) -> None:
        """Close the connection when its caller takes too long.

        :param limits: the bounds in force.
        :param now_s: present time.
        """
        incoming = self._incoming
        if incoming and not incoming.has_headers:
            if now_s - incoming.since_s > limits.header_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif now_s - self._idle_since_s > limits.idle_timeout_s:
            if self.unsent_bytes and not self.exchanges:
                self._linger()
            self.close_if_idle(now_s)

    async def _run(self, exchange: _Exchange) -> None:
        try:
            exchange.answered = await self._server.answer(exchange.request)
        except Exception as error:
            self._server.log.emit(
                Event.TASK_FAILED,
                task='answer',
                problem=repr(error),
            )
            exchange.answered = Answered(500, (), b'')
        self._send_ready()

    def _send_ready(self) -> None:
        """Send the answers that are next in the order of the requests."""
        while self.exchanges and self.exchanges[0].answered:
            exchange = self.exchanges.popleft()
            self._send(exchange)
        self._idle_since_s = clock.now_s()
        if self._transport and len(self.exchanges) < _RESUME_PIPELINED:
            self._transport.resume_reading()

    def _send(self, exchange: _Exchange) -> None:
        """Send one answer.

        While the server closes, the last answer under way ends the
        connection; one before it would discard the requests behind it.
        """
        is_last = not exchange.keeps_alive
        if self._server.is_closing and not self.exchanges:
            is_last = is_last or self._incoming is None
        if exchange.answered is not None:
            is_head = exchange.request.method == 'HEAD'
            self._write(encode_answer(exchange.answered, is_last, is_head))
        if is_last and (exchange.keeps_alive or self._is_refused):
            self._linger()
        elif is_last:
            self.end(Ending.ANSWER_BEFORE)

    def _is_new(self, now_s: float) -> bool:
        """Return whether the first request may still be on its way."""
        if self._has_begun:
            return False
        return now_s - self._opened_at_s < _FIRST_REQUEST_S

    def _linger(self) -> None:
        """End the sending side, and close when the caller has done so too.

        What comes in from now on was sent behind an answer that ends the
        connection, and is discarded.
        """
        if self._lingering or not self._transport:
            return
        self._cancel_all(Ending.ANSWER_BEFORE)
        self._lingering = LingeringClose(self._transport)

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request that can't be read, after those before it."""
        if self._is_refused:
            return
        self._is_refused = True
        self._incoming = None
        request = CallerRequest('', '', (), b'', clock.now_s())
        exchange = _Exchange(request, keeps_alive=False)
        exchange.answered = Answered(status, (), b'')
        self.exchanges.append(exchange)
        self._send_ready()

    def _check_header_size(self, read_bytes: int) -> None:
        """Bound headers that have not ended with what was read.

        Bytes that came together with the end of a request before are left
        out, as part of them belongs to that one.
        """
        incoming = self._incoming
        if incoming is None or incoming.has_headers or self._has_completed:
            return
        incoming.header_bytes += read_bytes
        if incoming.header_bytes > self._server.limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _check_framing(self, reading: _Incoming | None) -> None:
        """Bound trailers, and what comes with a body and is none of it.

        What short chunks leave over is not kept for later.

        :param reading: the request whose body the bytes belong to; None where
            its headers came with them, as those were counted by themselves.
        """
        incoming = self._incoming
        if incoming is None:
            return
        is_counted = incoming is reading
        framing_bytes = max(0, incoming.framing_bytes) if is_counted else 0
        incoming.framing_bytes = framing_bytes
        size_bytes = max(framing_bytes, incoming.whole_bytes)
        if size_bytes > self._server.limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _write(self, wire: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(wire)

    def _cancel_all(self, ending: Ending) -> None:
        for exchange in self.exchanges:
            if exchange.task:
                exchange.task.cancel(ending)
        self.exchanges.clear()


def encode_answer(answered: Answered, is_last: bool, is_head: bool) -> bytes:
    """Return an answer as it goes over the connection.

    :param answered: the answer.
    :param is_last: whether the connection ends with it.
    :param is_head: whether it answers a HEAD request.
    """
    lines = [b'HTTP/1.1 %d %b\r\n' % (answered.status, _phrase(answered))]
    lines.extend(b'%b: %b\r\n' % pair for pair in answered.headers)
    has_body = answered.status not in _WITHOUT_BODY
    if has_body:
        lines.append(b'content-length: %d\r\n' % len(answered.body))
    if is_last:
        lines.append(b'connection: close\r\n')
    lines.append(b'\r\n')
    if has_body and not is_head:
        lines.append(answered.body)
    return b''.join(lines)


def _phrase(answered: Answered) -> bytes:
    try:
        return HTTPStatus(answered.status).phrase.encode()
    except ValueError:
        return b'Status'
