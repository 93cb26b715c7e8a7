"""ragwortstand.backend_servers.crash_detector: detects server crashes.

The requests in flight at a crash are suspected of having caused it. The
daemons that could run them next are notified before the callers get their
responses.
"""

from collections import deque
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterator,
)
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

import anyio

from ragwortstand.backend_servers.crash_record import (
    SUSPICION_S,
    CrashRecord,
    CrashReport,
)
from ragwortstand.calls import Call
from ragwortstand.events import Event, EventLog
from ragwortstand.ids import Fingerprint
from ragwortstand.verdicts import Cause, Refused

_RECENT_LOSS_S = 5.0
_MAX_RECENT_LOSSES = 200

CrashListener: TypeAlias = Callable[[CrashReport], Awaitable[None]]

ClearListener: TypeAlias = Callable[[Fingerprint], Awaitable[None]]


class SentRequest(NamedTuple):
    """A request as it was sent.

    :param fingerprint: the request.
    :param is_suspect: whether it was a suspect already when it was sent.
    """

    fingerprint: Fingerprint
    is_suspect: bool


@dataclass(slots=True)
class InFlightRequests:
    """Requests between their first byte sent and their response.

    :param requests: the requests by the id of their call.
    :param reported: set once the other daemons were notified of a crash.
    """

    requests: dict[int, SentRequest] = field(default_factory=dict)
    reported: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def track(self, call: Call, *, is_suspect: bool) -> Iterator[None]:
        """Count a request as in flight."""
        sent = SentRequest(call.fingerprint, is_suspect)
        self.requests[id(call)] = sent
        try:
            yield
        finally:
            self.requests.pop(id(call), None)


@dataclass(frozen=True, slots=True)
class _LostConnection:
    sent: SentRequest
    at_s: float


class CrashDetector:
    """Distinguishes crashes of the backend server from lost connections.

    :param log: receives events on suspected and quarantined requests.
    """

    def __init__(self, log: EventLog) -> None:
        """Create a detector without requests in flight and suspicions."""
        self._log = log
        self._lost_connections: deque[_LostConnection] = deque(
            maxlen=_MAX_RECENT_LOSSES
        )
        self.in_flight = InFlightRequests()
        self.record = CrashRecord()
        self.on_crash: CrashListener = _ignore_crash
        self.on_clear: ClearListener = _ignore_clear

    def is_suspect(self, call: Call, now_s: float) -> bool:
        """Return whether a request was in flight at a crash.

        :param call: the request.
        :param now_s: present time.
        """
        if not self.record:
            return False
        return self.record.crashes(call.fingerprint, now_s) > 0

    def refusal(
        self,
        call: Call,
        is_owner: Callable[[Call], bool],
        now_s: float,
    ) -> Refused | None:
        """Return the refusal of a request that must not run on this host.

        :param call: the request.
        :param is_owner: whether this host is the one that runs a suspect.
        :param now_s: present time.
        """
        if not self.record:
            return None
        if self.record.is_quarantined(call.fingerprint, now_s):
            return Refused(Cause.QUARANTINED, SUSPICION_S)
        is_keyed = call.key is not None and not call.is_idempotent
        if is_keyed or not self.is_suspect(call, now_s):
            return None
        return None if is_owner(call) else Refused(Cause.SUSPECT)

    async def cause_of_lost_connection(
        self,
        call: Call,
        in_flight: InFlightRequests,
        accepts_connections: Callable[[], Awaitable[bool]],
    ) -> Cause:
        """Return why the response to a request is missing.

        :param call: the request whose connection was lost.
        :param in_flight: the requests in flight that it belonged to.
        :param accepts_connections: tries a new connection.
        """
        sent = in_flight.requests[id(call)]
        if in_flight is self.in_flight and await accepts_connections():
            now_s = anyio.current_time()
            self._lost_connections.append(_LostConnection(sent, now_s))
            return Cause.CONNECTION_LOST
        if in_flight is self.in_flight:
            self.in_flight = InFlightRequests()
            await self._record_crash(in_flight.requests.values())
            in_flight.reported.set()
        await in_flight.reported.wait()
        return Cause.CRASHED

    async def handle_restart(self, now_s: float) -> None:
        """Count recent lost connections as a crash after a restart.

        A server that is restarted at once accepts connections again before
        its crash can be detected.

        :param now_s: present time.
        """
        recent = {
            lost.sent
            for lost in self._lost_connections
            if now_s - lost.at_s <= _RECENT_LOSS_S
        }
        self._lost_connections.clear()
        if recent:
            await self._record_crash(recent)

    async def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that has completed, on this and on other hosts."""
        self.record.clear(fingerprint)
        await self.on_clear(fingerprint)

    async def _record_crash(self, in_flight: Collection[SentRequest]) -> None:
        report = _report_of(in_flight)
        quarantined = self.record.add(report, anyio.current_time())
        self._log.emit(
            Event.CRASH_SUSPECTS,
            fingerprints=list(report.counted),
            others=list(report.others),
        )
        for fingerprint in quarantined:
            self._log.emit(Event.QUARANTINED, fingerprint=fingerprint)
        await self.on_crash(report)


def _report_of(in_flight: Collection[SentRequest]) -> CrashReport:
    """Count a crash against the suspects that ran, else against all."""
    fingerprints = {sent.fingerprint for sent in in_flight}
    suspects = {sent.fingerprint for sent in in_flight if sent.is_suspect}
    counted = suspects or fingerprints
    return CrashReport(tuple(counted), tuple(fingerprints - counted))


async def _ignore_crash(report: CrashReport) -> None:
    """Ignore a crash."""


async def _ignore_clear(fingerprint: Fingerprint) -> None:
    """Ignore that a suspect is cleared."""
