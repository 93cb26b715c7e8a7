"""The policy against its baseline, on the load patterns of the model."""

import unittest
from dataclasses import replace

from ragwortstand.models import Rank
from ragwortstand.tools.model import (
    FleetModel,
    Kind,
    Policy,
    Scene,
    Server,
    Stream,
    Trouble,
    run_in_virtual_time,
)
from ragwortstand.tools.model.report import (
    RankFigures,
    baseline_policy,
    figures_of,
    goal_policy,
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


def _play(
    scene: Scene, policy: Policy, seed: int = 3
) -> dict[str, RankFigures]:
    return figures_of(run_in_virtual_time(FleetModel(scene, policy, seed).play))


def _streams(
    kind: Kind, per_s: float, until_s: float = 5
) -> tuple[Stream, ...]:
    return tuple(Stream(kind, zone, per_s, until_s=until_s) for zone in _ZONES)


class DeterminismTests(unittest.TestCase):
    """Virtual time."""

    def test_same_seed_same_run(self) -> None:
        """Nothing depends on the machine."""
        kind = Kind(_LOOKUP, 'consult', 0.06)
        scene = Scene(_servers('consult'), _streams(kind, 50, 2))
        first, second = (_play(scene, goal_policy()) for _ in range(2))
        self.assertEqual(first, second)


class BurstTests(unittest.TestCase):
    """Twice as many requests as all slots can serve."""

    def setUp(self) -> None:
        """Offer 266 requests a second to slots for 133."""
        kind = Kind(_LOOKUP, 'consult', 0.06)
        self.scene = Scene(_servers('consult'), _streams(kind, 266))

    def test_slots_go_to_what_meets_its_goal(self) -> None:
        """About half of the requests can be served, and those in time."""
        found = _play(self.scene, goal_policy())['lookup']
        self.assertGreater(found.in_goal, 0.4)
        self.assertLess(found.served - found.in_goal, 0.15)

    def test_callers_that_come_back_do_not_displace_new_ones(self) -> None:
        """What is late already gets the slots that nothing else needs."""
        streams = (
            replace(stream, returns=returns)
            for returns in (0, 3)
            for stream in self.scene.streams
        )
        without, returning = (
            _play(replace(self.scene, streams=part), goal_policy())['lookup']
            for part in zip(*[streams] * len(_ZONES), strict=True)
        )
        self.assertGreater(returning.in_goal, 0.9 * without.in_goal)

    def test_baseline_serves_late(self) -> None:
        """First come, first served misses the goal with nearly all."""
        found = _play(self.scene, baseline_policy())['lookup']
        self.assertLess(found.in_goal, 0.2)


class CallsStarvedByTheirParentsTests(unittest.TestCase):
    """Exports fill the service that the calls of lookups go to."""

    def setUp(self) -> None:
        """Offer four times the exports that the slots can serve."""
        check = Kind(_CHECK, 'export', 0.015, deadline_s=0.2)
        lookup = Kind(_LOOKUP, 'consult', 0.06, calls=(check,))
        export = Kind(_EXPORT, 'export', 0.15, deadline_s=3)
        self.scene = Scene(
            _servers('consult') + _servers('export'),
            _streams(lookup, 60) + _streams(export, 210),
        )

    def test_lookups_are_served(self) -> None:
        """Their calls go first, so that the work done is not lost."""
        found = _play(self.scene, goal_policy())
        self.assertGreater(found['lookup'].in_goal, 0.9)
        self.assertGreater(found['export'].in_goal, 0.1)

    def test_baseline_loses_them(self) -> None:
        """Calls wait behind exports."""
        found = _play(self.scene, baseline_policy())
        self.assertLess(found['lookup'].in_goal, 0.3)


class GreyServerTests(unittest.TestCase):
    """A server of two rejects half of what it gets, at once."""

    def test_requests_go_to_the_sound_one(self) -> None:
        """Few are refused, although retries are bounded."""
        kind = Kind(_LOOKUP, 'consult', 0.06)
        scene = Scene(
            _servers('consult'),
            _streams(kind, 40),
            (Trouble(frozenset(('consult-z1',)), 0, 9, rejected=0.5),),
        )
        found = _play(scene, goal_policy())['lookup']
        self.assertGreater(found.in_goal, 0.9)
