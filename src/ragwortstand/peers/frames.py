"""ragwortstand.peers.frames: frames on a connection between daemons.

Each frame has a length, a kind, a number and a body; a reply bears the number
of its request.
"""

import asyncio
import enum
import socket
import struct
from typing import cast

from ragwortstand.sockets import Vigilance, watch_connection

# An unused link that fails is noticed by the probes; sent bytes may stay
# unacknowledged for several retransmissions between regions.
_KEEPALIVE = Vigilance(idle_s=2, probes=2, unacknowledged_ms=2000)
_HEADER = struct.Struct('!IBI')


class FrameKind(enum.IntEnum):
    """What a frame carries."""

    REQUEST = 1
    REPLY = 2
    BEAT = 3
    BEAT_REPLY = 4


class FrameProtocol(asyncio.Protocol):
    """Cuts the bytes of a connection into frames.

    :param max_frame_bytes: a longer frame resets the connection.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        """Start without bytes."""
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes the operating system has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the open transport and have the system watch it."""
        self.transport = cast(asyncio.Transport, transport)
        watch_connection(transport.get_extra_info('socket'), _KEEPALIVE)

    def data_received(self, data: bytes) -> None:
        """Pass on the frames that are whole."""
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

        :param kind: what it carries.
        :param number: of the request, or of the one that is answered.
        :param body: the encoded message.
        """
        if self.transport is not None and not self.transport.is_closing():
            header = _HEADER.pack(len(body), kind, number)
            self.transport.write(header + body)

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        """Take in a frame."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection after what was sent."""
        if self.transport is not None:
            self.transport.close()

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
