"""ragwortstand.tools.capacity: computes docs/CAPACITY.md.

The page extrapolates measured slopes to the size of the aim. Run it with
`python -m ragwortstand.tools.capacity docs/measurements docs/CAPACITY.md`
after the measurements have been written to that folder.
"""

import argparse
import pathlib
import statistics
import sys
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from ragwortstand.commands import ExitCode, report
from ragwortstand.program_version import add_version
from ragwortstand.tools.capacity_page import PAGE
from ragwortstand.tools.gain import GainReport
from ragwortstand.tools.member_cost import MemberCost
from ragwortstand.tools.scale import SizeReport

_Document = TypeVar('_Document')
_DAEMONS = 2200
_SERVICES = 170
_CALLS_PER_S = 140_000
_CHANGES_PER_DAY = 1200
_RESTARTS_PER_DAY = 260
_FAILURES_PER_DAY = 9
_DAY_S = 86_400
_CORE_LIMIT = 0.033
_MEMORY_LIMIT_BYTES = 128 * 1024 * 1024
_BYTES_LIMIT_PER_S = 5 * 1024
_MEBIBYTE = 1024 * 1024
_NEWS_REPEATS = 3 + 2 * _DAEMONS.bit_length()
_EVENTS_PER_S = (_RESTARTS_PER_DAY * 4 + _FAILURES_PER_DAY * 2) / _DAY_S
_REGIONS = 2
_ENTRY_POINTS = 12
_CLAIM_ROWS = 3
_STORE_WRITES_PER_S = 500
_HERD_READS_PER_S = 100


class Scale(msgspec.Struct, frozen=True):
    """Measurements of whole fleets."""

    sizes: tuple[SizeReport, ...]


class MemberCosts(msgspec.Struct, frozen=True):
    """Measurements of lists of members."""

    sizes: tuple[MemberCost, ...]


