"""Tests of the requests that are refused before a daemon exits."""

import random
import unittest

from ragwortstand.backend_servers.admission import (
    FifoAdmission,
    ShareAdmission,
    Ticket,
)
from ragwortstand.backend_servers.exit_refusals import ExitRefusals
from ragwortstand.backend_servers.latency_objective_admission import (
    LatencyObjectiveAdmission,
)
from ragwortstand.calls import Call
from ragwortstand.exit_limits import ExitLimits
from ragwortstand.models import Rank
from ragwortstand.verdicts import Cause
from tests.forwarded import new_call

_URGENT = Rank(name='urgent', target_s=200, deadline_s=300)
_BULK = Rank(name='r', target_s=200, deadline_s=300)
_SLOTS = 9
_SERVICE_S = 0.84
_EXIT_S = 5.0
_QUEUED = 80
_SEEDS = 30


class _Queue:
    """The queue of a backend server whose requests take `_SERVICE_S`."""

    def __init__(self, slots: int = _SLOTS) -> None:
        self.admission = LatencyObjectiveAdmission()
        self.admission.configure((_URGENT, _BULK))
        self.admission.open(slots, 0, -_SERVICE_S)
        self.refusals = ExitRefusals(self.admission)
        for rank in (_URGENT, _BULK):
            first = self.enter(new_call('first', 30), rank, -_SERVICE_S)
            self.admission.leave(first, 0)

    def enter(self, call: Call, rank: Rank, now_s: float) -> Ticket:
        ticket = self.admission.enter(
            rank.name, now_s + 300, now_s, goal_s=now_s + 200
        )
        assert isinstance(ticket, Ticket)
        self.refusals.on_enter(call, ticket, now_s)
        return ticket

    def fill(self, count: int, rank: Rank = _BULK) -> list[tuple[Call, Ticket]]:
        """Return requests that arrive at time 0, with their tickets."""
        calls = [new_call(f'c{number}', 30) for number in range(count)]
        return [(call, self.enter(call, rank, 0)) for call in calls]

    def play(self, tickets: list[Ticket], rng: random.Random) -> list[float]:
        """Run all until the exit; return when those that started end."""
        ends: dict[int, float] = {}
        for step in range(int(_EXIT_S * 100)):
            now_s = step / 100
            for number, ticket in enumerate(tickets):
                if ticket.granted_at_s is None or number in ends:
                    continue
                ends[number] = now_s + _SERVICE_S * rng.uniform(0.6, 1.4)
            for number, end_s in ends.items():
                if now_s <= end_s < now_s + 0.01:
                    self.admission.leave(tickets[number], now_s)
            if not step % 5:
                self.refusals.refuse_late(now_s)
            for ticket in tickets:
                if ticket.refusal and ticket.granted_at_s is None:
                    self.admission.leave(ticket, now_s)
        return list(ends.values())


