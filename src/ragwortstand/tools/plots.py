"""ragwortstand.tools.plots: plots experiments and models, with matplotlib."""

import pathlib
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from ragwortstand.exceptions import RagwortstandError
from ragwortstand.tools.load import Record
from ragwortstand.tools.model import RequestResult
from ragwortstand.tools.shares import group_by_second, success_share

_SIZE_INCHES = (12, 5)
_DOTS_PER_INCH = 90


class _Sample(NamedTuple):
    """One request of a plot: its rank, its start and whether in target."""

    rank: str
    at_s: float
    is_in_target: bool


def plot_served(
    records: Mapping[str, Sequence[Record]],
    path: pathlib.Path,
    fault_start_s: float,
    fault_s: float,
) -> None:
    """Plot the share of requests served in target, per rank and second.

    :param records: records of each run, by the run's name.
    :param path: PNG file to write.
    :param fault_start_s: start of the fault within the run.
    :param fault_s: duration of the fault.
    :raises RagwortstandError: when matplotlib is not installed.
    """
    samples = {
        label: [_to_sample(record) for record in part]
        for label, part in records.items()
    }
    _plot(samples, path, (fault_start_s, fault_start_s + fault_s))


def plot_model(
    results: Mapping[str, Sequence[RequestResult]],
    path: pathlib.Path,
    title: str,
) -> None:
    """Plot the share of requests served in target, per rank and second.

    :param results: requests of each run of the model, by policy.
    :param path: PNG file to write.
    :param title: name of the scenario.
    :raises RagwortstandError: when matplotlib is not installed.
    """
    samples = {
        f'{title}, {label}': [
            _Sample(result.rank, result.began_at_s, result.is_in_goal)
            for result in part
        ]
        for label, part in results.items()
    }
    _plot(samples, path)


def _to_sample(record: Record) -> _Sample:
    is_in_target = record.is_served and record.taken_s <= record.target_s
    return _Sample(record.rank, record.planned_s, is_in_target)


def _plot(
    runs: Mapping[str, Sequence[_Sample]],
    path: pathlib.Path,
    fault: tuple[float, float] | None = None,
) -> None:
    """Draw one panel for each run, with a line for each rank."""
    figure = _figure()
    panels = figure.subplots(1, len(runs), sharey=True)
    for panel, (title, samples) in zip(panels, runs.items(), strict=True):
        if fault:
            panel.axvspan(*fault, color='0.92', label='fault')
        for rank in sorted({sample.rank for sample in samples}):
            seconds = group_by_second(
                (one.at_s, one.is_in_target)
                for one in samples
                if one.rank == rank
            )
            shares = [success_share(part) for part in seconds.values()]
            panel.plot(list(seconds), shares, label=rank)
        panel.set_title(title)
        panel.set_xlabel('planned start, s')
        panel.set_ylim(-0.02, 1.02)
    panels[0].set_ylabel('served within target, share')
    panels[-1].legend(loc='lower right', fontsize='small')
    figure.tight_layout()
    figure.savefig(path)


def _figure() -> Any:
    try:
        from matplotlib.figure import Figure  # noqa: PLC0415, WPS433
    except ImportError as error:
        problem = 'plots need matplotlib: install ragwortstand[plots]'
        raise RagwortstandError(problem) from error
    return Figure(figsize=_SIZE_INCHES, dpi=_DOTS_PER_INCH)
