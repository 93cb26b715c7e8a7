"""Tests of `SharedBudgetRetries`."""

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortstand.calls import Call
from ragwortstand.ids import RequestId, Version
from ragwortstand.models import Rank, Service
from ragwortstand.peers.shared_budget import RetryBudget, SharedBudgetRetries
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
)

_TERMS = RetryBudget(ratio=0.2, slack=60, window_s=10)
_LOST = Unknown(Cause.CONNECTION_LOST)
_CALL_RANK = Rank(name='call', target_s=0.06)
_WORK_RANK = Rank(name='work', target_s=0.25)
# A fleet in which one service calls another.
_STATUSES_PER_S = 105
_DISPATCHES_PER_S = 51
_CALLS = 1.4
_DAEMONS = 18
_REJECTED = 0.55


def _call(
    *,
    is_idempotent: bool = True,
    began_at_s: float = 0.0,
    rank: Rank = _WORK_RANK,
    max_attempts: int | None = None,
) -> Call:
    return Call(
        request_id=RequestId('r'),
        method='GET',
        target='/',
        headers=(),
        body=b'',
        service=Service(name='s'),
        rank=rank,
        is_idempotent=is_idempotent,
        deadline_s=began_at_s + 1.5,
        version=Version(1),
        goal_s=began_at_s + rank.target_s,
        max_attempts=max_attempts,
        began_at_s=began_at_s,
    )


def _allows(
    retries: SharedBudgetRetries,
    outcome: Outcome,
    now_s: float = 0.01,
    **options,
) -> bool:
    return retries.allows(_call(**options), outcome, now_s)


class VerdictTests(unittest.TestCase):
    """Which outcomes may be retried at all."""

    def setUp(self) -> None:
        """Create the policy of the only daemon of a fleet."""
        self.retries = SharedBudgetRetries(_TERMS, lambda: 1)

    def test_lost_answers_only_of_idempotent_requests(self) -> None:
        self.assertTrue(_allows(self.retries, _LOST))
        self.assertFalse(_allows(self.retries, _LOST, is_idempotent=False))

    def test_what_did_not_run_goes_elsewhere(self) -> None:
        for cause in (Cause.OVERLOADED, Cause.REJECTED, Cause.LEAVING):
            refused = Refused(cause)
            self.assertTrue(_allows(self.retries, refused, is_idempotent=False))

    def test_failures_of_idempotent_requests(self) -> None:
        failed, found = Answered(500, (), b''), Answered(404, (), b'')
        self.assertTrue(_allows(self.retries, failed))
        self.assertFalse(_allows(self.retries, found))
        self.assertFalse(_allows(self.retries, failed, is_idempotent=False))

    def test_quarantine_and_deadline_are_final(self) -> None:
        for outcome in (
            Refused(Cause.QUARANTINED),
            Unknown(Cause.DEADLINE),
            Refused(Cause.CALLER_GONE),
        ):
            self.assertFalse(_allows(self.retries, outcome))

    def test_attempts_of_the_route(self) -> None:
        call = _call(max_attempts=1)
        self.assertFalse(self.retries.allows(call, _LOST, 0.01))
        call = _call(max_attempts=2)
        self.assertTrue(self.retries.allows(call, _LOST, 0.01))
        call.attempt = 2
        self.assertFalse(self.retries.allows(call, _LOST, 0.02))

    def test_no_retry_without_time_for_it(self) -> None:
        """A second server would work for a caller that has left."""
        for outcome in (_LOST, Refused(Cause.REJECTED), Answered(500, (), b'')):
            self.assertTrue(_allows(self.retries, outcome, 1.4))
            self.assertFalse(_allows(self.retries, outcome, 1.46))

    def test_search_for_a_free_server_ends_early(self) -> None:
        full = Refused(Cause.OVERLOADED)
        self.assertTrue(_allows(self.retries, full, now_s=0.02))
        self.assertFalse(_allows(self.retries, full, now_s=0.04))

    def test_search_goes_on_past_a_server_with_a_rate_limit(self) -> None:
        """Guards against refusing calls while other servers are idle."""
        limited = Refused(Cause.RATE_LIMITED)
        self.assertTrue(_allows(self.retries, limited, now_s=0.1))
        self.assertFalse(_allows(self.retries, limited, now_s=0.13))


class WindowTests(unittest.TestCase):
    """What is stored of past requests."""

    def test_requests_of_the_past_are_forgotten(self) -> None:
        """Without a retry, too, only the requests of a window are stored."""
        retries = SharedBudgetRetries(_TERMS, lambda: 1)
        for number in range(2000):
            _allows(retries, Answered(200, (), b''), number / 10)
        self.assertLessEqual(len(retries._windows['s'].requests), 101)


