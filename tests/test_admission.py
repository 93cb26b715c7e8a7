"""Tests of the admission policies: slots, queues and shares by rank."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortstand.backend_servers.admission import (
    FifoAdmission,
    ShareAdmission,
    Ticket,
)
from ragwortstand.models import Rank
from ragwortstand.verdicts import Cause, Refused

_RANKS = (
    Rank(name='urgent', target_s=1, guaranteed_share=0.5),
    Rank(name='middle', target_s=2, guaranteed_share=0.3),
    Rank(name='bulk', target_s=10, guaranteed_share=0.2),
)
_SLOTS = 10
_SERVICE_S = 0.1


def _admission() -> ShareAdmission:
    admission = ShareAdmission()
    admission.configure(_RANKS)
    admission.open(_SLOTS, 0, 0)
    return admission


class _ArrivalSimulation:
    """Simulates ranks that arrive at fixed rates at one backend server."""

    def __init__(
        self,
        admission: ShareAdmission,
        rates_per_s: dict[str, float],
    ) -> None:
        self._admission = admission
        self._rates = rates_per_s
        self._rng = random.Random(7)
        self._running: list[tuple[float, Ticket]] = []
        self._queued: list[Ticket] = []
        self.offered = dict.fromkeys(rates_per_s, 0)
        self.served = dict.fromkeys(rates_per_s, 0)

    def run(self, duration_s: float) -> None:
        """Run the simulation in steps of a millisecond."""
        for step in range(int(duration_s * 1000)):
            now_s = step / 1000
            self._finish(now_s)
            for rank, rate in self._rates.items():
                if self._rng.random() < rate / 1000:
                    self._arrive(rank, now_s)
            self._start(now_s)

    def _arrive(self, rank: str, now_s: float) -> None:
        self.offered[rank] += 1
        ticket = self._admission.enter(rank, now_s + 20, now_s)
        if isinstance(ticket, Ticket):
            self._queued.append(ticket)

    def _start(self, now_s: float) -> None:
        granted = [one for one in self._queued if one.granted_at_s is not None]
        for ticket in granted:
            self._queued.remove(ticket)
            self._running.append((now_s + _SERVICE_S, ticket))

    def _finish(self, now_s: float) -> None:
        for end_s, ticket in tuple(self._running):
            if end_s <= now_s:
                self._running.remove((end_s, ticket))
                self._admission.leave(ticket, now_s)
                self.served[ticket.rank] += 1


class ShareAdmissionTest(unittest.TestCase):
    """Each rank keeps its guaranteed share whichever rank floods."""

    def test_bulk_flood_leaves_urgent_work_alone(self) -> None:
        """At three times the capacity of bulk work, urgent work is served."""
        simulation = _ArrivalSimulation(
            _admission(), {'urgent': 30, 'middle': 20, 'bulk': 300}
        )
        simulation.run(20)
        for rank in ('urgent', 'middle'):
            self.assertGreaterEqual(
                simulation.served[rank], simulation.offered[rank] * 0.99 - 2
            )
        total = sum(simulation.served.values())
        self.assertGreaterEqual(total, 0.9 * 20 * _SLOTS / _SERVICE_S)

    def test_urgent_flood_leaves_others_their_shares(self) -> None:
        """At three times the capacity of urgent work, others keep shares."""
        simulation = _ArrivalSimulation(
            _admission(), {'urgent': 300, 'middle': 100, 'bulk': 100}
        )
        simulation.run(20)
        capacity = 20 * _SLOTS / _SERVICE_S
        self.assertGreaterEqual(
            simulation.served['middle'], 0.95 * 0.3 * capacity
        )
        self.assertGreaterEqual(
            simulation.served['bulk'], 0.95 * 0.2 * capacity
        )

    def test_fifo_baseline_starves_urgent_work(self) -> None:
        """Without shares, a flood of bulk work starves urgent work."""
        admission = FifoAdmission()
        admission.configure(_RANKS)
        admission.open(_SLOTS, 0, 0)
        simulation = _ArrivalSimulation(admission, {'urgent': 30, 'bulk': 300})
        simulation.run(20)
        self.assertLess(
            simulation.served['urgent'], simulation.offered['urgent'] * 0.6
        )

    def test_fifo_baseline_forgets_requests_that_left(self) -> None:
        """A request that left gives its turn to no later one of its rank."""
        admission = FifoAdmission()
        admission.configure(_RANKS)
        admission.open(1, 0, 0)
        admission.enter('urgent', 20, 0)
        left, first, second = (
            admission.enter(rank, 20, 0) for rank in ('bulk', 'urgent', 'bulk')
        )
        assert isinstance(left, Ticket)
        assert isinstance(first, Ticket)
        assert isinstance(second, Ticket)
        admission.leave(left, 1)
        admission.open(2, 0, 1)
        self.assertIsNotNone(first.granted_at_s)
        self.assertIsNone(second.granted_at_s)

    def test_late_work_is_refused_on_arrival(self) -> None:
        """Work that would miss its deadline is refused with a retry delay."""
        admission = _admission()
        simulation = _ArrivalSimulation(admission, {'bulk': 500})
        simulation.run(3)
        outcome = admission.enter('bulk', 3.05, 3.0)
        assert isinstance(outcome, Refused)
        self.assertIs(outcome.cause, Cause.OVERLOADED)
        self.assertGreater(outcome.retry_after_s, 0)

    def test_unused_shares_are_lent_and_returned(self) -> None:
        """One rank may use all slots and returns them as requests finish."""
        admission = _admission()
        lent = [admission.enter('bulk', 20, 0) for _ in range(_SLOTS)]
        self.assertTrue(all(isinstance(one, Ticket) for one in lent))
        urgent = admission.enter('urgent', 20, 0)
        more = admission.enter('bulk', 20, 0)
        assert isinstance(urgent, Ticket)
        assert isinstance(more, Ticket)
        assert isinstance(lent[0], Ticket)
        admission.leave(lent[0], 0.1)
        self.assertIsNotNone(urgent.granted_at_s)
        self.assertIsNone(more.granted_at_s)

    def test_cold_start_ramps_slots(self) -> None:
        """The usable slots rise from a fifth to all after a start."""
        admission = ShareAdmission()
        admission.configure(_RANKS)
        admission.open(_SLOTS, 10, 0)
        usable = [admission.load(now_s).slots for now_s in (0, 5, 10)]
        self.assertEqual(usable, [2, 6, 10])

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('enter', 'leave')),
                st.sampled_from([rank.name for rank in _RANKS]),
                st.integers(min_value=0, max_value=50),
            ),
            max_size=120,
        ),
    )
    def test_slots_are_never_exceeded(
        self,
        steps: list[tuple[str, str, int]],
    ) -> None:
        """No order of arrivals and departures exceeds the number of slots."""
        admission = _admission()
        tickets: list[Ticket] = []
        for number, (step, rank, pick) in enumerate(steps):
            now_s = number / 100
            if step == 'enter':
                outcome = admission.enter(rank, now_s + 20, now_s)
                if isinstance(outcome, Ticket):
                    tickets.append(outcome)
            elif tickets:
                ticket = tickets.pop(pick % len(tickets))
                admission.leave(ticket, now_s)
            granted = sum(one.granted_at_s is not None for one in tickets)
            self.assertLessEqual(granted, _SLOTS)
            self.assertEqual(granted, admission.load(now_s).in_use)
            if granted < _SLOTS:
                self.assertEqual(granted, len(tickets))
