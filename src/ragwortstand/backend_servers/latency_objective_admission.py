"""ragwortstand.backend_servers.latency_objective_admission: admission policy.

A request is refused on arrival when it would not be answered within its goal,
so that its caller can go elsewhere while there is time. Among those that
wait, the more urgent rank goes first, and what has become late goes last.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwortstand.backend_servers.admission import Load, Ticket
from ragwortstand.models import Rank
from ragwortstand.verdicts import Cause, Refused

# Weight of a new sample in the mean service time; ten requests, less than one
# full set of slots, move it most of the way.
_MEAN_WEIGHT = 0.1
# First guess of the service time as a part of the rank's target.
_FIRST_GUESS = 0.3
# Work is expected to take this many times its mean, so that most of what is
# admitted to the end of a queue meets its goal; the spread of work is 0.3 to
# 0.5 of its mean.
_LONG_WORK = 1.3
# Refusals ask callers to stay away at least this long; shorter times are
# within the jitter of their way here.
_MIN_RETRY_AFTER_S = 0.05


@dataclass(slots=True)
class _Line:
    """Queue and accounts of one rank."""

    rank: Rank
    order: int
    queue: deque[Ticket] = field(default_factory=deque)
    in_use: int = 0
    granted_sum_s: float = 0.0
    mean_s: float = 0.0

    def service_s(self, now_s: float) -> float:
        """Return the expected service time.

        The mean age of what runs shows at once when a server turns slow.
        """
        mean_s = self.mean_s or self.rank.target_s * _FIRST_GUESS
        if not self.in_use:
            return mean_s
        return max(mean_s, now_s - self.granted_sum_s / self.in_use)


class LatencyObjectiveAdmission:
    """Grants slots by urgency to requests that can meet their goal."""

    def __init__(self) -> None:
        """Start without slots and ranks."""
        self._lines: dict[str, _Line] = {}
        self._slots = 0
        self._in_use = 0

    def configure(self, ranks: Iterable[Rank]) -> None:
        """Take over the ranks of a new configuration.

        :param ranks: from the most to the least urgent.
        """
        lines: dict[str, _Line] = {}
        for order, rank in enumerate(ranks):
            line = self._lines.pop(rank.name, None) or _Line(rank, order)
            line.rank = rank
            line.order = order
            lines[rank.name] = line
        for name, line in self._lines.items():
            if line.in_use or line.queue:
                lines[name] = line
        self._lines = lines

    def open(self, slots: int, cold_start_s: float, now_s: float) -> None:
        """Set the slots of a backend server that has become ready.

        :param slots: requests that it runs at once.
        :param cold_start_s: not used; service times show a cold server.
        :param now_s: present time.
        """
        self._slots = slots
        for line in self._lines.values():
            line.mean_s = 0.0
        self._grant(now_s)

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
        :param deadline_s: when the answer is of no more use.
        :param now_s: present time.
        :param goal_s: when the answer loses most of its use; None takes the
            target of the rank.
        """
        line = self._line(rank)
        if goal_s is None:
            goal_s = now_s + line.rank.target_s
        ticket = Ticket(rank, goal_s=goal_s, deadline_s=deadline_s)
        wait_s = self._wait_s(line, now_s)
        if wait_s:
            finish_s = now_s + wait_s + line.service_s(now_s) * _LONG_WORK
            late_s = finish_s - min(goal_s, deadline_s)
            if late_s > 0:
                return _refusal(wait_s)
        line.queue.append(ticket)
        self._grant(now_s)
        return ticket

    def leave(
        self,
        ticket: Ticket,
        now_s: float,
        *,
        has_run: bool = True,
    ) -> None:
        """Give a ticket back, whether it was granted or not.

        :param ticket: the ticket that `enter` returned.
        :param now_s: present time.
        :param has_run: whether its time in the slot tells the service time.
        """
        line = self._lines[ticket.rank]
        if ticket.granted_at_s is None:
            if ticket in line.queue:
                line.queue.remove(ticket)
            return
        line.in_use -= 1
        line.granted_sum_s -= ticket.granted_at_s
        self._in_use -= 1
        if has_run:
            taken_s = now_s - ticket.granted_at_s
            weight = _MEAN_WEIGHT if line.mean_s else 1.0
            line.mean_s += weight * (taken_s - line.mean_s)
        self._grant(now_s)

    def load(self, now_s: float) -> Load:
        """Return how busy the backend server is.

        :param now_s: present time.
        """
        queued = sum(len(line.queue) for line in self._lines.values())
        return Load(self._slots, self._in_use, queued, self._busiest_s(now_s))

    def _busiest_s(self, now_s: float) -> float:
        """Return the service time of the line that has most slots."""
        lines = self._lines.values()
        busiest = max(lines, key=lambda line: line.in_use, default=None)
        return busiest.service_s(now_s) if busiest else 0.0

    def _line(self, rank: str) -> _Line:
        line = self._lines.get(rank)
        if line is None:
            line = _Line(Rank(name=rank), len(self._lines))
            self._lines[rank] = line
        return line

    def _wait_s(self, line: _Line, now_s: float) -> float:
        """Return the time until a newcomer of a rank gets a slot."""
        if not self._slots:
            return math.inf
        ahead_s = 0.0
        urgent_in_use = 0
        for other in self._lines.values():
            if other.order <= line.order:
                ahead_s += len(other.queue) * other.service_s(now_s)
            if other.order < line.order:
                urgent_in_use += other.in_use
        if not ahead_s and self._in_use < self._slots:
            return 0.0
        # More urgent work goes on arriving and keeps the slots it has now.
        slots = max(1, self._slots - urgent_in_use)
        return (ahead_s + self._busiest_s(now_s)) / slots

    def _grant(self, now_s: float) -> None:
        while self._in_use < self._slots:
            ticket = self._next(now_s)
            if ticket is None:
                return
            line = self._lines[ticket.rank]
            ticket.granted_at_s = now_s
            line.in_use += 1
            line.granted_sum_s += now_s
            self._in_use += 1
            ticket.granted.set()

    def _next(self, now_s: float) -> Ticket | None:
        """Return the ticket that gets the next slot.

        What would be late is refused as long as others wait behind it.
        """
        lines = [line for line in self._lines.values() if line.queue]
        lines.sort(key=_by_order)
        for line in lines:
            service_s = line.service_s(now_s)
            while line.queue:
                ticket = line.queue.popleft()
                late_s = now_s + service_s - ticket.goal_s
                if late_s <= 0 or not any(one.queue for one in lines):
                    return ticket
                ticket.refusal = _refusal(self._wait_s(line, now_s))
                ticket.granted.set()
        return None


def _refusal(wait_s: float) -> Refused:
    """Refuse until what waits now has been served."""
    return Refused(Cause.OVERLOADED, max(_MIN_RETRY_AFTER_S, wait_s))


def _by_order(line: _Line) -> int:
    return line.order
