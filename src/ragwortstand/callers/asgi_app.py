"""ragwortstand.callers.asgi_app: routes callers' requests in ragwortd.

ragwortd serves this ASGI application with uvicorn. The sidecar has
`ragwortstand.callers.proxy` in place of this module.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeAlias, cast
from uuid import uuid4

import anyio

from ragwortstand.backend_servers import end_to_end
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.overload import OverloadGuard
from ragwortstand.callers.responses import render
from ragwortstand.callers.weighted_targets import WeightedTargetSelector
from ragwortstand.calls import Call
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import CallerGoneError, RequestTooLargeError
from ragwortstand.ids import NO_VERSION, IdempotencyKey, RequestId, Version
from ragwortstand.metrics import Metrics
from ragwortstand.models import MAX_DEADLINE_S, Rank
from ragwortstand.settings import LimitSettings
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Headers,
    Outcome,
    Refused,
    Unknown,
)
from ragwortstand.versions import Match, Snapshot

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]

_WATCH_AFTER_S = 0.1
_MAX_KEY_BYTES = 200
_DISCONNECT = 'http.disconnect'
_NO_RANK = 'none'
_OVERLOAD_RETRY_S = 0.5
_CONTROL_HEADERS = frozenset(
    (
        b'ragwort-attempt',
        b'ragwort-rank',
        b'ragwort-request-id',
        b'ragwort-timeout-ms',
    ),
)


@dataclass(slots=True, eq=False)
class _InFlightRequest:
    """A caller's request that this daemon is processing."""

    receive: Receive
    scope: anyio.CancelScope
    started_at_s: float
    is_watched: bool = False


