"""Tests of `SignalChoice` and of the retry policies."""

import random
import unittest
from collections import Counter

from ragwortstand.calls import Call
from ragwortstand.ids import HostId, IdempotencyKey, RequestId, Version
from ragwortstand.models import Rank, Service
from ragwortstand.peers.choice import Locality, SignalChoice
from ragwortstand.peers.messages import Member
from ragwortstand.peers.retries import BudgetedRetries, NaiveRetries
from ragwortstand.verdicts import Answered, Cause, Outcome, Refused, Unknown
from tests.fakes import member

_URGENT = Rank(name='urgent')
_BULK = Rank(name='bulk', cross_region=False)
_ANSWERED = Answered(200, (), b'')
_MEMBERS = (
    member('near', zone='a1', region='a'),
    member('zone', zone='a1', region='a'),
    member('region', zone='a2', region='a'),
    member('far', zone='b1', region='b'),
)


def _choice(own: str = 'near') -> SignalChoice:
    locality = Locality(HostId(own), _MEMBERS[0].zone, _MEMBERS[0].region)
    return SignalChoice(locality, random.Random(1))


def _record_call(
    choice: SignalChoice,
    host: str,
    outcome: Outcome = _ANSWERED,
    *,
    busy: float = 0.1,
    taken_s: float = 0.02,
    now_s: float = 0,
) -> None:
    choice.record_start(HostId(host), _URGENT)
    choice.record_outcome(HostId(host), _URGENT, outcome, busy, taken_s, now_s)


class SignalChoiceTest(unittest.TestCase):
    """Nearest server first, unless it is busy, slow or failing."""

    def test_own_host_first(self) -> None:
        """Without statistics the server on this host gets the request."""
        self.assertEqual(_pick(_choice(), _MEMBERS), 'near')

    def test_busy_host_is_passed_over(self) -> None:
        """A server without free slots is passed over for the next tier."""
        choice = _choice()
        _record_call(choice, 'near', busy=2)
        self.assertEqual(_pick(choice, _MEMBERS), 'zone')

    def test_host_is_spared_until_its_rate_limit_has_room(self) -> None:
        """Guards against refusals while servers without a limit are idle."""
        choice = _choice()
        _record_call(choice, 'near', Refused(Cause.RATE_LIMITED, 0.3))
        self.assertEqual(_pick(choice, _MEMBERS, now_s=0.29), 'zone')
        self.assertEqual(_pick(choice, _MEMBERS, now_s=0.31), 'near')

    def test_slow_host_loses_and_regains_traffic(self) -> None:
        """A slow backend server is avoided, and tried again later."""
        choice = _choice()
        _record_call(choice, 'zone')
        for _ in range(20):
            _record_call(choice, 'near', taken_s=0.5)
        self.assertEqual(_pick(choice, _MEMBERS, now_s=0.5), 'zone')
        self.assertEqual(_pick(choice, _MEMBERS, now_s=4), 'near')

    def test_slow_host_is_compared_with_its_own_baseline(self) -> None:
        """A slow server is avoided even without statistics of others."""
        choice = _choice()
        for step in range(20):
            _record_call(choice, 'near', now_s=step / 10)
        for step in range(10):
            _record_call(choice, 'near', taken_s=0.4, now_s=2 + step / 10)
        self.assertEqual(_pick(choice, _MEMBERS, now_s=3), 'zone')

    def test_slow_host_is_retried_with_one_request(self) -> None:
        """While one request probes a slow server, others avoid it."""
        choice = _choice()
        _record_call(choice, 'near')
        for _ in range(20):
            _record_call(choice, 'near', taken_s=0.4)
        self.assertEqual(_pick(choice, _MEMBERS, now_s=4), 'near')
        choice.record_start(HostId('near'), _URGENT)
        self.assertEqual(_pick(choice, _MEMBERS, now_s=4.1), 'zone')

    def test_failing_host_is_blocked_for_a_while(self) -> None:
        """After a failure a backend server is blocked, longer each time."""
        choice = _choice()
        _record_call(choice, 'near', Unknown(Cause.CONNECTION_LOST))
        self.assertEqual(_pick(choice, _MEMBERS, now_s=0.4), 'zone')
        self.assertEqual(_pick(choice, _MEMBERS, now_s=0.6), 'near')
        _record_call(choice, 'near', Refused(Cause.PEER_UNREACHABLE), now_s=0.6)
        self.assertEqual(_pick(choice, _MEMBERS, now_s=1.5), 'zone')

    def test_host_that_sends_no_answers_is_blocked(self) -> None:
        """An endless response blocks a server as a lost connection does."""
        choice = _choice()
        _record_call(choice, 'near', Unknown(Cause.ENDLESS_ANSWER))
        self.assertEqual(_pick(choice, _MEMBERS, now_s=0.4), 'zone')
        self.assertEqual(_pick(choice, _MEMBERS, now_s=0.6), 'near')

    def test_bulk_work_stays_in_the_region(self) -> None:
        """Ranks without `cross_region` never use a link between regions."""
        choice = _choice()
        far = _MEMBERS[3:]
        self.assertIsNone(choice.choose(far, _BULK, (), 0))
        self.assertIsNotNone(choice.choose(far, _URGENT, (), 0))

    def test_two_choices_level_the_load(self) -> None:
        """Of two members of one tier the less busy one is preferred."""
        choice = _choice(own='elsewhere')
        members = tuple(
            member(f'm{one}', zone='a1', region='a') for one in range(4)
        )
        for one in range(4):
            _record_call(choice, f'm{one}', busy=0.9 if one == 0 else 0.1)
        picks = Counter(_pick(choice, members, now_s=0.1) for _ in range(200))
        self.assertLess(picks['m0'], 5)

    def test_tried_members_are_left_out(self) -> None:
        """A retry goes to another member; None when all were tried."""
        choice = _choice()
        tried = {one.host for one in _MEMBERS}
        self.assertIsNone(choice.choose(_MEMBERS, _URGENT, tried, 0))


