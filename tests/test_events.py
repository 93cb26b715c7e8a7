"""Tests of the event log's rate limits and of dropped lines."""

import json
import os
import unittest

from ragwortstand.events import DroppingStream, EliotLog, Event


class DroppingStreamTests(unittest.TestCase):
    """Writing to a pipe that may be full."""

    def setUp(self) -> None:
        """Open a pipe."""
        reader, writer = os.pipe()
        self.reader = reader
        self.writer = writer
        self.stream = DroppingStream(self.writer)

    def tearDown(self) -> None:
        """Close the pipe."""
        os.close(self.reader)
        os.close(self.writer)

    def test_lines_arrive_whole(self) -> None:
        self.stream.write(b'one\n')
        self.stream.write(b'two\n')
        self.assertEqual(os.read(self.reader, 100), b'one\ntwo\n')

    def test_full_pipe_drops_whole_lines_and_counts_them(self) -> None:
        line = b'x' * 999 + b'\n'
        for _ in range(1000):
            self.stream.write(line)
        self.assertGreater(self.stream.dropped, 800)
        text = os.read(self.reader, 10_000_000)
        self.stream.write(b'last\n')
        text += os.read(self.reader, 10_000_000)
        lengths = {len(one) for one in text.splitlines()}
        self.assertEqual(lengths, {999, 4})


class RateLimitTests(unittest.TestCase):
    """Rate limits of events."""

    def test_samples_of_served_requests(self) -> None:
        reader, writer = os.pipe()
        log = EliotLog('h', DroppingStream(writer))
        for _ in range(50):
            log.emit(Event.SERVED, request='r')
            log.emit(Event.REFUSED, request='r')
        kinds = [
            json.loads(line)['message_type']
            for line in os.read(reader, 1_000_000).splitlines()
        ]
        # A new second may begin while the test writes, which doubles the
        # counts.
        self.assertIn(kinds.count(Event.SERVED.value), {2, 4})
        self.assertIn(kinds.count(Event.REFUSED.value), {20, 40})
        os.close(reader)
        os.close(writer)
