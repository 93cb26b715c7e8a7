"""Tests of dividing large messages into pieces."""

import unittest

from ragwortstand.peers.pieces import (
    PIECE_BYTES,
    IncomingPieces,
    MessageTooLargeError,
    Piece,
    PieceScheduler,
)
from ragwortstand.peers.send_window import SendWindow


class _Connection:
    """Records the pieces that are sent over it."""

    def __init__(self, sent: list[tuple[str, Piece]], name: str = 'a') -> None:
        self._sent = sent
        self._name = name
        self.is_writable = True

    def send_piece(self, piece: Piece) -> None:
        """Record a piece."""
        self._sent.append((self._name, piece))


class PieceSchedulerTests(unittest.TestCase):
    """The order of the pieces of several large messages."""

    def setUp(self) -> None:
        """Create a scheduler without messages, and a connection."""
        self.sent: list[tuple[str, Piece]] = []
        self.scheduler = PieceScheduler(SendWindow(1 << 40))
        self.connection = _Connection(self.sent)

    def _add(self, number: int, pieces: int) -> None:
        body = bytes(pieces * PIECE_BYTES)
        self.scheduler.add(self.connection, number, body)

    def _numbers(self) -> list[int]:
        self.scheduler.send_pieces(0)
        return [piece.number for _, piece in self.sent]

    def test_pieces_are_the_message(self) -> None:
        body = bytes(range(256)) * 200
        self.scheduler.add(self.connection, 1, body)
        self.scheduler.send_pieces(0)
        pieces = [piece for _, piece in self.sent]
        self.assertEqual(b''.join(one.body for one in pieces), body)
        self.assertEqual([one.is_last for one in pieces], [False] * 3 + [True])
        self.assertTrue(all(len(one.body) <= PIECE_BYTES for one in pieces))
        self.assertEqual(self.scheduler.unsent_bytes(self.connection), 0)

    def test_a_short_message_overtakes_a_long_one(self) -> None:
        self._add(1, 33)
        self._add(2, 4)
        last = max(
            place for place, number in enumerate(self._numbers()) if number == 2
        )
        self.assertLessEqual(last, 6)

    def test_a_long_message_makes_progress_beside_short_ones(self) -> None:
        """One piece in four is of the oldest message."""
        self._add(0, 30)
        for number in range(1, 61):
            self._add(number, 2)
        self.assertGreaterEqual(self._numbers()[:120].count(0), 29)

    def test_dropped_message_is_not_sent(self) -> None:
        self._add(1, 3)
        self._add(2, 3)
        self.scheduler.drop(self.connection, 1)
        self.scheduler.drop(self.connection, 7)
        self.assertEqual(self._numbers(), [2, 2, 2])

    def test_connection_that_does_not_read_holds_up_no_other(self) -> None:
        other = _Connection(self.sent, 'b')
        self.connection.is_writable = False
        self._add(1, 3)
        self.scheduler.add(other, 1, bytes(3 * PIECE_BYTES))
        self.scheduler.send_pieces(0)
        self.assertEqual([name for name, _ in self.sent], ['b'] * 3)

    def test_rest_of_a_closed_connection(self) -> None:
        self._add(1, 3)
        rest = self.scheduler.take_rest(self.connection)
        self.assertEqual(
            [(1, 3 * PIECE_BYTES)], [(key, len(body)) for key, body in rest]
        )
        self.assertEqual(self._numbers(), [])


class HostWindowTests(unittest.TestCase):
    """All connections of a host share the bytes that are on the way."""

    def setUp(self) -> None:
        """Create two connections with a long message each."""
        self.sent: list[tuple[str, Piece]] = []
        self.scheduler = PieceScheduler()
        self.connections = [_Connection(self.sent, name) for name in 'ab']
        for connection in self.connections:
            self.scheduler.add(connection, 1, bytes(50 * PIECE_BYTES))

    def test_waits_for_receipts(self) -> None:
        """Without receipts only the window is sent, and more after a while."""
        next_at_s = self.scheduler.send_pieces(0)
        self.assertEqual(len(self.sent), 4)
        self.assertEqual(next_at_s, 0.4)
        self.scheduler.send_pieces(0.3)
        self.assertEqual(len(self.sent), 4)
        self.scheduler.send_pieces(0.4)
        self.assertEqual(len(self.sent), 8)

    def test_lost_connection_leaves_the_window_to_others(self) -> None:
        self.scheduler.send_pieces(0)
        self.scheduler.drop_all(self.connections[0])
        self.scheduler.send_pieces(0.01)
        self.assertGreaterEqual([name for name, _ in self.sent].count('b'), 4)

    def test_missing_receipt_of_a_dropped_message(self) -> None:
        """Later receipts are not taken for those of earlier transfers."""
        window = SendWindow(PIECE_BYTES)
        window.record_sent('a', 1, PIECE_BYTES, 0)
        window.record_sent('a', 2, PIECE_BYTES, 5)
        window.record_receipt('a', 2, 5.01)
        self.assertEqual(window.in_flight_bytes, 0)
        window.record_receipt('a', 1, 6)
        self.assertEqual(window.size_bytes, 4 * PIECE_BYTES)

    def test_late_receipts_shrink_the_window(self) -> None:
        window = SendWindow(PIECE_BYTES)
        for step in range(30):
            now_s = step * 0.3
            while window.has_room(now_s):
                window.record_sent('a', 1, PIECE_BYTES, now_s)
            delay_s = 0.01 if step == 0 else 0.15
            while window.in_flight_bytes:
                window.record_receipt('a', 1, now_s + delay_s)
        self.assertEqual(window.size_bytes, 2 * PIECE_BYTES)

    def test_prompt_receipts_widen_the_window_up_to_a_limit(self) -> None:
        window = SendWindow(PIECE_BYTES)
        for step in range(70):
            now_s = step * 0.03
            while window.has_room(now_s):
                window.record_sent('a', 1, PIECE_BYTES, now_s)
            while window.in_flight_bytes:
                window.record_receipt('a', 1, now_s + 0.025)
        self.assertEqual(window.size_bytes, 1_000_000)


class IncomingPiecesTests(unittest.TestCase):
    """Messages are put together from pieces that come interleaved."""

    def test_interleaved_messages(self) -> None:
        incoming = IncomingPieces(100)
        incoming.add(1, b'a')
        incoming.add(2, b'x')
        incoming.add(1, b'b')
        self.assertEqual(incoming.complete(2, b'y'), b'xy')
        self.assertEqual(incoming.complete(1, b'c'), b'abc')
        self.assertEqual(incoming.complete(1, b'whole'), b'whole')

    def test_message_without_end_is_refused(self) -> None:
        incoming = IncomingPieces(100)
        incoming.add(1, bytes(60))
        with self.assertRaises(MessageTooLargeError):
            incoming.add(1, bytes(60))

    def test_dropped_message_leaves_nothing(self) -> None:
        incoming = IncomingPieces(100)
        incoming.add(1, b'a')
        incoming.drop(1)
        self.assertEqual(incoming.complete(1, b'b'), b'b')
