"""Simulates a backend server's queue in virtual time, without network."""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ragwortstand.backend_servers.admission import Admission, Ticket
from ragwortstand.models import Rank
from ragwortstand.verdicts import Refused


@dataclass(frozen=True)
class Arrival:
    """A request that arrives at the backend server at a given time."""

    at_s: float
    rank: Rank
    work_s: float
    deadline_s: float = 1.5


@dataclass
class Tally:
    """Counts of the outcomes of the requests of one rank."""

    requests: int = 0
    met_objective: int = 0
    late: int = 0
    refused: int = 0
    longest_refusal_s: float = 0.0

    @property
    def share_meeting_objective(self) -> float:
        """Return the share of requests that met their latency objective."""
        return self.met_objective / max(1, self.requests)


@dataclass(order=True)
class _Step:
    at_s: float
    number: int
    run: Callable[[float], None] = field(compare=False)


class VirtualServer:
    """Runs requests of known service times through an admission policy."""

    def __init__(
        self, admission: Admission, ranks: Iterable[Rank], slots: int
    ) -> None:
        self.admission = admission
        self.tallies = {rank.name: Tally() for rank in ranks}
        self._steps: list[_Step] = []
        self._number = 0
        self._waiting: list[tuple[Ticket, Arrival]] = []
        admission.configure(ranks)
        admission.open(slots, 0, 0)

    def play(self, arrivals: Iterable[Arrival]) -> None:
        """Run the requests until all have finished or been refused."""
        for arrival in arrivals:
            self._at(arrival.at_s, self._enter(arrival))
        while self._steps:
            step = heapq.heappop(self._steps)
            step.run(step.at_s)
            self._start_granted(step.at_s)

    def _at(self, at_s: float, run: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._steps, _Step(at_s, self._number, run))

    def _enter(self, arrival: Arrival) -> Callable[[float], None]:
        def enter(now_s: float) -> None:
            tally = self.tallies[arrival.rank.name]
            tally.requests += 1
            ticket = self.admission.enter(
                arrival.rank.name,
                now_s + arrival.deadline_s,
                now_s,
                goal_s=now_s + arrival.rank.target_s,
            )
            if isinstance(ticket, Refused):
                tally.refused += 1
            else:
                self._waiting.append((ticket, arrival))

        return enter

    def _start_granted(self, now_s: float) -> None:
        for ticket, arrival in tuple(self._waiting):
            if not ticket.granted.is_set():
                continue
            self._waiting.remove((ticket, arrival))
            tally = self.tallies[arrival.rank.name]
            if ticket.refusal:
                tally.refused += 1
                waited_s = now_s - arrival.at_s
                tally.longest_refusal_s = max(tally.longest_refusal_s, waited_s)
                self.admission.leave(ticket, now_s)
            else:
                end_s = now_s + arrival.work_s
                self._at(end_s, self._leave(ticket, arrival))

    def _leave(
        self, ticket: Ticket, arrival: Arrival
    ) -> Callable[[float], None]:
        def leave(now_s: float) -> None:
            self.admission.leave(ticket, now_s)
            tally = self.tallies[arrival.rank.name]
            if now_s - arrival.at_s <= arrival.rank.target_s:
                tally.met_objective += 1
            else:
                tally.late += 1

        return leave


def poisson(
    rng: random.Random,
    rank: Rank,
    per_s: float,
    work_s: float,
    until_s: float,
    from_s: float = 0.0,
) -> list[Arrival]:
    """Return requests with random arrival times and service times.

    Arrivals follow a Poisson process; service times spread by 30% around
    `work_s`.
    """
    found = []
    at_s = from_s + rng.expovariate(per_s)
    while at_s < until_s:
        length_s = work_s * rng.uniform(0.7, 1.3)
        found.append(Arrival(at_s, rank, length_s))
        at_s += rng.expovariate(per_s)
    return found
