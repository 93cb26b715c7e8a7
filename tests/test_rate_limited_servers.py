"""Overloaded backend servers name fewer requests a second than they get."""

import random
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ragwortstand import clock
from ragwortstand.backend_servers import Load
from ragwortstand.backend_servers.connections import Endpoint
from ragwortstand.backend_servers.rate_limiter import (
    RateLimiter,
    ServerRateLimit,
)
from ragwortstand.ids import HostId, RegionName, ZoneName
from ragwortstand.models import Rank
from ragwortstand.peers.choice import Locality
from ragwortstand.peers.latency_objective_choice import LatencyObjectiveChoice
from ragwortstand.tools.model import (
    Fault,
    FleetModel,
    RequestKind,
    Scenario,
    Server,
    Stream,
    run_in_virtual_time,
)
from ragwortstand.tools.model.report import (
    RankFigures,
    compute_figures,
    sidecar_policy,
)
from ragwortstand.verdicts import Cause, Refused
from tests.fakes import member, sidecar_server
from tests.forwarded import new_call
from tests.rate_limits import allowed_in_window, most_in_window
from tests.servers import answering, running_server
from tests.test_in_band_signals import announcement, response

_URGENT = Rank(name='urgent', target_s=0.25)
_BULK = Rank(name='bulk', target_s=1.0)
_ZONES = tuple(
    (f'r{number % 3}-{number % 6}', f'r{number % 3}') for number in range(6)
)
_LOOKUP = RequestKind(_URGENT, 'consult', 0.06, deadline_s=1.5)
_EXPORT = RequestKind(_BULK, 'consult', 0.06, deadline_s=3.0)
_LIMITED_FROM_S = 2.0
_UNTIL_S = 10.0
# Responses that began before the limit take a service time to end.
_NOTICE_S = 0.5


def _new_choice() -> LatencyObjectiveChoice:
    return LatencyObjectiveChoice(
        Locality(HostId('own'), ZoneName('a1'), RegionName('a')),
        lambda now_s: Load(10, 0, 0),
        random.Random(1),
    )


