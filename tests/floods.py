"""A TCP server that sends endless data until its connection is closed."""

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
# Time for the detection of closed connections.
_END_S = 0.02
# Small, so that nearly all data written has been read by the other end.
_SEND_BUFFER_BYTES = 16_384


@dataclass(slots=True)
class Flood:
    """Endless data to send, and counts of what was sent.

    :param head: sent first.
    :param piece: sent repeatedly after the head.
    :param pause_s: time between two pieces.
    :param floods: number of requests that get endless data; later ones get a
        regular response.
    :param max_bytes: number of bytes after which the server stops by itself.
    :param max_s: time after which it does.
    :param sent_bytes: number of bytes sent over all connections.
    :param closed_by_peer: number of connections that the other end closed.
    :param has_closed: set when the other end closes the first connection.
    :param answered: number of requests that got a regular response.
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
    """Run a server that sends endless data.

    :param flood: the data that it sends.
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
