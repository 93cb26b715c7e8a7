"""ragwortstand.peers.stream_listener: answers requests from other daemons."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio
import msgspec

from ragwortstand.events import Event, EventLog
from ragwortstand.ids import HostId
from ragwortstand.metrics import Metrics
from ragwortstand.peers.frames import FrameKind, Frames
from ragwortstand.peers.messages import (
    Refusal,
    Reply,
    Request,
    Work,
    decode_envelope,
    encode,
    work_done,
)
from ragwortstand.verdicts import Cause, Unknown

_BACKLOG = 512

Handler: TypeAlias = Callable[[HostId, Request], Awaitable[Reply]]


class _Accepted(Frames):
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
