"""ragwortstand.tools.capacity: computes docs/CAPACITY.md.

The page extrapolates measurements of smaller fleets to the target fleet size.
Run `python -m ragwortstand.tools.capacity docs/measurements docs/CAPACITY.md`
after writing the measurements to docs/measurements.
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
from ragwortstand.tools.added_latency import AddedLatencyReport
from ragwortstand.tools.capacity_page import PAGE
from ragwortstand.tools.member_cost import MemberCost
from ragwortstand.tools.scale import SizeReport

_Document = TypeVar('_Document')
_TARGET_DAEMONS = 2200
_TARGET_SERVICES = 170
_CALLS_PER_S = 140_000
_CHANGES_PER_DAY = 1200
_RESTARTS_PER_DAY = 260
_FAILURES_PER_DAY = 9
_DAY_S = 86_400
_CORE_LIMIT = 0.033
_MEMORY_LIMIT_BYTES = 128 * 1024 * 1024
_BYTES_LIMIT_PER_S = 5 * 1024
_MEBIBYTE = 1024 * 1024
_UPDATE_TRANSMISSIONS = 3 + 2 * _TARGET_DAEMONS.bit_length()
_MEMBER_CHANGES_PER_S = (_RESTARTS_PER_DAY * 4 + _FAILURES_PER_DAY * 2) / _DAY_S
_REGIONS = 2
_ENTRY_POINTS = 12
_CLAIM_ROWS = 3
_STORE_WRITES_PER_S = 500
_HERD_READS_PER_S = 100


class Scale(msgspec.Struct, frozen=True):
    """Measurements of whole fleets."""

    sizes: tuple[SizeReport, ...]


class MemberCosts(msgspec.Struct, frozen=True):
    """Measurements of member lists."""

    sizes: tuple[MemberCost, ...]


class FittedLine(msgspec.Struct, frozen=True):
    """A straight line fitted to measurements."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the extrapolated amount, which is at least 0."""
        return max(0.0, self.intercept + self.slope * size)