class Line(msgspec.Struct, frozen=True):
    """A straight line through measurements."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the extrapolated amount, 0 at least."""
        return max(0.0, self.intercept + self.slope * size)


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through points.

    :param points: sizes and amounts.
    """
    sizes, amounts = zip(*points, strict=True)
    if len(set(sizes)) == 1:
        return Line(statistics.mean(amounts), 0.0)
    line = statistics.linear_regression(sizes, amounts)
    return Line(line.intercept, line.slope)


def render(folder: pathlib.Path) -> str:
    """Return the page.

    :param folder: folder of the measurements.
    """
    push = _read(folder / 'scale-push.json', Scale).sizes
    poll = _read(folder / 'scale-poll.json', Scale).sizes
    members = _read(folder / 'members.json', MemberCosts).sizes
    gain = _read(folder / 'gain.json', GainReport)
    numbers = {
        **_bytes(push, members),
        **_processor(push, members),
        **_memory(push, members),
        **_fleet(push),
        **_baseline(poll),
        **_calls(gain),
        **_joins(members),
        'sizes': ', '.join(str(one.daemons) for one in push),
        'table': _table(push, poll),
    }
    return PAGE.format_map(numbers)


def _bytes(
    push: Sequence[SizeReport],
    members: Sequence[MemberCost],
) -> dict[str, object]:
    """Return the control bytes of a daemon at the size of the aim."""
    rest = _falling(push, lambda one: one.rest_bytes_per_s)
    change = _falling(push, lambda one: one.change_bytes)
    listed = fit([(one.members, one.list_bytes) for one in members])
    news = _EVENTS_PER_S * listed.slope * _NEWS_REPEATS
    rest_bytes = rest.at(1 / _DAEMONS)
    change_bytes = change.at(1 / _DAEMONS)
    change_s = change_bytes * _CHANGES_PER_DAY / _DAY_S
    bytes_per_s = rest_bytes + change_s + news
    return {
        'rest_slope': f'{rest.intercept:.0f} + {rest.slope:.0f} / n',
        'rest_bytes': f'{rest_bytes:.0f}',
        'change_each': f'{change_bytes:.0f}',
        'change_slope': f'{change.intercept:.0f} + {change.slope:.0f} / n',
        'change_bytes': f'{change_s:.1f}',
        'news_bytes': f'{news:.1f}',
        'news_repeats': str(_NEWS_REPEATS),
        'bytes_per_s': f'{bytes_per_s:.0f}',
        'bytes_verdict': _verdict(bytes_per_s, _BYTES_LIMIT_PER_S),
    }


def _processor(
    push: Sequence[SizeReport],
    members: Sequence[MemberCost],
) -> dict[str, object]:
    """Return the processor time of a daemon at the size of the aim."""
    cpu = _falling(push, lambda one: one.cpu_share)
    tick = fit([(one.members, one.tick_s) for one in members])
    taken = fit([(one.members, one.change_s) for one in members])
    news_share = taken.at(_DAEMONS) * _EVENTS_PER_S
    floor = cpu.at(1 / _DAEMONS)
    cpu_share = floor + tick.at(_DAEMONS) + news_share
    return {
        'cpu_floor': f'{floor:.2%}',
        'cpu_slope': f'{cpu.intercept:.2%} + {cpu.slope:.2%} / n',
        'tick_ms': f'{tick.at(_DAEMONS) * 1000:.2f}',
        'taken_ms': f'{taken.at(_DAEMONS) * 1000:.2f}',
        'cpu': f'{cpu_share:.2%}',
        'cpu_verdict': _verdict(cpu_share, _CORE_LIMIT),
    }


def _memory(
    push: Sequence[SizeReport],
    members: Sequence[MemberCost],
) -> dict[str, object]:
    """Return the memory of a daemon at the size of the aim."""
    memory = _line(push, lambda one: one.memory_bytes)
    held = fit([(one.members, one.memory_bytes) for one in members])
    memory_bytes = memory.at(_DAEMONS)
    return {
        'memory_floor': f'{memory.intercept / _MEBIBYTE:.0f}',
        'memory_slope': f'{memory.slope / 1024:+.1f}',
        'member_bytes': f'{held.slope:.0f}',
        'memory': f'{memory_bytes / _MEBIBYTE:.0f}',
        'memory_verdict': _verdict(memory_bytes, _MEMORY_LIMIT_BYTES),
    }


def _fleet(push: Sequence[SizeReport]) -> dict[str, object]:
    """Return what the largest fleet measured cost as a whole."""
    return {
        'regional_rest': f'{_last(push).rest_regional_bytes_per_s:.0f}',
        'regional_change': f'{_last(push).change_regional_bytes:.0f}',
        'reads': f'{_last(push).store_reads_per_s:.1f}',
        'writes': f'{_last(push).store_writes_per_s:.1f}',
        'worst_s': f'{max(one.convergence_max_s for one in push):.2f}',
        'worst_p50_s': f'{max(one.convergence_p50_s for one in push):.3f}',
    }


def _baseline(poll: Sequence[SizeReport]) -> dict[str, object]:
    rest = _line(poll, lambda one: one.rest_bytes_per_s)
    reads = _line(poll, lambda one: one.store_reads_per_s)
    return {
        'poll_bytes': f'{rest.at(_DAEMONS):.0f}',
        'poll_reads': f'{reads.at(_DAEMONS):.0f}',
    }


def _calls(gain: GainReport) -> dict[str, object]:
    per_daemon = _CALLS_PER_S / _DAEMONS
    own, other = gain.ways[1], gain.ways[2]
    core = per_daemon * (gain.entry_cpu_ms + gain.remote_cpu_ms) / 1000
    keyed = _STORE_WRITES_PER_S / _CLAIM_ROWS
    return {
        'calls_per_daemon': f'{per_daemon:.0f}',
        'own_cpu_ms': f'{gain.own_cpu_ms:.2f}',
        'entry_cpu_ms': f'{gain.entry_cpu_ms:.2f}',
        'remote_cpu_ms': f'{gain.remote_cpu_ms:.2f}',
        'call_core': f'{core:.1%}',
        'own_added': f'{own.added_p50_ms:.2f} / {own.added_p99_ms:.2f}',
        'other_added': f'{other.added_p50_ms:.2f} / {other.added_p99_ms:.2f}',
        'keyed_per_s': f'{keyed:.0f}',
        'keyed_share': f'{keyed / _CALLS_PER_S:.2%}',
        'per_service': f'{_DAEMONS / _SERVICES:.0f}',
    }


def _joins(members: Sequence[MemberCost]) -> dict[str, object]:
    sizes = fit([(one.members, one.list_bytes) for one in members])
    list_bytes = sizes.at(_DAEMONS)
    herd = _DAEMONS / 3
    daily = _RESTARTS_PER_DAY + _FAILURES_PER_DAY
    daily_bytes_per_s = daily * list_bytes / _DAY_S / _ENTRY_POINTS
    return {
        'list_kb': f'{list_bytes / 1024:.0f}',
        'list_daily_bytes': f'{daily_bytes_per_s:.0f}',
        'herd': f'{herd:.0f}',
        'herd_s': f'{herd / _HERD_READS_PER_S:.0f}',
        'herd_entry_mb': f'{herd * list_bytes / _ENTRY_POINTS / _MEBIBYTE:.1f}',
    }


def _line(
    sizes: Sequence[SizeReport],
    amount: Callable[[SizeReport], float],
) -> Line:
    return fit([(one.daemons, amount(one)) for one in sizes])


def _falling(
    sizes: Sequence[SizeReport],
    amount: Callable[[SizeReport], float],
) -> Line:
    """Return a line over 1 / size.

    A fixed number of bridges, readers and entry points serves the whole
    fleet, so a daemon's average share of their cost falls with its size.
    """
    return fit([(1 / one.daemons, amount(one)) for one in sizes])


def _last(sizes: Sequence[SizeReport]) -> SizeReport:
    return max(sizes, key=lambda one: one.daemons)


def _verdict(amount: float, limit: float) -> str:
    return 'met' if amount <= limit else '**missed**'


def _table(push: Sequence[SizeReport], poll: Sequence[SizeReport]) -> str:
    return '\n'.join(_row(one) for one in (*push, *poll))


def _row(one: SizeReport) -> str:
    cells = (
        one.distribution,
        str(one.daemons),
        f'{one.rest_bytes_per_s:.0f}',
        f'{one.rest_regional_bytes_per_s:.0f}',
        f'{one.change_bytes:.0f}',
        f'{one.change_regional_bytes:.0f}',
        f'{one.cpu_share:.2%}',
        f'{one.memory_bytes / _MEBIBYTE:.1f}',
        f'{one.store_reads_per_s:.1f}',
        f'{one.store_writes_per_s:.1f}',
        f'{one.convergence_p50_s:.3f}',
        f'{one.convergence_max_s:.3f}',
    )
    return ' | '.join(('', *cells, '')).strip()


def _read(path: pathlib.Path, form: type[_Document]) -> _Document:
    return msgspec.json.decode(path.read_bytes(), type=form)


def main(arguments: Sequence[str] | None = None) -> int:
    """Write the page.

    :param arguments: command line without the program's name.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser(
        prog='python -m ragwortstand.tools.capacity',
        description='Compute the page on capacity from measurements.',
    )
    add_version(parser)
    parser.add_argument('measurements', help='folder of the measurements')
    parser.add_argument('page', help='file to write')
    options = parser.parse_args(arguments)
    try:
        page = render(pathlib.Path(options.measurements))
    except (OSError, msgspec.DecodeError) as error:
        return report(error, ExitCode.FAULTY)
    pathlib.Path(options.page).write_text(page)
    return ExitCode.DONE


if __name__ == '__main__':
    sys.exit(main())
