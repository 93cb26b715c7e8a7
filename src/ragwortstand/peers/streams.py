"""ragwortstand.peers.streams: links to other daemons over plain streams.

One connection for each peer and direction carries many requests at once.
Each frame has a length, a kind, a number and a body; a reply bears the number
of its request. A link on which nothing is heard while requests wait is
checked with beats and reset when those are not answered either.
"""

import asyncio
import enum
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, TypeAlias, cast

import anyio
import msgspec

from ragwortstand import clock
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PeerError, PeerSilentError
from ragwortstand.ids import HostId, PeerAddress
from ragwortstand.metrics import Metrics
from ragwortstand.peers.messages import (
    Envelope,
    Refusal,
    Reply,
    Request,
    Work,
    WorkDone,
    decode_envelope,
    decode_reply,
    encode,
    work_done,
)
from ragwortstand.sockets import Vigilance, watch_connection
from ragwortstand.verdicts import Cause, Unknown, Verdict

#: Time to open a connection: several round trips of 24 ms between regions. A
#: lost first packet is repeated after 1 s only, which no request waits for.
CONNECT_TIMEOUT_S = 0.25
# A peer that does not accept is not dialled again for this long, so that
# requests are refused at once and go elsewhere.
_REDIAL_PAUSE_S = 0.3
# Silence while requests wait, after which a beat asks for a sign of life:
# the peer answers it at once, whatever its backend server does.
_BEAT_AFTER_S = 0.2
# Silence after which no more work is sent over the link: beyond a beat, half
# a retransmission timeout of TCP (0.2 s) and a round trip between regions.
_SILENT_AFTER_S = 0.4
# Silence after which the link is reset: several retransmissions.
_DEAD_AFTER_S = 0.9
_WATCH_S = 0.1
# An unused link that fails is noticed by the probes; sent bytes may stay
# unacknowledged for several retransmissions between regions.
_VIGILANCE = Vigilance(idle_s=2, probes=2, unacknowledged_ms=2000)
_HEADER = struct.Struct('!IBI')
_BACKLOG = 512


class FrameKind(enum.IntEnum):
    """What a frame carries."""

    REQUEST = 1
    REPLY = 2
    BEAT = 3
    BEAT_REPLY = 4