class WaitingRequestTests(unittest.TestCase):
    """Requests that wait for a slot when a daemon begins to stop."""

    # Guards against requests that wait until their daemon exits.
    def test_those_that_would_not_finish_are_refused_at_once(self) -> None:
        queue = _Queue()
        entered = queue.fill(_QUEUED)
        for call, _ in entered:
            call.limit.lower(_EXIT_S)
        queue.refusals.refuse_late(0)
        refused = [bool(ticket.refusal) for _, ticket in entered]
        kept = refused.index(True)
        self.assertEqual(refused, sorted(refused))
        # Each slot runs five requests of 0.84 s in the time.
        self.assertGreater(kept, _SLOTS * 4)
        self.assertLess(kept, _SLOTS * 6)
        causes = {ticket.refusal.cause for _, ticket in entered[kept:]}
        self.assertEqual(causes, {Cause.SENDER_LEAVING})

    def test_none_is_refused_without_an_exit(self) -> None:
        queue = _Queue()
        entered = queue.fill(_QUEUED)
        queue.refusals.refuse_late(0)
        self.assertFalse(any(ticket.refusal for _, ticket in entered))

    def test_only_those_of_the_daemon_that_exits_are_refused(self) -> None:
        queue = _Queue()
        entered = queue.fill(_QUEUED)
        for call, _ in entered[::2]:
            call.limit.lower(1.0)
        queue.refusals.refuse_late(0)
        self.assertTrue(entered[-2][1].refusal)
        self.assertFalse(any(ticket.refusal for _, ticket in entered[1::2]))
        self.assertFalse(any(ticket.refusal for _, ticket in entered[:_SLOTS]))

    def test_urgent_requests_come_first(self) -> None:
        queue = _Queue()
        bulk = queue.fill(_QUEUED)
        urgent = queue.fill(_SLOTS, _URGENT)
        queue.refusals.set_exit(_EXIT_S)
        queue.refusals.refuse_late(0)
        self.assertFalse(any(ticket.refusal for _, ticket in urgent))
        refusal = bulk[-1][1].refusal
        self.assertEqual(refusal and refusal.cause, Cause.LEAVING)

    # Guards against requests that reach a server shortly before the exit of
    # the daemon beside it, which cuts them off.
    def test_what_starts_is_finished_at_the_exit(self) -> None:
        for seed in range(_SEEDS):
            rng = random.Random(seed)
            queue = _Queue(rng.randrange(1, 14))
            entered = queue.fill(rng.randrange(1, 100))
            queue.refusals.set_exit(_EXIT_S)
            ends = queue.play([ticket for _, ticket in entered], rng)
            with self.subTest(seed=seed):
                self.assertGreater(len(ends), 0)
                self.assertEqual([at for at in ends if at > _EXIT_S], [])
                self.assertFalse(list(queue.admission.waiting()))

    def test_request_that_enters_later_is_refused_at_once(self) -> None:
        queue = _Queue()
        queue.fill(_QUEUED)
        late = new_call('late', 30)
        late.limit.lower(_EXIT_S)
        self.assertTrue(queue.enter(late, _BULK, 0.1).refusal)

    def test_slot_that_is_granted_too_late_is_not_used(self) -> None:
        queue = _Queue()
        call, _ = queue.fill(1)[0]
        call.limit.lower(_EXIT_S)
        self.assertIsNone(queue.refusals.refusal(call, 0))
        found = queue.refusals.refusal(call, _EXIT_S - _SERVICE_S)
        self.assertEqual(found and found.cause, Cause.SENDER_LEAVING)

    def test_other_policies_list_what_waits(self) -> None:
        for policy in (ShareAdmission(), FifoAdmission()):
            policy.configure((_URGENT, _BULK))
            policy.open(1, 0, 0)
            tickets = [
                policy.enter(rank, 30, 0) for rank in ('r', 'r', 'urgent')
            ]
            waiting = list(policy.waiting())
            self.assertEqual(len(waiting), 2)
            self.assertLessEqual(
                {id(one) for one in waiting}, set(map(id, tickets))
            )
            self.assertEqual(policy.service_s('r', 0), 0)


class _Recorder:
    """Records the calls of `ExitLimits`, in place of all collaborators."""

    def __init__(self) -> None:
        self.exits: list[float] = []
        self.sent_at: list[float] = []
        self.refused_at: list[float] = []
        self.ended = 0

    def set_exit(self, exit_s: float, rerouted_at_s: float = 0.0) -> None:
        self.exits.append(exit_s)

    def refuse_late(self, now_s: float) -> None:
        self.refused_at.append(now_s)

    def limit(self, now_s: float) -> None:
        self.sent_at.append(now_s)

    def end_all(self) -> None:
        self.ended += 1


class ExitLimitsTests(unittest.TestCase):
    """Order and number of the messages in a stop."""

    def test_others_are_told_at_once_at_intervals_and_at_last(self) -> None:
        recorder = _Recorder()
        limits = ExitLimits(recorder, recorder, recorder)
        limits.begin(0.0, rerouted_at_s=2.6, last_start_s=5.1, finish_by_s=5.5)
        for step in range(1, 110):
            limits.update(step * 0.05)
        self.assertEqual(recorder.exits[:2], [5.5, 5.5])
        self.assertAlmostEqual(recorder.exits[-1], 5.1)
        self.assertAlmostEqual(recorder.sent_at[0], 0)
        self.assertAlmostEqual(max(recorder.sent_at), 5.1)
        self.assertLess(len(recorder.sent_at), 8)
        self.assertGreater(len(recorder.refused_at), 100)

    def test_nothing_is_refused_before_the_stop(self) -> None:
        recorder = _Recorder()
        limits = ExitLimits(recorder, recorder, recorder)
        limits.update(100.0)
        self.assertEqual((recorder.exits, recorder.sent_at), ([], []))
