"""ragwortstand.callers.proxy: routes callers' requests in the sidecar.

The sidecar, the program that runs on the platform, receives the requests over
`ragwortstand.http_server`. ragwortd has `ragwortstand.callers.asgi_app` in
place of this module.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Protocol
from uuid import uuid4

from ragwortstand import clock
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.wait_estimator import CallerWaitEstimator
from ragwortstand.callers.weighted_targets import WeightedTargetSelector
from ragwortstand.calls import Call, FinishLimit
from ragwortstand.events import Event, EventLog
from ragwortstand.http_server import CallerRequest, CancelReason
from ragwortstand.ids import RequestId
from ragwortstand.metrics import Metrics
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Headers,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)
from ragwortstand.versions import Match, Snapshot

_NO_RANK = 'none'
# Retry delay while this daemon has no configuration: reading one from the
# store or a peer takes well under this.
_NO_CONFIGURATION_RETRY_S = 0.5
# Shortest retry delay while this daemon stops; before its callers are routed to
# other hosts they would only be refused again.
_LEAVING_RETRY_S = 0.3
# Message of cancellations after which a request still gets a response.
_EXIT = 'exit'
# Refusals because of an exit of this daemon or of one that runs its requests.
_EXIT_CAUSES = frozenset((Cause.LEAVING, Cause.SENDER_LEAVING))
_EVENTS = MappingProxyType(
    {
        Verdict.RAN: Event.SERVED,
        Verdict.NOT_RUN: Event.REFUSED,
        Verdict.MAY_HAVE_RUN: Event.UNKNOWN,
    },
)


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """Routing data and time budget from a caller's request.

    :param request_id: the caller's id of the request; empty if it has none.
    :param host: host name, in lower case and without a port.
    :param path: path without the query.
    :param budget_s: how long the caller waits; None if it does not say.
    :param headers: headers to forward, names in lower case.
    """

    request_id: str
    host: str
    path: str
    budget_s: float | None
    headers: Headers


class CallerDialect(Protocol):
    """Converts the headers of callers' requests and of their responses."""

    def read(self, request: CallerRequest) -> ParsedRequest | Refused:
        """Return the data of a request, or its refusal if it is invalid."""

    def render(self, outcome: Outcome, request_id: str) -> Answered:
        """Return the HTTP response for an outcome."""


