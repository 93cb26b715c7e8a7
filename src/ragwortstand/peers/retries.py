"""ragwortstand.peers.retries: decides which failed requests are retried."""

from dataclasses import dataclass
from typing import Protocol

from ragwortstand.calls import Call
from ragwortstand.settings import DaemonSettings
from ragwortstand.verdicts import Answered, Cause, Outcome, Refused

MAX_ATTEMPTS = 3
_BURST = 10.0
_FINAL_CAUSES = frozenset(
    (
        Cause.ALREADY_CLAIMED,
        Cause.ANSWER_TOO_LARGE,
        Cause.CLAIM_UNAVAILABLE,
        Cause.DEADLINE,
        Cause.NOT_OWNER,
        Cause.QUARANTINED,
    ),
)


# A request with an idempotency key goes to another owner of the key only when
# its owner is unavailable: an owner that is merely busy must know of all runs
# of its keys.
_OWNER_FAILURES = frozenset(
    (Cause.BACKEND_SERVER_DOWN, Cause.LEAVING, Cause.NO_BACKEND_SERVER),
)


# Attempts beyond the limit for a suspect that is sent on to its owner: daemons
# disagree on the owner until all know of the server that crashed.
_MAX_REDIRECTS = 3


# Refusals after which another attempt is not counted as a retry: a suspect is
# forwarded to its owner, and a rate-limited server has got nothing.
_FREE_CAUSES = frozenset((Cause.RATE_LIMITED, Cause.SUSPECT))


class RetryPolicy(Protocol):
    """Decides whether a request gets another attempt."""

    def allows(self, call: Call, outcome: Outcome, now_s: float) -> bool:
        """Return whether to retry after an outcome."""


@dataclass(slots=True)
class _Budget:
    tokens: float = _BURST


class BudgetedRetries:
    """Limits retries to a share of responses, by service and rank.

    Each response adds the service's `retry_share` to a token bucket of at most
    ten retries. Only requests that did not run or are idempotent are retried.
    """

    def __init__(self) -> None:
        """Create a policy with full budgets."""
        self._budgets: dict[tuple[str, str], _Budget] = {}

    def allows(self, call: Call, outcome: Outcome, now_s: float) -> bool:
        """Return whether to retry after an outcome.

        :param call: the request.
        :param outcome: outcome of its last attempt.
        :param now_s: current time.
        """
        budget = self._budget(call)
        if isinstance(outcome, Answered):
            earned = budget.tokens + call.service.retry_share
            budget.tokens = min(_BURST, earned)
            return False
        if not _may_repeat(call, outcome, now_s):
            return False
        if outcome.cause in _FREE_CAUSES:
            return True
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True

    def _budget(self, call: Call) -> _Budget:
        key = (call.service.name, call.rank.name)
        return self._budgets.setdefault(key, _Budget())


class NaiveRetries:
    """Retries whatever may be repeated, without a budget; for comparisons."""

    def allows(self, call: Call, outcome: Outcome, now_s: float) -> bool:
        """Return whether to retry after an outcome."""
        if isinstance(outcome, Answered):
            return False
        return _may_repeat(call, outcome, now_s)


def _may_repeat(
    call: Call,
    outcome: Outcome,
    now_s: float,
) -> bool:
    if isinstance(outcome, Answered) or outcome.cause in _FINAL_CAUSES:
        return False
    limit = min(call.max_attempts or MAX_ATTEMPTS, MAX_ATTEMPTS)
    limit += min(call.redirects, _MAX_REDIRECTS)
    if call.attempt >= limit or not call.remaining_s(now_s):
        return False
    if call.key and not call.is_idempotent:
        return outcome.cause in _OWNER_FAILURES
    return isinstance(outcome, Refused) or call.is_idempotent


def retry_policy_from_settings(settings: DaemonSettings) -> RetryPolicy:
    """Return the retry policy that the settings select."""
    if settings.policies.retry == 'naive':
        return NaiveRetries()
    return BudgetedRetries()
