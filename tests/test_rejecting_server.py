"""A backend server rejects all requests while it announces itself as ready."""

import unittest

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
from ragwortstand.tools.model.report import compute_figures, sidecar_policy

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

    def test_few_rejections_change_nothing(self) -> None:
        for _ in range(100):
            for _ in range(3):
                self.breaker.record_rejection(0)
            self.breaker.close()
            self.assertTrue(self.breaker.allows(0))

    def test_probes_one_request_an_interval(self) -> None:
        for _ in range(4):
            self.breaker.record_rejection(0)
        allowed = [
            self.breaker.allows(PROBE_INTERVAL_S * tenth / 10)
            for tenth in range(100)
        ]
        self.assertEqual(sum(allowed), 9)

    def test_first_request_that_runs_closes_it(self) -> None:
        for _ in range(20):
            self.breaker.record_rejection(0)
        self.assertFalse(self.breaker.allows(0.1))
        self.breaker.close()
        self.assertTrue(self.breaker.allows(0.1))


class ThirdOfServersRejectTests(unittest.TestCase):
    """A third of a service's servers reject everything for some seconds."""

    def setUp(self) -> None:
        """Create 12 servers with half of their slots in use."""
        servers = tuple(
            Server(f's{number}', *_ZONES[number % 6], 'consult', slots=4)
            for number in range(12)
        )
        streams = tuple(
            Stream(_LOOKUP, zone, 70, until_s=_UNTIL_S) for zone, _ in _ZONES
        )
        faulty = frozenset(one.host for one in servers[::3])
        fault = Fault(faulty, 1, 3, rejected_share=1.0)
        self.scenario = Scenario(servers, streams, (fault,))

    def test_their_requests_run_elsewhere(self) -> None:
        """The other servers have the slots for all requests."""
        model = FleetModel(self.scenario, sidecar_policy(), 3)
        found = compute_figures(run_in_virtual_time(model.simulate))['lookup']
        self.assertGreater(found.served, 0.98)
        self.assertGreater(found.worst_second, 0.8)

    def test_few_requests_reach_them(self) -> None:
        """A server in trouble is not sent all it would run."""
        model = FleetModel(self.scenario, sidecar_policy(), 3)
        run_in_virtual_time(model.simulate)
        in_fault_s = 2.0
        rejected = sum(one.rejected for one in model.daemons.values())
        self.assertLess(rejected, 4 * (in_fault_s / PROBE_INTERVAL_S + 10))
