"""ragwortstand.callers.wait_estimator: estimates how long a caller has waited.

A caller that retries after a refusal sends the remainder of its time budget.
First requests use the same few round budgets over and over; any other budget
is taken as the remainder of the next larger one of these.
"""

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

# Budgets stored for each rank: a few seconds of requests on a busy host.
_REMEMBERED = 400
# Configured budgets are usually multiples of this.
_ROUND_MS = 50
# Share of the stored budgets from which a round budget counts as one of first
# requests; the remainders that retries send are spread over hundreds of
# milliseconds.
_USUAL_PART = 0.04
# The same for a budget that is not round; callers that were given the same
# retry delay send remainders within several milliseconds of each other.
_USUAL_UNROUND_PART = 0.25
# Requests between two updates of the usual budgets; there are none before the
# first update.
_LOOK_EVERY = 50
_MS = 1000


@dataclass(slots=True)
class _Budgets:
    """Budgets of the last requests of one rank, in milliseconds."""

    last_ms: deque[int] = field(
        default_factory=lambda: deque(maxlen=_REMEMBERED),
    )
    usual_ms: tuple[int, ...] = ()
    noted: int = 0

    def note(self, budget_ms: int) -> None:
        self.last_ms.append(budget_ms)
        self.noted += 1
        if self.noted % _LOOK_EVERY == 0:
            self.usual_ms = tuple(sorted(self._usual_ms()))

    def first_ms(self, budget_ms: int) -> int:
        """Return the first budget that this one remains of, or itself."""
        larger = (one for one in self.usual_ms if one >= budget_ms)
        return next(larger, budget_ms)

    def _usual_ms(self) -> Iterator[int]:
        known = len(self.last_ms)
        for budget_ms, count in Counter(self.last_ms).items():
            is_round = budget_ms % _ROUND_MS == 0
            part = _USUAL_PART if is_round else _USUAL_UNROUND_PART
            if count >= known * part:
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
        self._budgets: dict[str, _Budgets] = {}

    def waited_s(self, rank: str, budget_s: float) -> float:
        """Record a request's budget and return how long its caller has waited.

        :param rank: name of the request's rank.
        :param budget_s: time that the caller has left.
        :returns: time since the caller's first attempt; 0 for a first attempt.
        """
        budgets = self._budgets.setdefault(rank, _Budgets())
        budget_ms = round(budget_s * _MS)
        budgets.note(budget_ms)
        return (budgets.first_ms(budget_ms) - budget_ms) / _MS
