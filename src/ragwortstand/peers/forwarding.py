"""ragwortstand.peers.forwarding: forwards requests to other daemons."""

import asyncio
import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint_if_cancelled

from ragwortstand import clock
from ragwortstand.backend_servers import Load
from ragwortstand.calls import Call, FinishLimit
from ragwortstand.events import Event, EventLog, NullLog
from ragwortstand.exceptions import PeerError, PeerGoneError
from ragwortstand.ids import (
    IdempotencyKey,
    PeerAddress,
    RequestId,
    Version,
)
from ragwortstand.models import Rank, Service
from ragwortstand.peers.messages import (
    CancelWork,
    CrashCounts,
    CrashSuspects,
    Done,
    LimitWork,
    Member,
    SuspectCleared,
    Work,
    WorkDone,
    outcome_of,
    work_done,
)
from ragwortstand.peers.protocols import PeerLinks
from ragwortstand.verdicts import Cause, Outcome, Refused, Unknown, Verdict
from ragwortstand.versions import Snapshot

_REPLY_GRACE_S = 0.05
_CANCEL_TIMEOUT_S = 1.0
_LIMIT_TIMEOUT_S = 0.5
# Maximum number of resends of work, each over a new link, if another backend
# server may be tried: after these, another server is faster. Work that may not
# be tried elsewhere is resent until its deadline.
_MAX_RESENDS = 2
# Minimum time from one send to the next when a link could not be opened.
_RESEND_INTERVAL_S = 0.1
# With less time left than this, a new link and a reply are not possible.
_MIN_RESEND_S = 0.02
# Time for which work continues without a link, so that its sender can resend it
# over a new one. Shorter than the half second in which work must end after its
# caller has disconnected.
_REATTACH_TIMEOUT_S = 0.4
# Outcomes are kept this long after the end of a run; those of non-idempotent
# work at least until its deadline, because its sender may resend it until then.
_OUTCOME_RETENTION_S = 5.0
# Limit of the bodies in kept outcomes of idempotent work. Of the oldest ones
# that exceed it a resent copy runs again. Small against the 200 MB of the
# smallest hosts, and two seconds of responses over a link of 70 Mbit/s.
_MAX_KEPT_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of one attempt and the load that was reported with it.

    :param outcome: outcome of the attempt.
    :param busy: slots in use and requests queued, per slot.
    """

    outcome: Outcome
    busy: float


@dataclass(frozen=True, slots=True, eq=False)
class _Forwarded:
    """A request that waits for the outcome from another daemon."""

    call: Call
    member: Member


class Forwarder:
    """Sends requests to the daemon on the host of the chosen backend server.

    :param links: links to the other daemons.
    """

    def __init__(self, links: PeerLinks) -> None:
        """Create a forwarder that uses some links."""
        self._links = links
        self._tasks: TaskGroup | None = None
        self._forwarded: set[_Forwarded] = set()

    def start(self, tasks: TaskGroup) -> None:
        """Set the task group for cancellations, which outlive their request."""
        self._tasks = tasks

    async def forward(self, call: Call, member: Member) -> AttemptResult:
        """Forward a request to another daemon and return its outcome.

        Work whose link was lost is resent to the same process, which
        recognises it by its id and does not run it twice.

        :param call: the request.
        :param member: the daemon on the host of the chosen backend server.
        """
        forwarded = _Forwarded(call, member)
        self._forwarded.add(forwarded)
        call.is_dispatched = True
        try:
            attempt = await self._forward(call, member)
        except asyncio.CancelledError:
            self._cancel(call, member)
            raise
        finally:
            self._forwarded.remove(forwarded)
        call.is_dispatched = not isinstance(attempt.outcome, Refused)
        return attempt

    def limit(self, now_s: float) -> None:
        """Send the time of this daemon's exit to those that run its requests.

        They refuse what still waits there and would not finish in time.

        :param now_s: present time.
        """
        by_address: dict[PeerAddress, list[_Forwarded]] = {}
        for forwarded in self._forwarded:
            address = forwarded.member.peer_address
            by_address.setdefault(address, []).append(forwarded)
        for sent in by_address.values():
            finish_by_s = min(one.call.limit.finish_by_s for one in sent)
            message = LimitWork(
                tuple(one.call.request_id for one in sent),
                max(0.0, finish_by_s - now_s),
            )
            if self._tasks:
                self._tasks.start_soon(
                    self.notify, sent[0].member, message, _LIMIT_TIMEOUT_S
                )

    async def notify(
        self,
        member: Member,
        message: CancelWork
        | CrashCounts
        | CrashSuspects
        | LimitWork
        | SuspectCleared,
        timeout_s: float,
    ) -> bool:
        """Send a message; return whether the daemon has received it.

        :param member: the daemon to notify.
        :param message: the message.
        :param timeout_s: time to wait for the reply.
        """
        try:
            await self._links.send_request(
                member.peer_address, message, timeout_s
            )
        except PeerError:
            return False
        return True

    async def _forward(self, call: Call, member: Member) -> AttemptResult:
        resends = 0
        while True:
            now_s = clock.now_s()
            work = _work_message(call, member.boot, bool(resends), now_s)
            try:
                reply = await self._links.send_request(
                    member.peer_address,
                    work,
                    work.remaining_s + _REPLY_GRACE_S,
                )
            except PeerError as error:
                if not _may_resend(error, call, member, resends):
                    return AttemptResult(
                        _outcome_of_error(error, call, resends), 0
                    )
                resends += 1
                if error.verdict is Verdict.NOT_RUN:
                    next_at_s = now_s + _RESEND_INTERVAL_S
                    await anyio.sleep(max(0.0, next_at_s - clock.now_s()))
                continue
            if not isinstance(reply, WorkDone):
                return AttemptResult(Unknown(Cause.INTERNAL), 0)
            return AttemptResult(outcome_of(reply), reply.busy)

    def _cancel(self, call: Call, member: Member) -> None:
        if self._tasks:
            self._tasks.start_soon(self._send_cancel, call, member)

    async def _send_cancel(self, call: Call, member: Member) -> None:
        cancel = CancelWork(call.request_id)
        await self.notify(member, cancel, _CANCEL_TIMEOUT_S)


class Runner(Protocol):
    """Runs requests on the backend server of this host."""

    async def run(self, call: Call) -> Outcome:
        """Return the outcome of a request."""


@dataclass(slots=True, eq=False)
class _Run:
    """One run of forwarded work, shared by resent copies of the work."""

    result: 'asyncio.Task[WorkDone]'
    call: Call
    waiters: int = 0
    is_orphaned: bool = False
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class _KeptBody(NamedTuple):
    """Size of the body in a kept outcome."""

    request_id: RequestId
    attempt: int
    size_bytes: int

    def is_of(self, request_id: RequestId, attempt: int) -> bool:
        return self[:2] == (request_id, attempt)


class ForwardedWork:
    """Runs requests that other daemons forward to this one.

    :param runner: runs requests on the backend server of this host.
    :param load: returns the load of that backend server.
    :param snapshot: returns the configuration in force.
    :param is_leaving: returns whether this daemon refuses new work.
    :param boot: random number of this process.
    :param log: event log for failures of the runner.
    :ivar on_limit: called with the present time when requests must have
        finished earlier than before.
    """

    def __init__(
        self,
        runner: Runner,
        load: Callable[[float], Load],
        snapshot: Callable[[], Snapshot | None],
        is_leaving: Callable[[], bool],
        boot: int = 0,
        log: EventLog | None = None,
    ) -> None:
        """Create an object without any runs."""
        self._runner = runner
        self._load = load
        self._snapshot = snapshot
        self._is_leaving = is_leaving
        self._boot = boot
        self._log = log or NullLog()
        # Keyed by request, then by attempt.
        self._runs: dict[RequestId, dict[int, _Run]] = {}
        # Heap of ended runs, ordered by the time until which they are kept.
        self._ended: list[tuple[float, RequestId, int]] = []
        # Ended runs of idempotent work with a body, the oldest first.
        self._kept_bodies: deque[_KeptBody] = deque()
        self._kept_bytes = 0
        self._in_flight = 0
        self.on_limit: Callable[[float], None] = _do_nothing

    @property
    def in_flight(self) -> int:
        """Return the number of forwarded requests that are running."""
        return self._in_flight

    async def run(self, work: Work) -> WorkDone:
        """Run a forwarded request, or join its run, and return the outcome."""
        run = self._runs.get(work.request_id, {}).get(work.attempt)
        if run is None:
            if work.is_resent and work.boot != self._boot:
                return work_done(Unknown(Cause.PEER_UNREACHABLE), 0)
            if self._is_leaving():
                return work_done(Refused(Cause.LEAVING), 0)
            run = self._start_run(work)
        run.waiters += 1
        try:
            return await asyncio.shield(run.result)
        finally:
            run.waiters -= 1
            _cancel_later_if_orphaned(run)

    def cancel(self, request: CancelWork) -> Done:
        """Cancel a request whose caller has disconnected."""
        for run in self._runs.get(request.request_id, {}).values():
            run.scope.cancel()
        return Done()

    def limit(self, request: LimitWork) -> Done:
        """Refuse waiting requests that would outlast their caller's daemon."""
        now_s = clock.now_s()
        for request_id in request.request_ids:
            for run in self._runs.get(request_id, {}).values():
                run.call.limit.lower(now_s + request.finish_in_s)
        self.on_limit(now_s)
        return Done()

    def _start_run(self, work: Work) -> _Run:
        self._drop_expired_outcomes(clock.now_s())
        call = self._call_from(work)
        scope = anyio.CancelScope()
        task = asyncio.get_running_loop().create_task(
            self._execute(call, scope)
        )
        run = _Run(task, call, scope=scope)
        self._in_flight += 1
        task.add_done_callback(lambda _: self._on_run_ended(call, run))
        self._runs.setdefault(work.request_id, {})[work.attempt] = run
        return run

    def _on_run_ended(self, call: Call, run: '_Run') -> None:
        self._in_flight -= 1
        kept_until_s = clock.now_s() + _OUTCOME_RETENTION_S
        if not call.is_idempotent:
            kept_until_s = max(kept_until_s, call.deadline_s + _REPLY_GRACE_S)
        heapq.heappush(
            self._ended, (kept_until_s, call.request_id, call.attempt)
        )
        has_result = not run.result.cancelled() and not run.result.exception()
        if call.is_idempotent and has_result:
            size_bytes = len(run.result.result().body)
            body = _KeptBody(call.request_id, call.attempt, size_bytes)
            self._kept_bodies.append(body)
            self._kept_bytes += size_bytes
            self._limit_kept_bytes()

    def _limit_kept_bytes(self) -> None:
        """Drop the oldest outcomes of idempotent work beyond the limit."""
        while self._kept_bytes > _MAX_KEPT_BYTES:
            body = self._kept_bodies.popleft()
            self._kept_bytes -= body.size_bytes
            self._forget(body.request_id, body.attempt)

    def _forget(self, request_id: RequestId, attempt: int) -> None:
        """Forget an ended run; a later one of the same work may be active."""
        runs = self._runs.get(request_id, {})
        run = runs.get(attempt)
        if run and run.result.done():
            runs.pop(attempt)
        if not runs:
            self._runs.pop(request_id, None)

    async def _execute(
        self,
        call: Call,
        scope: anyio.CancelScope,
    ) -> WorkDone:
        outcome: Outcome = Refused(Cause.CALLER_GONE)
        try:
            with scope:
                # Delayed work may arrive together with its cancellation; it
                # must not reach the backend server then.
                await checkpoint_if_cancelled()
                if call.remaining_s(clock.now_s()):
                    outcome = await self._runner.run(call)
                else:
                    outcome = Refused(Cause.DEADLINE)
        except Exception as error:
            outcome = Unknown(Cause.INTERNAL)
            self._log.emit(
                Event.TASK_FAILED,
                task='forwarded work',
                request=call.request_id,
                problem=repr(error),
            )
        if scope.cancelled_caught:
            outcome = self._outcome_of_cancelled(call)
        return work_done(outcome, self._load(clock.now_s()).busy)

    def _outcome_of_cancelled(self, call: Call) -> Outcome:
        """Return the outcome for a sender that resends cancelled work."""
        run = self._runs.get(call.request_id, {}).get(call.attempt)
        is_orphaned = run is not None and run.is_orphaned
        cause = Cause.PEER_UNREACHABLE if is_orphaned else Cause.CALLER_GONE
        return Unknown(cause) if call.is_dispatched else Refused(cause)

    def _drop_expired_outcomes(self, now_s: float) -> None:
        """Drop outcomes whose senders no longer resend the work."""
        while self._ended and now_s > self._ended[0][0]:
            _, request_id, attempt = heapq.heappop(self._ended)
            self._forget(request_id, attempt)
            self._forget_body(request_id, attempt)

    def _forget_body(self, request_id: RequestId, attempt: int) -> None:
        """Stop counting a body; idempotent work is dropped in its order."""
        bodies = self._kept_bodies
        if bodies and bodies[0].is_of(request_id, attempt):
            self._kept_bytes -= bodies.popleft().size_bytes

    def _call_from(self, work: Work) -> Call:
        snapshot = self._snapshot()
        rank = snapshot.rank(work.rank) if snapshot else None
        service = snapshot.services.get(work.service) if snapshot else None
        now_s = clock.now_s()
        return Call(
            request_id=work.request_id,
            method=work.method,
            target=work.target,
            headers=work.headers,
            body=work.body,
            service=service or Service(name=work.service),
            rank=rank or Rank(name=work.rank),
            is_idempotent=work.is_idempotent,
            deadline_s=now_s + work.remaining_s,
            version=Version(work.version),
            goal_s=None if work.goal_s is None else now_s + work.goal_s,
            key=IdempotencyKey(work.key) if work.key else None,
            attempt=work.attempt,
            limit=_limit_of(work, now_s),
        )


