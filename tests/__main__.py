"""Run all checks of the project and print their total.

The checks are the formatter, the linters, the type checker, the unit tests
and the scenarios. Failures that KNOWN-RED.txt lists are printed but do not
fail the run; all others do. The last line is `N passed, N failed`.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

_ROOT = pathlib.Path(__file__).parent.parent
_CODE = ('src', 'tests', 'features', 'examples', 'deploy')
# Scenarios start up to 24 processes and check durations; two that pass alone
# failed when features ran in parallel.
_MAX_PARALLEL_FEATURES = 1
_TOOLS = {
    'format': ('ruff', 'format', '--check', *_CODE),
    'ruff': ('ruff', 'check', *_CODE),
    'flake8': ('flake8', *_CODE),
    'mypy': ('mypy',),
}


@dataclass(frozen=True)
class Result:
    """Result of one check."""

    name: str
    is_passed: bool


def run_tools() -> Iterator[Result]:
    """Run the formatter, the linters and the type checker."""
    for name, command in _TOOLS.items():
        completed = subprocess.run(
            [sys.executable, '-m', *command], cwd=_ROOT, check=False
        )
        yield Result(f'tool:{name}', completed.returncode == 0)


def run_unit_tests() -> Iterator[Result]:
    """Run the unit tests."""
    suite = unittest.defaultTestLoader.discover(
        str(_ROOT / 'tests'), top_level_dir=str(_ROOT)
    )
    names = {test.id() for test in _iter_tests(suite)}
    found = unittest.TextTestRunner(verbosity=1).run(suite)
    failures = {
        test.id().split(' ')[0] for test, _ in (*found.failures, *found.errors)
    }
    failures.update(test.id() for test in found.unexpectedSuccesses)
    for name in sorted(names | failures):
        yield Result(name, name not in failures)


def run_scenarios() -> Iterator[Result]:
    """Run the scenarios, up to `_MAX_PARALLEL_FEATURES` features at once."""
    features = sorted((_ROOT / 'features').glob('*.feature'))
    with ThreadPoolExecutor(max_workers=_MAX_PARALLEL_FEATURES) as pool:
        for found in pool.map(_run_feature, features):
            yield from found


def _run_feature(feature: pathlib.Path) -> list[Result]:
    """Run one feature in a subprocess."""
    name = f'features/{feature.name}'
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = ('behave', '--no-capture', '--format=json')
        completed = subprocess.run(
            [sys.executable, '-m', *command, f'--outfile={report}', name],
            cwd=_ROOT,
            check=False,
            capture_output=True,
            text=True,
        )
        text = report.read_text() if report.exists() else ''
    found = [
        Result(f'{name}:{scenario["name"]}', scenario['status'] == 'passed')
        for feature_report in json.loads(text or '[]')
        for scenario in feature_report.get('elements', ())
        if scenario['type'] == 'scenario'
    ]
    is_failed = not found or not all(one.is_passed for one in found)
    print(f'{name}: {len(found)} scenarios', flush=True)
    if is_failed:
        print(text, completed.stdout, completed.stderr, sep='\n', flush=True)
    return found or [Result(name, is_passed=False)]


def known_red() -> frozenset[str]:
    """Return the names of the tests listed in KNOWN-RED.txt."""
    lines = (_ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    return frozenset(
        line.partition(':')[2].strip()
        for line in lines
        if line.startswith('test:')
    )


def main() -> int:
    """Run all checks and return the exit code."""
    results = [*run_tools(), *run_unit_tests(), *run_scenarios()]
    known_red_names = known_red()
    failed = [one.name for one in results if not one.is_passed]
    for name in failed:
        label = 'KNOWN RED' if name in known_red_names else 'FAILED'
        print(f'{label}: {name}')
    for one in results:
        if one.is_passed and one.name in known_red_names:
            print(f'listed as known red, but passed: {one.name}')
    unexpected = [name for name in failed if name not in known_red_names]
    passed = len(results) - len(failed)
    print(f'{len(failed) - len(unexpected)} known red passed over')
    print(f'{passed} passed, {len(unexpected)} failed')
    return 1 if unexpected else 0


def _iter_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _iter_tests(test)
        else:
            yield test


if __name__ == '__main__':
    sys.exit(main())
