"""ragwortstand.backend_servers.crash_detector: detects server crashes.

The requests in flight at a crash are suspected of having caused it. The
daemons that could run them next are notified before the callers get their
responses.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TypeAlias

import anyio

from ragwortstand.backend_servers.crash_record import CrashRecord
from ragwortstand.calls import Call
from ragwortstand.events import Event, EventLog
from ragwortstand.ids import Fingerprint
from ragwortstand.verdicts import Cause

_RECENT_LOSS_S = 5.0
_MAX_RECENT_LOSSES = 200

CrashListener: TypeAlias = Callable[
    [tuple[Fingerprint, ...]],
    Awaitable[None],
]

ClearListener: TypeAlias = Callable[[Fingerprint], Awaitable[None]]


@dataclass(slots=True)
class InFlightRequests:
    """Requests between their first byte sent and their response.

    :param calls: the requests by the id of their object.
    :param reported: set once the other daemons were notified of a crash.
    """

    calls: dict[int, Call] = field(default_factory=dict)
    reported: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def track(self, call: Call) -> Iterator[None]:
        """Count a request as in flight."""
        self.calls[id(call)] = call
        try:
            yield
        finally:
            self.calls.pop(id(call), None)


@dataclass(frozen=True, slots=True)
class _LostConnection:
    fingerprint: Fingerprint
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
        if in_flight is self.in_flight and await accepts_connections():
            now_s = anyio.current_time()
            self._lost_connections.append(
                _LostConnection(call.fingerprint, now_s)
            )
            return Cause.CONNECTION_LOST
        if in_flight is self.in_flight:
            self.in_flight = InFlightRequests()
            await self._record_crash(
                other.fingerprint for other in in_flight.calls.values()
            )
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
            lost.fingerprint
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

    async def _record_crash(self, suspects: Iterable[Fingerprint]) -> None:
        fingerprints = tuple(set(suspects))
        quarantined = self.record.add(fingerprints, anyio.current_time())
        self._log.emit(Event.CRASH_SUSPECTS, fingerprints=list(fingerprints))
        for fingerprint in quarantined:
            self._log.emit(Event.QUARANTINED, fingerprint=fingerprint)
        await self.on_crash(fingerprints)


async def _ignore_crash(suspects: tuple[Fingerprint, ...]) -> None:
    """Ignore a crash."""


async def _ignore_clear(fingerprint: Fingerprint) -> None:
    """Ignore that a suspect is cleared."""
