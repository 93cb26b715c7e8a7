"""ragwortstand.backend_servers.server: the host's backend server."""

import enum
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeAlias

import anyio
from msgspec.structs import replace

from ragwortstand import clock
from ragwortstand.backend_servers.admission import (
    Admission,
    FifoAdmission,
    Load,
    ShareAdmission,
    Ticket,
)
from ragwortstand.backend_servers.announcement_filter import (
    AnnouncementFilter,
)
from ragwortstand.backend_servers.announcements import (
    Announcement,
    Departures,
    Identity,
    identity_of,
)
from ragwortstand.backend_servers.connections import (
    Connect,
)
from ragwortstand.backend_servers.crash_detector import CrashDetector
from ragwortstand.backend_servers.dialect import (
    BackendDialect,
    RagwortDialect,
)
from ragwortstand.backend_servers.exit_refusals import ExitRefusals
from ragwortstand.backend_servers.httptools_client import HttptoolsConnection
from ragwortstand.backend_servers.in_band_signals import InBandSignals
from ragwortstand.backend_servers.rate_limiter import ServerRateLimit
from ragwortstand.backend_servers.request_sender import RequestSender
from ragwortstand.backend_servers.response_memory import ResponseMemoryBudget
from ragwortstand.backend_servers.signal_tracker import SignalTracker
from ragwortstand.calls import Call
from ragwortstand.events import Event, EventLog
from ragwortstand.ids import ServiceName
from ragwortstand.metrics import Metrics
from ragwortstand.settings import DaemonSettings
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)
from ragwortstand.versions import Snapshot


class BackendState(enum.Enum):
    """State of the backend server as this daemon knows it."""

    ABSENT = 'absent'
    READY = 'ready'
    DRAINING = 'draining'
    DOWN = 'down'


ClaimStep: TypeAlias = Callable[[], Awaitable[Outcome | None]]