def _pick(
    choice: SignalChoice,
    members: tuple[Member, ...],
    now_s: float = 0.1,
) -> str:
    picked = choice.choose(members, _URGENT, (), now_s)
    assert picked
    return picked.host


def _call(*, is_idempotent: bool = True, key: str = '') -> Call:
    return Call(
        request_id=RequestId('r'),
        method='GET',
        target='/',
        headers=(),
        body=b'',
        service=Service(name='consult', retry_share=0.1),
        rank=_URGENT,
        is_idempotent=is_idempotent,
        deadline_s=10,
        version=Version(1),
        key=IdempotencyKey(key) if key else None,
    )


class RetriesTest(unittest.TestCase):
    """Only requests that can't run twice are retried, within a budget."""

    def test_unknown_outcome_of_a_filing_is_final(self) -> None:
        """A request that may have run is retried only if idempotent."""
        unknown = Unknown(Cause.CONNECTION_LOST)
        retries = BudgetedRetries()
        self.assertTrue(retries.allows(_call(), unknown, 0))
        filing = _call(is_idempotent=False)
        self.assertFalse(retries.allows(filing, unknown, 0))
        refused = Refused(Cause.BACKEND_SERVER_DOWN)
        self.assertTrue(retries.allows(filing, refused, 0))

    def test_keyed_work_leaves_only_an_unavailable_owner(self) -> None:
        """A busy owner keeps its keys; another replaces a stopped one."""
        keyed = _call(is_idempotent=False, key='k')
        retries = BudgetedRetries()
        busy = Refused(Cause.OVERLOADED)
        gone = Refused(Cause.LEAVING)
        self.assertFalse(retries.allows(keyed, busy, 0))
        self.assertTrue(retries.allows(keyed, gone, 0))

    def test_budget_bounds_retries_in_an_outage(self) -> None:
        """While a service is down, at most 1.2 attempts a call are made."""
        retries = BudgetedRetries()
        attempts = 0
        for _ in range(1000):
            call = _call()
            attempts += 1
            while retries.allows(call, Refused(Cause.OVERLOADED), 0):
                call.attempt += 1
                attempts += 1
        self.assertLessEqual(attempts, 1000 * 1.2)

    def test_refusals_for_a_rate_limit_need_no_budget(self) -> None:
        """They have reached no backend server, and others may be idle."""
        limited = Refused(Cause.RATE_LIMITED)
        policy = BudgetedRetries()
        for _ in range(50):
            self.assertTrue(policy.allows(_call(), limited, 0))
        last = _call()
        last.attempt = 3
        self.assertFalse(policy.allows(last, limited, 0))

    def test_sending_a_suspect_to_its_owner_is_free(self) -> None:
        """Forwarding a suspect to its owner does not use the budget."""
        retries = BudgetedRetries()
        suspect = Refused(Cause.SUSPECT)
        allowed = [retries.allows(_call(), suspect, 0) for _ in range(100)]
        self.assertTrue(all(allowed))

    # Daemons that disagreed on the owner for a moment used up the attempts.
    def test_sending_a_suspect_to_its_owner_is_no_attempt(self) -> None:
        retries = BudgetedRetries()
        call = _call()
        outcomes = [
            Refused(Cause.SUSPECT),
            Unknown(Cause.CRASHED),
            Refused(Cause.SUSPECT),
            Refused(Cause.SUSPECT),
            Unknown(Cause.CRASHED),
        ]
        for outcome in outcomes:
            call.redirects += outcome.cause is Cause.SUSPECT
            self.assertTrue(retries.allows(call, outcome, 0))
            call.attempt += 1
        self.assertFalse(retries.allows(call, Unknown(Cause.CRASHED), 0))

    def test_suspect_is_not_sent_around_for_ever(self) -> None:
        retries = BudgetedRetries()
        call = _call()
        call.redirects = 1
        while retries.allows(call, Refused(Cause.SUSPECT), 0):
            call.redirects += 1
            call.attempt += 1
        self.assertEqual(call.attempt, 6)

    def test_naive_baseline_multiplies(self) -> None:
        """Without a budget every call is sent as often as allowed."""
        retries = NaiveRetries()
        call = _call()
        attempts = 1
        while retries.allows(call, Refused(Cause.OVERLOADED), 0):
            call.attempt += 1
            attempts += 1
        self.assertEqual(attempts, 3)

    def test_answers_earn_retries(self) -> None:
        """Ten responses add one retry to the budget."""
        retries = BudgetedRetries()
        refused = Refused(Cause.OVERLOADED)
        while retries.allows(_call(), refused, 0):
            pass
        for _ in range(11):
            retries.allows(_call(), _ANSWERED, 0)
        self.assertTrue(retries.allows(_call(), refused, 0))
        self.assertFalse(retries.allows(_call(), refused, 0))

    def test_no_retry_after_the_deadline(self) -> None:
        """A request after its deadline is not retried."""
        retries = BudgetedRetries()
        self.assertFalse(retries.allows(_call(), Refused(Cause.OVERLOADED), 11))
