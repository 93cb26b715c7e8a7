"""ragwortstand.backend_servers.crash_detector: which requests crash a server.

Requests in flight at a crash are counted against it, and the daemons that
could run them next are told before their callers are answered.
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

_RECENT_S = 5.0
_MAX_RECENT = 200

CrashListener: TypeAlias = Callable[
    [tuple[Fingerprint, ...]],
    Awaitable[None],
]

ClearListener: TypeAlias = Callable[[Fingerprint], Awaitable[None]]


@dataclass(slots=True)
class Flights:
    """Requests between the first byte and the answer.

    :param calls: the requests by object identity.
    :param reported: set once a crash has been told to the other daemons.
    """

    calls: dict[int, Call] = field(default_factory=dict)
    reported: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def flight(self, call: Call) -> Iterator[None]:
        """Count a request as in flight."""
        self.calls[id(call)] = call
        try:
            yield
        finally:
            self.calls.pop(id(call), None)


@dataclass(frozen=True, slots=True)
class _Loss:
    fingerprint: Fingerprint
    at_s: float


class CrashWatch:
    """Tells crashes of the backend server from lost connections.

    :param log: tells of suspects and of quarantined requests.
    """

    def __init__(self, log: EventLog) -> None:
        """Start without flights and suspicions."""
        self._log = log
        self._losses: deque[_Loss] = deque(maxlen=_MAX_RECENT)
        self.flights = Flights()
        self.record = CrashRecord()
        self.on_crash: CrashListener = _no_listener
        self.on_clear: ClearListener = _no_clear_listener

    def is_suspect(self, call: Call, now_s: float) -> bool:
        """Return whether a request was in flight at a crash.

        :param call: the request.
        :param now_s: present time.
        """
        if not self.record:
            return False
        return self.record.crashes(call.fingerprint, now_s) > 0

    async def after_loss(
        self,
        call: Call,
        flights: Flights,
        accepts_connections: Callable[[], Awaitable[bool]],
    ) -> Cause:
        """Return why the answer to a request is missing.

        :param call: the request whose connection was lost.
        :param flights: the flights that it was part of.
        :param accepts_connections: tries a new connection.
        """
        if flights is self.flights and await accepts_connections():
            now_s = anyio.current_time()
            self._losses.append(_Loss(call.fingerprint, now_s))
            return Cause.CONNECTION_LOST
        if flights is self.flights:
            self.flights = Flights()
            await self._crashed(
                other.fingerprint for other in flights.calls.values()
            )
            flights.reported.set()
        await flights.reported.wait()
        return Cause.CRASHED

    async def restarted(self, now_s: float) -> None:
        """Count recent losses as a crash, as the server is a new process.

        A server that was restarted at once accepted connections again before
        its crash could be seen.

        :param now_s: present time.
        """
        recent = {
            loss.fingerprint
            for loss in self._losses
            if now_s - loss.at_s <= _RECENT_S
        }
        self._losses.clear()
        if recent:
            await self._crashed(recent)

    async def clear(self, fingerprint: Fingerprint) -> None:
        """Forget a suspect that has completed, here and at the others."""
        self.record.clear(fingerprint)
        await self.on_clear(fingerprint)

    async def _crashed(self, suspects: Iterable[Fingerprint]) -> None:
        found = tuple(set(suspects))
        quarantined = self.record.add(found, anyio.current_time())
        self._log.emit(Event.CRASH_SUSPECTS, fingerprints=list(found))
        for fingerprint in quarantined:
            self._log.emit(Event.QUARANTINED, fingerprint=fingerprint)
        await self.on_crash(found)


async def _no_listener(suspects: tuple[Fingerprint, ...]) -> None:
    """Do nothing after a crash."""


async def _no_clear_listener(fingerprint: Fingerprint) -> None:
    """Do nothing when a suspect is cleared."""
