"""Tests of dividing large messages into pieces."""

import unittest

from ragwortstand.peers.pieces import (
    PIECE_BYTES,
    IncomingPieces,
    MessageTooLargeError,
    OutgoingPieces,
)


def _take_all(outgoing: OutgoingPieces) -> list[int]:
    """Take all pieces and return the numbers of their messages in order."""
    numbers = []
    while piece := outgoing.take():
        numbers.append(piece.number)
    return numbers


class OutgoingPiecesTests(unittest.TestCase):
    """The order of the pieces of several large messages."""

    def setUp(self) -> None:
        """Create an object without messages."""
        self.outgoing = OutgoingPieces()

    def test_pieces_are_the_message(self) -> None:
        body = bytes(range(256)) * 200
        self.outgoing.add(1, body)
        pieces = []
        while piece := self.outgoing.take():
            pieces.append(piece)
        self.assertEqual(b''.join(one.body for one in pieces), body)
        self.assertEqual([one.is_last for one in pieces], [False] * 3 + [True])
        self.assertTrue(all(len(one.body) <= PIECE_BYTES for one in pieces))
        self.assertEqual(self.outgoing.unsent_bytes, 0)

    def test_a_short_message_overtakes_a_long_one(self) -> None:
        self.outgoing.add(1, bytes(33 * PIECE_BYTES))
        self.outgoing.take()
        self.outgoing.add(2, bytes(4 * PIECE_BYTES))
        self.assertLessEqual(_take_all(self.outgoing).index(2), 1)
        self.outgoing.add(1, bytes(33 * PIECE_BYTES))
        self.outgoing.add(2, bytes(4 * PIECE_BYTES))
        last = max(
            place
            for place, number in enumerate(_take_all(self.outgoing))
            if number == 2
        )
        self.assertLessEqual(last, 6)

    def test_a_long_message_makes_progress_beside_short_ones(self) -> None:
        """Short messages that never end leave the oldest one a quarter."""
        self.outgoing.add(0, bytes(30 * PIECE_BYTES))
        numbers = []
        for number in range(1, 61):
            self.outgoing.add(number, bytes(2 * PIECE_BYTES))
            for _ in range(2):
                piece = self.outgoing.take()
                numbers.append(piece.number if piece else None)
        self.assertGreaterEqual(numbers.count(0), 30)

    def test_dropped_message_is_not_sent(self) -> None:
        for number in (1, 2):
            self.outgoing.add(number, bytes(3 * PIECE_BYTES))
        self.outgoing.take()
        self.outgoing.drop(1)
        self.outgoing.drop(7)
        self.assertEqual(_take_all(self.outgoing), [2, 2, 2])


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
