"""ragwortstand.callers.ages: how long the caller of a request has waited.

A caller that comes back after a refusal asks with what is left of its time.
First requests bear a few round budgets, again and again; any other budget is
the rest of the next larger one of these.
"""

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

# Budgets remembered for each rank: some seconds of a busy host.
_REMEMBERED = 400
# Budgets that people configure are multiples of this.
_ROUND_MS = 50
# Part of the remembered requests from which on a round budget counts as one
# that first requests bear; rests are spread over hundreds of milliseconds.
_USUAL_PART = 0.04
# The same for a budget that is not round; the rests of callers that were told
# the same time to come back gather within several milliseconds.
_USUAL_UNROUND_PART = 0.25
# Requests between two looks at what is usual; nothing is before the first.
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
        """Return the budget that this one is the rest of, or itself."""
        larger = (one for one in self.usual_ms if one >= budget_ms)
        return next(larger, budget_ms)

    def _usual_ms(self) -> Iterator[int]:
        known = len(self.last_ms)
        for budget_ms, count in Counter(self.last_ms).items():
            is_round = budget_ms % _ROUND_MS == 0
            part = _USUAL_PART if is_round else _USUAL_UNROUND_PART
            if count >= known * part:
                yield budget_ms


class CallerAges:
    """Tells how long ago callers asked first, from their time budgets.

    Usage::

        >>> ages = CallerAges()
        >>> ages.age_s('urgent', 1.5)
        0.0
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._budgets: dict[str, _Budgets] = {}

    def age_s(self, rank: str, budget_s: float) -> float:
        """Note a request's budget and return how long its caller has waited.

        :param rank: name of the request's rank.
        :param budget_s: time that the caller has left.
        :returns: 0 for a first request.
        """
        budgets = self._budgets.setdefault(rank, _Budgets())
        budget_ms = round(budget_s * _MS)
        budgets.note(budget_ms)
        return (budgets.first_ms(budget_ms) - budget_ms) / _MS