def fit(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Return the least-squares line through points.

    The line is horizontal at the mean if all points have the same size.

    :param points: pairs of size and amount.
    """
    sizes, amounts = zip(*points, strict=True)
    if len(set(sizes)) == 1:
        return FittedLine(statistics.mean(amounts), 0.0)
    line = statistics.linear_regression(sizes, amounts)
    return FittedLine(line.intercept, line.slope)


def render(folder: pathlib.Path) -> str:
    """Return the text of the page.

    :param folder: folder of the measurements.
    """
    push = _read(folder / 'scale-push.json', Scale).sizes
    poll = _read(folder / 'scale-poll.json', Scale).sizes
    members = _read(folder / 'members.json', MemberCosts).sizes
    added_latency = _read(folder / 'gain.json', AddedLatencyReport)
    figures = {
        **_control_bytes_figures(push, members),
        **_processor_figures(push, members),
        **_memory_figures(push, members),
        **_fleet_figures(push),
        **_baseline_figures(poll),
        **_call_figures(added_latency),
        **_join_figures(members),
        'sizes': ', '.join(str(one.daemons) for one in push),
        'table': _table(push, poll),
    }
    return PAGE.format_map(figures)


def _control_bytes_figures(
    push: Sequence[SizeReport],
    members: Sequence[MemberCost],
) -> dict[str, object]:
    """Return the control bytes of a daemon at the target fleet size."""
    rest = _fit_over_inverse_size(push, lambda one: one.rest_bytes_per_s)
    change = _fit_over_inverse_size(push, lambda one: one.change_bytes)
    list_size = fit([(one.members, one.list_bytes) for one in members])
    update_bytes = (
        _MEMBER_CHANGES_PER_S * list_size.slope * _UPDATE_TRANSMISSIONS
    )
    rest_bytes = rest.at(1 / _TARGET_DAEMONS)
    change_bytes = change.at(1 / _TARGET_DAEMONS)
    change_s = change_bytes * _CHANGES_PER_DAY / _DAY_S
    bytes_per_s = rest_bytes + change_s + update_bytes
    return {
        'rest_slope': f'{rest.intercept:.0f} + {rest.slope:.0f} / n',
        'rest_bytes': f'{rest_bytes:.0f}',
        'change_each': f'{change_bytes:.0f}',
        'change_slope': f'{change.intercept:.0f} + {change.slope:.0f} / n',
        'change_bytes': f'{change_s:.1f}',
        'news_bytes': f'{update_bytes:.1f}',
        'news_repeats': str(_UPDATE_TRANSMISSIONS),
        'bytes_per_s': f'{bytes_per_s:.0f}',
        'bytes_verdict': _met_or_missed(bytes_per_s, _BYTES_LIMIT_PER_S),
    }


def _processor_figures(
    push: Sequence[SizeReport],
    members: Sequence[MemberCost],
) -> dict[str, object]:
    """Return the processor time of a daemon at the target fleet size."""
    cpu = _fit_over_inverse_size(push, lambda one: one.cpu_share)
    tick = fit([(one.members, one.tick_s) for one in members])
    merge = fit([(one.members, one.change_s) for one in members])
    update_share = merge.at(_TARGET_DAEMONS) * _MEMBER_CHANGES_PER_S
    floor = cpu.at(1 / _TARGET_DAEMONS)
    cpu_share = floor + tick.at(_TARGET_DAEMONS) + update_share
    return {
        'cpu_floor': f'{floor:.2%}',
        'cpu_slope': f'{cpu.intercept:.2%} + {cpu.slope:.2%} / n',
        'tick_ms': f'{tick.at(_TARGET_DAEMONS) * 1000:.2f}',
        'taken_ms': f'{merge.at(_TARGET_DAEMONS) * 1000:.2f}',
        'cpu': f'{cpu_share:.2%}',
        'cpu_verdict': _met_or_missed(cpu_share, _CORE_LIMIT),
    }


def _memory_figures(
    push: Sequence[SizeReport],
    members: Sequence[MemberCost],
) -> dict[str, object]:
    """Return the memory of a daemon at the target fleet size."""
    memory = _fit_over_size(push, lambda one: one.memory_bytes)
    per_member = fit([(one.members, one.memory_bytes) for one in members])
    memory_bytes = memory.at(_TARGET_DAEMONS)
    return {
        'memory_floor': f'{memory.intercept / _MEBIBYTE:.0f}',
        'memory_slope': f'{memory.slope / 1024:+.1f}',
        'member_bytes': f'{per_member.slope:.0f}',
        'memory': f'{memory_bytes / _MEBIBYTE:.0f}',
        'memory_verdict': _met_or_missed(memory_bytes, _MEMORY_LIMIT_BYTES),
    }


def _fleet_figures(push: Sequence[SizeReport]) -> dict[str, object]:
    """Return fleet-wide costs (largest fleet) and the worst convergence."""
    return {
        'regional_rest': f'{_largest(push).rest_regional_bytes_per_s:.0f}',
        'regional_change': f'{_largest(push).change_regional_bytes:.0f}',
        'reads': f'{_largest(push).store_reads_per_s:.1f}',
        'writes': f'{_largest(push).store_writes_per_s:.1f}',
        'worst_s': f'{max(one.convergence_max_s for one in push):.2f}',
        'worst_p50_s': f'{max(one.convergence_p50_s for one in push):.3f}',
    }


def _baseline_figures(poll: Sequence[SizeReport]) -> dict[str, object]:
    rest = _fit_over_size(poll, lambda one: one.rest_bytes_per_s)
    reads = _fit_over_size(poll, lambda one: one.store_reads_per_s)
    return {
        'poll_bytes': f'{rest.at(_TARGET_DAEMONS):.0f}',
        'poll_reads': f'{reads.at(_TARGET_DAEMONS):.0f}',
    }


def _call_figures(added_latency: AddedLatencyReport) -> dict[str, object]:
    per_daemon = _CALLS_PER_S / _TARGET_DAEMONS
    own, other = added_latency.ways[1], added_latency.ways[2]
    core_share = (
        per_daemon
        * (added_latency.entry_cpu_ms + added_latency.remote_cpu_ms)
        / 1000
    )
    keyed_per_s = _STORE_WRITES_PER_S / _CLAIM_ROWS
    return {
        'calls_per_daemon': f'{per_daemon:.0f}',
        'own_cpu_ms': f'{added_latency.own_cpu_ms:.2f}',
        'entry_cpu_ms': f'{added_latency.entry_cpu_ms:.2f}',
        'remote_cpu_ms': f'{added_latency.remote_cpu_ms:.2f}',
        'call_core': f'{core_share:.1%}',
        'own_added': f'{own.added_p50_ms:.2f} / {own.added_p99_ms:.2f}',
        'other_added': f'{other.added_p50_ms:.2f} / {other.added_p99_ms:.2f}',
        'keyed_per_s': f'{keyed_per_s:.0f}',
        'keyed_share': f'{keyed_per_s / _CALLS_PER_S:.2%}',
        'per_service': f'{_TARGET_DAEMONS / _TARGET_SERVICES:.0f}',
    }


def _join_figures(members: Sequence[MemberCost]) -> dict[str, object]:
    sizes = fit([(one.members, one.list_bytes) for one in members])
    list_bytes = sizes.at(_TARGET_DAEMONS)
    herd = _TARGET_DAEMONS / 3
    daily = _RESTARTS_PER_DAY + _FAILURES_PER_DAY
    daily_bytes_per_s = daily * list_bytes / _DAY_S / _ENTRY_POINTS
    return {
        'list_kb': f'{list_bytes / 1024:.0f}',
        'list_daily_bytes': f'{daily_bytes_per_s:.0f}',
        'herd': f'{herd:.0f}',
        'herd_s': f'{herd / _HERD_READS_PER_S:.0f}',
        'herd_entry_mb': f'{herd * list_bytes / _ENTRY_POINTS / _MEBIBYTE:.1f}',
    }


def _fit_over_size(
    sizes: Sequence[SizeReport],
    amount: Callable[[SizeReport], float],
) -> FittedLine:
    return fit([(one.daemons, amount(one)) for one in sizes])


def _fit_over_inverse_size(
    sizes: Sequence[SizeReport],
    amount: Callable[[SizeReport], float],
) -> FittedLine:
    """Return the line of an amount over 1 / size.

    A fixed number of bridges, readers and entry points serves the whole
    fleet, so their average cost per daemon falls as the fleet grows.
    """
    return fit([(1 / one.daemons, amount(one)) for one in sizes])


def _largest(sizes: Sequence[SizeReport]) -> SizeReport:
    return max(sizes, key=lambda one: one.daemons)


def _met_or_missed(amount: float, limit: float) -> str:
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


def _read(path: pathlib.Path, document_type: type[_Document]) -> _Document:
    return msgspec.json.decode(path.read_bytes(), type=document_type)


def main(arguments: Sequence[str] | None = None) -> int:
    """Write the page.

    :param arguments: command line without the program's name.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser(
        prog='python -m ragwortstand.tools.capacity',
        description='Compute the capacity page from measurements.',
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
