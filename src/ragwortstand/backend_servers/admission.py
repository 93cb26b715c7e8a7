"""ragwortstand.backend_servers.admission: admission policies by rank."""

import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from ragwortstand.calls import FinishLimit
from ragwortstand.models import Rank
from ragwortstand.verdicts import Cause, Refused

# Weight of a new sample in the mean service time.
_MEAN_WEIGHT = 0.1
_MIN_RETRY_AFTER_S = 0.1
# Share of the slots that may be used right after a start.
_COLD_START_SHARE = 0.2


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits in a queue or holds a slot.

    :param rank: name of the rank of the request.
    :param granted: set when the ticket is granted a slot, or refused.
    :param granted_at_s: when the slot was granted; None without a slot.
    :param goal_s: latency objective: when the response loses most of its value.
    :param deadline_s: when the response has no value any more.
    :param refusal: why it was removed from the queue; None if it was not.
    :param limit: when the request must have finished because a daemon exits.
    """

    rank: str
    granted: anyio.Event = field(default_factory=anyio.Event)
    granted_at_s: float | None = None
    goal_s: float = math.inf
    deadline_s: float = math.inf
    refusal: Refused | None = None
    limit: FinishLimit = field(default_factory=FinishLimit)

    def refuse(self, refusal: Refused) -> None:
        """Refuse the request, which waits for a slot.

        :param refusal: why.
        """
        self.refusal = refusal
        self.granted.set()


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a backend server.

    :param slots: slots that may be used now.
    :param in_use: slots in use.
    :param queued: requests in all queues.
    :param service_s: mean service time of a request; 0 means unknown.
    """

    slots: int
    in_use: int
    queued: int
    service_s: float = 0.0

    @property
    def busy(self) -> float:
        """Return the number of running and queued requests per slot."""
        return (self.in_use + self.queued) / max(1, self.slots)


@dataclass(slots=True)
class _RankState:
    """Queue and counters of one rank."""

    rank: Rank
    queue: deque[Ticket] = field(default_factory=deque)
    in_use: int = 0
    mean_service_s: float = 0.0

    @property
    def demand(self) -> int:
        return self.in_use + len(self.queue)


class Admission(Protocol):
    """Decides which requests get the slots of a backend server."""

    def configure(self, ranks: Iterable[Rank]) -> None:
        """Apply the ranks of a new configuration."""

    def open(self, slots: int, cold_start_s: float, now_s: float) -> None:
        """Set the slots of a backend server that has become ready."""

    def enter(
        self,
        rank: str,
        deadline_s: float,
        now_s: float,
        *,
        goal_s: float | None = None,
    ) -> Ticket | Refused:
        """Queue a request or refuse it at once."""

    def leave(
        self,
        ticket: Ticket,
        now_s: float,
        *,
        has_run: bool = True,
    ) -> None:
        """Return a ticket, whether it was granted a slot or not."""

    def load(self, now_s: float) -> Load:
        """Return the load of the backend server."""

    def service_s(self, rank: str, now_s: float) -> float:
        """Return the mean service time of a rank; 0 means unknown."""

    def waiting(self) -> Iterator[Ticket]:
        """Return the requests that wait, those first that are served first."""


