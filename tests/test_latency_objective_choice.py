"""Tests of `LatencyObjectiveChoice`."""

import random
import unittest
from collections import Counter
from unittest import mock

from msgspec.structs import replace

from ragwortstand.backend_servers import Load
from ragwortstand.backend_servers.rate_limiter import ServerRateLimit
from ragwortstand.ids import HostId, RegionName, ZoneName
from ragwortstand.models import Rank
from ragwortstand.peers.choice import Locality
from ragwortstand.peers.latency_objective_choice import LatencyObjectiveChoice
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
)
from tests.fakes import member

_RANK = Rank(name='lookup', target_s=0.25)
_NEAR = member('near', zone='a1', region='a')
_BESIDE = member('beside', zone='a2', region='a')
_FAR = member('far', zone='b1', region='b')
_ALL = (_NEAR, _BESIDE, _FAR)
_SERVED = Answered(200, (), b'')
_FULL = Refused(Cause.OVERLOADED, 0.1)
_REJECTED = Refused(Cause.REJECTED)


class _ChoiceTestCase(unittest.TestCase):
    def setUp(self) -> None:
        """Create a choice for a host of the first availability zone."""
        self.choice = LatencyObjectiveChoice(
            Locality(HostId('own'), ZoneName('a1'), RegionName('a')),
            lambda now_s: Load(10, 0, 0),
            random.Random(1),
        )

    def _record_call(
        self,
        host: str,
        outcome: Outcome = _SERVED,
        busy: float = 0.3,
        taken_s: float = 0.08,
        at_s: float = 0.0,
    ) -> None:
        self.choice.record_start(HostId(host), _RANK)
        self.choice.record_outcome(
            HostId(host), _RANK, outcome, busy, taken_s, at_s
        )

    def _count_choices(self, now_s: float, tried=()) -> Counter[str]:
        found: Counter[str] = Counter()
        for _ in range(20):
            picked = self.choice.choose(_ALL, _RANK, tried, now_s)
            found[picked.host if picked else ''] += 1
        return found


class NearestFirstTests(_ChoiceTestCase):
    """Normal load: requests stay in their availability zone."""

    def test_stays_in_the_zone(self) -> None:
        self.assertEqual(self._count_choices(0), {'near': 20})

    def test_tried_hosts_are_left_out(self) -> None:
        tried = [HostId('near')]
        self.assertEqual(self._count_choices(0, tried), {'beside': 20})

    def test_two_servers_of_the_zone_share(self) -> None:
        members = (_NEAR, member('newcomer', zone='a1', region='a'))
        found = Counter(
            picked.host
            for _ in range(100)
            if (picked := self.choice.choose(members, _RANK, (), 0))
        )
        self.assertGreater(min(found.values()), 20)


class ZoneBurstTests(_ChoiceTestCase):
    """One availability zone is overloaded; others have free slots."""

    def test_retry_goes_to_a_server_without_a_rate_limit(self) -> None:
        """Guards against refusals by several servers, one after the other."""
        limit = ServerRateLimit(('i-1', 1), 10.0)
        beside = replace(_BESIDE, rate_limit=limit)
        far_limited = replace(member('c', zone='c1'), rate_limit=limit)
        for members, expected in (
            ((_NEAR, beside, far_limited, _FAR), 'far'),
            ((_NEAR, beside), 'beside'),
        ):
            picked = self.choice.choose(members, _RANK, {_NEAR.host}, 0)
            self.assertEqual(picked and picked.host, expected)

    def test_server_is_spared_until_its_rate_limit_has_room(self) -> None:
        self._record_call('near', Refused(Cause.RATE_LIMITED, 0.3), busy=0)
        self.assertEqual(self._count_choices(0.29), {'beside': 20})
        self.assertEqual(self._count_choices(0.31), {'near': 20})

    def test_full_zone_spills_to_the_region_first(self) -> None:
        self._record_call('near', _FULL, busy=2.5)
        self.assertEqual(self._count_choices(0.01), {'beside': 20})

    def test_returns_to_the_zone_soon(self) -> None:
        self._record_call('near', _FULL, busy=2.5)
        self.assertEqual(self._count_choices(1.1), {'near': 20})

    def test_large_requests_do_not_cross_regions(self) -> None:
        self.choice.record_size(_RANK, 10_000)
        for host in ('near', 'beside'):
            self._record_call(host, taken_s=0.24, busy=1)
        self.assertEqual(self._count_choices(0.01)['far'], 0)

    def test_small_requests_may_cross_regions(self) -> None:
        self.choice.record_size(_RANK, 100)
        for host in ('near', 'beside'):
            self._record_call(host, _FULL, busy=2.5)
        self.assertEqual(self._count_choices(0.01), {'far': 20})


class SlowServerTests(_ChoiceTestCase):
    """A server responds slowly although its load is low."""

    def test_requests_go_around_it(self) -> None:
        for _ in range(5):
            self._record_call('near', taken_s=0.4)
        self.assertEqual(self._count_choices(0.01), {'beside': 20})


