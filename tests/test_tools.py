"""Tests of the tools: time line, load plans, audit and command lines."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from collections.abc import Callable

from ragwortstand.daemon_cli import main as daemon_main
from ragwortstand.operators.cli import main as ctl_main
from ragwortstand.peers.deltas import compress, decompress
from ragwortstand.tools.audit import audit
from ragwortstand.tools.event_logs import TimedEvent
from ragwortstand.tools.load import Plan, Record, Stream, schedule
from ragwortstand.tools.standin_backend import JournalLine
from ragwortstand.tools.timeline import Filter, find_out_of_order, main, render
from tests.fakes import MESH

_Command = Callable[[list[str]], int]
_STREAM = Stream(rank='urgent', method='GET', path='/', rate_per_s=100)


def _applied(unix_s: float, host: str, version: int) -> TimedEvent:
    details = {'version': version}
    return TimedEvent(unix_s, host, 'ragwort:applied', details)


class TimelineTest(unittest.TestCase):
    """Event logs of many processes are merged into one time line."""

    def test_late_version_is_marked(self) -> None:
        """A version applied after a newer one elsewhere is out of order."""
        events = [_applied(1, 'a', 1), _applied(2, 'b', 2), _applied(3, 'a', 1)]
        self.assertEqual(find_out_of_order(events), [False, False, True])

    def test_filters(self) -> None:
        """Filters select events by version and host."""
        events = [_applied(1, 'a', 1), _applied(2, 'b', 2)]
        self.assertEqual(len(list(render(events, Filter(version=2)))), 1)
        self.assertEqual(len(list(render(events, Filter(host='a')))), 1)

    def test_logs_are_merged(self) -> None:
        """Events of two files are sorted by time; other lines are skipped."""
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for number, name in enumerate('ba'):
                line = {
                    'timestamp': 10 - number,
                    'host': name,
                    'message_type': 'ragwort:applied',
                    'version': 1,
                }
                path = pathlib.Path(folder) / name
                path.write_text(f'noise\n{json.dumps(line)}\n')
                paths.append(str(path))
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                self.assertEqual(main(paths), 0)
        lines = output.getvalue().splitlines()
        self.assertEqual([line.split()[1] for line in lines], ['a', 'b'])


class LoadTest(unittest.TestCase):
    """A plan fixes the start of every request beforehand."""

    def test_schedule_is_seeded_and_ordered(self) -> None:
        """The same seed gives the same starts, in ascending order."""
        plan = Plan(5, (_STREAM, _STREAM), seed=3)
        first = [(one.at_s, one.tag) for one in schedule(plan, 'x')]
        second = [(one.at_s, one.tag) for one in schedule(plan, 'x')]
        self.assertEqual(first, second)
        self.assertEqual(first, sorted(first))
        self.assertAlmostEqual(len(first), 1000, delta=150)


def _record(tag: str, **fields: object) -> Record:
    defaults: dict[str, object] = {
        'rank': 'urgent',
        'is_repeatable': False,
        'planned_s': 0.0,
        'status': 200,
        'verdict': 'ran',
        'is_whole': True,
        'sent': 1,
    }
    return Record(tag=tag, **{**defaults, **fields})  # type: ignore[arg-type]


def _started(tag: str) -> JournalLine:
    return JournalLine('started', 0, 's', tag, 'r', 'urgent')


class AuditTest(unittest.TestCase):
    """Violated guarantees are found from records and journals."""

    def test_each_violated_guarantee_is_counted(self) -> None:
        """Lost, doubled, mismatched and falsely refused requests count."""
        records = [
            _record('fine'),
            _record('unanswered', status=0, verdict=''),
            _record('never-ran'),
            _record('doubled'),
            _record('mixed-up', is_whole=False),
            _record('false', status=503, verdict='not-run'),
        ]
        ran = ('fine', 'doubled', 'doubled', 'mixed-up', 'false')
        found = audit(records, [_started(tag) for tag in ran])
        counts = (
            found.lost,
            found.doubled,
            found.mismatched,
            found.false_not_run,
        )
        self.assertEqual(counts, (2, 1, 1, 1))
        self.assertFalse(found.is_clean)

    def test_clean_run(self) -> None:
        """A run without faults is clean."""
        found = audit([_record('fine')], [_started('fine')])
        self.assertTrue(found.is_clean)


class CompressionTest(unittest.TestCase):
    """Contents travel whole or as a difference."""

    def test_round_trip_with_and_without_base(self) -> None:
        """A base makes the payload small and is needed to read it."""
        old = MESH.to_json().encode()
        new = old.replace(b'20.0', b'25.0')
        whole, delta = compress(new, b''), compress(new, old)
        self.assertEqual(decompress(whole, b''), new)
        self.assertEqual(decompress(delta, old), new)
        self.assertLess(len(delta), len(whole) / 3)


class CommandLineTest(unittest.TestCase):
    """Exit codes and error output of the command lines."""

    def test_check_offline(self) -> None:
        """A file is validated without a daemon."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'mesh.json'
            path.write_text(MESH.to_json())
            self.assertEqual(_run(ctl_main, 'check', str(path))[0], 0)
            path.write_text('{}')
            code, output = _run(ctl_main, '--json', 'check', str(path))
            self.assertEqual(code, 2)
            self.assertTrue(json.loads(output)['faults'])

    def test_missing_address_is_reported(self) -> None:
        """Without admin URLs the error names the variable to set."""
        code, output = _run(ctl_main, '--admin=', 'status')
        self.assertEqual(code, 2)
        self.assertIn('RAGWORT_ADMIN', output)

    def test_unreachable_daemon(self) -> None:
        """If no daemon responds, the exit code says that nothing happened."""
        code, _ = _run(
            ctl_main, '--admin=http://127.0.0.1:1', '--token=x', 'status'
        )
        self.assertEqual(code, 4)

    def test_faulty_settings(self) -> None:
        """The daemon prints the faults of its settings and exits."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.json'
            path.write_text('{"cluster": 1}')
            code, output = _run(
                daemon_main, '--settings', str(path), '--check-settings'
            )
        self.assertEqual(code, 2)
        self.assertIn('$.cluster', output)


def _run(command: _Command, *arguments: str) -> tuple[int, str]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        return command(list(arguments)), output.getvalue()
