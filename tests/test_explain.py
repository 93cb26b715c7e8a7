"""Tests of `ragwortstand.tools.explain`: traces of single requests."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from collections.abc import Mapping, Sequence

from ragwortstand.tools.event_logs import TimedEvent, read_log
from ragwortstand.tools.explain import explain
from ragwortstand.tools.timeline import main

_Log = Sequence[TimedEvent]


def _event(
    unix_s: float, host: str, name: str, **details: object
) -> TimedEvent:
    return TimedEvent(unix_s, host, f'ragwort:{name}', details)


def _line_index(number: int, text: Sequence[str], expected: str) -> int:
    """Return the index of the first line, from a number, with a text."""
    found = [expected in line for line in text]
    return found.index(True, number)


class OrderTests(unittest.TestCase):
    """Causes precede effects, even when clocks of hosts differ."""

    def test_attempts_follow_the_order_of_the_receiving_daemon(self) -> None:
        """The tried daemon's own line precedes the retry it caused."""
        receiving_log: _Log = (
            _event(10.0, 'a', 'retried', request='r', tried='b', attempt=1),
            _event(10.1, 'a', 'refused', request='r', cause='overloaded'),
        )
        first: _Log = (_event(99.0, 'b', 'declined', request='r', cause='x'),)
        second: _Log = (_event(1.0, 'c', 'declined', request='r', cause='y'),)
        text = tuple(explain((second, receiving_log, first), 'r'))
        position = 0
        for expected in (
            'b: declined',
            'a: retried',
            'c: declined',
            'a: refused',
        ):
            position = _line_index(position, text, expected) + 1

    def test_state_comes_from_the_same_log_with_its_age(self) -> None:
        """The newest event before the outcome is shown, not a later one."""
        receiving_log: _Log = (
            _event(1.0, 'a', 'applied', version=1),
            _event(2.0, 'a', 'applied', version=2),
            _event(4.5, 'a', 'refused', request='r'),
            _event(5.0, 'a', 'applied', version=3),
        )
        text = '\n'.join(explain((receiving_log,), 'r'))
        self.assertIn('2.500 s before: a: applied version=2', text)
        self.assertNotIn('version=1', text)
        self.assertNotIn('version=3', text)

    def test_one_log_of_many_hosts(self) -> None:
        """A log collector may write the lines of all hosts to one file."""
        together: _Log = (
            _event(1.0, 'a', 'applied', version=1),
            _event(2.0, 'b', 'applied', version=2),
            _event(3.0, 'a', 'refused', request='r'),
        )
        text = '\n'.join(explain((together,), 'r'))
        self.assertIn('version=1', text)
        self.assertNotIn('version=2', text)

    def test_nested_calls_precede_the_outcome(self) -> None:
        """A failed nested call explains a backend server's error response."""
        receiving_log: _Log = (
            _event(2.0, 'a', 'failed', request='r', status=500),
            _event(2.1, 'a', 'failed', request='other', status=500),
        )
        caller: _Log = (
            _event(1.0, 'b', 'may-have-run', request='r.1', cause='lost'),
            _event(1.1, 'b', 'may-have-run', request='rr.2', cause='lost'),
        )
        text = tuple(explain((receiving_log, caller), 'r'))
        self.assertLess(
            _line_index(0, text, 'call r.1'), _line_index(0, text, 'a: failed')
        )
        self.assertNotIn('rr.2', '\n'.join(text))

    def test_a_clock_that_was_set_back_is_reported(self) -> None:
        """A negative age is not shown as a number."""
        receiving_log: _Log = (
            _event(100.0, 'a', 'applied', version=2),
            _event(40.0, 'a', 'refused', request='r'),
        )
        self.assertIn('set back', '\n'.join(explain((receiving_log,), 'r')))


class MissingLinesTests(unittest.TestCase):
    """Lines that are missing from the logs are reported."""

    def _text(self, *events: TimedEvent) -> str:
        return '\n'.join(explain((events,), 'r'))

    def test_unknown_request(self) -> None:
        """No line names the request."""
        text = self._text(_event(1, 'a', 'applied', version=1))
        self.assertIn('no line of these logs names this request', text)

    def test_restarted_daemon(self) -> None:
        """A daemon's restart may explain why the outcome is missing."""
        text = self._text(
            _event(1, 'a', 'listening', boot=1),
            _event(2, 'a', 'retried', request='r', tried='b'),
            _event(3, 'a', 'listening', boot=2),
        )
        self.assertIn('no line tells its outcome', text)
        self.assertIn('a was started 2 times', text)

    def test_suppressed_lines(self) -> None:
        """Counts of suppressed lines are shown by event name."""
        text = self._text(
            _event(1, 'a', 'refused', request='r'),
            _event(2, 'a', 'declined', request='q', suppressed=7),
            _event(3, 'a', 'declined', request='q', suppressed=2),
            _event(3, 'elsewhere', 'declined', request='q', suppressed=2),
        )
        self.assertIn('a left out 9 lines: declined', text)
        self.assertNotIn('elsewhere', text)


class CommandTests(unittest.TestCase):
    """Exit codes and output of `ragwort-timeline explain`."""

    def _run(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        errors = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            code = main(arguments)
        return code, output.getvalue() + errors.getvalue()

    def _log(self, folder: str, fields: Mapping[str, object]) -> pathlib.Path:
        path = pathlib.Path(folder) / 'a.log'
        path.write_text(f'noise\n12.3 a| {json.dumps(fields)}\n')
        return path

    def test_lines_behind_a_collectors_prefix_are_read(self) -> None:
        """Text before the JSON object is skipped."""
        fields = {'message_type': 'ragwort:refused', 'request': 'r'}
        with tempfile.TemporaryDirectory() as folder:
            path = self._log(folder, fields)
            self.assertEqual(len(read_log(path)), 1)
            code, text = self._run('explain', 'r', str(path))
        self.assertEqual(code, 0)
        self.assertIn('refused', text)

    def test_missing_log(self) -> None:
        """The error message names a file that does not exist."""
        code, text = self._run('explain', 'r', '/nonexistent/a.log')
        self.assertNotEqual(code, 0)
        self.assertIn('/nonexistent/a.log', text)
