"""ragwortstand.backend_servers.server: the backend server beside a daemon."""

import enum
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio
import msgspec
from msgspec.structs import replace

from ragwortstand import clock
from ragwortstand.backend_servers.admission import (
    Admission,
    FifoAdmission,
    Load,
    ShareAdmission,
    Ticket,
)
from ragwortstand.backend_servers.clients import HttptoolsConnection
from ragwortstand.backend_servers.connections import (
    Connect,
    ConnectionPool,
    Endpoint,
    HttpConnection,
)
from ragwortstand.backend_servers.crash_watch import CrashWatch, Flights
from ragwortstand.backend_servers.crashes import SUSPICION_S
from ragwortstand.backend_servers.dialect import (
    BackendDialect,
    RagwortDialect,
)
from ragwortstand.calls import Call
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import (
    AnswerTooLargeError,
    BackendServerError,
)
from ragwortstand.ids import ServiceName
from ragwortstand.settings import DaemonSettings
from ragwortstand.verdicts import (
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)
from ragwortstand.versions import Snapshot

_SECOND_PROBE_S = 0.05
# The answer of a backend server that is not the one that was meant.
_ANOTHER_SERVER = Refused(Cause.NO_BACKEND_SERVER)


class BackendState(enum.Enum):
    """What is known of the backend server beside this daemon."""

    ABSENT = 'absent'
    READY = 'ready'
    DRAINING = 'draining'
    DOWN = 'down'


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a backend server says of itself, about once a second.

    :param instance: changes with each start of the backend server.
    :param service: the service that it offers.
    :param address: IP number it listens on.
    :param port: TCP port it listens on.
    :param slots: requests that it runs at once.
    :param connections: connections that it accepts.
    :param is_draining: whether it wants no more work.
    :param boot: grows with each start; 0 where it is not told.
    :param sequence: grows with each announcement of one boot.
    :param cold_s: how much longer it is slow after its start.
    """

    instance: str
    service: ServiceName
    address: str
    port: int
    slots: int
    connections: int
    is_draining: bool = False
    boot: int = 0
    sequence: int = 0
    cold_s: float = 0.0


ClaimStep: TypeAlias = Callable[[], Awaitable[Outcome | None]]


class BackendServer:
    """Runs requests on the backend server beside this daemon.

    :param settings: the daemon's settings.
    :param log: where events go.
    :param dialect: headers of requests and the meaning of answers.
    :param admission: who gets the slots; None takes the settings' policy.
    :param connect: opens connections to the backend server.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        log: EventLog,
        dialect: BackendDialect | None = None,
        admission: Admission | None = None,
        connect: Connect = HttptoolsConnection.connect,
    ) -> None:
        """Start without a backend server."""
        self._settings = settings.backend_server
        self._max_answer_bytes = settings.limits.max_answer_bytes
        self._log = log
        self._connect = connect
        self._dialect = dialect or RagwortDialect()
        self._admission = admission or _admission_for(settings)
        self._departed: set[tuple[str, int]] = set()
        self.last_departed: tuple[str, int] | None = None
        self._pool: ConnectionPool | None = None
        self._suspect_turn = anyio.Lock()
        self._announced_at_s = 0.0
        self._cold_start_s: dict[str, float] = {}
        self.announcement: Announcement | None = None
        self.state = BackendState.ABSENT
        self.crashes = CrashWatch(log)
        self.is_home: Callable[[Call], bool] = _always
        self.on_change: Callable[[], None] = _nothing

    @property
    def service(self) -> ServiceName | None:
        """Return the service that the backend server offers."""
        return self.announcement.service if self.announcement else None

    @property
    def in_flight(self) -> int:
        """Return how many requests run on the backend server."""
        return len(self.crashes.flights.calls)

    def load(self, now_s: float) -> Load:
        """Return how busy the backend server is."""
        return self._admission.load(now_s)

    def configure(self, snapshot: Snapshot) -> None:
        """Take over ranks and services of a new configuration."""
        self._admission.configure(snapshot.mesh.ranks)
        self._cold_start_s = {
            service.name: service.cold_start_s
            for service in snapshot.mesh.services
        }

    async def announce(
        self,
        announcement: Announcement,
        now_s: float,
    ) -> None:
        """Take in what the backend server says of itself.

        :param announcement: its words.
        :param now_s: present time.
        """
        known = self.announcement
        if self._is_outdated(announcement):
            self._log.emit(
                Event.BACKEND_SERVER,
                state='outdated-announcement',
                instance=announcement.instance,
                boot=announcement.boot,
                sequence=announcement.sequence,
            )
            return
        self._announced_at_s = now_s
        if known is None or _identity(known) != _identity(announcement):
            await self.crashes.restarted(now_s)
            self._restart(announcement, now_s)
        elif self.state is BackendState.DOWN:
            self._admission.open(announcement.slots, 0, now_s)
        elif known.is_draining and announcement.boot:
            # A boot that is leaving does not come back.
            announcement = replace(announcement, is_draining=True)
        self.announcement = announcement
        if announcement.is_draining and announcement.boot:
            self._note_departed(_identity(announcement))
        self._set_state(
            BackendState.DRAINING
            if announcement.is_draining
            else BackendState.READY
        )

    def depart(self, instance: str, boot: int) -> None:
        """Take in that a backend server is leaving and says no more.

        :param instance: the backend server.
        :param boot: its start; 0 where it is not told.
        """
        known = self.announcement
        self._note_departed((instance, boot))
        if known is None or known.instance != instance:
            return
        if boot in {0, known.boot}:
            self._note_departed(_identity(known))
            self.announcement = replace(known, is_draining=True)
            self._set_state(BackendState.DRAINING)

    def expire(self, now_s: float) -> None:
        """Count the backend server as down when its announcements stop.

        :param now_s: present time.
        """
        silent_s = now_s - self._announced_at_s
        is_silent = silent_s > self._settings.announce_timeout_s
        if is_silent and self.state is BackendState.READY:
            self._set_state(BackendState.DOWN)

    async def run(self, call: Call, claim: ClaimStep | None = None) -> Outcome:
        """Run a request here, by rank and within its deadline.

        :param call: the request.
        :param claim: awaited once the request has a slot; an outcome that it
            returns takes the place of the run.
        :returns: its outcome; a refusal means that it did not run.
        """
        refusal = self._refusal(call)
        if refusal:
            return refusal
        call.is_dispatched = False
        with anyio.CancelScope(deadline=call.deadline_s):
            return await self._queue(call, claim or _no_claim)
        if call.is_dispatched:
            self._drop_idle_connections()
            return Unknown(Cause.DEADLINE)
        return Refused(Cause.DEADLINE)

    @property
    def _instance(self) -> str:
        return self.announcement.instance if self.announcement else ''

    def _note_departed(self, identity: tuple[str, int]) -> None:
        self._departed.add(identity)
        self.last_departed = identity

    def _is_outdated(self, announcement: Announcement) -> bool:
        """Return whether something newer is known of the address."""
        if _identity(announcement) in self._departed:
            return True
        known = self.announcement
        if known is None:
            return False
        order = (announcement.boot, announcement.sequence)
        return order < (known.boot, known.sequence)

    def _drop_idle_connections(self) -> None:
        """Close idle connections, which may have gone silent like one."""
        if self._pool:
            self._pool.close()

    def _refusal(self, call: Call) -> Refused | None:
        if self.state is BackendState.DRAINING:
            return Refused(Cause.LEAVING)
        if self.state is not BackendState.READY:
            return Refused(Cause.BACKEND_SERVER_DOWN)
        if self.service != call.service.name:
            return Refused(Cause.NO_BACKEND_SERVER)
        return self._quarantine(call)

    def _quarantine(self, call: Call) -> Refused | None:
        if not self.crashes.record:
            return None
        now_s = clock.now_s()
        if self.crashes.record.is_quarantined(call.fingerprint, now_s):
            return Refused(Cause.QUARANTINED, SUSPICION_S)
        is_keyed = call.key is not None and not call.is_idempotent
        if is_keyed or not self._is_suspect(call):
            return None
        return None if self.is_home(call) else Refused(Cause.SUSPECT)

    async def _queue(self, call: Call, claim: ClaimStep) -> Outcome:
        ticket = self._admission.enter(
            call.rank.name,
            call.deadline_s,
            clock.now_s(),
            goal_s=call.goal_s,
        )
        if isinstance(ticket, Refused):
            return ticket
        has_run = True
        try:
            outcome = await self._with_ticket(call, ticket, claim)
            has_run = outcome.verdict is not Verdict.NOT_RUN
        finally:
            now_s = clock.now_s()
            self._admission.leave(ticket, now_s, has_run=has_run)
        return outcome

    async def _with_ticket(
        self,
        call: Call,
        ticket: Ticket,
        claim: ClaimStep,
    ) -> Outcome:
        if ticket.granted_at_s is None:
            await ticket.granted.wait()
        if ticket.refusal:
            return ticket.refusal
        if not self._is_suspect(call):
            return await claim() or await self._exchange(call)
        async with self._suspect_turn:
            refusal = self._quarantine(call) or await claim()
            return refusal or await self._exchange(call)

    def _is_suspect(self, call: Call) -> bool:
        if not self.crashes.record:
            return False
        now_s = clock.now_s()
        return self.crashes.record.crashes(call.fingerprint, now_s) > 0

    async def _exchange(self, call: Call) -> Outcome:
        pool = self._pool
        refusal = self._refusal(call)
        if refusal or pool is None:
            return refusal or Refused(Cause.BACKEND_SERVER_DOWN)
        reuse_s = (
            self._settings.idle_reuse_s
            if call.is_idempotent
            else self._settings.strict_idle_reuse_s
        )
        try:
            connection = await pool.acquire(reuse_s, clock.now_s())
        except BackendServerError as error:
            self._down(str(error))
            return Refused(Cause.BACKEND_SERVER_DOWN)
        try:
            return await self._fly(call, connection)
        finally:
            pool.release(connection, clock.now_s())

    async def _fly(self, call: Call, connection: HttpConnection) -> Outcome:
        flights = self.crashes.flights
        call.is_dispatched = True
        with flights.flight(call):
            try:
                answered = await connection.exchange(
                    self._dialect.request(call, self._instance, clock.now_s())
                )
            except AnswerTooLargeError:
                return Unknown(Cause.ANSWER_TOO_LARGE)
            except BackendServerError as error:
                return await self._after_error(call, flights, error)
        if self._is_suspect(call):
            await self.crashes.clear(call.fingerprint)
        outcome = self._dialect.outcome(call, answered)
        if isinstance(outcome, Refused):
            call.is_dispatched = False
        if outcome == _ANOTHER_SERVER:
            self._down('another backend server has the address')
        return outcome

    async def _after_error(
        self,
        call: Call,
        flights: Flights,
        error: BackendServerError,
    ) -> Outcome:
        if error.verdict is Verdict.NOT_RUN:
            call.is_dispatched = False
            return Refused(Cause.BACKEND_SERVER_DOWN)
        cause = await self.crashes.after_loss(
            call, flights, self._accepts_connections
        )
        return Unknown(cause)

    async def _accepts_connections(self) -> bool:
        """Try two connections; a dying process may still accept the first."""
        if not await self._accepts_connection():
            return False
        await anyio.sleep(_SECOND_PROBE_S)
        return await self._accepts_connection()

    async def _accepts_connection(self) -> bool:
        if self.announcement is None:
            return False
        endpoint = Endpoint(self.announcement.address, self.announcement.port)
        try:
            probe = await HttptoolsConnection.connect(endpoint, 0)
        except BackendServerError as error:
            self._down(str(error))
            return False
        probe.close()
        return True

    def _restart(self, announcement: Announcement, now_s: float) -> None:
        self._drop_idle_connections()
        endpoint = Endpoint(announcement.address, announcement.port)
        self._pool = ConnectionPool(
            self._connect,
            endpoint,
            announcement.connections,
            self._max_answer_bytes,
        )
        cold_start_s = self._cold_start_s.get(announcement.service, 0)
        cold_start_s = max(cold_start_s, announcement.cold_s)
        self._admission.open(announcement.slots, cold_start_s, now_s)

    def _down(self, problem: str) -> None:
        if self.state is BackendState.READY:
            self._set_state(BackendState.DOWN, problem)

    def _set_state(self, state: BackendState, problem: str = '') -> None:
        if state is self.state:
            return
        self.state = state
        self._log.emit(
            Event.BACKEND_SERVER,
            state=state.value,
            service=self.service,
            problem=problem,
        )
        self.on_change()


def _identity(announcement: Announcement) -> tuple[str, int]:
    return (announcement.instance, announcement.boot)


def _admission_for(settings: DaemonSettings) -> Admission:
    if settings.policies.admission == 'fifo':
        return FifoAdmission()
    return ShareAdmission()


def _always(call: Call) -> bool:
    """Run suspects here where nothing tells their home."""
    return True


def _nothing() -> None:
    """Do nothing when the state changes."""


async def _no_claim() -> None:
    """Let a request run without a claim."""
