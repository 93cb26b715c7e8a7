"""ragwortstand.callers.dispatch: sends a request to a backend server."""

from collections.abc import Callable

import anyio

from ragwortstand import clock
from ragwortstand.backend_servers import Load
from ragwortstand.calls import Call
from ragwortstand.events import Event, EventLog
from ragwortstand.ids import HostId, ServiceName
from ragwortstand.metrics import Metrics
from ragwortstand.peers.choice import Choice
from ragwortstand.peers.forwarding import AttemptResult, Forwarder, Runner
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member
from ragwortstand.peers.retries import RetryPolicy
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
)

_NO_SERVER_RETRY_S = 1.0
# Pauses after refusals by the owner of a suspect, the later ones longer; peers
# hear of a server that is down within them.
_OWNER_PAUSES_S = (0.02, 0.04, 0.08)
_CRASH_CAUSES = frozenset((Cause.CRASHED, Cause.SUSPECT))


class Dispatcher:
    """Tries backend servers until one responds or no retry is allowed.

    :param members: the list of members.
    :param choice: selects one of the members.
    :param retries: decides on further attempts.
    :param key_owners: returns the owner of each idempotency key.
    :param runner: runs requests on the backend server of this host.
    :param load: returns the load of that backend server.
    :param forwarder: forwards requests to other daemons.
    :param metrics: counts retries.
    :param log: logs retries and requests without a candidate.
    """

    def __init__(
        self,
        members: Members,
        choice: Choice,
        retries: RetryPolicy,
        key_owners: KeyOwners,
        runner: Runner,
        load: Callable[[float], Load],
        forwarder: Forwarder,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Store the collaborators."""
        self._members = members
        self._choice = choice
        self._retries = retries
        self._key_owners = key_owners
        self._runner = runner
        self._load = load
        self._forwarder = forwarder
        self._metrics = metrics
        self._log = log

    async def dispatch(self, call: Call) -> Outcome:
        """Return the outcome of a request, after retries.

        :param call: the request.
        """
        tried: set[HostId] = set()
        last: Outcome | None = None
        while True:
            member = self._choose(call, tried)
            if member is None:
                self._log_no_candidate(call, tried)
                return last or Refused(
                    Cause.NO_BACKEND_SERVER, _NO_SERVER_RETRY_S
                )
            tried.add(member.host)
            was_sent_to_owner = call.is_suspect
            outcome = await self._attempt(call, member)
            last = _combined_outcome(last, outcome)
            is_redirect = _is_redirect(outcome)
            call.redirects += is_redirect
            if not self._retries.allows(call, outcome, clock.now_s()):
                return last
            if is_redirect and was_sent_to_owner:
                # The owner may not know yet that the one before it is down.
                await anyio.sleep(_owner_pause_s(call, clock.now_s()))
                tried.discard(member.host)
            call.attempt += 1
            if not isinstance(outcome, Answered):
                call.is_suspect |= outcome.cause in _CRASH_CAUSES
            self._log_retry(call, member, outcome)

    def _choose(self, call: Call, tried: set[HostId]) -> Member | None:
        service = ServiceName(call.service.name)
        if call.key and not call.is_idempotent:
            return self._key_owners.owner(service, call.key, tried)
        if call.is_suspect:
            return self._key_owners.owner(service, call.fingerprint, tried)
        return self._choice.choose(
            self._members.offering(service),
            call.rank,
            tried,
            clock.now_s(),
        )

    async def _attempt(self, call: Call, member: Member) -> Outcome:
        started_s = clock.now_s()
        self._choice.record_start(member.host, call.rank)
        attempt = AttemptResult(Refused(Cause.CALLER_GONE), 0)
        try:
            attempt = await self._run(call, member)
        finally:
            now_s = clock.now_s()
            self._choice.record_outcome(
                member.host,
                call.rank,
                attempt.outcome,
                attempt.busy,
                now_s - started_s,
                now_s,
            )
        self._record_size(call, attempt.outcome)
        return attempt.outcome

    def _record_size(self, call: Call, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            size_bytes = len(call.body) + len(outcome.body)
            self._choice.record_size(call.rank, size_bytes)

    async def _run(self, call: Call, member: Member) -> AttemptResult:
        if member.host != self._members.own.host:
            return await self._forwarder.forward(call, member)
        outcome = await self._runner.run(call)
        load = self._load(clock.now_s())
        return AttemptResult(outcome, load.busy)

    def _log_no_candidate(self, call: Call, tried: set[HostId]) -> None:
        service = ServiceName(call.service.name)
        self._log.emit(
            Event.NO_CANDIDATE,
            request=call.request_id,
            service=service,
            offering=[one.host for one in self._members.offering(service)],
            tried=sorted(tried),
        )

    def _log_retry(
        self,
        call: Call,
        member: Member,
        outcome: Outcome,
    ) -> None:
        after = 'failed-answer'
        if not isinstance(outcome, Answered):
            after = outcome.cause.value
        self._metrics.retries.labels(call.rank.name).inc()
        self._log.emit(
            Event.RETRIED,
            request=call.request_id,
            attempt=call.attempt,
            after=after,
            tried=member.host,
        )


def _is_redirect(outcome: Outcome) -> bool:
    """Return whether a daemon left a suspect to its owner."""
    return isinstance(outcome, Refused) and outcome.cause is Cause.SUSPECT


def _owner_pause_s(call: Call, now_s: float) -> float:
    position = min(call.redirects, len(_OWNER_PAUSES_S)) - 1
    return min(_OWNER_PAUSES_S[position], call.remaining_s(now_s))


def _combined_outcome(last: Outcome | None, outcome: Outcome) -> Outcome:
    """Return the outcome to report to the caller after another attempt.

    A response takes precedence over an outcome without one, and an unknown
    outcome over the refusal of another attempt.
    """
    if isinstance(outcome, Answered):
        return outcome
    if last is None or isinstance(last, Refused):
        return outcome
    return last
