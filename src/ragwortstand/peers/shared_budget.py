"""ragwortstand.peers.shared_budget: retry budget shared by all daemons.

The budget of a service is a share of its requests plus a fixed slack, in any
sliding window and for all daemons together. Each daemon uses its own part of it
only, so that no coordination is needed.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortstand.calls import Call
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)

# Fraction of the budget's ratio that retries of a service itself may use. A
# retried run repeats its own calls, which count as retries of the services that
# they go to and do not add to the budget there; the rest is reserved for them.
_OWN_RETRIES_FRACTION = 0.15
# Fraction of the budget reserved for the most urgent rank of a service: calls
# that run on behalf of work that is already in progress.
_URGENT_FRACTION = 0.5
# Fraction of the slack that is used, for the same reason as above: the rest is
# reserved for repeated calls.
_SLACK_FRACTION = 0.5
# Attempts where neither the route nor the settings limit them.
_DEFAULT_ATTEMPTS = 2
# Daemons that one request is sent to; each refusal takes a round trip.
_MAX_TARGETS = 4
# Fraction of the rank's target after which a refusal is returned to the caller
# instead of trying another daemon.
_SEARCH_FRACTION = 0.125
# The same for a refusal that only the rate limit of one server causes: the
# others may be idle.
_RATE_LIMITED_SEARCH_FRACTION = 0.5
# A request that has reached a server is not sent to another with less time left
# than this fraction of its rank's target: it would use a slot in vain.
_MIN_REMAINING_FRACTION = 0.2
_FINAL_CAUSES = frozenset(
    (Cause.DEADLINE, Cause.QUARANTINED, Cause.CALLER_GONE)
)


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retry budget that all daemons share.

    :param ratio: retries as a share of the requests for a service.
    :param slack: retries in a window in addition to that share.
    :param window_s: length of the window.
    """

    ratio: float = 0.2
    slack: float = 60.0
    window_s: float = 10.0


@dataclass(slots=True)
class _ServiceWindow:
    """Times of requests and retries of one service within the window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    lowest_target_s: float = math.inf

    def expire(self, before_s: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < before_s:
                times.popleft()


class SharedBudgetRetries:
    """Allows retries on other servers within the budget of all daemons.

    A request that a daemon refused has reached no backend server, so trying
    another daemon does not use the budget; the search for a free server is
    limited in time instead.

    :param budget: the budget that all daemons share.
    :param daemons: returns the number of daemons that share it.
    """

    def __init__(
        self,
        budget: RetryBudget,
        daemons: Callable[[], int],
    ) -> None:
        """Create a policy with empty windows."""
        self.budget = budget
        self._daemons = daemons
        self._windows: dict[str, _ServiceWindow] = {}

    def allows(self, call: Call, outcome: Outcome, now_s: float) -> bool:
        """Return whether to retry after an outcome.

        :param call: the request.
        :param outcome: outcome of its last attempt.
        :param now_s: current time.
        """
        window = self._windows.setdefault(call.service.name, _ServiceWindow())
        window.expire(now_s - self.budget.window_s)
        if call.attempt == 1:
            window.requests.append(now_s)
        window.lowest_target_s = min(window.lowest_target_s, call.rank.target_s)
        if _reached_server(outcome):
            call.sends += 1
        if not _may_repeat(call, outcome):
            return False
        if not call.sends:
            return call.attempt < _MAX_TARGETS and _has_search_time(
                call, outcome, now_s
            )
        limit = call.max_attempts or _DEFAULT_ATTEMPTS
        if call.sends >= limit or not _has_time(call, now_s):
            return False
        if isinstance(outcome, Refused) and outcome.cause is not Cause.REJECTED:
            # The budget was charged when the attempt started.
            return call.attempt < _MAX_TARGETS
        return self._charge(window, call, now_s)

    def _charge(self, window: _ServiceWindow, call: Call, now_s: float) -> bool:
        daemons = max(1, self._daemons())
        slack = self.budget.slack * _SLACK_FRACTION / daemons
        share = self.budget.ratio * _OWN_RETRIES_FRACTION * len(window.requests)
        allowed_retries = share + slack
        if call.rank.target_s > window.lowest_target_s:
            allowed_retries *= 1 - _URGENT_FRACTION
        if len(window.retries) + 1 > allowed_retries:
            return False
        window.retries.append(now_s)
        return True


def _reached_server(outcome: Outcome) -> bool:
    if isinstance(outcome, Refused):
        return outcome.cause is Cause.REJECTED
    return True


def _may_repeat(call: Call, outcome: Outcome) -> bool:
    if isinstance(outcome, Answered):
        return call.is_idempotent and outcome.has_failed
    if outcome.cause in _FINAL_CAUSES:
        return False
    if outcome.verdict is Verdict.NOT_RUN:
        return True
    return isinstance(outcome, Unknown) and call.is_idempotent


def _has_time(call: Call, now_s: float) -> bool:
    min_remaining_s = call.rank.target_s * _MIN_REMAINING_FRACTION
    return call.remaining_s(now_s) > min_remaining_s


def _has_search_time(call: Call, outcome: Outcome, now_s: float) -> bool:
    is_rate_limited = (
        isinstance(outcome, Refused) and outcome.cause is Cause.RATE_LIMITED
    )
    fraction = (
        _RATE_LIMITED_SEARCH_FRACTION if is_rate_limited else _SEARCH_FRACTION
    )
    waited_s = now_s - call.began_at_s
    return waited_s < call.rank.target_s * fraction
