"""A backend server rejects all requests while it announces itself as ready."""

import math
import random
import unittest
from unittest import mock

from ragwortstand.backend_servers import rejection_breaker
from ragwortstand.backend_servers.rejection_breaker import (
    PROBE_INTERVAL_S,
    RejectionBreaker,
)
from ragwortstand.models import Rank
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

_LOOKUP = RequestKind(
    Rank(name='lookup', target_s=0.25), 'consult', 0.06, deadline_s=1.5
)
_ZONES = tuple(
    (f'r{number % 3}-{number % 6}', f'r{number % 3}') for number in range(6)
)
_UNTIL_S = 4.0


class RejectionBreakerTests(unittest.TestCase):
    """When requests are sent to a server that rejects them."""

    def setUp(self) -> None:
        """Create a breaker that is closed."""
        self.breaker = RejectionBreaker()

    def _reject(self, count: int, from_s: float = 0.0) -> None:
        for number in range(count):
            self.breaker.record_rejection(from_s + number / 20)

    def test_server_that_rejects_half_is_used(self) -> None:
        """It runs the other half, and no other server may do better."""
        rng = random.Random(6)
        refused = 0
        for number in range(4000):
            now_s = number / 40
            refused += not self.breaker.allows(now_s)
            if rng.getrandbits(1):
                self.breaker.record_rejection(now_s)
            else:
                self.breaker.close()
        self.assertLess(refused, 4000 / 50)

    def test_rejections_at_one_moment_change_nothing(self) -> None:
        for _ in range(100):
            self.breaker.record_rejection(0)
        self.assertTrue(self.breaker.allows(0))

    def test_probes_one_request_an_interval(self) -> None:
        self._reject(8)
        opened_at_s = 0.35
        allowed = [
            self.breaker.allows(opened_at_s + PROBE_INTERVAL_S * tenth / 10)
            for tenth in range(100)
        ]
        self.assertEqual(sum(allowed), 9)

    def test_first_request_that_runs_closes_it(self) -> None:
        self._reject(20)
        self.assertFalse(self.breaker.allows(0.4))
        self.breaker.close()
        self.assertTrue(self.breaker.allows(0.4))


class ThirdOfServersRejectTests(unittest.TestCase):
    """A third of a service's servers reject everything for some seconds."""

    def setUp(self) -> None:
        """Create 12 servers, half of their slots in use, and 60 other hosts.

        Callers send to the daemons of all hosts, so that each daemon sees few
        rejections of each server.
        """
        servers = tuple(
            Server(f's{number}', *_ZONES[number % 6], 'consult', slots=4)
            for number in range(12)
        )
        streams = tuple(
            Stream(_LOOKUP, zone, 70, until_s=_UNTIL_S) for zone, _ in _ZONES
        )
        others = tuple(
            Server(f'o{number}', *_ZONES[number % 6], 'other', slots=4)
            for number in range(60)
        )
        faulty = frozenset(one.host for one in servers[::3])
        fault = Fault(faulty, 1, 3, rejected_share=1.0)
        self.scenario = Scenario((*servers, *others), streams, (fault,))

    def _simulate(self) -> tuple[RankFigures, int]:
        """Return the figures, and how many requests were rejected."""
        model = FleetModel(self.scenario, sidecar_policy(), 3)
        results = run_in_virtual_time(model.simulate)
        rejected = sum(one.rejected for one in model.daemons.values())
        return compute_figures(results)['lookup'], rejected

    def test_their_requests_run_elsewhere(self) -> None:
        """The other servers have the slots for all requests."""
        figures, rejected = self._simulate()
        self.assertGreater(figures.served, 0.96)
        self.assertGreater(figures.worst_second, 0.8)
        with mock.patch.object(rejection_breaker, '_OPEN_AFTER', math.inf):
            without_breaker, all_rejected = self._simulate()
        self.assertLess(rejected, all_rejected / 2)
        self.assertGreater(figures.served, without_breaker.served)
