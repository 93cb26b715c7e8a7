"""ragwortstand.graceful_stop: the order in which a sidecar leaves.

Readiness falls first. The backend server stays in use by other daemons for a
while, and callers are served until they have been sent elsewhere; only then
are new requests refused, and what is under way has the rest of the time.
"""

import math
from collections.abc import Callable

import anyio

from ragwortstand import clock
from ragwortstand.callers.proxy import Proxy
from ragwortstand.events import Event, EventLog
from ragwortstand.http_server import HttpServer
from ragwortstand.peers.forwarding import ForwardedWork
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import MemberState

_POLL_S = 0.05
# Readiness is asked for once a second, and two misses send callers elsewhere;
# their last requests are under way for a little longer.
_CALLERS_REROUTED_S = 2.6
_CALLERS_IDLE_S = 0.3
# The backend server stays in use by other daemons this long after the signal;
# their requests have more than twice as long to end.
_REFUSE_PEERS_AFTER_S = 1.5
# Requests take up to this many times the mean; a longer one is rare.
_LONG_REQUEST_FACTOR = 2.0
# New requests of callers are refused this long after the signal; what began
# before has the rest of the grace period.
_REFUSE_CALLERS_AFTER_S = 2.8
# Kept of the grace period for the exit itself.
_EXIT_RESERVE_S = 0.4
# The daemon stops listening this long before the exit at the latest. Last
# requests that were on their way then are answered within this time, and the
# others hear that this daemon leaves.
_FINAL_REQUESTS_S = 0.15


class GracefulStop:
    """Stops a sidecar without losing requests.

    :param proxy: answers callers.
    :param forwarded: runs requests of other daemons.
    :param unsent_bytes: returns how much of replies to other daemons waits.
    :param members: the list of members.
    :param announce: tells the others of the own entry.
    :param log: told of the beginning.
    """

    def __init__(
        self,
        proxy: Proxy,
        forwarded: ForwardedWork,
        unsent_bytes: Callable[[], int],
        members: Members,
        announce: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Wait for `run`."""
        self._proxy = proxy
        self._forwarded = forwarded
        self._unsent_bytes = unsent_bytes
        self._members = members
        self._announce = announce
        self._log = log
        self._end_s = math.inf
        self.is_leaving = False

    async def run(self, callers: HttpServer, grace_s: float) -> None:
        """Return when nothing is under way, or when time runs out.

        :param callers: the server that callers are connected to.
        :param grace_s: time until the process is ended from outside.
        """
        started_s = clock.now_s()
        self._log.emit(
            Event.STOPPING,
            callers=callers.in_flight,
            forwarded=self._forwarded.in_flight,
        )
        callers.close_idle()
        end_s = started_s + grace_s - _EXIT_RESERVE_S
        self._end_s = end_s
        now_s = started_s
        while now_s < end_s - _FINAL_REQUESTS_S:
            self._update_refusals(now_s - started_s)
            have_callers_left = self._have_callers_left(
                now_s - started_s, now_s
            )
            if have_callers_left and not self._is_busy(callers):
                break
            await anyio.sleep(_POLL_S)
            now_s = clock.now_s()
        await self._close(callers, end_s)

    def refuses_work(self, service_s: float, now_s: float) -> bool:
        """Return whether work of other daemons is to go elsewhere.

        :param service_s: time that the backend server takes for a request.
        :param now_s: present time.
        """
        finish_s = now_s + service_s * _LONG_REQUEST_FACTOR
        return self.is_leaving or finish_s > self._end_s

    def _is_busy(self, callers: HttpServer) -> bool:
        is_working = callers.in_flight or self._forwarded.in_flight
        return bool(is_working or self._unsent_bytes())

    async def _close(self, callers: HttpServer, end_s: float) -> None:
        """Stop listening, and answer what was already on its way.

        A request that was read must not be cut by the exit: from here on new
        ones are refused, and open connections end when they are idle.
        """
        self._proxy.is_refusing = True
        self._members.update_own(is_ready=False, state=MemberState.LEFT)
        self._announce()
        callers.stop_listening()
        now_s = clock.now_s()
        idle_at_s = now_s + _FINAL_REQUESTS_S
        while now_s < min(idle_at_s, end_s):
            callers.close_idle()
            await anyio.sleep(_POLL_S)
            now_s = clock.now_s()
            if self._is_busy(callers):
                idle_at_s = now_s + _FINAL_REQUESTS_S

    def _update_refusals(self, elapsed_s: float) -> None:
        """Refuse work of other daemons first, and that of callers later."""
        if elapsed_s > _REFUSE_PEERS_AFTER_S and not self.is_leaving:
            self.is_leaving = True
            self._members.update_own(is_ready=False)
            self._announce()
        if elapsed_s > _REFUSE_CALLERS_AFTER_S:
            self._proxy.is_refusing = True

    def _have_callers_left(self, elapsed_s: float, now_s: float) -> bool:
        if elapsed_s < _CALLERS_REROUTED_S:
            return False
        return now_s - self._proxy.last_request_at_s > _CALLERS_IDLE_S
