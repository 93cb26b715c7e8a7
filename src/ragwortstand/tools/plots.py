"""ragwortstand.tools.plots: plots of experiments, with matplotlib."""

import pathlib
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from ragwortstand.exceptions import RagwortstandError
from ragwortstand.tools.load import Record
from ragwortstand.tools.model import Visit

_SIZE_INCHES = (12, 5)
_DOTS_PER_INCH = 90


def plot_served(
    records: Mapping[str, Sequence[Record]],
    path: pathlib.Path,
    fault_start_s: float,
    fault_s: float,
) -> None:
    """Draw the share of each rank served in target, second by second.

    :param records: records of each run, by the run's name.
    :param path: where the PNG goes.
    :param fault_start_s: start of the fault within the run.
    :param fault_s: length of the fault.
    :raises RagwortstandError: when matplotlib is not installed.
    """
    figure = _figure()
    panels = figure.subplots(1, len(records), sharey=True)
    for panel, (label, part) in zip(panels, records.items(), strict=True):
        panel.axvspan(
            fault_start_s, fault_start_s + fault_s, color='0.92', label='fault'
        )
        for rank in sorted({record.rank for record in part}):
            shares = _shares([one for one in part if one.rank == rank])
            panel.plot(list(shares), list(shares.values()), label=rank)
        panel.set_title(label)
        panel.set_xlabel('planned start, s')
        panel.set_ylim(-0.02, 1.02)
    panels[0].set_ylabel('served within target, share')
    panels[-1].legend(loc='lower right', fontsize='small')
    figure.tight_layout()
    figure.savefig(path)


def plot_model(
    visits: Mapping[str, Sequence[Visit]],
    path: pathlib.Path,
    title: str,
) -> None:
    """Draw the share of each rank served in target, second by second.

    :param visits: requests of each run of the model, by policy.
    :param path: where the PNG goes.
    :param title: name of the scene.
    :raises RagwortstandError: when matplotlib is not installed.
    """
    figure = _figure()
    panels = figure.subplots(1, len(visits), sharey=True)
    for panel, (label, part) in zip(panels, visits.items(), strict=True):
        for rank in sorted({visit.rank for visit in part}):
            shares = _visit_shares([one for one in part if one.rank == rank])
            panel.plot(list(shares), list(shares.values()), label=rank)
        panel.set_title(f'{title}, {label}')
        panel.set_xlabel('start, s')
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


def _visit_shares(visits: Sequence[Visit]) -> dict[int, float]:
    sent: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for visit in visits:
        second = int(visit.began_at_s)
        sent[second] += 1
        good[second] += visit.is_in_goal
    return {second: good[second] / sent[second] for second in sorted(sent)}


def _shares(records: Sequence[Record]) -> dict[int, float]:
    sent: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for record in records:
        second = int(record.planned_s)
        sent[second] += 1
        good[second] += record.is_served and record.taken_s <= record.target_s
    return {second: good[second] / sent[second] for second in sorted(sent)}
