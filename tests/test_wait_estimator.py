"""Tests of estimating callers' waiting times from their time budgets."""

import random
import unittest

from ragwortstand.callers.wait_estimator import CallerWaitEstimator


class CallerWaitEstimatorTests(unittest.TestCase):
    """First requests and retries."""

    def setUp(self) -> None:
        """Create an estimator without recorded budgets."""
        self.estimator = CallerWaitEstimator()

    def _record_first_requests(self, budget_s: float, times: int = 100) -> None:
        for _ in range(times):
            self.estimator.waited_s('r', budget_s)

    def test_no_recorded_budgets(self) -> None:
        """Without recorded budgets any budget counts as a first one."""
        self.assertEqual(self.estimator.waited_s('r', 1.437), 0)

    def test_remainder_of_a_budget(self) -> None:
        """The wait is the difference from the usual budget."""
        self._record_first_requests(1.5)
        self.assertEqual(self.estimator.waited_s('r', 1.5), 0)
        self.assertAlmostEqual(self.estimator.waited_s('r', 1.31), 0.19)

    def test_two_kinds_of_callers(self) -> None:
        """Servers' own calls use smaller budgets than their callers do."""
        self._record_first_requests(1.5)
        self._record_first_requests(0.2)
        self.assertEqual(self.estimator.waited_s('r', 0.2), 0)
        self.assertAlmostEqual(self.estimator.waited_s('r', 0.15), 0.05)
        self.assertAlmostEqual(self.estimator.waited_s('r', 1.4), 0.1)

    def test_larger_budget_than_any_before(self) -> None:
        """A budget above all recorded ones counts as a first one."""
        self._record_first_requests(1.5)
        self.assertEqual(self.estimator.waited_s('r', 2.0), 0)

    def test_flood_of_retries(self) -> None:
        """Remainders sent by retries do not become usual, even if most."""
        rng = random.Random(1)
        for _ in range(300):
            self.estimator.waited_s('r', 1.5)
            for _ in range(3):
                self.estimator.waited_s('r', 1.5 - rng.uniform(0.05, 0.065))
        self.assertGreater(self.estimator.waited_s('r', 1.443), 0.05)
        self.assertEqual(self.estimator.waited_s('r', 1.5), 0)

    def test_frequent_budget_that_is_not_round(self) -> None:
        """A budget that is not round becomes usual if it is frequent."""
        self._record_first_requests(1.5)
        self._record_first_requests(1.234, 300)
        self.assertEqual(self.estimator.waited_s('r', 1.234), 0)

    def test_ranks_are_independent(self) -> None:
        """Budgets of one rank do not affect another rank."""
        self._record_first_requests(1.5)
        self.assertEqual(self.estimator.waited_s('other', 0.9), 0)
