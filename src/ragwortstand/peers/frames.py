"""ragwortstand.peers.frames: message framing on connections between daemons.

Each frame has a length, a kind, a number and a body; a reply has the number of
its request. Large messages are sent in pieces to peers that have said that they
accept them; earlier builds do not.
"""

import asyncio
import enum
import socket
import struct
from typing import cast

from ragwortstand import clock
from ragwortstand.peers.pieces import (
    PIECE_BYTES,
    IncomingPieces,
    MessageTooLargeError,
    Piece,
    PieceScheduler,
)
from ragwortstand.sockets import (
    KeepaliveSettings,
    enable_keepalive,
    limit_unsent_bytes,
)

# Keepalive probes detect the failure of an unused link; sent bytes may stay
# unacknowledged for several retransmissions between regions.
_KEEPALIVE = KeepaliveSettings(idle_s=2, probes=2, unacknowledged_ms=2000)
_HEADER = struct.Struct('!IBI')
# Bytes that wait in the transport beside those that the kernel has taken. A
# small message waits behind these, but not behind the unsent pieces.
_WRITE_BUFFER_BYTES = PIECE_BYTES


class FrameKind(enum.IntEnum):
    """Kind of a frame.

    `BEAT` and `BEAT_REPLY` are heartbeats. `HELLO` says that its sender
    accepts the kinds below it. `PIECE` has bytes of a request or reply that
    other frames of the same number complete, and `PIECE_RECEIVED` reports its
    receipt. `DROP` says that its sender has given up a request, so that no more
    of it or of its reply is sent.
    """

    REQUEST = 1
    REPLY = 2
    BEAT = 3
    BEAT_REPLY = 4
    HELLO = 5
    PIECE = 6
    DROP = 7
    PIECE_RECEIVED = 8


_MESSAGE_KINDS = frozenset((FrameKind.REQUEST, FrameKind.REPLY))


class FrameProtocol(asyncio.Protocol):
    """Splits the bytes of a connection into frames, and sends frames.

    A connection sends messages of one kind only, `message_kind`, each with its
    own number.

    :param max_frame_bytes: a longer frame resets the connection.
    :param scheduler: sends large messages; shared by the host's connections.
    """

    message_kind = FrameKind.REQUEST

    def __init__(
        self, max_frame_bytes: int, scheduler: PieceScheduler | None = None
    ) -> None:
        """Create a protocol with an empty buffer."""
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._scheduler = scheduler or PieceScheduler()
        self._incoming = IncomingPieces(max_frame_bytes)
        self._is_paused = False
        self._has_timer = False
        self.accepts_pieces = False
        self.transport: asyncio.Transport | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes the kernel has not taken yet."""
        buffered = (
            self.transport.get_write_buffer_size() if self.transport else 0
        )
        return buffered + self._scheduler.unsent_bytes(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and let the kernel detect a lost peer."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES, low=0)
        connection = transport.get_extra_info('socket')
        enable_keepalive(connection, _KEEPALIVE)
        limit_unsent_bytes(connection, _WRITE_BUFFER_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the messages that are being sent."""
        self._scheduler.drop_all(self)

    def pause_writing(self) -> None:
        """Send no more pieces until the transport can take them."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Send the next pieces."""
        self._is_paused = False
        self._continue_sending()

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
            self._process_frame(kind, number, body)
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

    def send_message(self, number: int, body: bytes) -> None:
        """Send a request or a reply, in pieces if it is large.

        :param number: number of the request.
        :param body: the encoded message.
        """
        if len(body) <= PIECE_BYTES or not self.accepts_pieces:
            self.send(self.message_kind, number, body)
            return
        self._scheduler.add(self, number, body)
        self._continue_sending()

    @property
    def is_writable(self) -> bool:
        """Return whether the connection can take another piece."""
        return not self._is_paused

    def send_piece(self, piece: Piece) -> None:
        """Send a piece of a message.

        :param piece: the piece.
        """
        kind = self.message_kind if piece.is_last else FrameKind.PIECE
        self.send(kind, piece.number, bytes(piece.body))

    def drop_message(self, number: int) -> None:
        """Send no more of a message, and forget what was received of it.

        :param number: number of the request.
        """
        self._scheduler.drop(self, number)
        self._incoming.drop(number)

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        """Process a received frame; subclasses implement this."""
        raise NotImplementedError

    def on_hello(self) -> None:
        """Process that the peer accepts pieces."""

    def on_piece(self, number: int) -> None:
        """Process the receipt of a piece that does not complete a message."""

    def close(self) -> None:
        """Close the connection after all messages are sent."""
        for number, rest in self._scheduler.take_rest(self):
            self.send(self.message_kind, number, bytes(rest))
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that buffered bytes are not delivered.

        A request that was given up must not arrive after the network recovers.
        """
        self._scheduler.drop_all(self)
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        connection = transport.get_extra_info('socket')
        if connection is not None:
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()

    def _process_frame(self, kind: int, number: int, body: bytes) -> None:
        if kind == FrameKind.PIECE:
            self._add_piece(number, body)
        elif kind in _MESSAGE_KINDS:
            if self._incoming.has_part_of(number):
                self.send(FrameKind.PIECE_RECEIVED, number)
            self.on_frame(kind, number, self._incoming.complete(number, body))
        elif not self._process_control(kind, number):
            self.on_frame(kind, number, body)

    def _process_control(self, kind: int, number: int) -> bool:
        """Process a frame that is about pieces; return whether it is one."""
        match kind:
            case FrameKind.HELLO:
                self.accepts_pieces = True
                self.on_hello()
            case FrameKind.DROP:
                self.drop_message(number)
            case FrameKind.PIECE_RECEIVED:
                self._scheduler.record_receipt(self, number, clock.now_s())
                self._continue_sending()
            case _:
                return False
        return True

    def _add_piece(self, number: int, body: bytes) -> None:
        try:
            self._incoming.add(number, body)
        except MessageTooLargeError:
            # Whoever waits for the message is told that the link is lost.
            self.abort()
            return
        self.send(FrameKind.PIECE_RECEIVED, number)
        self.on_piece(number)

    def _continue_sending(self) -> None:
        """Send pieces of all connections, and again if no receipt comes."""
        now_s = clock.now_s()
        next_at_s = self._scheduler.send_pieces(now_s)
        if next_at_s is not None and not self._has_timer:
            self._has_timer = True
            loop = asyncio.get_running_loop()
            loop.call_later(max(0.0, next_at_s - now_s), self._on_timer)

    def _on_timer(self) -> None:
        self._has_timer = False
        self._continue_sending()