class RateLimiterTests(unittest.TestCase):
    """When requests are sent to a server that names a limit."""

    def setUp(self) -> None:
        """Create a limiter without a limit."""
        self.limiter = RateLimiter()
        self.limiter.configure((_URGENT, _BULK))

    def _send(self, rank: Rank, now_s: float) -> bool:
        if self.limiter.refusal(rank.name, 0, now_s):
            return False
        return self.limiter.take(now_s) is None

    def test_without_a_limit_all_are_sent(self) -> None:
        self.assertTrue(all(self._send(_BULK, 0) for _ in range(1000)))

    @given(
        st.floats(0, 500),
        st.lists(st.floats(0, 0.5), min_size=1, max_size=400),
    )
    def test_no_window_gets_more_than_the_limit_allows(
        self, limit_per_s: float, pauses_s: list[float]
    ) -> None:
        self.setUp()
        self.limiter.set_limit(limit_per_s, 0)
        now_s, sent_s = 0.0, []
        for pause_s in pauses_s:
            now_s += pause_s
            sent_s.extend(
                now_s for _ in range(50) if self._send(_URGENT, now_s)
            )
        self.assertLessEqual(
            most_in_window(sent_s), allowed_in_window(limit_per_s)
        )

    def test_the_whole_rate_is_used(self) -> None:
        for rank in (_URGENT, _BULK):
            self.setUp()
            self.limiter.set_limit(30, 0)
            sent = sum(self._send(rank, step / 1000) for step in range(10000))
            self.assertGreater(sent, 30 * 10 * 0.95)

    def test_first_second_counts(self) -> None:
        """A server that names a limit has just got too much."""
        self.limiter.set_limit(30, 0)
        sent = sum(self._send(_URGENT, step / 1000) for step in range(1000))
        self.assertLessEqual(sent, 30)

    def test_most_urgent_rank_goes_first(self) -> None:
        self.limiter.set_limit(30, 0)
        sent = {_URGENT.name: 0, _BULK.name: 0}
        rng = random.Random(3)
        for step in range(1, 10000):
            for rank in rng.sample((_URGENT, _BULK), 2):
                if rank is _BULK or step % 50 == 0:
                    sent[rank.name] += self._send(rank, step / 1000)
        self.assertGreater(sent[_URGENT.name], 195)
        self.assertGreater(sent[_BULK.name], 80)

    def test_calls_go_first_at_a_server_without_the_most_urgent_rank(
        self,
    ) -> None:
        """Guards against turning away calls of work that is in progress."""
        call = Rank(name='call', target_s=0.06)
        self.limiter.configure((_URGENT, call, _BULK))
        self.limiter.set_limit(30, 0)
        sent = 0
        for step in range(1, 10000):
            self._send(_BULK, step / 1000)
            if step % 50 == 0:
                sent += self._send(call, step / 1000)
        self.assertGreater(sent, 195)

    def test_nothing_is_kept_for_a_rank_that_has_gone(self) -> None:
        self.limiter.set_limit(4.4, 0)
        self._send(_URGENT, 0)
        self.assertIsNotNone(self.limiter.refusal(_BULK.name, 0, 0.23))
        self.assertIsNone(self.limiter.refusal(_BULK.name, 0, 10.0))

    def test_lower_limit_counts_at_once(self) -> None:
        self.limiter.set_limit(100, 0)
        self.limiter.set_limit(10, 1)
        sent = sum(self._send(_URGENT, 1 + step / 1000) for step in range(1000))
        self.assertLessEqual(sent, 13)

    def test_limit_that_is_withdrawn_no_longer_counts(self) -> None:
        self.limiter.set_limit(1, 0)
        self.limiter.set_limit(None, 1)
        self.assertTrue(all(self._send(_BULK, 1) for _ in range(100)))

    def test_zero_lets_a_request_ask_again(self) -> None:
        """A server that gets nothing could not withdraw its limit."""
        self.limiter.set_limit(0, 0)
        sent = sum(self._send(_BULK, step / 100) for step in range(3000))
        self.assertIn(sent, range(4, 8))

    def test_retry_delay_follows_the_rate(self) -> None:
        self.limiter.set_limit(2, 0)
        refusal = self.limiter.take(0)
        assert refusal is not None
        self.assertAlmostEqual(refusal.retry_after_s, 0.5)

    def test_paused_daemon_sends_no_backlog(self) -> None:
        self.limiter.set_limit(20, 0)
        sent = sum(self._send(_URGENT, 60) for _ in range(200))
        self.assertLessEqual(sent, 5)


class RestartedDaemonTests(unittest.IsolatedAsyncioTestCase):
    """A daemon restarts beside a server that names a limit."""

    def setUp(self) -> None:
        """Create the daemon's part after the restart."""
        self.server = sidecar_server()
        self.limit = ServerRateLimit(('i-1', 1000), 0.5)

    async def test_limit_is_valid_before_the_first_response(self) -> None:
        """Guards against a burst in each restart of a daemon."""
        for is_late in (False, True):
            with self.subTest(is_late=is_late):
                self.setUp()
                if not is_late:
                    self.server.restore_rate_limit(self.limit, clock.now_s())
                await self._announce(Endpoint('127.0.0.1', 1))
                if is_late:
                    self.server.restore_rate_limit(self.limit, clock.now_s())
                outcome = await self.server.run(new_call('a', 1.0))
                self.assertEqual(outcome, Refused(Cause.RATE_LIMITED, mock.ANY))

    async def test_limit_of_another_boot_is_ignored(self) -> None:
        self.server.restore_rate_limit(self.limit, clock.now_s())
        await self._announce(Endpoint('127.0.0.1', 1), boot=2000)
        self.assertIsNone(self.server.rate_limit)

    async def test_limit_that_was_withdrawn_stays_withdrawn(self) -> None:
        async with running_server(answering(response())) as endpoint:
            await self._announce(endpoint)
            await self.server.run(new_call('a', 1.0))
        self.server.restore_rate_limit(self.limit, clock.now_s())
        self.assertIsNone(self.server.rate_limit)

    async def _announce(self, endpoint: Endpoint, **changes) -> None:
        await self.server.announce(
            announcement(endpoint, **changes), clock.now_s()
        )


