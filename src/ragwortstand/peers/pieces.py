"""ragwortstand.peers.pieces: sends large messages in pieces, by turns.

A message that takes a slow link of the host for most of a second must not hold
up the small ones behind it, nor the replies to heartbeats, on any connection.
Large messages are sent in pieces; all connections of a host share one
`PieceScheduler`, which sends the next piece once its `SendWindow` has room.
Nothing here uses the network.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Protocol

from ragwortstand.exceptions import RagwortstandError
from ragwortstand.peers.send_window import SendWindow

#: Size of a piece in bytes, and the size up to which messages are sent whole.
#: It takes 24 ms over a link of 5.5 Mbit/s.
PIECE_BYTES = 16_384
# The shortest remaining message is sent first, as this completes most messages
# early. One in this number of pieces is of the oldest message, so that a long
# one makes progress beside many short ones.
_OLDEST_EVERY = 4


@dataclass(frozen=True, slots=True)
class Piece:
    """The next bytes of a message.

    :param number: number of the message.
    :param body: the bytes.
    :param is_last: whether they complete the message.
    """

    number: int
    body: memoryview
    is_last: bool


class PieceSender(Hashable, Protocol):
    """A connection that sends pieces."""

    @property
    def is_writable(self) -> bool:
        """Return whether the connection can take another piece."""

    def send_piece(self, piece: Piece) -> None:
        """Send a piece."""


@dataclass(slots=True)
class _OutgoingMessage:
    sender: PieceSender
    number: int
    body: memoryview
    sent_bytes: int = 0

    @property
    def remaining_bytes(self) -> int:
        return len(self.body) - self.sent_bytes

    def take(self) -> Piece:
        """Return the next piece."""
        end = self.sent_bytes + PIECE_BYTES
        body = self.body[self.sent_bytes : end]
        self.sent_bytes += len(body)
        return Piece(self.number, body, not self.remaining_bytes)


class PieceScheduler:
    """Selects the next pieces among the large messages of a host.

    :param window: limits the bytes that are on the way.
    """

    def __init__(self, window: SendWindow | None = None) -> None:
        """Create a scheduler without messages."""
        self._window = window or SendWindow(PIECE_BYTES)
        # In the order of arrival.
        self._messages: dict[tuple[PieceSender, int], _OutgoingMessage] = {}
        self._taken_pieces = 0

    def unsent_bytes(self, sender: PieceSender) -> int:
        """Return how many bytes of a connection's messages are left."""
        return sum(
            one.remaining_bytes
            for one in self._messages.values()
            if one.sender is sender
        )

    def add(self, sender: PieceSender, number: int, body: bytes) -> None:
        """Add a message; `send_pieces` sends it.

        :param sender: the connection that it is sent over.
        :param number: number of the message, unique on the connection.
        :param body: the encoded message.
        """
        message = _OutgoingMessage(sender, number, memoryview(body))
        self._messages[(sender, number)] = message

    def drop(self, sender: PieceSender, number: int) -> None:
        """Send no more pieces of a message; an unknown one is ignored."""
        self._messages.pop((sender, number), None)

    def drop_all(self, sender: PieceSender) -> None:
        """Forget a connection that is lost."""
        for key in tuple(self._messages):
            if key[0] is sender:
                self._messages.pop(key)
        self._window.forget(sender)

    def take_rest(self, sender: PieceSender) -> list[tuple[int, memoryview]]:
        """Remove a connection's messages; return the rest of each.

        :param sender: the connection.
        :returns: numbers of the messages, and their unsent bytes.
        """
        keys = [key for key in self._messages if key[0] is sender]
        messages = [self._messages.pop(key) for key in keys]
        return [(one.number, one.body[one.sent_bytes :]) for one in messages]

    def record_receipt(
        self, sender: PieceSender, number: int, now_s: float
    ) -> None:
        """Record that the peer has received the next piece of a message.

        :param sender: the connection.
        :param number: number of the message.
        :param now_s: present time.
        """
        self._window.record_receipt(sender, number, now_s)

    def send_pieces(self, now_s: float) -> float | None:
        """Send as many pieces as the window and the connections can take.

        :param now_s: present time.
        :returns: when to call it again if no receipt comes; None if there is
            nothing to wait for.
        """
        while self._messages:
            if not self._window.has_room(now_s):
                return self._window.next_expiry_s
            message = self._select()
            if message is None:
                return None
            self._send_piece(message, now_s)
        return None

    def _send_piece(self, message: _OutgoingMessage, now_s: float) -> None:
        piece = message.take()
        if piece.is_last:
            self.drop(message.sender, message.number)
        self._window.record_sent(
            message.sender, message.number, len(piece.body), now_s
        )
        message.sender.send_piece(piece)

    def _select(self) -> _OutgoingMessage | None:
        """Return the message that the next piece is of."""
        writable = [
            message
            for message in self._messages.values()
            if message.sender.is_writable
        ]
        if not writable:
            return None
        self._taken_pieces += 1
        if self._taken_pieces % _OLDEST_EVERY == 0:
            return writable[0]
        return min(writable, key=lambda message: message.remaining_bytes)


class MessageTooLargeError(RagwortstandError):
    """The pieces of a message exceed the size limit of messages."""


class IncomingPieces:
    """Large messages that are being received over one connection.

    :param max_message_bytes: size limit of a message.
    """

    def __init__(self, max_message_bytes: int) -> None:
        """Create an object without messages."""
        self._max_message_bytes = max_message_bytes
        self._bodies: dict[int, bytearray] = {}

    def add(self, number: int, body: bytes) -> None:
        """Add a piece that does not complete its message.

        :param number: number of the message.
        :param body: the bytes.
        :raises MessageTooLargeError: when the message exceeds the limit.
        """
        collected = self._bodies.setdefault(number, bytearray())
        collected += body
        if len(collected) > self._max_message_bytes:
            raise MessageTooLargeError(f'message {number} is too large')

    def has_part_of(self, number: int) -> bool:
        """Return whether pieces of a message were received."""
        return number in self._bodies

    def complete(self, number: int, body: bytes) -> bytes:
        """Return the whole message.

        :param number: number of the message.
        :param body: its last bytes, or a message that was sent whole.
        """
        collected = self._bodies.pop(number, None)
        if collected is None:
            return body
        collected += body
        return bytes(collected)

    def drop(self, number: int) -> None:
        """Forget a message; an unknown number is ignored."""
        self._bodies.pop(number, None)
