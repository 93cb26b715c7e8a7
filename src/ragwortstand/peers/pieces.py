"""ragwortstand.peers.pieces: divides large messages into pieces.

A message that takes a slow link for most of a second must not hold up the small
ones behind it, nor the reply to a heartbeat. Large messages are sent in pieces;
the next piece is selected when the connection can take it. Nothing here uses
the network.
"""

from dataclasses import dataclass

from ragwortstand.exceptions import RagwortstandError

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


@dataclass(slots=True)
class _OutgoingMessage:
    body: memoryview
    sent_bytes: int = 0

    @property
    def remaining_bytes(self) -> int:
        return len(self.body) - self.sent_bytes


class OutgoingPieces:
    """Large messages that are being sent over one connection."""

    def __init__(self) -> None:
        """Create an object without messages."""
        # In the order of arrival.
        self._messages: dict[int, _OutgoingMessage] = {}
        self._taken_pieces = 0

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of all messages have not been taken."""
        return sum(one.remaining_bytes for one in self._messages.values())

    def add(self, number: int, body: bytes) -> None:
        """Add a message.

        :param number: number of the message, unique among unsent ones.
        :param body: the encoded message.
        """
        self._messages[number] = _OutgoingMessage(memoryview(body))

    def drop(self, number: int) -> None:
        """Send no more pieces of a message; an unknown number is ignored."""
        self._messages.pop(number, None)

    def clear(self) -> None:
        """Drop all messages."""
        self._messages.clear()

    def take(self) -> Piece | None:
        """Return the next piece to send; None if there is none."""
        if not self._messages:
            return None
        self._taken_pieces += 1
        number = self._select()
        message = self._messages[number]
        end = message.sent_bytes + PIECE_BYTES
        body = message.body[message.sent_bytes : end]
        message.sent_bytes += len(body)
        is_last = not message.remaining_bytes
        if is_last:
            self.drop(number)
        return Piece(number, body, is_last)

    def _select(self) -> int:
        """Return the number of the message that the next piece is of."""
        if self._taken_pieces % _OLDEST_EVERY == 0:
            return next(iter(self._messages))
        return min(
            self._messages,
            key=lambda number: self._messages[number].remaining_bytes,
        )


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
