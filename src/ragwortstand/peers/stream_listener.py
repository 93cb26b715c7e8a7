"""ragwortstand.peers.stream_listener: replies to requests over TCP."""

import asyncio
import socket

import anyio

from ragwortstand import clock
from ragwortstand.events import EventLog
from ragwortstand.metrics import Metrics
from ragwortstand.peers.frames import FrameKind, FrameProtocol
from ragwortstand.peers.messages import (
    Refusal,
    Reply,
    Work,
    encode,
    work_done,
)
from ragwortstand.peers.pieces import PieceScheduler
from ragwortstand.peers.request_decoder import Handler, RequestDecoder
from ragwortstand.peers.transit_time import TransitTimes
from ragwortstand.verdicts import Cause, Unknown

_BACKLOG = 512
# Time to send the rest of replies when the listener stops. A link that takes
# longer is congested, or its peer does not read.
_FLUSH_TIMEOUT_S = 1.0
_FLUSH_POLL_S = 0.005


class _ServerConnection(FrameProtocol):
    """The end of a connection that receives requests."""

    message_kind = FrameKind.REPLY

    def __init__(self, listener: 'StreamListener', handler: Handler) -> None:
        super().__init__(listener.max_message_bytes, listener.scheduler)
        self._listener = listener
        self._handler = handler
        listener.connections.add(self)
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._transit_times = TransitTimes()
        # Requests that are given up and still run.
        self._dropped: set[int] = set()

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        if kind == FrameKind.BEAT:
            self.send(FrameKind.BEAT_REPLY, number)
        elif kind == FrameKind.REQUEST:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._reply(number, body))
            self._tasks[number] = task
            task.add_done_callback(lambda _: self._forget(number))

    def drop_message(self, number: int) -> None:
        super().drop_message(number)
        if number in self._tasks:
            self._dropped.add(number)

    def on_hello(self) -> None:
        self.send(FrameKind.HELLO, 0)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._listener.connections.discard(self)
        for task in tuple(self._tasks.values()):
            task.cancel()

    async def _reply(self, number: int, body: bytes) -> None:
        reply = await self._listener.reply_to(
            body, self._handler, self._transit_times
        )
        if number not in self._dropped:
            self.send_message(number, encode(reply))

    def _forget(self, number: int) -> None:
        self._tasks.pop(number, None)
        self._dropped.discard(number)


class StreamListener:
    """Replies to requests of other daemons with one task for each request.

    :param cluster: name of the cluster; requests of others are refused.
    :param max_message_bytes: size limit of a request.
    :param metrics: counts refused messages.
    :param log: event log for refused messages.
    :param scheduler: sends large replies; shared with the links of the host.
    """

    def __init__(
        self,
        cluster: str,
        max_message_bytes: int,
        metrics: Metrics,
        log: EventLog,
        scheduler: PieceScheduler | None = None,
    ) -> None:
        """Create a listener without any connections."""
        self.scheduler = scheduler or PieceScheduler()
        self._decoder = RequestDecoder(cluster, metrics, log)
        self.max_message_bytes = max_message_bytes
        self.connections: set[_ServerConnection] = set()

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of replies are waiting to be sent."""
        return sum(one.unsent_bytes for one in self.connections)

    async def serve(self, listener: socket.socket, handler: Handler) -> None:
        """Reply to requests until cancelled.

        :param listener: a bound socket.
        :param handler: returns the reply to a request.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _ServerConnection(self, handler),
            sock=listener,
            backlog=_BACKLOG,
        )
        try:
            await anyio.sleep_forever()
        finally:
            server.close()
            await self._close_all()

    async def reply_to(
        self, wire: bytes, handler: Handler, transit_times: TransitTimes
    ) -> Reply:
        """Return the reply to an encoded request.

        :param wire: the encoded envelope.
        :param handler: returns the reply to a request.
        :param transit_times: deducts the time that work was on its way.
        """
        envelope = self._decoder.decode(wire)
        if isinstance(envelope, Refusal):
            return envelope
        request = envelope.request
        if isinstance(request, Work):
            request = transit_times.deduct(request, clock.boot_time_s())
        try:
            return await handler(envelope.sender, request)
        except Exception as error:
            refusal = self._decoder.refuse('internal', repr(error))
        if isinstance(request, Work):
            return work_done(Unknown(Cause.INTERNAL), 0)
        return refusal

    async def _close_all(self) -> None:
        """Close all connections; allow some time to send buffered replies."""
        for connection in tuple(self.connections):
            connection.close()
        with anyio.move_on_after(_FLUSH_TIMEOUT_S, shield=True):
            while self.connections:  # noqa: ASYNC110
                await anyio.sleep(_FLUSH_POLL_S)
