"""A TCP server that writes without end until its connection is closed."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from ragwortstand import clock
from ragwortstand.backend_servers.connections import Endpoint
from tests.servers import OK

_MEBIBYTE = 1024 * 1024
_READ_BYTES = 65_536
# Time for closed connections to be noticed.
_END_S = 0.02
# Kept small, so that what is written has almost all been read.
_SEND_BUFFER_BYTES = 16_384


@dataclass(slots=True)
class Flood:
    """Bytes without end, and what became of them.

    :param head: written first.
    :param piece: written again and again after it.
    :param pause_s: time between two pieces.
    :param floods: requests that get it; those after them are answered.
    :param max_bytes: where the server gives up by itself.
    :param max_s: when it does.
    :param sent_bytes: written before each connection was closed.
    :param closed_by_peer: connections that the other end closed.
    :param has_closed: set with the first of them.
    :param answered: requests that were answered.
    :param writers: all connections.
    """

    head: bytes
    piece: bytes
    pause_s: float = 0.0
    floods: int = 1
    max_bytes: int = 64 * _MEBIBYTE
    max_s: float = 4.0
    sent_bytes: int = 0
    closed_by_peer: int = 0
    has_closed: asyncio.Event = field(default_factory=asyncio.Event)
    answered: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        self.writers.append(writer)
        connection = writer.get_extra_info('socket')
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        writer.transport.set_write_buffer_limits(_READ_BYTES)
        with contextlib.suppress(ConnectionError):
            while await reader.read(_READ_BYTES):
                await self._serve_request(writer)
        writer.close()

    async def _serve_request(self, writer: asyncio.StreamWriter) -> None:
        if not self.floods:
            self.answered += 1
            writer.write(OK)
            return
        self.floods -= 1
        try:
            await self._flood(writer)
        except ConnectionError:
            self.closed_by_peer += 1
            self.has_closed.set()
        writer.transport.abort()

    async def _flood(self, writer: asyncio.StreamWriter) -> None:
        began_s = clock.now_s()
        writer.write(self.head)
        while self.sent_bytes < self.max_bytes:
            if clock.now_s() - began_s > self.max_s:
                return
            writer.write(self.piece)
            await writer.drain()
            self.sent_bytes += len(self.piece)
            await asyncio.sleep(self.pause_s)


@asynccontextmanager
async def flooding(flood: Flood) -> AsyncIterator[Endpoint]:
    """Run a server that floods.

    :param flood: what it writes.
    """
    server = await asyncio.start_server(flood.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        try:
            yield Endpoint('127.0.0.1', port)
        finally:
            for writer in flood.writers:
                writer.transport.abort()
            await asyncio.sleep(_END_S)
