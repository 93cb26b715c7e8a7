"""ragwortstand.backend_servers.latency_objective_admission: admission policy.

A request is refused on arrival when it is expected to miss its latency
objective, so that its caller still has time to try another host. Queued
requests are served in the order of the urgency of their ranks. One that has
become late is refused while others wait, and served only if none does.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ragwortstand.backend_servers.admission import Load, Ticket
from ragwortstand.models import Rank
from ragwortstand.verdicts import Cause, Refused

# Weight of a new sample in the mean service time; ten requests, fewer than the
# slots, move the mean most of the way to a new value.
_MEAN_WEIGHT = 0.1
# Initial estimate of the service time as a share of the rank's target.
_INITIAL_SERVICE_SHARE = 0.3
# A request is expected to take this multiple of the mean service time, so that
# most requests admitted to the end of a queue meet their latency objective;
# the spread of service times is 0.3 to 0.5 of their mean.
_SERVICE_TIME_MARGIN = 1.3
# Shortest retry delay of a refusal; shorter times are within the jitter of the
# network between caller and daemon.
_MIN_RETRY_AFTER_S = 0.05


@dataclass(slots=True)
class _RankState:
    """Queue and counters of one rank."""

    rank: Rank
    order: int
    queue: deque[Ticket] = field(default_factory=deque)
    in_use: int = 0
    granted_at_sum_s: float = 0.0
    mean_service_s: float = 0.0

    def service_s(self, now_s: float) -> float:
        """Return the expected service time.

        The ages of running requests show that a server has become slow before
        the mean of the completed ones does. What they exceed the mean by counts
        as a sample each, so that one long request among few slots is no sign
        of a slow server.
        """
        mean_service_s = (
            self.mean_service_s or self.rank.target_s * _INITIAL_SERVICE_SHARE
        )
        ages_s = self.in_use * now_s - self.granted_at_sum_s
        excess_s = ages_s - self.in_use * mean_service_s
        return mean_service_s + _MEAN_WEIGHT * max(0.0, excess_s)


class LatencyObjectiveAdmission:
    """Grants slots by urgency to requests that can meet their objective."""

    def __init__(self) -> None:
        """Create a policy without slots and ranks."""
        self._rank_states: dict[str, _RankState] = {}
        self._slots = 0
        self._in_use = 0
        self._queued = 0

    def configure(self, ranks: Iterable[Rank]) -> None:
        """Apply the ranks of a new configuration.

        :param ranks: from the most to the least urgent.
        """
        states: dict[str, _RankState] = {}
        for order, rank in enumerate(ranks):
            state = self._rank_states.pop(rank.name, None) or _RankState(
                rank, order
            )
            state.rank = rank
            state.order = order
            states[rank.name] = state
        for name, state in self._rank_states.items():
            if state.in_use or state.queue:
                states[name] = state
        self._rank_states = states

    def open(self, slots: int, cold_start_s: float, now_s: float) -> None:
        """Set the slots of a backend server that has become ready.

        :param slots: number of requests that it runs concurrently.
        :param cold_start_s: not used; the service times reflect a cold
            server.
        :param now_s: present time.
        """
        self._slots = slots
        for state in self._rank_states.values():
            state.mean_service_s = 0.0
        self._grant_slots(now_s)

    def enter(
        self,
        rank: str,
        deadline_s: float,
        now_s: float,
        *,
        goal_s: float | None = None,
    ) -> Ticket | Refused:
        """Queue a request or refuse it at once.

        :param rank: name of its rank.
        :param deadline_s: when the response has no value any more.
        :param now_s: present time.
        :param goal_s: latency objective: when the response loses most of its
            value; None takes the target of the rank.
        """
        state = self._rank_state(rank)
        if goal_s is None:
            goal_s = now_s + state.rank.target_s
        ticket = Ticket(rank, goal_s=goal_s, deadline_s=deadline_s)
        wait_s = self._wait_s(state, now_s)
        if wait_s:
            finish_s = (
                now_s + wait_s + state.service_s(now_s) * _SERVICE_TIME_MARGIN
            )
            late_s = finish_s - min(goal_s, deadline_s)
            if late_s > 0:
                return _refusal(wait_s)
        state.queue.append(ticket)
        self._queued += 1
        self._grant_slots(now_s)
        return ticket

    def leave(
        self,
        ticket: Ticket,
        now_s: float,
        *,
        has_run: bool = True,
    ) -> None:
        """Return a ticket, whether it was granted a slot or not.

        :param ticket: the ticket that `enter` returned.
        :param now_s: present time.
        :param has_run: whether the time that it held the slot counts as a
            service time.
        """
        state = self._rank_states[ticket.rank]
        if ticket.granted_at_s is None:
            if ticket in state.queue:
                state.queue.remove(ticket)
                self._queued -= 1
            return
        state.in_use -= 1
        state.granted_at_sum_s -= ticket.granted_at_s
        self._in_use -= 1
        if has_run:
            taken_s = now_s - ticket.granted_at_s
            weight = _MEAN_WEIGHT if state.mean_service_s else 1.0
            state.mean_service_s += weight * (taken_s - state.mean_service_s)
        self._grant_slots(now_s)

    def load(self, now_s: float) -> Load:
        """Return the load of the backend server.

        :param now_s: present time.
        """
        return Load(
            self._slots,
            self._in_use,
            self._queued,
            self._busiest_service_s(now_s),
        )

    def service_s(self, rank: str, now_s: float) -> float:
        """Return the expected service time of a rank.

        :param rank: name of the rank.
        :param now_s: present time.
        """
        return self._rank_state(rank).service_s(now_s)

    def waiting(self) -> Iterator[Ticket]:
        """Return the requests that wait, by the urgency of their ranks."""
        for state in sorted(self._rank_states.values(), key=_by_order):
            yield from state.queue

    def _busiest_service_s(self, now_s: float) -> float:
        """Return the service time of the rank that uses most slots."""
        busiest: _RankState | None = None
        for state in self._rank_states.values():
            if busiest is None or state.in_use > busiest.in_use:
                busiest = state
        return busiest.service_s(now_s) if busiest else 0.0

    def _rank_state(self, rank: str) -> _RankState:
        state = self._rank_states.get(rank)
        if state is None:
            state = _RankState(Rank(name=rank), len(self._rank_states))
            self._rank_states[rank] = state
        return state

    def _wait_s(self, state: _RankState, now_s: float) -> float:
        """Return how long a new request of a rank waits for a slot."""
        if not self._slots:
            return math.inf
        ahead_s = 0.0
        urgent_in_use = 0
        for other in self._rank_states.values():
            if other.order <= state.order:
                ahead_s += len(other.queue) * other.service_s(now_s)
            if other.order < state.order:
                urgent_in_use += other.in_use
        if not ahead_s and self._in_use < self._slots:
            return 0.0
        # More urgent requests continue to arrive and keep their present slots.
        slots = max(1, self._slots - urgent_in_use)
        return (ahead_s + self._busiest_service_s(now_s)) / slots

    def _grant_slots(self, now_s: float) -> None:
        while self._in_use < self._slots:
            ticket = self._next_ticket(now_s)
            if ticket is None:
                return
            state = self._rank_states[ticket.rank]
            ticket.granted_at_s = now_s
            state.in_use += 1
            state.granted_at_sum_s += now_s
            self._in_use += 1
            ticket.granted.set()

    def _next_ticket(self, now_s: float) -> Ticket | None:
        """Return the ticket that gets the next slot.

        A request that would miss its objective is refused while others wait.
        """
        states = [state for state in self._rank_states.values() if state.queue]
        states.sort(key=_by_order)
        for state in states:
            service_s = state.service_s(now_s)
            while state.queue:
                ticket = state.queue.popleft()
                self._queued -= 1
                late_s = now_s + service_s - ticket.goal_s
                if late_s <= 0 or not any(one.queue for one in states):
                    return ticket
                ticket.refuse(_refusal(self._wait_s(state, now_s)))
        return None


def _refusal(wait_s: float) -> Refused:
    """Return a refusal until the requests queued now have been served."""
    return Refused(Cause.OVERLOADED, max(_MIN_RETRY_AFTER_S, wait_s))


def _by_order(state: _RankState) -> int:
    return state.order