class BackendServer:
    """Runs requests on the backend server on this daemon's host.

    :param settings: the daemon's settings.
    :param log: receives the events.
    :param dialect: builds requests and interprets responses.
    :param admission: admission policy; None takes that of the settings.
    :param connect: opens connections to the backend server; None takes those
        of httptools, whose responses share the memory limit of the settings.
    :param metrics: counts the requests sent; None counts them nowhere.
    :ivar announcement_filter: decides which announcements are ignored.
    :ivar departures: the servers that have left.
    :ivar exit_refusals: refuses requests that a daemon's exit would cut off.
    :ivar on_change: called when the state, the service, the number of slots
        or the last departure has changed.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        log: EventLog,
        dialect: BackendDialect | None = None,
        admission: Admission | None = None,
        connect: Connect | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Create a runner that knows no backend server yet."""
        self._settings = settings.backend_server
        self._log = log
        self._admission = admission or _admission_for(settings)
        self.exit_refusals = ExitRefusals(self._admission)
        self._metrics = (metrics or Metrics()).backend_server
        self.departures = Departures()
        self.announcement_filter = AnnouncementFilter(
            self.departures, settings.backend_server.announce_timeout_s, log
        )
        self._signals = SignalTracker(self._metrics, log)
        self._rate_limiter = self._signals.rate_limiter
        self._suspect_lock = anyio.Lock()
        self._cold_start_s: dict[str, float] = {}
        self.announcement: Announcement | None = None
        self.state = BackendState.ABSENT
        self._reported: tuple[object, ...] = self._reported_fields()
        self.crash_detector = CrashDetector(log)
        self._request_sender = RequestSender(
            settings.backend_server,
            settings.limits.max_answer_bytes,
            dialect or RagwortDialect(),
            connect or _connect_for(settings),
            self.crash_detector,
            self._mark_down,
            self._handle_signals,
            log,
        )
        self._request_sender.on_misdirected = (
            self.announcement_filter.record_misdirected
        )
        self.is_owner: Callable[[Call], bool] = _always_here
        self.on_change: Callable[[], None] = _ignore_change

    @property
    def service(self) -> ServiceName | None:
        """Return the service that the backend server provides."""
        return self.announcement.service if self.announcement else None

    @property
    def last_departed(self) -> Identity | None:
        """Return the backend server that departed last, None if none did."""
        return self.departures.last

    def has_departed(self, identity: Identity) -> bool:
        """Return whether a boot of a backend server is known to have left."""
        return self.departures.has_departed(identity)

    @property
    def rate_limit(self) -> ServerRateLimit | None:
        """Return the limit that the backend server names, None for none."""
        return self._signals.rate_limit

    @property
    def in_flight(self) -> int:
        """Return how many requests run on the backend server."""
        return len(self.crash_detector.in_flight.requests)

    def load(self, now_s: float) -> Load:
        """Return the load of the backend server."""
        return self._admission.load(now_s)

    def configure(self, snapshot: Snapshot) -> None:
        """Apply the ranks and services of a new configuration."""
        self._admission.configure(snapshot.configuration.ranks)
        self._rate_limiter.configure(snapshot.configuration.ranks)
        services = snapshot.configuration.services
        self.announcement_filter.configure(services)
        self._cold_start_s = {
            service.name: service.cold_start_s for service in services
        }

    async def announce(
        self,
        announcement: Announcement,
        now_s: float,
    ) -> bool:
        """Apply an announcement of the backend server.

        :param announcement: the state that it announces.
        :param now_s: present time.
        :returns: whether it is in force, or the server is known to have left.
        """
        previous = self.announcement
        if not self.announcement_filter.accepts(announcement, previous, now_s):
            return self.has_departed(identity_of(announcement))
        is_restart = previous is None or (
            identity_of(previous) != identity_of(announcement)
        )
        if is_restart:
            self._handle_restart(announcement, now_s)
        self._apply(announcement, now_s)
        if is_restart:
            # Last, as it waits for peers while other calls are handled.
            await self.crash_detector.handle_restart(now_s)
        return True

    def depart(
        self,
        instance: str,
        boot: int,
        *,
        is_upper_bound: bool = False,
    ) -> None:
        """Mark a backend server as departed; it sends no more announcements.

        :param instance: the backend server.
        :param boot: its boot number; earlier boots have left, too.
        :param is_upper_bound: whether the boot is not known and this is an
            estimate that it does not exceed.
        """
        previous = self.announcement
        if is_upper_bound and previous and previous.instance == instance:
            boot = max(boot, previous.boot)
        self._log.emit(
            Event.DEPARTURE,
            instance=instance,
            boot=boot,
            present_instance=previous.instance if previous else '',
            present_boot=previous.boot if previous else 0,
            present_sequence=previous.sequence if previous else 0,
            present_state=self.state.value,
        )
        self.departures.record((instance, boot))
        state = self.state
        if previous and self.has_departed(identity_of(previous)):
            self.announcement = replace(previous, is_draining=True)
            state = BackendState.DRAINING
        self._set_state(state)

    def restore_rate_limit(self, limit: ServerRateLimit, now_s: float) -> None:
        """Apply the limit that an earlier process of this daemon knew.

        :param limit: the limit, with the backend server that named it.
        :param now_s: present time.
        """
        self._signals.restore(limit, now_s)

    def expire(self, now_s: float) -> None:
        """Mark the backend server as down when its announcements stop.

        :param now_s: present time.
        """
        if (
            self.announcement_filter.is_silent(now_s)
            and self.state is BackendState.READY
        ):
            self._set_state(BackendState.DOWN)

    async def run(self, call: Call, claim: ClaimStep | None = None) -> Outcome:
        """Run a request on this host, by rank and within its deadline.

        :param call: the request.
        :param claim: awaited once the request has a slot; if it returns an
            outcome, the request is not run and gets that outcome.
        :returns: its outcome; a refusal means that it did not run.
        """
        load = self._admission.load(clock.now_s())
        outcome = self._refusal(call) or await self._run_in_time(call, claim)
        if not isinstance(outcome, Answered):
            self._log_declined(call, load, outcome)
        return outcome

    async def _run_in_time(
        self,
        call: Call,
        claim: ClaimStep | None,
    ) -> Outcome:
        call.is_dispatched = False
        with anyio.CancelScope(deadline=call.deadline_s):
            return await self._run_admitted(call, claim or _no_claim)
        if call.is_dispatched:
            self._request_sender.drop_idle()
            return Unknown(Cause.DEADLINE)
        return Refused(Cause.DEADLINE)

    def _log_declined(
        self,
        call: Call,
        load: Load,
        outcome: Refused | Unknown,
    ) -> None:
        """Log why a request got no response, with the load on its arrival."""
        now_s = clock.now_s()
        goal_s = call.deadline_s if call.goal_s is None else call.goal_s
        self._log.emit(
            Event.DECLINED,
            request=call.request_id,
            cause=outcome.cause.value,
            verdict=outcome.verdict.value,
            instance=self.announcement.instance if self.announcement else '',
            state=self.state.value,
            announced_s_ago=round(
                now_s - self.announcement_filter.announced_at_s, 3
            ),
            slots=load.slots,
            in_use=load.in_use,
            queued=load.queued,
            rate_limit_per_s=self._rate_limiter.limit_per_s,
            service_s=round(load.service_s, 4),
            goal_left_s=round(goal_s - now_s, 4),
            deadline_left_s=round(call.deadline_s - now_s, 4),
        )

    def _refusal(self, call: Call) -> Refused | None:
        if self.state is BackendState.DRAINING:
            return Refused(Cause.LEAVING)
        if self.state is not BackendState.READY:
            return Refused(Cause.BACKEND_SERVER_DOWN)
        if self.service != call.service.name:
            return Refused(Cause.NO_BACKEND_SERVER)
        return self.crash_detector.refusal(call, self.is_owner, clock.now_s())

    async def _run_admitted(self, call: Call, claim: ClaimStep) -> Outcome:
        now_s = clock.now_s()
        queued = self._admission.load(now_s).queued
        refusal = self._rate_limiter.refusal(call.rank.name, queued, now_s)
        if refusal:
            return refusal
        ticket = self._admission.enter(
            call.rank.name,
            call.deadline_s,
            now_s,
            goal_s=call.goal_s,
        )
        if isinstance(ticket, Refused):
            return ticket
        self.exit_refusals.on_enter(call, ticket, now_s)
        has_run = True
        try:
            outcome = await self._run_with_ticket(call, ticket, claim)
            has_run = outcome.verdict is not Verdict.NOT_RUN
        finally:
            now_s = clock.now_s()
            self._admission.leave(ticket, now_s, has_run=has_run)
        return outcome

    async def _run_with_ticket(
        self,
        call: Call,
        ticket: Ticket,
        claim: ClaimStep,
    ) -> Outcome:
        if ticket.granted_at_s is None:
            await ticket.granted.wait()
        refusal = ticket.refusal or self._rate_limiter.take(clock.now_s())
        if refusal:
            return refusal
        if self.crash_detector.is_suspect(call, clock.now_s()):
            return await self._run_suspect(call, claim)
        return await claim() or await self._send(call)

    async def _run_suspect(self, call: Call, claim: ClaimStep) -> Outcome:
        """Run a suspect alone, unless it is cleared while it waits."""
        async with self._suspect_lock:
            now_s = clock.now_s()
            refusal = self.crash_detector.refusal(call, self.is_owner, now_s)
            if refusal:
                return refusal
            if self.crash_detector.is_suspect(call, now_s):
                return await claim() or await self._send(call)
        return await claim() or await self._send(call)

    async def _send(self, call: Call) -> Outcome:
        now_s = clock.now_s()
        refusal = self._refusal(call) or self.exit_refusals.refusal(call, now_s)
        if not call.remaining_s(now_s):
            # A daemon that was paused continues here after the deadline.
            return Refused(Cause.DEADLINE)
        if refusal or self.announcement is None:
            return refusal or Refused(Cause.BACKEND_SERVER_DOWN)
        self._metrics.requests.inc()
        return await self._request_sender.run(call)

    def _apply(self, announcement: Announcement, now_s: float) -> None:
        previous = self.announcement
        if previous and identity_of(previous) == identity_of(announcement):
            if self.state is BackendState.DOWN:
                self._admission.open(announcement.slots, 0, now_s)
            elif previous.is_draining and _names_boot(announcement):
                # A boot that has begun to drain never becomes ready again.
                announcement = replace(announcement, is_draining=True)
        self.announcement = announcement
        self.announcement_filter.record_draining(announcement)
        self._set_state(
            BackendState.DRAINING
            if announcement.is_draining
            else BackendState.READY
        )

    def _handle_restart(self, announcement: Announcement, now_s: float) -> None:
        self._request_sender.open(announcement)
        self._signals.open(identity_of(announcement), now_s)
        cold_start_s = self._cold_start_s.get(announcement.service, 0)
        cold_start_s = max(cold_start_s, announcement.cold_s)
        self._admission.open(announcement.slots, cold_start_s, now_s)

    def _handle_signals(self, signals: InBandSignals) -> None:
        self._signals.record(signals, clock.now_s())
        if self.announcement is None:
            return
        identity = identity_of(self.announcement)
        self.announcement_filter.record_response(identity)
        if not signals.is_leaving:
            return
        if not self.has_departed(identity):
            self.depart(*identity)

    def _mark_down(self, problem: str) -> None:
        if self.state is BackendState.READY:
            self._set_state(BackendState.DOWN, problem)

    def _set_state(self, state: BackendState, problem: str = '') -> None:
        announcement = self.announcement
        if state is not self.state:
            self.state = state
            self._log.emit(
                Event.BACKEND_SERVER,
                state=state.value,
                service=self.service,
                instance=announcement.instance if announcement else '',
                boot=announcement.boot if announcement else 0,
                sequence=announcement.sequence if announcement else 0,
                problem=problem,
            )
        fields = self._reported_fields()
        if fields != self._reported:
            self._reported = fields
            self.on_change()

    def _reported_fields(self) -> tuple[object, ...]:
        """Return the fields whose changes peers are told of.

        A departure counts also where it changes no state, as peers return it
        when this daemon has been restarted.
        """
        slots = self.announcement.slots if self.announcement else 0
        return (self.state, self.service, slots, self.last_departed)


def _admission_for(settings: DaemonSettings) -> Admission:
    if settings.policies.admission == 'fifo':
        return FifoAdmission()
    return ShareAdmission()


def _connect_for(settings: DaemonSettings) -> Connect:
    memory_budget = ResponseMemoryBudget(settings.limits.max_reading_bytes)
    return partial(HttptoolsConnection.connect, memory_budget=memory_budget)


def _names_boot(announcement: Announcement) -> bool:
    """Return whether announcements of two boots can be told apart."""
    return bool(announcement.boot or announcement.sequence)


def _always_here(call: Call) -> bool:
    """Run suspects on this host where key owners are not known."""
    return True


def _ignore_change() -> None:
    """Ignore a change of state."""


async def _no_claim() -> None:
    """Let a request run without a claim."""