class CallerApplication:
    """ASGI application that routes the requests of callers.

    :param snapshot: returns the configuration in force, None while this
        daemon is not ready.
    :param dispatcher: sends requests to backend servers.
    :param guard: sheds load while the event loop lags.
    :param limits: bounds on requests.
    :param metrics: counts requests by rank and verdict.
    :param log: logs refusals and unknown outcomes.
    """

    def __init__(
        self,
        snapshot: Callable[[], Snapshot | None],
        dispatcher: Dispatcher,
        guard: OverloadGuard,
        limits: LimitSettings,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Create an application without requests in flight."""
        self._snapshot = snapshot
        self._dispatcher = dispatcher
        self._guard = guard
        self._limits = limits
        self._metrics = metrics
        self._log = log
        self._target_selector = WeightedTargetSelector(random.Random())
        self._requests: set[_InFlightRequest] = set()
        self.is_leaving = False

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Process one HTTP request."""
        if self.is_leaving:
            await self._refuse(Refused(Cause.LEAVING), send)
            return
        request = _InFlightRequest(
            receive, anyio.CancelScope(), anyio.current_time()
        )
        self._requests.add(request)
        try:
            with request.scope:
                await self._respond(scope, receive, send)
        except CallerGoneError:
            return
        finally:
            self._requests.remove(request)

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    async def watch(self) -> None:
        """Cancel requests whose callers disconnect; runs until cancelled.

        Only requests older than a tenth of a second are watched, which saves
        short ones the cost of a separate task.
        """
        async with anyio.create_task_group() as watchers:
            while True:
                await anyio.sleep(_WATCH_AFTER_S)
                for request in self._unwatched(anyio.current_time()):
                    request.is_watched = True
                    watchers.start_soon(_cancel_on_disconnect, request)

    def _unwatched(self, now_s: float) -> list[_InFlightRequest]:
        return [
            request
            for request in self._requests
            if not request.is_watched
            and now_s - request.started_at_s > _WATCH_AFTER_S
        ]

    async def _respond(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        started_s = anyio.current_time()
        request_id = RequestId(uuid4().hex)
        snapshot = self._snapshot()
        rank = _NO_RANK
        call = await self._admit(scope, receive, snapshot, request_id)
        if isinstance(call, Call):
            rank = call.rank.name
            self._metrics.offered.labels(rank).inc()
            outcome = await self._dispatch(call)
        else:
            outcome = call
        version = snapshot.version if snapshot else NO_VERSION
        self._record_outcome(outcome, rank, request_id, version, started_s)
        await _send_response(render(outcome, request_id, version), send)

    async def _dispatch(self, call: Call) -> Outcome:
        if not self._guard.admits(call.rank.name):
            return Refused(Cause.OVERLOADED, _OVERLOAD_RETRY_S)
        try:
            return await self._dispatcher.dispatch(call)
        except Exception as error:
            self._log.emit(
                Event.TASK_FAILED, request=call.request_id, problem=repr(error)
            )
            return Unknown(Cause.INTERNAL)

    async def _admit(
        self,
        scope: Scope,
        receive: Receive,
        snapshot: Snapshot | None,
        request_id: RequestId,
    ) -> Call | Refused:
        """Return the call for a request, or its refusal."""
        refusal = self._early_refusal(snapshot)
        if refusal or snapshot is None:
            return refusal or Refused(Cause.NO_CONFIGURATION)
        headers = dict(scope['headers'])
        host = headers.get(b'host', b'').decode('latin-1').lower()
        match = snapshot.match(
            scope['method'], scope['path'], host.partition(':')[0]
        )
        if match is None:
            return Refused(Cause.NO_ROUTE)
        try:
            body = await self._read_body(headers, receive)
            call = _build_call(
                scope, headers, body, match, snapshot, request_id
            )
        except RequestTooLargeError:
            return Refused(Cause.BODY_TOO_LARGE)
        except ValueError:
            return Refused(Cause.BAD_REQUEST)
        call.service = self._target_selector.select(match)
        return call

    async def _refuse(self, refusal: Refused, send: Send) -> None:
        """Refuse a request without counting it as in flight."""
        request_id = RequestId(uuid4().hex)
        started_s = anyio.current_time()
        self._record_outcome(
            refusal, _NO_RANK, request_id, NO_VERSION, started_s
        )
        await _send_response(render(refusal, request_id, NO_VERSION), send)

    def _early_refusal(self, snapshot: Snapshot | None) -> Refused | None:
        if snapshot is None:
            return Refused(Cause.NO_CONFIGURATION)
        if len(self._requests) > self._limits.max_in_flight:
            return Refused(Cause.OVERLOADED, _OVERLOAD_RETRY_S)
        return None

    async def _read_body(
        self,
        headers: dict[bytes, bytes],
        receive: Receive,
    ) -> bytes:
        limit = self._limits.max_request_bytes
        if int(headers.get(b'content-length', b'0')) > limit:
            raise RequestTooLargeError
        body = b''
        is_complete = False
        while not is_complete:
            message = await receive()
            if message['type'] == _DISCONNECT:
                raise CallerGoneError
            body += cast(bytes, message.get('body', b''))
            if len(body) > limit:
                raise RequestTooLargeError
            is_complete = not message.get('more_body', False)
        return body

    def _record_outcome(
        self,
        outcome: Outcome,
        rank: str,
        request_id: RequestId,
        version: Version,
        started_s: float,
    ) -> None:
        taken_s = anyio.current_time() - started_s
        verdict = outcome.verdict.value
        cause = ''
        if not isinstance(outcome, Answered):
            cause = outcome.cause.value
            is_refused = isinstance(outcome, Refused)
            event = Event.REFUSED if is_refused else Event.UNKNOWN
            self._log.emit(
                event,
                request=request_id,
                rank=rank,
                cause=cause,
                version=version,
            )
        self._metrics.outcomes.labels(rank, verdict, cause).inc()
        self._metrics.latency_s.labels(rank).observe(taken_s)


def _build_call(
    scope: Scope,
    headers: dict[bytes, bytes],
    body: bytes,
    match: Match,
    snapshot: Snapshot,
    request_id: RequestId,
) -> Call:
    """Create the call for a request.

    :raises ValueError: if one of the request's headers is malformed.
    """
    rank = _effective_rank(headers, match, snapshot)
    method = scope['method']
    return Call(
        request_id=request_id,
        method=method,
        target=_request_target(scope),
        headers=_forwarded_headers(scope['headers']),
        body=body,
        service=match.service,
        rank=rank,
        is_idempotent=match.route.is_idempotent(method),
        deadline_s=anyio.current_time() + _timeout_s(headers, match, rank),
        version=snapshot.version,
        key=_idempotency_key(headers),
        max_attempts=match.route.max_attempts,
    )


def _request_target(scope: Scope) -> str:
    path: str = scope['raw_path'].decode('ascii')
    query: str = scope['query_string'].decode('ascii')
    return f'{path}?{query}' if query else path


def _forwarded_headers(headers: list[tuple[bytes, bytes]]) -> Headers:
    forwarded = tuple(
        pair for pair in headers if pair[0] not in _CONTROL_HEADERS
    )
    return end_to_end(forwarded)


def _timeout_s(
    headers: dict[bytes, bytes],
    match: Match,
    rank: Rank,
) -> float:
    text = headers.get(b'ragwort-timeout-ms')
    if text is None:
        return match.route.deadline_s or rank.deadline_s
    timeout_s = int(text) / 1000
    if timeout_s <= 0:
        raise ValueError('timeout is not positive')
    return min(timeout_s, MAX_DEADLINE_S)


def _effective_rank(
    headers: dict[bytes, bytes],
    match: Match,
    snapshot: Snapshot,
) -> Rank:
    """Return the route's rank, or a less urgent one that the caller names."""
    text = headers.get(b'ragwort-rank')
    named = snapshot.rank(text.decode('ascii')) if text else None
    if named is None:
        return match.rank
    ranks = snapshot.configuration.ranks
    return max(named, match.rank, key=ranks.index)


def _idempotency_key(headers: dict[bytes, bytes]) -> IdempotencyKey | None:
    key = headers.get(b'idempotency-key')
    if key is None:
        return None
    if not key or len(key) > _MAX_KEY_BYTES:
        raise ValueError('malformed idempotency key')
    return IdempotencyKey(key.decode('ascii'))


async def _cancel_on_disconnect(request: _InFlightRequest) -> None:
    message = await request.receive()
    if message['type'] == _DISCONNECT:
        request.scope.cancel()


async def _send_response(answered: Answered, send: Send) -> None:
    size = (b'content-length', b'%d' % len(answered.body))
    await send(
        {
            'type': 'http.response.start',
            'status': answered.status,
            'headers': [*answered.headers, size],
        },
    )
    await send({'type': 'http.response.body', 'body': answered.body})
