"""ragwortstand.peers.shared_budget: retries that all daemons pay for together.

The budget of a service is a share of its requests and a slack, for any span
of a window and for all daemons together. Each daemon keeps to its own part of
it, so that none has to ask another.
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

# Part of the agreed share that a service's own retries may use. A retried
# run makes its own calls again, which count as retries of the services that
# they go to, and calls earn no share there; the rest is kept for those.
_OWN_PART = 0.15
# Part of the budget that is left to the most urgent rank of a service: calls
# that run on behalf of work that is already under way.
_URGENT_PART = 0.5
# Part of the slack that is used, for the same reason.
_SLACK_PART = 0.5
# Attempts where neither route nor settings say otherwise.
_DEFAULT_ATTEMPTS = 2
# Daemons that are asked for one request; each refusal takes a round trip.
_MAX_TARGETS = 4
# Part of the time to the goal after which a refusal is passed on to the
# caller instead of trying elsewhere.
_SEARCH_PART = 0.125
_FINAL = frozenset((Cause.DEADLINE, Cause.QUARANTINED, Cause.CALLER_GONE))


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """The budget that all daemons share.

    :param ratio: retries as a share of the requests for a service.
    :param slack: retries in a window beyond that share.
    :param window_s: length of the window.
    """

    ratio: float = 0.2
    slack: float = 60.0
    window_s: float = 10.0


@dataclass(slots=True)
class _Account:
    """Requests and retries of one service within the window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    urgent_s: float = math.inf

    def expire(self, before_s: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < before_s:
                times.popleft()


class SharedBudgetRetries:
    """Tries elsewhere what did not run, within the budget of all daemons.

    A refusal by another daemon reached no backend server, so going elsewhere
    after it is free; it ends when the time for it is used up.

    :param terms: the budget.
    :param daemons: returns the number of daemons that share it.
    """

    def __init__(
        self,
        terms: RetryTerms,
        daemons: Callable[[], int],
    ) -> None:
        """Start with empty accounts."""
        self.terms = terms
        self._daemons = daemons
        self._accounts: dict[str, _Account] = {}

    def allows(self, call: Call, outcome: Outcome, now_s: float) -> bool:
        """Return whether to try again after an outcome.

        :param call: the request.
        :param outcome: outcome of its last attempt.
        :param now_s: present time.
        """
        account = self._accounts.setdefault(call.service.name, _Account())
        if call.attempt == 1:
            account.requests.append(now_s)
        account.urgent_s = min(account.urgent_s, call.rank.target_s)
        if _reached_server(outcome):
            call.sends += 1
        if not _may_repeat(call, outcome):
            return False
        if not call.sends:
            return call.attempt < _MAX_TARGETS and _has_time(call, now_s)
        limit = call.max_attempts or _DEFAULT_ATTEMPTS
        if call.sends >= limit or call.remaining_s(now_s) <= 0:
            return False
        if isinstance(outcome, Refused) and outcome.cause is not Cause.REJECTED:
            # The budget was charged when the attempt began.
            return call.attempt < _MAX_TARGETS
        return self._charge(account, call, now_s)

    def _charge(self, account: _Account, call: Call, now_s: float) -> bool:
        account.expire(now_s - self.terms.window_s)
        daemons = max(1, self._daemons())
        slack = self.terms.slack * _SLACK_PART / daemons
        share = self.terms.ratio * _OWN_PART * len(account.requests)
        budget = share + slack
        if call.rank.target_s > account.urgent_s:
            budget *= 1 - _URGENT_PART
        if len(account.retries) + 1 > budget:
            return False
        account.retries.append(now_s)
        return True


def _reached_server(outcome: Outcome) -> bool:
    if isinstance(outcome, Refused):
        return outcome.cause is Cause.REJECTED
    return True


def _may_repeat(call: Call, outcome: Outcome) -> bool:
    if isinstance(outcome, Answered):
        return call.is_idempotent and outcome.has_failed
    if outcome.cause in _FINAL:
        return False
    if outcome.verdict is Verdict.NOT_RUN:
        return True
    return isinstance(outcome, Unknown) and call.is_idempotent


def _has_time(call: Call, now_s: float) -> bool:
    waited_s = now_s - call.began_at_s
    return waited_s < call.rank.target_s * _SEARCH_PART
