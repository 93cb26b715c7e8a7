"""Tests of the policy against its baseline, in the fleet model."""

import math
import unittest
from dataclasses import replace

from ragwortstand.models import Rank
from ragwortstand.tools.model import (
    Fault,
    FleetModel,
    Policy,
    RequestKind,
    Scenario,
    Server,
    Stream,
    run_in_virtual_time,
)
from ragwortstand.tools.model.report import (
    RankFigures,
    baseline_policy,
    compute_figures,
    sidecar_policy,
)

_LOOKUP = Rank(name='lookup', target_s=0.25)
_EXPORT = Rank(name='export', target_s=1.0)
_CHECK = Rank(name='check', target_s=0.06)
_ZONES = ('z1', 'z2')
_SLOTS = 8


def _servers(service: str, speed: float = 1.0) -> tuple[Server, ...]:
    return tuple(
        Server(f'{service}-{zone}', zone, 'r', service, _SLOTS, speed)
        for zone in _ZONES
    )


def _simulate(
    scenario: Scenario, policy: Policy, seed: int = 3
) -> dict[str, RankFigures]:
    return compute_figures(
        run_in_virtual_time(FleetModel(scenario, policy, seed).simulate)
    )


def _streams(
    kind: RequestKind, rate_per_s: float, until_s: float = 5
) -> tuple[Stream, ...]:
    return tuple(
        Stream(kind, zone, rate_per_s, until_s=until_s) for zone in _ZONES
    )


class DeterminismTests(unittest.TestCase):
    """A run in virtual time is reproducible."""

    def test_same_seed_same_run(self) -> None:
        """The same seed gives the same figures on any machine."""
        kind = RequestKind(_LOOKUP, 'consult', 0.06)
        scenario = Scenario(_servers('consult'), _streams(kind, 50, 2))
        first, second = (
            _simulate(scenario, sidecar_policy()) for _ in range(2)
        )
        self.assertEqual(first, second)


class BurstTests(unittest.TestCase):
    """Callers send twice the requests that all slots can serve."""

    def setUp(self) -> None:
        """Offer 266 requests a second to slots for 133, in each zone."""
        kind = RequestKind(_LOOKUP, 'consult', 0.06)
        self.scenario = Scenario(_servers('consult'), _streams(kind, 266))

    def test_slots_go_to_requests_that_meet_their_objective(self) -> None:
        """About half of the requests are served, nearly all in target."""
        found = _simulate(self.scenario, sidecar_policy())['lookup']
        self.assertGreater(found.in_goal, 0.4)
        self.assertLess(found.served - found.in_goal, 0.15)

    def test_retries_do_not_displace_new_requests(self) -> None:
        """Late requests get only the slots that no other request needs."""
        streams = (
            replace(stream, max_retries=max_retries)
            for max_retries in (0, 3)
            for stream in self.scenario.streams
        )
        without, returning = (
            _simulate(replace(self.scenario, streams=part), sidecar_policy())[
                'lookup'
            ]
            for part in zip(*[streams] * len(_ZONES), strict=True)
        )
        self.assertGreater(returning.in_goal, 0.9 * without.in_goal)

    def test_refusals_of_callers_that_do_not_return_are_recorded(self) -> None:
        """The time to a refusal was recorded only if a retry followed."""
        streams = tuple(
            replace(stream, max_retries=0) for stream in self.scenario.streams
        )
        scenario = replace(self.scenario, streams=streams)
        results = run_in_virtual_time(
            FleetModel(scenario, sidecar_policy()).simulate
        )
        missed = [one for one in results if not one.is_served]
        refused = [one for one in missed if math.isfinite(one.refused_after_s)]
        self.assertGreater(len(refused), len(missed) / 2)

    def test_baseline_serves_late(self) -> None:
        """With first come, first served most requests miss the target."""
        found = _simulate(self.scenario, baseline_policy())['lookup']
        self.assertLess(found.in_goal, 0.2)


class CallsStarvedByTheirParentsTests(unittest.TestCase):
    """Exports overload the service that lookups call."""

    def setUp(self) -> None:
        """Offer four times the exports that the slots can serve."""
        check = RequestKind(_CHECK, 'export', 0.015, deadline_s=0.2)
        lookup = RequestKind(_LOOKUP, 'consult', 0.06, calls=(check,))
        export = RequestKind(_EXPORT, 'export', 0.15, deadline_s=3)
        self.scenario = Scenario(
            _servers('consult') + _servers('export'),
            _streams(lookup, 60) + _streams(export, 210),
        )

    def test_lookups_are_served(self) -> None:
        """Calls of lookups go first, so that work done is not lost."""
        found = _simulate(self.scenario, sidecar_policy())
        self.assertGreater(found['lookup'].in_goal, 0.9)
        self.assertGreater(found['export'].in_goal, 0.1)

    def test_baseline_misses_the_objective_of_lookups(self) -> None:
        """With first come, first served their calls wait behind exports."""
        found = _simulate(self.scenario, baseline_policy())
        self.assertLess(found['lookup'].in_goal, 0.3)


class GreyServerTests(unittest.TestCase):
    """One of two servers immediately rejects half of its requests."""

    def test_requests_go_to_the_healthy_server(self) -> None:
        """Few requests are refused, although retries are limited."""
        kind = RequestKind(_LOOKUP, 'consult', 0.06)
        scenario = Scenario(
            _servers('consult'),
            _streams(kind, 40),
            (Fault(frozenset(('consult-z1',)), 0, 9, rejected_share=0.5),),
        )
        found = _simulate(scenario, sidecar_policy())['lookup']
        self.assertGreater(found.in_goal, 0.9)