class PublishedLimitTests(unittest.TestCase):
    """Which changes of a limit are published."""

    def test_small_changes_are_not(self) -> None:
        known = ServerRateLimit(('i-1', 1), 10.0)
        for other, is_like in (
            (ServerRateLimit(('i-1', 1), 11.0), True),
            (ServerRateLimit(('i-1', 1), 13.0), False),
            (ServerRateLimit(('i-1', 2), 10.0), False),
            (None, False),
        ):
            self.assertEqual(known.is_like(other), is_like, other)

    def test_a_choice_is_left_where_all_servers_take_nothing(self) -> None:
        """Guards against an error for each request of such a service."""
        limit = ServerRateLimit(('i-1', 1), 0.0)
        members = tuple(
            msgspec.structs.replace(member(f'h{number}'), rate_limit=limit)
            for number in range(8)
        )
        self.assertIn(_new_choice().choose(members, _URGENT, (), 0), members)

    def test_daemons_draw_a_limited_server_less_often(self) -> None:
        limit = ServerRateLimit(('i-1', 1), 10.0)
        others = [member(f'h{number}') for number in range(7)]
        limited = msgspec.structs.replace(member('limited'), rate_limit=limit)
        members = (limited, *others)
        choice = _new_choice()
        chosen: Counter[HostId] = Counter()
        for _ in range(1600):
            picked = choice.choose(members, _URGENT, (), 0)
            assert picked is not None
            chosen[picked.host] += 1
        self.assertLess(chosen[limited.host], 60)
        self.assertGreater(min(chosen[one.host] for one in others), 150)


class SomeServersLimitedTests(unittest.TestCase):
    """Two of six servers take 40 % of what they get."""

    def setUp(self) -> None:
        """Create a server in each zone, with a third of its slots in use."""
        servers = tuple(
            Server(f's{number}', zone, region, 'consult')
            for number, (zone, region) in enumerate(_ZONES)
        )
        streams = tuple(
            Stream(kind, zone, rate_per_s, until_s=_UNTIL_S)
            for kind, rate_per_s in ((_LOOKUP, 60), (_EXPORT, 15))
            for zone, _ in _ZONES
        )
        self.limit_per_s = 30.0
        self.limited = ('s0', 's4')
        fault = Fault(
            frozenset(self.limited),
            _LIMITED_FROM_S,
            _UNTIL_S,
            rate_limit_per_s=self.limit_per_s,
        )
        self.scenario = Scenario(servers, streams, (fault,))

    def _simulate(
        self, scenario: Scenario
    ) -> tuple[dict[str, RankFigures], FleetModel]:
        model = FleetModel(scenario, sidecar_policy(), 3)
        return compute_figures(run_in_virtual_time(model.simulate)), model

    def test_their_requests_run_elsewhere(self) -> None:
        figures, model = self._simulate(self.scenario)
        for host in self.limited:
            counted_s = [
                at_s
                for at_s in model.daemons[host].arrivals_s
                if at_s > _LIMITED_FROM_S + _NOTICE_S
            ]
            self.assertLessEqual(
                most_in_window(counted_s), allowed_in_window(self.limit_per_s)
            )
            spent_s = _UNTIL_S - _LIMITED_FROM_S - _NOTICE_S
            self.assertGreater(len(counted_s), self.limit_per_s * spent_s * 0.8)
        self.assertGreater(figures['urgent'].in_goal, 0.99)
        self.assertGreater(figures['bulk'].in_goal, 0.99)
        self.assertEqual(figures['urgent'].refused, 0)

    def test_all_limited_refuse_at_once_and_serve_urgent_work(self) -> None:
        """Each takes 60 a second of 75, so that a fifth has to be refused."""
        everywhere = Fault(
            frozenset(server.host for server in self.scenario.servers),
            0,
            _UNTIL_S,
            rate_limit_per_s=60.0,
        )
        limited = replace(self.scenario, faults=(everywhere,))
        figures, _ = self._simulate(limited)
        self.assertGreater(figures['urgent'].served, 0.97)
        self.assertGreater(figures['urgent'].in_goal, 0.93)
        self.assertGreater(figures['bulk'].refused, 0.1)
        self.assertLess(figures['bulk'].refusal_p99_s, 0.125)
