"""ragwortstand.peers.frames: message framing on connections between daemons.

Each frame has a length, a kind, a number and a body; a reply has the number of
its request.
"""

import asyncio
import enum
import socket
import struct
from typing import cast

from ragwortstand.sockets import KeepaliveSettings, enable_keepalive

# Keepalive probes detect the failure of an unused link; sent bytes may stay
# unacknowledged for several retransmissions between regions.
_KEEPALIVE = KeepaliveSettings(idle_s=2, probes=2, unacknowledged_ms=2000)
_HEADER = struct.Struct('!IBI')


class FrameKind(enum.IntEnum):
    """Kind of a frame; `BEAT` and `BEAT_REPLY` are heartbeats."""

    REQUEST = 1
    REPLY = 2
    BEAT = 3
    BEAT_REPLY = 4


class FrameProtocol(asyncio.Protocol):
    """Splits the bytes of a connection into frames, and sends frames.

    :param max_frame_bytes: a longer frame resets the connection.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        """Create a protocol with an empty buffer."""
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes are in the write buffer of the transport."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and let the kernel detect a lost peer."""
        self.transport = cast(asyncio.Transport, transport)
        enable_keepalive(transport.get_extra_info('socket'), _KEEPALIVE)

    def data_received(self, data: bytes) -> None:
        """Buffer the bytes and process all complete frames."""
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
            with memoryview(buffer) as view:
                body = bytes(view[start + _HEADER.size : end])
            start = end
            self.on_frame(kind, number, body)
        if start:
            self._buffer = buffer[start:]

    def send(self, kind: FrameKind, number: int, body: bytes = b'') -> None:
        """Send a frame unless the connection is closed.

        :param kind: kind of the frame.
        :param number: number of the request, or of the request replied to.
        :param body: the encoded message.
        """
        if self.transport is not None and not self.transport.is_closing():
            header = _HEADER.pack(len(body), kind, number)
            self.transport.write(header + body)

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        """Process a received frame; subclasses implement this."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection after all buffered bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that buffered bytes are not delivered.

        A request that was given up must not arrive after the network recovers.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        connection = transport.get_extra_info('socket')
        if connection is not None:
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()