class GreyServersTests(unittest.TestCase):
    """All servers of a service reject more than half of their requests."""

    def test_calls_get_what_is_left_of_the_budget(self) -> None:
        retries = SharedBudgetRetries(_TERMS, lambda: 1)
        rejected = Refused(Cause.REJECTED)
        _allows(retries, Answered(200, (), b''), rank=_CALL_RANK)
        work = sum(_allows(retries, rejected) for _ in range(100))
        calls = sum(
            _allows(retries, rejected, rank=_CALL_RANK) for _ in range(100)
        )
        self.assertGreater(work, 10)
        self.assertGreater(calls, work - 2)


class SharedBudgetTests(unittest.TestCase):
    """The sum of retries of all daemons in any window."""

    @settings(max_examples=60, deadline=None)
    @given(
        daemons=st.integers(1, 30),
        gaps=st.lists(st.floats(0, 0.5), min_size=20, max_size=300),
        failing=st.randoms(use_true_random=False),
    )
    def test_retries_never_exceed_the_shared_budget(
        self, daemons, gaps, failing
    ) -> None:
        fleet = _fleet(daemons)
        requests: list[float] = []
        retried: list[float] = []
        now_s = 0.0
        for gap_s in gaps:
            now_s += gap_s
            for retries in fleet:
                requests.append(now_s)
                outcome = failing.choice(_MOSTLY_LOST)
                call = _call(began_at_s=now_s)
                if retries.allows(call, outcome, now_s):
                    retried.append(now_s)
        for start_s in retried:
            end_s = start_s + _TERMS.window_s
            inside = sum(start_s <= at_s <= end_s for at_s in retried)
            first_s = start_s - _TERMS.window_s
            owed = sum(first_s <= at_s <= end_s for at_s in requests)
            self.assertLessEqual(inside, _TERMS.ratio * owed + _TERMS.slack)


def _fleet(daemons: int) -> list[SharedBudgetRetries]:
    def count() -> int:
        return daemons

    return [SharedBudgetRetries(_TERMS, count) for _ in range(daemons)]


_MOSTLY_LOST = (_LOST, _LOST, _LOST, Answered(200, (), b''))


class RepeatedCallsTests(unittest.TestCase):
    """Retried runs repeat their calls to a service that fails as well.

    Eighteen daemons get requests for twelve seconds: callers request statuses
    and dispatches, each status makes 1.4 calls to the dispatchers, and the
    dispatchers reject more than half of all requests.
    """

    def setUp(self) -> None:
        """Create a fleet with empty windows."""
        self.rng = random.Random(5)
        self.fleet = _fleet(_DAEMONS)
        self.repeats_s: list[float] = []
        self.asked_s: list[float] = []

    def test_repeats_at_dispatchers_never_exceed_the_shared_budget(
        self,
    ) -> None:
        """Retries and repeated calls together stay within the budget."""
        for step in range(1200):
            self._step(step / 100)
        for start_s in self.repeats_s:
            end_s = start_s + _TERMS.window_s
            inside = sum(start_s <= at_s <= end_s for at_s in self.repeats_s)
            owed = sum(start_s <= at_s <= end_s for at_s in self.asked_s)
            allowed = _TERMS.ratio * owed + _TERMS.slack
            self.assertLessEqual(inside, allowed)

    def _step(self, now_s: float) -> None:
        for _ in range(self._arrivals(_DISPATCHES_PER_S)):
            self.asked_s.append(now_s)
            self._ask(now_s, _WORK_RANK, is_repeat=False)
        for _ in range(self._arrivals(_STATUSES_PER_S)):
            retries = self.rng.choice(self.fleet)
            is_served = self._status(now_s, is_repeat=False)
            outcome = Answered(200 if is_served else 500, (), b'')
            if retries.allows(_status_call(now_s), outcome, now_s):
                self._status(now_s, is_repeat=True)

    def _status(self, now_s: float, *, is_repeat: bool) -> bool:
        """Run a status and its calls; return whether all were served."""
        calls = 1 + (self.rng.random() < _CALLS - 1)
        return all(
            [
                self._ask(now_s, _CALL_RANK, is_repeat=is_repeat)
                for _ in range(calls)
            ],
        )

    def _ask(self, now_s: float, rank: Rank, *, is_repeat: bool) -> bool:
        """Send a request to the dispatchers, and once more if allowed."""
        retries = self.rng.choice(self.fleet)
        call = _call(began_at_s=now_s, rank=rank, max_attempts=2)
        while True:
            if is_repeat:
                self.repeats_s.append(now_s)
            if self.rng.random() > _REJECTED:
                return True
            rejected = Refused(Cause.REJECTED, 0.02)
            if not retries.allows(call, rejected, now_s):
                return False
            call.attempt += 1
            is_repeat = True

    def _arrivals(self, per_s: float) -> int:
        whole, rest = divmod(per_s / 100, 1)
        return int(whole) + (self.rng.random() < rest)


def _status_call(now_s: float) -> Call:
    call = _call(began_at_s=now_s, max_attempts=2)
    return replace(call, service=Service(name='jobboard'))
