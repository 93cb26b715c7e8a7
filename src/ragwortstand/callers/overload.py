"""ragwortstand.callers.overload: sheds load while the event loop lags.

Slots limit the work of backend servers, but a flood of short requests can
still take more processor time than the daemon has. This shows as event loop
lag. Lag alone is no sign of a flood, because other processes on the host may
use the processor: requests are refused only while clearly more of them arrive
than usual.
"""

import math
from collections.abc import Iterable, Mapping

import anyio

from ragwortstand.models import Rank

_TICK_S = 0.1
_LAG_THRESHOLD_S = 0.05
# Counts cover about the last second: ten ticks.
_DECAY_PER_TICK = 0.9
# The usual number of requests follows the present one within about 10 s.
_USUAL_WEIGHT = 0.01
# Time without lag after which the present number counts as usual; while a
# flood is being refused, short times without lag alternate with lag.
_CALM_AFTER_S = 3.0
# Initial usual number of requests per second, for a daemon that lags from its
# start; a fraction of a core is enough for them.
_MIN_USUAL = 50.0
# Random variation of the arrivals stays below this multiple of the usual
# number.
_FLOOD_FACTOR = 1.5
# While a flood makes the loop lag, the capacity falls to a third in a second;
# afterwards it grows as fast.
_CAPACITY_FACTOR_PER_TICK = 0.9


class OverloadGuard:
    """Shares the capacity of the daemon by rank during a flood.

    Requests and admissions of about the last second are counted by rank. While
    the event loop lags and more requests arrive than usual, each rank gets its
    guaranteed share of the capacity and what other ranks leave unused. The
    capacity falls as long as this does not end the lag. Counting admissions
    alone is not enough: refusing the rank that floods raises the shares of all
    other ranks.
    """

    def __init__(self) -> None:
        """Create a guard without ranks, counts or lag."""
        self._shares: dict[str, float] = {}
        self._offered: dict[str, float] = {}
        self._admitted: dict[str, float] = {}
        self._usual = _MIN_USUAL
        self._capacity = _MIN_USUAL
        self._calm_s = 0.0
        self.lag_s = 0.0

    def configure(self, ranks: Iterable[Rank]) -> None:
        """Apply the guaranteed shares of a new configuration's ranks."""
        shares = {rank.name: rank.guaranteed_share for rank in ranks}
        total = sum(shares.values())
        self._shares = {
            name: share / total if total else 0
            for name, share in shares.items()
        }

    def admits(self, rank: str) -> bool:
        """Count a request and return whether to admit it.

        :param rank: name of its rank.
        """
        self._offered[rank] = self._offered.get(rank, 0) + 1
        if self._is_flooded() and self._exceeds_share(rank):
            return False
        self._admitted[rank] = self._admitted.get(rank, 0) + 1
        return True

    def record_lag(self, lag_s: float) -> None:
        """Record the event loop lag and decay the counts, every 0.1 s.

        :param lag_s: present lag in seconds; the interval was longer by it.
        """
        self.lag_s = lag_s
        if lag_s > _LAG_THRESHOLD_S:
            self._calm_s = 0.0
            if self._is_flooded():
                self._capacity *= _CAPACITY_FACTOR_PER_TICK
        else:
            self._calm_s += _TICK_S
            self._capacity /= _CAPACITY_FACTOR_PER_TICK
        if self._calm_s > _CALM_AFTER_S:
            admitted = sum(self._admitted.values())
            self._usual += _USUAL_WEIGHT * (admitted - self._usual)
        self._usual = max(_MIN_USUAL, self._usual)
        self._capacity = min(self._usual, max(_MIN_USUAL, self._capacity))
        decay = _DECAY_PER_TICK ** (1 + lag_s / _TICK_S)
        for counts in (self._offered, self._admitted):
            for rank in counts:
                counts[rank] *= decay

    async def watch(self) -> None:
        """Measure the event loop lag every 0.1 s; runs until cancelled."""
        due_s = anyio.current_time()
        while True:
            due_s += _TICK_S
            await anyio.sleep_until(due_s)
            now_s = anyio.current_time()
            self.record_lag(now_s - due_s)
            due_s = now_s

    def _is_flooded(self) -> bool:
        offered = sum(self._offered.values())
        return (
            self.lag_s > _LAG_THRESHOLD_S
            and offered > self._usual * _FLOOD_FACTOR
        )

    def _exceeds_share(self, rank: str) -> bool:
        share = self._shares.get(rank, 0)
        if any(
            counts.get(rank, 0) <= share * sum(counts.values())
            for counts in (self._offered, self._admitted)
        ):
            return False
        allotted = _fair_allotments(self._offered, self._shares, self._capacity)
        return self._admitted.get(rank, 0) >= allotted[rank]


def _fair_allotments(
    demands: Mapping[str, float],
    shares: Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return the weighted max-min fair division of the capacity.

    :param demands: what each rank asks for.
    :param shares: guaranteed shares; ranks without one get what is left.
    :param capacity: what there is to divide, in the unit of the demands.
    """
    weights = {rank: shares.get(rank, 0) for rank in demands}
    total_weight = sum(weights.values())
    ascending = sorted(
        demands,
        key=lambda rank: (
            demands[rank] / weights[rank] if weights[rank] else math.inf
        ),
    )
    allotted: dict[str, float] = {}
    for rank in ascending:
        weight = weights[rank]
        portion = capacity * weight / total_weight if weight else capacity
        allotted[rank] = min(demands[rank], portion)
        capacity -= allotted[rank]
        total_weight -= weight
    return allotted