class _Frames(asyncio.Protocol):
    """Cuts the bytes of a connection into frames."""

    def __init__(self, max_frame_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.heard_at_s = clock.now_s()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        watch_connection(transport.get_extra_info('socket'), _VIGILANCE)

    def data_received(self, data: bytes) -> None:
        self.heard_at_s = clock.now_s()
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _HEADER.size:
            size, kind, number = _HEADER.unpack_from(buffer, start)
            if size > self._max_frame_bytes:
                self.abort()
                return
            end = start + _HEADER.size + size
            if len(buffer) < end:
                break
            body = bytes(buffer[start + _HEADER.size : end])
            start = end
            self.on_frame(kind, number, body)
        self._buffer = buffer[start:]

    def send(self, kind: FrameKind, number: int, body: bytes = b'') -> None:
        if self.transport is not None and not self.transport.is_closing():
            header = _HEADER.pack(len(body), kind, number)
            self.transport.write(header + body)

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        raise NotImplementedError

    def abort(self) -> None:
        """Reset the connection, so that bytes under way are not delivered.

        A request that was given up must not arrive when the network heals.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        connection = transport.get_extra_info('socket')
        if connection is not None:
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()


class _Waiting(NamedTuple):
    """A request whose reply is awaited.

    :param reply: the reply, once it is there.
    :param is_patient: wait for the reply also while the link is silent.
    """

    reply: 'asyncio.Future[bytes]'
    is_patient: bool


class _Dialled(_Frames):
    """The asking end of a connection."""

    def __init__(self, max_frame_bytes: int) -> None:
        super().__init__(max_frame_bytes)
        self.waiting: dict[int, _Waiting] = {}
        self.is_lost = False
        self._number = 0

    async def ask(
        self,
        wire: bytes,
        timeout_s: float,
        is_patient: bool,
    ) -> bytes:
        now_s = clock.now_s()
        if not self.waiting:
            self.heard_at_s = now_s
        self._number += 1
        number = self._number
        loop = asyncio.get_running_loop()
        reply = loop.create_future()
        self.waiting[number] = _Waiting(reply, is_patient)
        timer = loop.call_later(timeout_s, _expire, reply, timeout_s)
        try:
            self.send(FrameKind.REQUEST, number, wire)
            return cast(bytes, await reply)
        finally:
            timer.cancel()
            self.waiting.pop(number, None)

    def is_silent(self, now_s: float) -> bool:
        """Tell whether requests wait and nothing was heard for long."""
        return bool(self.waiting) and (
            now_s - self.heard_at_s > _SILENT_AFTER_S
        )

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        waiting = self.waiting.get(number)
        if kind == FrameKind.REPLY and waiting and not waiting.reply.done():
            waiting.reply.set_result(body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        error = PeerError(f'link lost: {exc}', Verdict.MAY_HAVE_RUN)
        self._fail(error, self.waiting.values())

    def check(self, now_s: float) -> bool:
        """Ask for a sign of life; return False when there was none.

        :param now_s: present time.
        """
        silent_s = now_s - self.heard_at_s
        if not self.waiting or silent_s < _BEAT_AFTER_S:
            return True
        if silent_s > _DEAD_AFTER_S:
            return False
        if self.is_silent(now_s):
            error = PeerSilentError('link is silent', Verdict.MAY_HAVE_RUN)
            impatient = [
                waiting
                for waiting in self.waiting.values()
                if not waiting.is_patient
            ]
            self._fail(error, impatient)
        self.send(FrameKind.BEAT, 0)
        return True

    def _fail(self, error: PeerError, waiting: Iterable[_Waiting]) -> None:
        for one in waiting:
            if not one.reply.done():
                one.reply.set_exception(error)


class StreamLinks:
    """Links to all peers that were asked.

    Usage::

        >>> links = StreamLinks(cluster, host, metrics, log, limit, scope_of)
        >>> reply = await links.ask(address, Ping(version), timeout_s=0.4)

    :param cluster: name of the cluster.
    :param host: this daemon's host.
    :param metrics: counts control bytes.
    :param log: tells of links that are reset.
    :param max_message_bytes: limit of a message.
    :param scope_of: names the scope of an address: zone, region or regional.
    :param connect_timeout_s: time to open a connection.
    """

    def __init__(
        self,
        cluster: str,
        host: HostId,
        metrics: Metrics,
        log: EventLog,
        max_message_bytes: int,
        scope_of: Callable[[PeerAddress], str],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        """Start without links."""
        self._connect_timeout_s = connect_timeout_s
        self._cluster = cluster
        self._host = host
        self._metrics = metrics
        self._log = log
        self._max_message_bytes = max_message_bytes
        self._scope_of = scope_of
        self._dialled: dict[PeerAddress, _Dialled] = {}
        self._dialling: dict[PeerAddress, anyio.Lock] = {}
        self._refused_until_s: dict[PeerAddress, float] = {}

    async def ask(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Send a request to a peer and return its reply.

        :param address: where the peer listens.
        :param request: the request.
        :param timeout_s: time to wait for the reply.
        :raises PeerError: when there is no usable reply in time. Work is not
            sent over a link that is silent, and work that may be repeated
            does not wait for one.
        """
        wire = encode(Envelope(self._cluster, self._host, request))
        link = await self._link(
            address, min(timeout_s, self._connect_timeout_s)
        )
        is_patient = True
        if isinstance(request, Work):
            if link.is_silent(clock.now_s()):
                raise PeerSilentError('link is silent', Verdict.NOT_RUN)
            is_patient = not request.is_idempotent
        self._count(address, request, len(wire), 'sent')
        answer = await link.ask(wire, timeout_s, is_patient=is_patient)
        try:
            reply = decode_reply(answer)
        except msgspec.DecodeError as error:
            problem = f'malformed reply: {error}'
            raise PeerError(problem, Verdict.MAY_HAVE_RUN) from error
        self._count(address, reply, len(answer), 'received')
        if isinstance(reply, Refusal):
            raise PeerError(reply.problem, Verdict.NOT_RUN)
        return reply

    async def run(self) -> None:
        """Reset links that have gone silent, until cancelled."""
        while True:
            await anyio.sleep(_WATCH_S)
            now_s = clock.now_s()
            for address, link in tuple(self._dialled.items()):
                if not link.check(now_s):
                    self._log.emit(Event.LINK_RESET, peer=address)
                    self._drop(address)

    def forget(self, address: PeerAddress) -> None:
        """Close the link to a peer that departed."""
        link = self._dialled.get(address)
        if link and not link.waiting:
            self._drop(address)

    def close(self) -> None:
        """Close all links."""
        for address in tuple(self._dialled):
            self._drop(address)

    async def _link(self, address: PeerAddress, timeout_s: float) -> _Dialled:
        lock = self._dialling.setdefault(address, anyio.Lock())
        async with lock:
            link = self._dialled.get(address)
            if link and not link.is_lost:
                return link
            now_s = clock.now_s()
            if now_s < self._refused_until_s.get(address, 0):
                raise PeerError('peer did not accept', Verdict.NOT_RUN)
            try:
                link = await self._dial(address, timeout_s)
            except OSError as error:
                until_s = clock.now_s() + _REDIAL_PAUSE_S
                self._refused_until_s[address] = until_s
                raise PeerError(str(error), Verdict.NOT_RUN) from error
            self._dialled[address] = link
            return link

    async def _dial(self, address: PeerAddress, timeout_s: float) -> _Dialled:
        host, _, port = address.rpartition('/')[2].partition(':')
        loop = asyncio.get_running_loop()
        with anyio.fail_after(timeout_s):
            _, link = await loop.create_connection(
                lambda: _Dialled(self._max_message_bytes), host, int(port)
            )
        return link

    def _drop(self, address: PeerAddress) -> None:
        link = self._dialled.pop(address, None)
        if link:
            link.abort()

    def _count(
        self,
        address: PeerAddress,
        message: Request | Reply,
        size_bytes: int,
        direction: str,
    ) -> None:
        if isinstance(message, Work | WorkDone):
            return
        counter = self._metrics.control_bytes.labels(
            self._scope_of(address), direction, type(message).__name__
        )
        counter.inc(size_bytes)


Handler: TypeAlias = Callable[[HostId, Request], Awaitable[Reply]]


class _Accepted(_Frames):
    """The answering end of a connection."""

    def __init__(self, listener: 'StreamListener') -> None:
        super().__init__(listener.max_message_bytes)
        self._listener = listener
        listener.connections.add(self)
        self._tasks: set[asyncio.Task[None]] = set()

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        if kind == FrameKind.BEAT:
            self.send(FrameKind.BEAT_REPLY, number)
        elif kind == FrameKind.REQUEST:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._answer(number, body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.connections.discard(self)
        for task in self._tasks:
            task.cancel()

    async def _answer(self, number: int, body: bytes) -> None:
        reply = await self._listener.answer(body)
        self.send(FrameKind.REPLY, number, encode(reply))


class StreamListener:
    """Answers requests from other daemons; one task for each request.

    :param cluster: requests of other clusters are refused.
    :param max_message_bytes: limit of a request.
    :param metrics: counts refused messages.
    :param log: tells of refused messages.
    """

    def __init__(
        self,
        cluster: str,
        max_message_bytes: int,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Keep the collaborators."""
        self._cluster = cluster
        self._metrics = metrics
        self._log = log
        self._handler: Handler | None = None
        self.max_message_bytes = max_message_bytes
        self.connections: set[_Accepted] = set()

    async def serve(self, listener: socket.socket, handler: Handler) -> None:
        """Answer requests until cancelled.

        :param listener: a bound socket.
        :param handler: returns the reply to a request.
        """
        self._handler = handler
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Accepted(self), sock=listener, backlog=_BACKLOG
        )
        try:
            await anyio.sleep_forever()
        finally:
            server.close()
            for connection in tuple(self.connections):
                connection.abort()

    async def answer(self, wire: bytes) -> Reply:
        """Return the reply to an encoded request.

        :param wire: the encoded envelope.
        """
        try:
            envelope = decode_envelope(wire)
        except msgspec.DecodeError as error:
            return self._refuse('malformed', f'malformed message: {error}')
        if envelope.cluster != self._cluster or self._handler is None:
            problem = f'this is not cluster {envelope.cluster!r}'
            return self._refuse('cluster', problem)
        try:
            return await self._handler(envelope.sender, envelope.request)
        except Exception as error:
            refusal = self._refuse('internal', repr(error))
        if isinstance(envelope.request, Work):
            return work_done(Unknown(Cause.INTERNAL), 0)
        return refusal

    def _refuse(self, cause: str, problem: str) -> Refusal:
        self._metrics.peer_errors.labels(cause).inc()
        self._log.emit(Event.PEER_MESSAGE_REFUSED, problem=problem)
        return Refusal(problem)


def _expire(reply: 'asyncio.Future[bytes]', timeout_s: float) -> None:
    if not reply.done():
        problem = f'no answer in {timeout_s:g} s'
        reply.set_exception(PeerError(problem, Verdict.MAY_HAVE_RUN))
