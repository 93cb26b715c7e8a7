"""Tests of how a version spreads from one daemon to all."""

import random
import unittest

from ragwortstand.peers.messages import Member
from ragwortstand.peers.push_targets import push_targets
from ragwortstand.sidecar import _FANOUT, _FAR_FANOUT
from tests.fakes import member

_SEEDS = range(5)
# Successive rounds of offers. At 24 ms for a round trip and as long for the
# content, they take far less than the seconds within which a version has to be
# in force.
_ROUNDS = 8
# One daemon in a thousand may be missed; it learns the version from a probe.
_MISSED_SHARE = 0.001


def _fleet(size: int, zones: int) -> list[Member]:
    return [
        member(f'host-{number}', zone=f'zone-{number % zones}')
        for number in range(size)
    ]


def _targets(
    own: Member, fleet: list[Member], rng: random.Random
) -> list[Member]:
    peers = [one for one in fleet if one is not own]
    return push_targets(own, peers, _FANOUT, _FAR_FANOUT, rng)


class PushTargetTests(unittest.TestCase):
    """Members that one daemon offers a version to."""

    def test_number_does_not_grow_with_the_fleet(self) -> None:
        for size in (18, 90, 2200):
            with self.subTest(size=size):
                fleet = _fleet(size, 6)
                chosen = _targets(fleet[0], fleet, random.Random(1))
                self.assertEqual(len(chosen), _FANOUT)
                self.assertEqual(len({one.host for one in chosen}), _FANOUT)

    def test_most_are_near(self) -> None:
        fleet = _fleet(90, 6)
        chosen = _targets(fleet[0], fleet, random.Random(1))
        far = [one for one in chosen if one.zone != fleet[0].zone]
        self.assertEqual(len(far), _FAR_FANOUT)

    def test_small_fleets_are_notified_whole(self) -> None:
        fleet = _fleet(7, 3)
        chosen = _targets(fleet[0], fleet, random.Random(1))
        self.assertEqual(len(chosen), 6)

    def test_daemon_alone_in_its_zone_notifies_others(self) -> None:
        fleet = _fleet(18, 18)
        chosen = _targets(fleet[0], fleet, random.Random(1))
        self.assertEqual(len(chosen), _FANOUT)


class SpreadTests(unittest.TestCase):
    """One version that each daemon offers once."""

    # Guards against daemons that are too busy for requests while versions
    # follow each other, because each offered each version to all others.
    def test_a_version_reaches_all_within_a_few_rounds(self) -> None:
        for size, zones in ((18, 6), (90, 6), (86, 9), (2200, 6)):
            with self.subTest(size=size):
                missed = sum(self._missed(size, zones, seed) for seed in _SEEDS)
                self.assertLessEqual(
                    missed, max(1, size * len(_SEEDS) * _MISSED_SHARE)
                )

    def test_no_daemon_gets_many_offers(self) -> None:
        for size in (90, 2200):
            fleet = _fleet(size, 6)
            rng = random.Random(size)
            offers: dict[str, int] = {}
            for own in fleet:
                for one in _targets(own, fleet, rng):
                    offers[one.host] = offers.get(one.host, 0) + 1
            self.assertLess(max(offers.values()), 4 * _FANOUT)

    def _missed(self, size: int, zones: int, seed: int) -> int:
        """Return how many daemons no offer reaches in all rounds."""
        rng = random.Random(seed)
        fleet = _fleet(size, zones)
        informed = {fleet[0].host}
        new = fleet[:1]
        for _ in range(_ROUNDS):
            newly_informed = {
                one.host: one
                for own in new
                for one in _targets(own, fleet, rng)
                if one.host not in informed
            }
            new = list(newly_informed.values())
            informed.update(newly_informed)
        return size - len(informed)
