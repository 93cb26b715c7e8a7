"""ragwortstand.callers.overload: sheds load when the daemon itself is late.

Slots bound what backend servers run; a flood of short requests can still take
more processor time than the daemon has. The delay of its event loop shows
that, and then each rank keeps its guaranteed part of the admissions.
"""

from collections.abc import Iterable

import anyio

from ragwortstand.models import Rank

_TICK_S = 0.1
_LATE_S = 0.05
_DECAY_PER_TICK = 0.9


class OverloadGuard:
    """Admits requests by rank while the event loop is late.

    The requests and admissions of about the last second are counted by rank.
    While the loop is late, a rank is refused that has more than its guaranteed
    part of both. Admissions alone would not do: as the flooding rank is
    refused, the parts of all others rise.
    """

    def __init__(self) -> None:
        """Start on time."""
        self._parts: dict[str, float] = {}
        self._asked: dict[str, float] = {}
        self._admitted: dict[str, float] = {}
        self.delay_s = 0.0

    def configure(self, ranks: Iterable[Rank]) -> None:
        """Take over the ranks of a new configuration."""
        shares = {rank.name: rank.guaranteed_share for rank in ranks}
        total = sum(shares.values())
        self._parts = {
            name: share / total if total else 0
            for name, share in shares.items()
        }

    def admits(self, rank: str) -> bool:
        """Return whether to take a request, and count it if so.

        :param rank: name of its rank.
        """
        self._asked[rank] = self._asked.get(rank, 0) + 1
        if self.delay_s > _LATE_S and self._is_flooding(rank):
            return False
        self._admitted[rank] = self._admitted.get(rank, 0) + 1
        return True

    def tick(self, delay_s: float) -> None:
        """Note the delay of the event loop, once each 0.1 s.

        :param delay_s: how late the tick came.
        """
        self.delay_s = delay_s
        for counts in (self._asked, self._admitted):
            for rank in counts:
                counts[rank] *= _DECAY_PER_TICK

    async def watch(self) -> None:
        """Measure the delay of the event loop until cancelled."""
        due_s = anyio.current_time()
        while True:
            due_s += _TICK_S
            await anyio.sleep_until(due_s)
            now_s = anyio.current_time()
            self.tick(now_s - due_s)
            due_s = now_s

    def _is_flooding(self, rank: str) -> bool:
        part = self._parts.get(rank, 0)
        return all(
            counts.get(rank, 0) > part * sum(counts.values())
            for counts in (self._asked, self._admitted)
        )