class ShareAdmission:
    """Guarantees shares by rank and lends unused shares by urgency.

    A free slot goes first to ranks below their guaranteed share and then to
    the others, both in the order of urgency. A request is refused on arrival
    when it is expected to finish after its deadline, or when it has to wait
    and would miss the target of its rank, or a tenth of the time until its
    deadline where that is longer.
    """

    def __init__(self) -> None:
        """Create a policy without slots and ranks."""
        self._rank_states: dict[str, _RankState] = {}
        self._slots = 0
        self._cold_start_s = 0.0
        self._opened_at_s = 0.0
        self._in_use = 0

    def configure(self, ranks: Iterable[Rank]) -> None:
        """Apply the ranks of a new configuration.

        :param ranks: from the most to the least urgent.
        """
        states: dict[str, _RankState] = {}
        for rank in ranks:
            state = self._rank_states.pop(rank.name, None) or _RankState(rank)
            state.rank = rank
            states[rank.name] = state
        for name, state in self._rank_states.items():
            if state.demand:
                states[name] = state
        self._rank_states = states

    def open(self, slots: int, cold_start_s: float, now_s: float) -> None:
        """Set the slots of a backend server that has become ready.

        :param slots: number of requests that it runs concurrently.
        :param cold_start_s: time over which the usable slots rise from a
            fifth to all of them.
        :param now_s: present time.
        """
        self._slots = slots
        self._cold_start_s = cold_start_s
        self._opened_at_s = now_s
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
        :param goal_s: not used; the rank's target takes its place.
        """
        state = self._rank_state(rank)
        wait_s = self._wait_s(state, now_s)
        finish_s = wait_s + state.mean_service_s
        remaining_s = deadline_s - now_s
        bound_s = min(remaining_s, max(state.rank.target_s, remaining_s / 10))
        if finish_s > remaining_s or (wait_s and finish_s > bound_s):
            late_s = max(_MIN_RETRY_AFTER_S, finish_s - bound_s)
            return Refused(Cause.OVERLOADED, late_s)
        ticket = Ticket(rank)
        state.queue.append(ticket)
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
        :param has_run: not used; each use of a slot updates the mean.
        """
        state = self._rank_states[ticket.rank]
        if ticket.granted_at_s is None:
            state.queue.remove(ticket)
            return
        state.in_use -= 1
        self._in_use -= 1
        taken_s = now_s - ticket.granted_at_s
        weight = _MEAN_WEIGHT if state.mean_service_s else 1.0
        state.mean_service_s += weight * (taken_s - state.mean_service_s)
        self._grant_slots(now_s)

    def load(self, now_s: float) -> Load:
        """Return the load of the backend server.

        :param now_s: present time.
        """
        queued = sum(len(state.queue) for state in self._rank_states.values())
        return Load(self._usable_slots(now_s), self._in_use, queued)

    def service_s(self, rank: str, now_s: float) -> float:
        """Return the mean service time of a rank; 0 means unknown.

        :param rank: name of the rank.
        :param now_s: not used; only completed requests count.
        """
        return self._rank_state(rank).mean_service_s

    def waiting(self) -> Iterator[Ticket]:
        """Return the requests that wait, by the urgency of their ranks."""
        for state in self._rank_states.values():
            yield from state.queue

    def _rank_state(self, rank: str) -> _RankState:
        state = self._rank_states.get(rank)
        if state is None:
            state = _RankState(Rank(name=rank))
            self._rank_states[rank] = state
        return state

    def _usable_slots(self, now_s: float) -> int:
        age_s = now_s - self._opened_at_s
        if age_s >= self._cold_start_s or not self._slots:
            return self._slots
        elapsed_share = age_s / self._cold_start_s
        share = _COLD_START_SHARE + (1 - _COLD_START_SHARE) * elapsed_share
        return max(1, math.floor(self._slots * share))

    def _wait_s(self, state: _RankState, now_s: float) -> float:
        usable = self._usable_slots(now_s)
        if not usable:
            return math.inf
        ahead = len(state.queue)
        if not ahead and self._in_use < usable:
            return 0.0
        slots = self._available_slots(state, usable)
        return (ahead + 1) * state.mean_service_s / slots

    def _available_slots(self, state: _RankState, usable: int) -> float:
        """Return the slots available to a rank under the present demand."""
        taken = 0.0
        is_more_urgent = True
        for other in self._rank_states.values():
            if other is state:
                is_more_urgent = False
            elif is_more_urgent:
                taken += other.demand
            else:
                guaranteed = other.rank.guaranteed_share * usable
                taken += min(other.demand, guaranteed)
        own = state.rank.guaranteed_share * usable
        return max(own, usable - taken, 1 / usable)

    def _grant_slots(self, now_s: float) -> None:
        usable = self._usable_slots(now_s)
        while self._in_use < usable:
            state = self._next_rank_state(usable)
            if state is None:
                return
            ticket = state.queue.popleft()
            ticket.granted_at_s = now_s
            state.in_use += 1
            self._in_use += 1
            ticket.granted.set()

    def _next_rank_state(self, usable: int) -> _RankState | None:
        waiting = [state for state in self._rank_states.values() if state.queue]
        for state in waiting:
            if state.in_use < state.rank.guaranteed_share * usable:
                return state
        return waiting[0] if waiting else None


class FifoAdmission(ShareAdmission):
    """Serves requests first come, first served; the baseline policy."""

    def __init__(self) -> None:
        """Create a policy without queued requests."""
        super().__init__()
        self._arrivals: deque[Ticket] = deque()

    def enter(
        self,
        rank: str,
        deadline_s: float,
        now_s: float,
        *,
        goal_s: float | None = None,
    ) -> Ticket | Refused:
        """Queue a request without ever refusing it."""
        ticket = Ticket(rank)
        self._rank_state(rank).queue.append(ticket)
        self._arrivals.append(ticket)
        self._grant_slots(now_s)
        return ticket

    def leave(
        self,
        ticket: Ticket,
        now_s: float,
        *,
        has_run: bool = True,
    ) -> None:
        """Return a ticket, whether it was granted a slot or not."""
        if ticket.granted_at_s is None and ticket in self._arrivals:
            self._arrivals.remove(ticket)
        super().leave(ticket, now_s, has_run=has_run)

    def waiting(self) -> Iterator[Ticket]:
        """Return the requests that wait, in the order of their arrival."""
        yield from self._arrivals

    def _next_rank_state(self, usable: int) -> _RankState | None:
        while self._arrivals:
            state = self._rank_states[self._arrivals.popleft().rank]
            if state.queue:
                return state
        return None
