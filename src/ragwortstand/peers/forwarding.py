"""ragwortstand.peers.forwarding: hands requests to other daemons."""

import asyncio
import contextlib
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint_if_cancelled

from ragwortstand import clock
from ragwortstand.backend_servers import Load
from ragwortstand.calls import Call
from ragwortstand.events import Event, EventLog, NullLog
from ragwortstand.exceptions import PeerError, PeerGoneError
from ragwortstand.ids import IdempotencyKey, RequestId, Version
from ragwortstand.models import Rank, Service
from ragwortstand.peers.messages import (
    CancelWork,
    CrashSuspects,
    Done,
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

_ANSWER_GRACE_S = 0.05
_CANCEL_TIMEOUT_S = 1.0
# Copies of work beyond the first, each over a link of its own, where another
# backend server may be tried and is the quicker way then. Work that has no
# other way to an answer is asked for until its deadline.
_MAX_RESENDS = 2
# Time from one copy to the next when a link could not be opened.
_RESEND_INTERVAL_S = 0.1
# Less time than this is not enough for a new link and an answer.
_MIN_RESEND_S = 0.02
# How long work goes on without a link, so that its sender can ask again. Below
# the half second in which work must end after its caller has gone.
_REATTACH_S = 0.4
# Outcomes are kept this long, and until the deadline of work that its sender
# may ask for until then.
_KEEP_OUTCOME_S = 5.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """Outcome of one attempt and the load that came with it.

    :param outcome: what became of the attempt.
    :param busy: slots in use and requests queued, per slot.
    """

    outcome: Outcome
    busy: float


class Forwarder:
    """Sends requests to the daemon beside the chosen backend server.

    :param links: links to the other daemons.
    """

    def __init__(self, links: PeerLinks) -> None:
        """Keep the links."""
        self._links = links
        self._tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        """Use a task group for cancellations that outlive their request."""
        self._tasks = tasks

    async def forward(self, call: Call, member: Member) -> Attempt:
        """Return the outcome of a request at another daemon.

        Work whose link was lost is sent again to the same process, which
        knows it by its id and does not run it twice.

        :param call: the request.
        :param member: the daemon beside the chosen backend server.
        """
        try:
            return await self._forward(call, member)
        except asyncio.CancelledError:
            self._cancel(call, member)
            raise

    async def tell(
        self,
        member: Member,
        message: CancelWork | CrashSuspects | SuspectCleared,
        timeout_s: float,
    ) -> None:
        """Send a message whose loss does no harm.

        :param member: the daemon to tell.
        :param message: the message.
        :param timeout_s: time to wait for the receipt.
        """
        with contextlib.suppress(PeerError):
            await self._links.send_request(
                member.peer_address, message, timeout_s
            )

    async def _forward(self, call: Call, member: Member) -> Attempt:
        resends = 0
        while True:
            now_s = clock.now_s()
            work = _work(call, member.boot, bool(resends), now_s)
            try:
                reply = await self._links.send_request(
                    member.peer_address,
                    work,
                    work.remaining_s + _ANSWER_GRACE_S,
                )
            except PeerError as error:
                if not _may_resend(error, call, member, resends):
                    return Attempt(_outcome_of_error(error, call, resends), 0)
                resends += 1
                if error.verdict is Verdict.NOT_RUN:
                    next_at_s = now_s + _RESEND_INTERVAL_S
                    await anyio.sleep(max(0.0, next_at_s - clock.now_s()))
                continue
            if not isinstance(reply, WorkDone):
                return Attempt(Unknown(Cause.INTERNAL), 0)
            return Attempt(outcome_of(reply), reply.busy)

    def _cancel(self, call: Call, member: Member) -> None:
        if self._tasks:
            self._tasks.start_soon(self._send_cancel, call, member)

    async def _send_cancel(self, call: Call, member: Member) -> None:
        cancel = CancelWork(call.request_id)
        await self.tell(member, cancel, _CANCEL_TIMEOUT_S)


class Runner(Protocol):
    """Runs requests on the backend server of this host."""

    async def run(self, call: Call) -> Outcome:
        """Return the outcome of a request."""


@dataclass(slots=True, eq=False)
class _Run:
    """Forwarded work; later copies of the same work share it."""

    result: 'asyncio.Task[WorkDone]'
    call: Call
    waiters: int = 0
    is_orphaned: bool = False
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class ForwardedWork:
    """Runs requests that other daemons forward to this one.

    :param runner: runs requests on the backend server of this host.
    :param load: returns the load of that backend server.
    :param snapshot: returns the configuration in force.
    :param is_leaving: tells whether this daemon refuses new work.
    :param boot: random number of this process.
    :param log: tells of failures of the runner.
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
        """Start without work."""
        self._runner = runner
        self._load = load
        self._snapshot = snapshot
        self._is_leaving = is_leaving
        self._boot = boot
        self._log = log or NullLog()
        # By request, then by attempt.
        self._runs: dict[RequestId, dict[int, _Run]] = {}
        # Runs that have ended, by the time until which they are kept.
        self._ended: list[tuple[float, RequestId, int]] = []
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return how many forwarded requests are under way."""
        return self._in_flight

    async def run(self, work: Work) -> WorkDone:
        """Run a forwarded request and return its outcome."""
        run = self._runs.get(work.request_id, {}).get(work.attempt)
        if run is None:
            if work.is_resent and work.boot != self._boot:
                return work_done(Unknown(Cause.PEER_UNREACHABLE), 0)
            if self._is_leaving():
                return work_done(Refused(Cause.LEAVING), 0)
            run = self._begin(work)
        run.waiters += 1
        try:
            return await asyncio.shield(run.result)
        finally:
            run.waiters -= 1
            _cancel_later_if_orphaned(run)

    def cancel(self, request: CancelWork) -> Done:
        """Cancel a request whose caller has gone."""
        for run in self._runs.get(request.request_id, {}).values():
            run.scope.cancel()
        return Done()

    def _begin(self, work: Work) -> _Run:
        self._forget(clock.now_s())
        call = self._call(work)
        scope = anyio.CancelScope()
        task = asyncio.get_running_loop().create_task(
            self._execute(call, scope)
        )
        run = _Run(task, call, scope=scope)
        self._in_flight += 1
        task.add_done_callback(lambda _: self._end(call))
        self._runs.setdefault(work.request_id, {})[work.attempt] = run
        return run

    def _end(self, call: Call) -> None:
        self._in_flight -= 1
        kept_until_s = clock.now_s() + _KEEP_OUTCOME_S
        if not call.is_idempotent:
            kept_until_s = max(kept_until_s, call.deadline_s + _ANSWER_GRACE_S)
        heapq.heappush(
            self._ended, (kept_until_s, call.request_id, call.attempt)
        )

    async def _execute(
        self,
        call: Call,
        scope: anyio.CancelScope,
    ) -> WorkDone:
        outcome: Outcome = Refused(Cause.CALLER_GONE)
        try:
            with scope:
                # Work that was held up on its way may come together with its
                # cancellation; it must not reach the backend server then.
                await checkpoint_if_cancelled()
                outcome = await self._runner.run(call)
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
        """Return what a sender is told that asks after all."""
        run = self._runs.get(call.request_id, {}).get(call.attempt)
        is_orphaned = run is not None and run.is_orphaned
        cause = Cause.PEER_UNREACHABLE if is_orphaned else Cause.CALLER_GONE
        return Unknown(cause) if call.is_dispatched else Refused(cause)

    def _forget(self, now_s: float) -> None:
        """Drop old outcomes; nobody asks for them any more."""
        while self._ended and now_s > self._ended[0][0]:
            _, request_id, attempt = heapq.heappop(self._ended)
            runs = self._runs[request_id]
            runs.pop(attempt)
            if not runs:
                self._runs.pop(request_id)

    def _call(self, work: Work) -> Call:
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
        )