class GreyServerTests(_ChoiceTestCase):
    """A server immediately fails half of its requests."""

    def test_requests_go_around_it(self) -> None:
        for number in range(12):
            failed = Refused(Cause.REJECTED, 0.1)
            self._record_call('near', failed if number % 2 else _SERVED)
        self.assertEqual(self._count_choices(0.01), {'beside': 20})

    def test_requests_go_around_one_that_sends_no_answers(self) -> None:
        for number in range(12):
            flooded = Unknown(Cause.ENDLESS_ANSWER)
            self._record_call('near', flooded if number % 2 else _SERVED)
        self.assertEqual(self._count_choices(0.01), {'beside': 20})

    def test_one_failure_moves_nothing(self) -> None:
        """A single request may fail on any server."""
        for failed in (Refused(Cause.REJECTED), Unknown(Cause.DEADLINE)):
            with self.subTest(cause=failed.cause):
                self.setUp()
                self._record_call('near')
                self._record_call('near', failed)
                self.assertEqual(self._count_choices(0.01), {'near': 20})

    def test_all_grey_alike_stays_near(self) -> None:
        """Requests stay near when all servers reject equally often."""
        rejected = Refused(Cause.REJECTED)
        for number in range(30):
            for host, share in (('near', 2), ('beside', 2), ('far', 3)):
                is_rejected = number % share == 0
                self._record_call(host, rejected if is_rejected else _SERVED)
        self.assertEqual(self._count_choices(0.01)['far'], 0)

    def test_failing_server_is_tried_again_later(self) -> None:
        for _ in range(12):
            self._record_call('near', Answered(500, (), b''))
        self.assertEqual(self._count_choices(0.01)['near'], 0)
        self.assertEqual(self._count_choices(4), {'near': 20})

    def test_server_that_only_fails_does_not_count_as_sound(self) -> None:
        """Failures keep the failure rate in use as responses do."""
        for tenth_s in range(60):
            self._record_call('near', _REJECTED, at_s=tenth_s / 10)
        self.assertEqual(self._count_choices(6)['near'], 0)


class HerdTests(unittest.TestCase):
    """Many daemons with few requests each know only older loads."""

    def setUp(self) -> None:
        """Create daemons and servers of unequal speed in one zone."""
        self.members = tuple(
            member(f's{number}', zone='a1', region='a') for number in range(12)
        )
        self.rng = random.Random(2)
        self.choices = [self._choice_of(f'd{number}') for number in range(20)]
        for choice in self.choices:
            for number, one in enumerate(self.members):
                choice.record_start(one.host, _RANK)
                taken_s = 0.04 if number % 3 == 0 else 0.06
                choice.record_outcome(
                    one.host, _RANK, _SERVED, 0.3, taken_s, 0.0
                )

    def _choice_of(self, host: str) -> LatencyObjectiveChoice:
        return LatencyObjectiveChoice(
            Locality(HostId(host), ZoneName('a1'), RegionName('a')),
            lambda now_s: Load(3, 0, 0),
            self.rng,
        )

    def test_daemons_do_not_all_choose_the_fastest(self) -> None:
        """No server gets over twice its part of the requests of a moment."""
        found: Counter[str] = Counter()
        for choice in self.choices:
            for _ in range(12):
                picked = choice.choose(self.members, _RANK, (), 2.0)
                assert picked
                found[picked.host] += 1
        # Four of twelve servers are 1.5 times as fast: part 0.107 of 240.
        self.assertLess(max(found.values()), 240 * 0.107 * 2)
        self.assertGreater(len(found), 8)

    def test_work_of_a_choice_hardly_grows_with_the_servers(self) -> None:
        """67 servers are not compared one by one for each request."""
        many = tuple(
            member(f'm{number}', zone='a1', region='a') for number in range(67)
        )
        choice = self.choices[0]
        with mock.patch.object(
            choice, '_cost_s', wraps=choice._cost_s
        ) as cost_s:
            for _ in range(100):
                choice.choose(many, _RANK, (), 2.0)
            self.assertLessEqual(cost_s.call_count, 300)


class UnreachableTests(_ChoiceTestCase):
    """Hosts that can't be reached get no requests for a while."""

    def test_blocked_then_tried_again(self) -> None:
        self._record_call('near', Refused(Cause.PEER_UNREACHABLE))
        self.assertEqual(self._count_choices(0.1), {'beside': 20})
        self.assertEqual(self._count_choices(0.4), {'near': 20})

    def test_pauses_grow(self) -> None:
        for _ in range(3):
            self._record_call('near', Unknown(Cause.PEER_UNREACHABLE))
        self.assertEqual(self._count_choices(1.0), {'beside': 20})

    def test_nothing_is_chosen_where_all_are_blocked(self) -> None:
        for host in ('near', 'beside', 'far'):
            self._record_call(host, Refused(Cause.BACKEND_SERVER_DOWN))
        self.assertEqual(self._count_choices(0.1), {'': 20})

    # A daemon that stopped sent no more requests to the servers whose daemons
    # refused those that would outlast it.
    def test_refusal_because_the_sender_leaves_blocks_nothing(self) -> None:
        self._record_call('near', Refused(Cause.SENDER_LEAVING))
        self.assertEqual(self._count_choices(0.01), {'near': 20})

    def test_new_process_starts_without_history(self) -> None:
        self._record_call('near', Refused(Cause.LEAVING))
        self.choice.record_member(replace(_NEAR, boot=2))
        self.assertEqual(self._count_choices(0.01), {'near': 20})

    def test_other_news_of_a_member_keeps_its_history(self) -> None:
        """A member whose entry changes is as slow or lost as before."""
        self.choice.record_member(_NEAR)
        self._record_call('near', Refused(Cause.PEER_UNREACHABLE))
        self.choice.record_member(replace(_NEAR, incarnation=9, store_reach=1))
        self.assertEqual(self._count_choices(0.1), {'beside': 20})
