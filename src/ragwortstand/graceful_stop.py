"""ragwortstand.graceful_stop: stop a sidecar without losing requests.

The sidecar first reports that it is not ready. It continues to serve other
daemons for a while, and callers until they have been routed to other hosts.
Only then does it refuse new requests; requests in flight have the rest of the
grace period. Those that wait for a slot are refused once they would not finish
in it, and the callers of all others get a response before the exit.
"""

import math
from collections.abc import Callable

import anyio
from anyio import lowlevel

from ragwortstand import clock
from ragwortstand.backend_servers.exit_refusals import LONG_REQUEST_FACTOR
from ragwortstand.callers.proxy import Proxy
from ragwortstand.events import Event, EventLog
from ragwortstand.exit_limits import ExitLimits
from ragwortstand.http_server import HttpServer
from ragwortstand.peers.forwarding import ForwardedWork
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import MemberState

_POLL_S = 0.05
# Turns of the event loop in which it accepts the connections that wait, reads
# their first bytes, and begins to handle the requests.
_READING_TURNS = 3
# Grace period that the times below are made for; shorter ones scale them down,
# so that what was taken has as large a part of the period to finish.
_FULL_GRACE_S = 6.0
# Callers are routed to other hosts after two failed readiness checks, which run
# once a second; their last requests are in flight a little longer.
_CALLERS_REROUTED_S = 2.6
# Callers have left when none has sent a request for this time.
_CALLERS_IDLE_S = 0.3
# Requests of other daemons are refused this long after the signal; those that
# started before have more than twice as long to finish.
_REFUSE_PEERS_AFTER_S = 1.5
# New requests of callers are refused this long after the signal; those that
# started before have the rest of the grace period.
_REFUSE_CALLERS_AFTER_S = 2.8
# Part of the grace period reserved for the exit of the process.
_EXIT_RESERVE_S = 0.4
# The daemon stops listening at least this long before the exit. In this time it
# responds to requests that were already on the way, and the other daemons
# receive the announcement that it leaves.
_FINAL_REQUESTS_S = 0.15
# Requests that wait for a slot are refused at least this long before the exit;
# the refusals of other daemons, in other regions too, arrive in time.
_LAST_START_BEFORE_S = 0.5
# Callers without a response get one at least this long before the exit.
_LAST_RESPONSES_S = 0.1


class GracefulStop:
    """Stops a sidecar without losing requests.

    :param proxy: handles callers' requests.
    :param forwarded: runs requests of other daemons.
    :param unsent_bytes: returns the size of replies to other daemons that
        are not sent yet.
    :param members: the member list.
    :param announce: sends this daemon's own entry to other daemons.
    :param limits: refuses requests that would not finish before the exit.
    :param log: receives an event when the stop begins.
    """

    def __init__(
        self,
        proxy: Proxy,
        forwarded: ForwardedWork,
        unsent_bytes: Callable[[], int],
        members: Members,
        announce: Callable[[], None],
        limits: ExitLimits,
        log: EventLog,
    ) -> None:
        """Store the components; `run` starts the stop."""
        self._proxy = proxy
        self._forwarded = forwarded
        self._unsent_bytes = unsent_bytes
        self._members = members
        self._announce = announce
        self._limits = limits
        self._log = log
        self._end_s = math.inf
        self._scale = 1.0
        self.is_leaving = False

    async def run(self, callers: HttpServer, grace_s: float) -> None:
        """Stop, and return when no request is in flight or time runs out.

        :param callers: the server that callers are connected to.
        :param grace_s: time until the process is killed from outside.
        """
        started_s = clock.now_s()
        self._log.emit(
            Event.STOPPING,
            callers=callers.in_flight,
            forwarded=self._forwarded.in_flight,
        )
        callers.close_idle()
        usable_s = max(0.0, grace_s - _EXIT_RESERVE_S)
        self._scale = min(1.0, usable_s / (_FULL_GRACE_S - _EXIT_RESERVE_S))
        end_s = started_s + usable_s
        self._end_s = end_s
        self._limits.begin(
            started_s,
            rerouted_at_s=started_s + _CALLERS_REROUTED_S * self._scale,
            last_start_s=end_s - _LAST_START_BEFORE_S * self._scale,
            finish_by_s=end_s - _LAST_RESPONSES_S,
        )
        now_s = started_s
        while now_s < end_s - _FINAL_REQUESTS_S:
            self._update_refusals(now_s - started_s)
            self._limits.update(now_s)
            are_callers_gone = self._are_callers_gone(now_s - started_s, now_s)
            if are_callers_gone and not self._is_busy(callers):
                break
            await _sleep_and_read()
            now_s = clock.now_s()
        await self._close(callers, end_s)

    def refuses_work(self, service_s: float, now_s: float) -> bool:
        """Return whether requests of other daemons are refused.

        They are while this daemon leaves, and if they would probably not
        finish before the exit.

        :param service_s: the backend server's mean time for a request.
        :param now_s: current time.
        """
        finish_s = now_s + service_s * LONG_REQUEST_FACTOR
        return self.is_leaving or finish_s > self._end_s

    def _is_busy(self, callers: HttpServer) -> bool:
        is_working = callers.in_flight or self._forwarded.in_flight
        return bool(is_working or self._unsent_bytes())

    async def _close(self, callers: HttpServer, end_s: float) -> None:
        """Stop listening, and respond to requests that were on the way.

        The exit must not cut off a request that was read: from here on new
        requests are refused, connections are closed when idle, and shortly
        before the exit all requests get a response.
        """
        self._proxy.is_refusing = True
        self._members.update_own(is_ready=False, state=MemberState.LEFT)
        self._announce()
        await callers.stop_listening()
        idle_at_s = clock.now_s() + _FINAL_REQUESTS_S
        while True:
            callers.close_idle()
            await _sleep_and_read()
            now_s = clock.now_s()
            if self._is_busy(callers):
                idle_at_s = now_s + _FINAL_REQUESTS_S
            if now_s >= idle_at_s:
                return
            if now_s >= end_s - _LAST_RESPONSES_S:
                break
        self._limits.end_all()
        while callers.in_flight and now_s < end_s:
            await _sleep_and_read()
            now_s = clock.now_s()
        await _read_pending()

    def _update_refusals(self, elapsed_s: float) -> None:
        """Refuse requests of other daemons first, and callers' later."""
        peers_after_s = _REFUSE_PEERS_AFTER_S * self._scale
        if elapsed_s > peers_after_s and not self.is_leaving:
            self.is_leaving = True
            self._members.update_own(is_ready=False)
            self._announce()
        if elapsed_s > _REFUSE_CALLERS_AFTER_S * self._scale:
            self._proxy.is_refusing = True

    def _are_callers_gone(self, elapsed_s: float, now_s: float) -> bool:
        if elapsed_s < _CALLERS_REROUTED_S * self._scale:
            return False
        return now_s - self._proxy.last_request_at_s > _CALLERS_IDLE_S


async def _sleep_and_read() -> None:
    """Wait until the next check, and read what has come until then.

    A loop that was held up runs the timers that are due before it reads from
    sockets, so that connections with unread requests would look idle.
    """
    await anyio.sleep(_POLL_S)
    await _read_pending()


async def _read_pending() -> None:
    """Run what is pending: read from sockets, and handle what was read."""
    for _ in range(_READING_TURNS):
        await lowlevel.checkpoint()