class Proxy:
    """Routes callers' requests to backend servers.

    :param snapshot: returns the configuration in force; None without one.
    :param dispatcher: sends requests to backend servers.
    :param dialect: converts the headers of requests and responses.
    :param target_selector: selects the services of split routes.
    :param metrics: counts requests by rank and verdict.
    :param log: logs each outcome.
    """

    def __init__(
        self,
        snapshot: Callable[[], Snapshot | None],
        dispatcher: Dispatcher,
        dialect: CallerDialect,
        target_selector: WeightedTargetSelector,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Create a proxy that accepts requests."""
        self._snapshot = snapshot
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._target_selector = target_selector
        self._metrics = metrics
        self._log = log
        self._wait_estimator = CallerWaitEstimator()
        self._active: dict[asyncio.Task[object], Call] = {}
        self._exit_s = math.inf
        self._rerouted_at_s = 0.0
        self.is_refusing = False
        self.last_request_at_s = 0.0

    def set_exit(self, exit_s: float, rerouted_at_s: float) -> None:
        """Set when this daemon exits; requests must have finished by then.

        :param exit_s: time of the exit.
        :param rerouted_at_s: when callers are routed to other hosts.
        """
        self._exit_s = exit_s
        self._rerouted_at_s = rerouted_at_s
        for call in self._active.values():
            call.limit.lower(exit_s)

    def end_all(self) -> None:
        """End all requests; callers learn whether theirs may have run.

        Responses that wait for those of earlier requests on their connection
        can be sent then.
        """
        for task in self._active:
            task.cancel(_EXIT)

    async def answer(self, request: CallerRequest) -> Answered:
        """Return the response to a caller's request.

        :param request: the request with its whole body.
        """
        self.last_request_at_s = request.arrived_at_s
        parsed = self._dialect.read(request)
        if isinstance(parsed, Refused):
            self._record_outcome(parsed, None, '', request.arrived_at_s)
            return self._dialect.render(parsed, '')
        call = self._admit(request, parsed)
        if isinstance(call, Refused):
            outcome: Outcome = call
            self._record_outcome(
                call, None, parsed.request_id, request.arrived_at_s
            )
        else:
            outcome = await self._dispatch_logging_cancellation(call)
            self._record_outcome(
                outcome, call, parsed.request_id, request.arrived_at_s
            )
        return self._dialect.render(outcome, parsed.request_id)

    def _admit(
        self, request: CallerRequest, parsed: ParsedRequest
    ) -> Call | Refused:
        if self.is_refusing:
            return Refused(Cause.LEAVING, _LEAVING_RETRY_S)
        snapshot = self._snapshot()
        if snapshot is None:
            return Refused(Cause.NO_CONFIGURATION, _NO_CONFIGURATION_RETRY_S)
        match = snapshot.match(request.method, parsed.path, parsed.host)
        if match is None:
            return Refused(Cause.NO_ROUTE)
        return self._build_call(request, parsed, match, snapshot)

    def _build_call(
        self,
        request: CallerRequest,
        parsed: ParsedRequest,
        match: Match,
        snapshot: Snapshot,
    ) -> Call:
        route, rank = match.route, match.rank
        began_at_s = request.arrived_at_s
        budget_s = route.deadline_s or rank.deadline_s
        waited_s = 0.0
        if parsed.budget_s is not None:
            budget_s = min(budget_s, parsed.budget_s)
            waited_s = self._wait_estimator.waited_s(rank.name, parsed.budget_s)
        return Call(
            request_id=RequestId(parsed.request_id or uuid4().hex),
            method=request.method,
            target=request.target,
            headers=parsed.headers,
            body=request.body,
            service=self._target_selector.select(match),
            rank=rank,
            is_idempotent=route.is_idempotent(request.method),
            deadline_s=began_at_s + budget_s,
            version=snapshot.version,
            goal_s=began_at_s + rank.target_s - waited_s,
            max_attempts=route.max_attempts,
            began_at_s=began_at_s,
            limit=FinishLimit(self._exit_s),
        )

    async def _dispatch_until_exit(self, call: Call) -> Outcome:
        """Dispatch a request, and end it when this daemon is about to exit."""
        task = asyncio.current_task()
        if task is None:
            return await self._dispatch(call)
        self._active[task] = call
        try:
            outcome = await self._dispatch(call)
        except asyncio.CancelledError as error:
            if error.args != (_EXIT,):
                raise
            task.uncancel()
            outcome = _outcome_at_exit(call)
        finally:
            self._active.pop(task)
        if isinstance(outcome, Refused) and outcome.cause in _EXIT_CAUSES:
            return self._delay_retry(outcome)
        return outcome

    def _delay_retry(self, refusal: Refused) -> Refused:
        """Return a refusal with the time until callers reach other hosts."""
        if math.isinf(self._exit_s):
            return refusal
        rerouted_in_s = self._rerouted_at_s - clock.now_s()
        return replace(
            refusal, retry_after_s=max(_LEAVING_RETRY_S, rerouted_in_s)
        )

    async def _dispatch_logging_cancellation(self, call: Call) -> Outcome:
        """Dispatch a request; log it if it is cancelled before it ends."""
        try:
            return await self._dispatch_until_exit(call)
        except asyncio.CancelledError as error:
            reason = error.args[0] if error.args else None
            self._log.emit(
                Event.ABANDONED,
                request=call.request_id,
                rank=call.rank.name,
                service=call.service.name,
                ended_by=reason.value
                if isinstance(reason, CancelReason)
                else '',
                attempts=call.attempt,
                taken_s=round(clock.now_s() - call.began_at_s, 4),
                deadline_left_s=round(call.remaining_s(clock.now_s()), 4),
            )
            raise

    async def _dispatch(self, call: Call) -> Outcome:
        self._metrics.offered.labels(call.rank.name).inc()
        return await self._dispatcher.dispatch(call)

    def _record_outcome(
        self,
        outcome: Outcome,
        call: Call | None,
        request_id: str,
        began_at_s: float,
    ) -> None:
        taken_s = clock.now_s() - began_at_s
        rank = call.rank.name if call else _NO_RANK
        verdict = outcome.verdict.value
        status, cause, retry_after_s = 0, '', 0.0
        event = _EVENTS[outcome.verdict]
        if isinstance(outcome, Answered):
            status = outcome.status
            event = Event.FAILED if outcome.has_failed else event
        else:
            cause = outcome.cause.value
        if isinstance(outcome, Refused):
            retry_after_s = round(outcome.retry_after_s, 4)
        self._metrics.count_outcome(rank, verdict, cause, taken_s)
        self._log.emit(
            event,
            request=request_id,
            rank=rank,
            service=call.service.name if call else '',
            version=call.version if call else 0,
            status=status,
            cause=cause,
            attempts=call.attempt if call else 0,
            taken_s=round(taken_s, 4),
            retry_after_s=retry_after_s,
        )


def _outcome_at_exit(call: Call) -> Outcome:
    """Return the outcome of a request that the exit of the daemon ends."""
    if call.is_dispatched or call.sends:
        return Unknown(Cause.LEAVING)
    return Refused(Cause.LEAVING)
