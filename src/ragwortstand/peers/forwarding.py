"""ragwortstand.peers.forwarding: hands requests to other daemons."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from ragwortstand.backend_servers import Load
from ragwortstand.calls import Call
from ragwortstand.exceptions import PeerError
from ragwortstand.ids import IdempotencyKey, RequestId, Version
from ragwortstand.models import Rank, Service
from ragwortstand.peers.links import Links
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
from ragwortstand.verdicts import Cause, Outcome, Refused, Unknown, Verdict
from ragwortstand.versions import Snapshot

_ANSWER_GRACE_S = 0.05
_CANCEL_TIMEOUT_S = 1.0


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

    def __init__(self, links: Links) -> None:
        """Keep the links."""
        self._links = links
        self._tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        """Use a task group for cancellations that outlive their request."""
        self._tasks = tasks

    async def forward(self, call: Call, member: Member) -> Attempt:
        """Return the outcome of a request at another daemon.

        :param call: the request.
        :param member: the daemon beside the chosen backend server.
        """
        remaining_s = call.remaining_s(anyio.current_time())
        try:
            reply = await self._links.ask(
                member.peer_address,
                _work(call, remaining_s),
                remaining_s + _ANSWER_GRACE_S,
            )
        except PeerError as error:
            return Attempt(_outcome_of_error(error, call), 0)
        except asyncio.CancelledError:
            self._cancel(call, member)
            raise
        if not isinstance(reply, WorkDone):
            return Attempt(Unknown(Cause.INTERNAL), 0)
        return Attempt(outcome_of(reply), reply.busy)

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
            await self._links.ask(member.peer_address, message, timeout_s)

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


class ForwardedWork:
    """Runs requests that other daemons forward to this one.

    :param runner: runs requests on the backend server of this host.
    :param load: returns the load of that backend server.
    :param snapshot: returns the configuration in force.
    :param is_leaving: tells whether this daemon refuses new work.
    """

    def __init__(
        self,
        runner: Runner,
        load: Callable[[float], Load],
        snapshot: Callable[[], Snapshot | None],
        is_leaving: Callable[[], bool],
    ) -> None:
        """Start without work."""
        self._runner = runner
        self._load = load
        self._snapshot = snapshot
        self._is_leaving = is_leaving
        self._scopes: dict[RequestId, anyio.CancelScope] = {}

    @property
    def in_flight(self) -> int:
        """Return how many forwarded requests are under way."""
        return len(self._scopes)

    async def run(self, work: Work) -> WorkDone:
        """Run a forwarded request and return its outcome."""
        if self._is_leaving():
            return work_done(Refused(Cause.LEAVING), 0)
        call = self._call(work)
        outcome: Outcome = Refused(Cause.CALLER_GONE)
        try:
            with anyio.CancelScope() as scope:
                self._scopes[work.request_id] = scope
                outcome = await self._runner.run(call)
        finally:
            self._scopes.pop(work.request_id, None)
        if scope.cancelled_caught and call.is_dispatched:
            outcome = Unknown(Cause.CALLER_GONE)
        load = self._load(anyio.current_time())
        return work_done(outcome, load.busy)

    def cancel(self, request: CancelWork) -> Done:
        """Cancel a request whose caller has gone."""
        scope = self._scopes.get(request.request_id)
        if scope:
            scope.cancel()
        return Done()

    def _call(self, work: Work) -> Call:
        snapshot = self._snapshot()
        rank = snapshot.rank(work.rank) if snapshot else None
        return Call(
            request_id=work.request_id,
            method=work.method,
            target=work.target,
            headers=work.headers,
            body=work.body,
            service=Service(name=work.service),
            rank=rank or Rank(name=work.rank),
            is_idempotent=work.is_idempotent,
            deadline_s=anyio.current_time() + work.remaining_s,
            version=Version(work.version),
            key=IdempotencyKey(work.key) if work.key else None,
            attempt=work.attempt,
        )


def _work(call: Call, remaining_s: float) -> Work:
    return Work(
        request_id=call.request_id,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        service=call.service.name,
        rank=call.rank.name,
        is_idempotent=call.is_idempotent,
        remaining_s=remaining_s,
        version=call.version,
        attempt=call.attempt,
        key=call.key or '',
    )


def _outcome_of_error(error: PeerError, call: Call) -> Outcome:
    if error.verdict is Verdict.NOT_RUN:
        return Refused(Cause.PEER_UNREACHABLE)
    if call.remaining_s(anyio.current_time()) <= 0:
        return Unknown(Cause.DEADLINE)
    return Unknown(Cause.PEER_UNREACHABLE)