def _limit_of(work: Work, now_s: float) -> FinishLimit:
    if work.finish_in_s is None:
        return FinishLimit()
    return FinishLimit(now_s + work.finish_in_s)


def _cancel_later_if_orphaned(run: _Run) -> None:
    if not run.waiters and not run.result.done():
        loop = asyncio.get_running_loop()
        loop.call_later(_REATTACH_TIMEOUT_S, _cancel_if_orphaned, run)


def _cancel_if_orphaned(run: _Run) -> None:
    """Cancel work that was not resent in time after its link was lost.

    Dispatched work that may not be repeated continues.
    """
    may_end = run.call.is_idempotent or not run.call.is_dispatched
    if may_end and not run.waiters:
        run.is_orphaned = True
        run.scope.cancel()


def _work_message(call: Call, boot: int, is_resent: bool, now_s: float) -> Work:
    finish_in_s = call.limit.finish_by_s - now_s
    return Work(
        request_id=call.request_id,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        service=call.service.name,
        rank=call.rank.name,
        is_idempotent=call.is_idempotent,
        remaining_s=call.remaining_s(now_s),
        version=call.version,
        attempt=call.attempt,
        key=call.key or '',
        goal_s=None if call.goal_s is None else call.goal_s - now_s,
        boot=boot,
        is_resent=is_resent,
        sent_at_s=clock.boot_time_s(),
        finish_in_s=None if math.isinf(finish_in_s) else max(0.0, finish_in_s),
    )