def _cancel_later_if_orphaned(run: _Run) -> None:
    if not run.waiters and not run.result.done():
        loop = asyncio.get_running_loop()
        loop.call_later(_REATTACH_S, _abandon, run)


def _abandon(run: _Run) -> None:
    """Cancel work that nobody has asked for again in time.

    What has begun and may not be repeated goes on.
    """
    may_end = run.call.is_idempotent or not run.call.is_dispatched
    if may_end and not run.waiters:
        run.is_orphaned = True
        run.scope.cancel()


def _work(call: Call, boot: int, is_resent: bool, now_s: float) -> Work:
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
    )


def _may_resend(
    error: PeerError,
    call: Call,
    member: Member,
    resends: int,
) -> bool:
    """Return whether work is asked for once more.

    It may run at the daemon that it was handed to. That daemon knows it by
    its id as long as the process is the same.
    """
    was_handed_over = resends or error.verdict is not Verdict.NOT_RUN
    if not was_handed_over or not member.boot:
        return False
    if isinstance(error, PeerGoneError):
        return False
    if _may_go_elsewhere(call) and resends >= _MAX_RESENDS:
        return False
    return call.remaining_s(clock.now_s()) > _MIN_RESEND_S


def _may_go_elsewhere(call: Call) -> bool:
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
