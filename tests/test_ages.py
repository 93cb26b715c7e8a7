"""Tests of estimating callers' waiting times from their time budgets."""

import random
import unittest

from ragwortstand.callers.ages import CallerAges


class CallerAgesTests(unittest.TestCase):
    """First requests and retries."""

    def setUp(self) -> None:
        """Create an estimator without recorded budgets."""
        self.ages = CallerAges()

    def _ask_first(self, budget_s: float, times: int = 100) -> None:
        for _ in range(times):
            self.ages.age_s('r', budget_s)

    def test_nothing_is_known_at_first(self) -> None:
        """Without recorded budgets any budget counts as a first one."""
        self.assertEqual(self.ages.age_s('r', 1.437), 0)

    def test_rest_of_a_budget(self) -> None:
        """The wait is the difference from the usual budget."""
        self._ask_first(1.5)
        self.assertEqual(self.ages.age_s('r', 1.5), 0)
        self.assertAlmostEqual(self.ages.age_s('r', 1.31), 0.19)

    def test_two_kinds_of_callers(self) -> None:
        """Servers' own calls use smaller budgets than their callers do."""
        self._ask_first(1.5)
        self._ask_first(0.2)
        self.assertEqual(self.ages.age_s('r', 0.2), 0)
        self.assertAlmostEqual(self.ages.age_s('r', 0.15), 0.05)
        self.assertAlmostEqual(self.ages.age_s('r', 1.4), 0.1)

    def test_larger_budget_than_any_before(self) -> None:
        """A budget above all recorded ones counts as a first one."""
        self._ask_first(1.5)
        self.assertEqual(self.ages.age_s('r', 2.0), 0)

    def test_flood_of_callers_that_come_back(self) -> None:
        """Remainders sent by retries do not become usual, even if most."""
        rng = random.Random(1)
        for _ in range(300):
            self.ages.age_s('r', 1.5)
            for _ in range(3):
                self.ages.age_s('r', 1.5 - rng.uniform(0.05, 0.065))
        self.assertGreater(self.ages.age_s('r', 1.443), 0.05)
        self.assertEqual(self.ages.age_s('r', 1.5), 0)

    def test_unround_budget_of_many(self) -> None:
        """A budget that is not round becomes usual if it is frequent."""
        self._ask_first(1.5)
        self._ask_first(1.234, 300)
        self.assertEqual(self.ages.age_s('r', 1.234), 0)

    def test_ranks_are_kept_apart(self) -> None:
        """Budgets of one rank do not affect another rank."""
        self._ask_first(1.5)
        self.assertEqual(self.ages.age_s('other', 0.9), 0)