def _may_resend(
    error: PeerError,
    call: Call,
    member: Member,
    resends: int,
) -> bool:
    """Return whether to resend work to the same daemon.

    The work may be running at the daemon that it was sent to. That daemon
    recognises it by its id as long as the process is the same.
    """
    may_have_arrived = resends or error.verdict is not Verdict.NOT_RUN
    if not may_have_arrived or not member.boot:
        return False
    if isinstance(error, PeerGoneError):
        return False
    if _may_try_another_server(call) and resends >= _MAX_RESENDS:
        return False
    return call.remaining_s(clock.now_s()) > _MIN_RESEND_S


def _may_try_another_server(call: Call) -> bool:
    is_last = call.max_attempts is not None and (
        call.sends + 1 >= call.max_attempts
    )
    return call.is_idempotent and not is_last


def _outcome_of_error(error: PeerError, call: Call, resends: int) -> Outcome:
    if error.verdict is Verdict.NOT_RUN and not resends:
        return Refused(Cause.PEER_UNREACHABLE)
    if call.remaining_s(clock.now_s()) <= _MIN_RESEND_S:
        return Unknown(Cause.DEADLINE)
    return Unknown(Cause.PEER_UNREACHABLE)


def _do_nothing(now_s: float) -> None:
    """Let requests that wait keep their places."""
