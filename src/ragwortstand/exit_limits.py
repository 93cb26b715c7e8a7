"""ragwortstand.exit_limits: requests in flight when a daemon exits.

A request that waits for a slot, here or at another daemon, is refused unless it
would finish before the exit. One that a backend server runs continues as long
as its response can still be sent.
"""

import math
from typing import Protocol

# Interval between two messages to the daemons that run this daemon's requests;
# these estimate again which of them would finish in time.
_SEND_INTERVAL_S = 1.0


class CallerRequests(Protocol):
    """Requests of this daemon's callers."""

    def set_exit(self, exit_s: float, rerouted_at_s: float) -> None:
        """Set when this daemon exits, and when callers reach other hosts."""

    def end_all(self) -> None:
        """End all requests, with a response to each."""


class LocalQueue(Protocol):
    """Requests that wait for the backend server on this host."""

    def set_exit(self, exit_s: float) -> None:
        """Set when this daemon exits."""

    def refuse_late(self, now_s: float) -> None:
        """Refuse waiting requests that would not finish in time."""


class RemoteQueues(Protocol):
    """Requests that this daemon has forwarded to others."""

    def limit(self, now_s: float) -> None:
        """Send the time of the exit to those daemons."""


class ExitLimits:
    """Applies the time of a daemon's exit to the requests in flight.

    :param callers: requests of this daemon's callers.
    :param local: requests that wait for the backend server on this host.
    :param remote: requests that this daemon has forwarded.
    """

    def __init__(
        self,
        callers: CallerRequests,
        local: LocalQueue,
        remote: RemoteQueues,
    ) -> None:
        """Create an object for a daemon that does not stop."""
        self._callers = callers
        self._local = local
        self._remote = remote
        self._rerouted_at_s = 0.0
        self._last_start_s = math.inf
        self._next_send_s = math.inf

    def begin(
        self,
        now_s: float,
        *,
        rerouted_at_s: float,
        last_start_s: float,
        finish_by_s: float,
    ) -> None:
        """Begin to refuse requests that would not finish before the exit.

        :param now_s: present time.
        :param rerouted_at_s: when callers are routed to other hosts.
        :param last_start_s: when all requests that still wait are refused, so
            that the refusals arrive before the exit.
        :param finish_by_s: when the last responses are sent.
        """
        self._rerouted_at_s = rerouted_at_s
        self._last_start_s = last_start_s
        self._apply(finish_by_s, now_s)

    def update(self, now_s: float) -> None:
        """Refuse what would no longer finish; called at short intervals.

        :param now_s: present time.
        """
        if now_s >= self._last_start_s:
            self._last_start_s = math.inf
            self._apply(now_s, now_s)
        if now_s >= self._next_send_s:
            self._next_send_s = now_s + _SEND_INTERVAL_S
            self._remote.limit(now_s)
        self._local.refuse_late(now_s)

    def end_all(self) -> None:
        """End the requests of callers that have no response yet."""
        self._callers.end_all()

    def _apply(self, finish_by_s: float, now_s: float) -> None:
        self._callers.set_exit(finish_by_s, self._rerouted_at_s)
        self._local.set_exit(finish_by_s)
        self._next_send_s = now_s
        self.update(now_s)
