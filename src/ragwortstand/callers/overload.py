"""ragwortstand.callers.overload: sheds load while the event loop lags.

Slots limit the work of backend servers, but a flood of short requests can
still take more processor time than the daemon has. This shows as event loop
lag; each rank is then limited to its guaranteed share of the admissions.
"""

from collections.abc import Iterable

import anyio

from ragwortstand.models import Rank

_TICK_S = 0.1
_LAG_THRESHOLD_S = 0.05
_DECAY_PER_TICK = 0.9


class OverloadGuard:
    """Limits each rank to its guaranteed share while the event loop lags.

    Requests and admissions of about the last second are counted by rank.
    While the loop lags, a rank that exceeds its guaranteed share of both is
    refused. Counting admissions alone is not enough: refusing the rank that
    floods raises the shares of all other ranks.
    """

    def __init__(self) -> None:
        """Create a guard without ranks, counts or lag."""
        self._shares: dict[str, float] = {}
        self._offered: dict[str, float] = {}
        self._admitted: dict[str, float] = {}
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
        if self.lag_s > _LAG_THRESHOLD_S and self._exceeds_share(rank):
            return False
        self._admitted[rank] = self._admitted.get(rank, 0) + 1
        return True

    def record_lag(self, lag_s: float) -> None:
        """Record the event loop lag and decay the counts, every 0.1 s.

        :param lag_s: present lag in seconds.
        """
        self.lag_s = lag_s
        for counts in (self._offered, self._admitted):
            for rank in counts:
                counts[rank] *= _DECAY_PER_TICK

    async def watch(self) -> None:
        """Measure the event loop lag every 0.1 s; runs until cancelled."""
        due_s = anyio.current_time()
        while True:
            due_s += _TICK_S
            await anyio.sleep_until(due_s)
            now_s = anyio.current_time()
            self.record_lag(now_s - due_s)
            due_s = now_s

    def _exceeds_share(self, rank: str) -> bool:
        share = self._shares.get(rank, 0)
        return all(
            counts.get(rank, 0) > share * sum(counts.values())
            for counts in (self._offered, self._admitted)
        )
