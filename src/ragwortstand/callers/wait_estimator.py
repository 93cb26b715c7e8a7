"""ragwortstand.callers.wait_estimator: estimates how long a caller has waited.

A caller that retries after a refusal sends the remainder of its time budget.
First requests use the same few round budgets over and over; any other budget
is taken as the remainder of the next larger one of these.
"""

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

# Budgets stored for each rank: a few seconds of requests on a busy host.
_MAX_STORED = 400
# Configured budgets are usually multiples of this.
_ROUND_MS = 50
# Share of the stored budgets from which a round budget counts as a first one;
# the remainders that retries send are spread over hundreds of milliseconds.
_MIN_SHARE = 0.04
# The same for a budget that is not round; callers that were given the same
# retry delay send remainders within several milliseconds of each other.
_MIN_UNROUND_SHARE = 0.25
# Requests between two updates of the usual budgets; there are none before the
# first update.
_UPDATE_EVERY = 50
_MS = 1000


@dataclass(slots=True)
class _RankBudgets:
    """Budgets of the last requests of one rank, in milliseconds."""

    recent_ms: deque[int] = field(
        default_factory=lambda: deque(maxlen=_MAX_STORED),
    )
    usual_ms: tuple[int, ...] = ()
    recorded: int = 0

    def record(self, budget_ms: int) -> None:
        self.recent_ms.append(budget_ms)
        self.recorded += 1
        if self.recorded % _UPDATE_EVERY == 0:
            self.usual_ms = tuple(sorted(self._find_usual_ms()))

    def first_budget_ms(self, budget_ms: int) -> int:
        """Return the first budget that this is a remainder of, or itself."""
        larger = (one for one in self.usual_ms if one >= budget_ms)
        return next(larger, budget_ms)

    def _find_usual_ms(self) -> Iterator[int]:
        total = len(self.recent_ms)
        for budget_ms, count in Counter(self.recent_ms).items():
            is_round = budget_ms % _ROUND_MS == 0
            min_share = _MIN_SHARE if is_round else _MIN_UNROUND_SHARE
            if count >= total * min_share:
                yield budget_ms


class CallerWaitEstimator:
    """Estimates the time since callers' first attempts from time budgets.

    Usage::

        >>> estimator = CallerWaitEstimator()
        >>> estimator.waited_s('urgent', 1.5)
        0.0
    """

    def __init__(self) -> None:
        """Create an estimator without recorded budgets."""
        self._budgets: dict[str, _RankBudgets] = {}

    def waited_s(self, rank: str, budget_s: float) -> float:
        """Record a request's budget and return how long its caller has waited.

        :param rank: name of the request's rank.
        :param budget_s: time that the caller has left.
        :returns: time since the caller's first attempt; 0 for a first attempt.
        """
        budgets = self._budgets.setdefault(rank, _RankBudgets())
        budget_ms = round(budget_s * _MS)
        budgets.record(budget_ms)
        return (budgets.first_budget_ms(budget_ms) - budget_ms) / _MS
