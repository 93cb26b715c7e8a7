"""ragwortstand.sidecar: the daemon on a platform with its own configuration.

Unlike `ragwortstand.daemon` it has no claims and no log of submissions: the
platform stores the accepted configuration, and callers send no idempotency
keys. Adapters to the platform are passed in as `SidecarDependencies`.
"""

import random
import time

import anyio
from anyio.abc import TaskGroup

from ragwortstand import clock
from ragwortstand.backend_servers import (
    Announcement,
    BackendServer,
)
from ragwortstand.backend_servers.latency_objective_admission import (
    LatencyObjectiveAdmission,
)
from ragwortstand.backend_servers.saved_departures import SavedDepartures
from ragwortstand.backend_servers.saved_quarantines import SavedQuarantines
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.proxy import Proxy
from ragwortstand.callers.weighted_targets import WeightedTargetSelector
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PlatformError
from ragwortstand.exit_limits import ExitLimits
from ragwortstand.graceful_stop import GracefulStop
from ragwortstand.http_server import HttpServer, RequestHandler
from ragwortstand.ids import (
    HostId,
    PeerAddress,
    RegionName,
    ServiceName,
    ZoneName,
)
from ragwortstand.metrics import Metrics
from ragwortstand.models import CallerLimits
from ragwortstand.peers.choice import Locality
from ragwortstand.peers.crash_notifications import CrashNotifier
from ragwortstand.peers.distribution import Distributor
from ragwortstand.peers.forwarding import ForwardedWork, Forwarder
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.handlers import PeerHandlers
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.latency_objective_choice import LatencyObjectiveChoice
from ragwortstand.peers.link_scopes import LinkScopes
from ragwortstand.peers.member_discovery import MemberDiscovery
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    Member,
)
from ragwortstand.peers.pieces import PieceScheduler
from ragwortstand.peers.shared_budget import SharedBudgetRetries
from ragwortstand.peers.store_outage import StoreOutageDetector
from ragwortstand.peers.store_watch import StoreWatch
from ragwortstand.peers.stream_listener import StreamListener
from ragwortstand.peers.streams import StreamLinks
from ragwortstand.peers.version_sources import DistributionPolicy
from ragwortstand.published_server import PublishedServer
from ragwortstand.settings import Listen
from ragwortstand.sidecar_dependencies import (
    SidecarDependencies,
    SidecarSettings,
)
from ragwortstand.sockets import bind
from ragwortstand.storage.shared_row import SharedRow
from ragwortstand.supervision import supervise
from ragwortstand.verdicts import Verdict
from ragwortstand.versions import Snapshot, VersionGate

# Maximum size of a message without the bodies in it.
_MESSAGE_OVERHEAD_BYTES = 4 * 1024 * 1024
# Maximum time that the reply to a backend server that leaves is delayed until
# peers have received the announcement.
_ANNOUNCE_TIMEOUT_S = 0.5
# Maximum time that the reply to a backend server is delayed until rows of the
# store are read or written; a reply after one second does not count.
_ROW_TIMEOUT_S = 0.6
# Number of members that a daemon sends a new version to, and how many of them
# are in other availability zones. One daemon in 3,000 (e to the power of -8) is
# missed by all others and learns of the version from the next probe.
_FANOUT = 8
_FAR_FANOUT = 3
# Interval of the check whether the backend server still announces itself, which
# it does about once a second.
_EXPIRY_INTERVAL_S = 0.5
# Delay before a failed task is restarted, so that a task that always fails does
# not use up the processor.
_RESTART_S = 0.5
# Size of the random number that identifies a start of the process, so that two
# starts on a host do not have the same one.
_BOOT_BITS = 48


class Sidecar:
    """Creates the components of a sidecar and runs their tasks.

    Usage::

        >>> sidecar = Sidecar(settings, dependencies, metrics, log)
        >>> anyio.run(sidecar.run, handle_ready, handle_control)

    :param settings: validated settings.
    :param dependencies: adapters to the platform.
    :param metrics: metrics of this process.
    :param log: receives events.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        dependencies: SidecarDependencies,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Create the components."""
        self._settings = settings
        self._dependencies = dependencies
        self._metrics = metrics
        self._log = log
        self._rng = random.Random()
        self._boot = self._rng.getrandbits(_BOOT_BITS) | 1
        self._gate = VersionGate()
        self._stopping = anyio.Event()
        self._tasks: TaskGroup | None = None
        self._build_peers()
        self._build_request_path()

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be routed to this daemon."""
        return self._snapshot() is not None and not self._stopping.is_set()

    async def run(self, ready: RequestHandler, control: RequestHandler) -> None:
        """Serve until `stop` is called, then stop gracefully.

        :param ready: handles readiness checks and requests for metrics.
        :param control: handles the backend server's announcements.
        """
        daemon = self._settings.daemon
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._forwarder.start(tasks)
            tasks.start_soon(
                self._listener.serve,
                bind(daemon.peers.address, daemon.peers.port),
                self._handlers.handle,
            )
            self._callers = HttpServer(
                self._proxy.answer, self._limits, self._log
            )
            self._serve(self._callers, daemon.callers, tasks)
            for handler, listen in (
                (ready, self._settings.ready),
                (ready, self._settings.metrics),
                (control, self._settings.control),
            ):
                server = HttpServer(handler, self._limits, self._log)
                self._serve(server, listen, tasks)
            self._start(tasks)
            self._log.emit(Event.LISTENING, boot=self._boot)
            await self._stopping.wait()
            await self._stop.run(self._callers, self._settings.grace_s)
            self._log.emit(
                Event.STOPPED,
                exit=0,
                callers=self._callers.in_flight,
                forwarded=self._forwarded.in_flight,
                unsent_bytes=self._callers.unsent_bytes,
            )
            tasks.cancel_scope.cancel()
        self._links.close()

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stopping.set()

    def reload(self, settings: SidecarSettings) -> None:
        """Apply settings that may change while the process runs.

        :param settings: the new settings.
        """
        new_seeds = set(settings.seeds).difference(self._settings.seeds)
        self._settings = settings
        self._retries.budget = settings.retry_terms
        self._backend_server.announcement_filter.timeout_s = (
            settings.daemon.backend_server.announce_timeout_s
        )
        if self._tasks:
            for seed in new_seeds:
                self._tasks.start_soon(self._gossip.join, seed)
        self._log.emit(Event.RELOADED)

    async def announce(self, announcement: Announcement) -> None:
        """Process an announcement of the backend server.

        A change of its state, such as that it leaves, has been announced to
        the reachable peers when this returns, and a departure written to the
        store, or the time for it is up.

        :param announcement: the announcement.
        :raises PlatformError: when it can't be told yet whether the server has
            left before this daemon was started.
        :raises ValueError: when it says that a server drains, and is ignored,
            as another server has the address.
        """
        if not announcement.is_draining:
            await self._await_rows()
        previous_state = self._backend_server.state
        is_applied = await self._backend_server.announce(
            announcement, clock.now_s()
        )
        if announcement.is_draining and not is_applied:
            raise ValueError('another backend server has the address')
        async with anyio.create_task_group() as tasks:
            if previous_state is not self._backend_server.state:
                tasks.start_soon(self._announce_own_state)
            if announcement.is_draining:
                tasks.start_soon(self._save_departures)

    async def depart(
        self, instance: str, boot: int, *, is_upper_bound: bool
    ) -> None:
        """Handle the departure of a backend server that announces no more.

        When this returns, peers and the store have it, or the time is up.

        :param instance: the backend server.
        :param boot: its boot number.
        :param is_upper_bound: whether the boot is not known, and this number
            only exceeds it.
        """
        self._backend_server.depart(
            instance, boot, is_upper_bound=is_upper_bound
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._announce_own_state)
            tasks.start_soon(self._save_departures)

    def set_store_reach(self, reach: int) -> None:
        """Set how well this daemon reaches the platform's store.

        :param reach: 0 if it is unreachable; the higher, the better.
        """
        if reach != self._members.own.store_reach:
            self._members.update_own(store_reach=reach)
            self._schedule_announcement()

    def ask_others_to_read(self) -> None:
        """Ask other daemons to read the store, as it does not respond here."""
        self._store_watch.ask_others()

    def check_stored_rows(self) -> None:
        """Write rows again that the store has lost with its last writes."""
        self._discovery.check_rows()
        self._departure_row.schedule()
        self._quarantine_row.schedule()

    def _build_peers(self) -> None:
        daemon = self._settings.daemon
        address = f'{daemon.peers.address}:{daemon.peers.port}'
        own = Member(
            host=HostId(daemon.host),
            peer_address=PeerAddress(f'tcp://{address}'),
            region=RegionName(daemon.region),
            zone=ZoneName(daemon.availability_zone),
            incarnation=int(time.time() * 1000),
            boot=self._boot,
        )
        self._members = Members(own, daemon.membership, clock.now_s())
        self._members.on_change = self._on_member
        self._members.on_update_about_self = self._on_member_update
        self._scopes = LinkScopes(self._members)
        max_message_bytes = _MESSAGE_OVERHEAD_BYTES + max(
            daemon.limits.max_request_bytes, daemon.limits.max_answer_bytes
        )
        scheduler = PieceScheduler()
        self._links = StreamLinks(
            daemon.cluster,
            own.host,
            self._metrics,
            self._log,
            max_message_bytes,
            lambda address: self._scopes.of_address(address).value,
            scheduler=scheduler,
        )
        self._listener = StreamListener(
            daemon.cluster,
            max_message_bytes,
            self._metrics,
            self._log,
            scheduler,
        )
        self._distributor = Distributor(
            self._gate,
            self._dependencies.versions,
            self._members,
            self._links,
            DistributionPolicy(
                fanout=_FANOUT,
                far_fanout=_FAR_FANOUT,
                is_flat=True,
                standby_delay_s=0,
                # One read of the source returns the whole content.
                join_wait_s=0,
            ),
            self._metrics,
            self._log,
            self._rng,
        )
        self._store_watch = StoreWatch(
            self._members,
            self._links,
            self._distributor.readers,
            lambda: self._dependencies.versions.is_reading(clock.now_s()),
            self._distributor.read_store,
            self._log,
            self._rng,
        )
        self._key_owners = KeyOwners(self._members, daemon.claims.window_s)
        self._gossip = Gossip(
            self._members,
            self._links,
            daemon.membership,
            self._key_owners,
            lambda: self._gate.version,
            self._distributor.on_peer_version,
            self._rng,
        )
        self._discovery = MemberDiscovery(
            self._members,
            self._gossip,
            self._dependencies.table,
            daemon.cluster,
            self._settings.seeds,
            self._log,
            self._rng,
        )

    def _build_request_path(self) -> None:
        daemon = self._settings.daemon
        self._backend_server = BackendServer(
            daemon,
            self._log,
            self._dependencies.backend_servers,
            LatencyObjectiveAdmission(),
            metrics=self._metrics,
        )
        self._backend_server.on_change = self._on_backend_server
        self._published_server = PublishedServer(
            self._backend_server, self._members
        )
        saved_departures = SavedDepartures(
            self._backend_server, daemon.cluster, daemon.host, self._log
        )
        self._departure_row = SharedRow(
            self._dependencies.table,
            saved_departures.key,
            saved_departures.merge,
            self._log,
        )
        self._backend_server.departures.on_record = self._departure_row.schedule
        self._gate.subscribe(self._backend_server.configure)
        self._forwarder = Forwarder(self._links)
        crash_detector = self._backend_server.crash_detector
        saved_quarantines = SavedQuarantines(
            crash_detector.record, daemon.cluster, self._log
        )
        self._quarantine_row = SharedRow(
            self._dependencies.table,
            saved_quarantines.key,
            saved_quarantines.merge,
            self._log,
        )
        self._crash_notifier = CrashNotifier(
            self._members,
            self._forwarder,
            crash_detector.record,
            self._quarantine_row,
            lambda: self._backend_server.service,
        )
        crash_detector.record.on_quarantine = self._quarantine_row.schedule
        crash_detector.on_crash = self._crash_notifier.on_crash
        crash_detector.on_clear = self._crash_notifier.on_clear
        own = self._members.own
        self._choice = LatencyObjectiveChoice(
            Locality(own.host, own.zone, own.region),
            self._backend_server.load,
            self._rng,
        )
        self._retries = SharedBudgetRetries(
            self._settings.retry_terms, lambda: len(self._members.usable())
        )
        dispatcher = Dispatcher(
            self._members,
            self._choice,
            self._retries,
            self._key_owners,
            self._backend_server,
            self._backend_server.load,
            self._forwarder,
            self._metrics,
            self._log,
        )
        target_selector = WeightedTargetSelector(self._rng)
        self._gate.subscribe(lambda snapshot: target_selector.clear())
        self._proxy = Proxy(
            self._snapshot,
            dispatcher,
            self._dependencies.callers,
            target_selector,
            self._metrics,
            self._log,
        )
        self._forwarded = ForwardedWork(
            self._backend_server,
            self._backend_server.load,
            self._snapshot,
            self._refuses_work,
            self._boot,
            self._log,
        )
        self._forwarded.on_limit = (
            self._backend_server.exit_refusals.refuse_late
        )
        self._stop = GracefulStop(
            self._proxy,
            self._forwarded,
            lambda: self._listener.unsent_bytes,
            self._members,
            self._schedule_announcement,
            ExitLimits(
                self._proxy, self._backend_server.exit_refusals, self._forwarder
            ),
            self._log,
        )
        self._handlers = PeerHandlers(
            self._gossip,
            self._distributor,
            self._forwarded,
            self._store_watch,
            StoreOutageDetector(
                self._members,
                self._links,
                own.region,
                self._dependencies.versions.head,
                self._rng,
            ),
            self._members,
            self._backend_server.crash_detector.record,
            self._crash_notifier,
        )

    def _serve(
        self,
        server: HttpServer,
        listen: Listen,
        tasks: TaskGroup,
    ) -> None:
        socket = bind(listen.address, listen.port)
        tasks.start_soon(server.serve, socket)

    def _start(self, tasks: TaskGroup) -> None:
        for task in (
            self._links.run,
            self._discovery.run,
            self._departure_row.run,
            self._gossip.run,
            self._distributor.run,
            self._crash_notifier.run,
            self._quarantine_row.run,
            self._store_watch.run,
            self._expire,
        ):
            tasks.start_soon(supervise, task, self._log, _RESTART_S)

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL_S)
            self._backend_server.expire(clock.now_s())
            self._published_server.publish_rate_limit()

    def _snapshot(self) -> Snapshot | None:
        return self._gate.snapshot if self._distributor.is_initialized else None

    def _limits(self) -> CallerLimits:
        snapshot = self._gate.snapshot
        return snapshot.configuration.limits if snapshot else CallerLimits()

    def _refuses_work(self) -> bool:
        now_s = clock.now_s()
        service_s = self._backend_server.load(now_s).service_s
        return self._stop.refuses_work(service_s, now_s)

    def _on_backend_server(self) -> None:
        self._published_server.publish(accepts_work=not self._stop.is_leaving)
        self._schedule_announcement()

    def _on_member_update(self, update: Member) -> None:
        self._published_server.restore(update, clock.now_s())

    async def _await_rows(self) -> None:
        """Wait until earlier departures and quarantines are known.

        While the store does not respond, peers that have been running are
        enough; the version that they send shows that there are some.

        :raises PlatformError: when neither has responded.
        """
        with anyio.move_on_after(_ROW_TIMEOUT_S):
            await self._departure_row.is_read.wait()
            await self._quarantine_row.is_read.wait()
            return
        if not self._distributor.is_initialized:
            raise PlatformError(
                'rows of earlier processes are not read yet', Verdict.NOT_RUN
            )

    async def _save_departures(self) -> None:
        with anyio.move_on_after(_ROW_TIMEOUT_S):
            await self._departure_row.flush()

    async def _announce_own_state(self) -> None:
        with anyio.move_on_after(_ANNOUNCE_TIMEOUT_S):
            await self._gossip.send_own_entry()

    def _schedule_announcement(self) -> None:
        if self._tasks:
            self._tasks.start_soon(self._gossip.send_own_entry)

    def _on_member(self, member: Member) -> None:
        self._scopes.record_address(member)
        self._choice.record_member(member)
        self._log.emit(
            Event.MEMBER,
            member=member.host,
            service=ServiceName(member.service or ''),
            state=member.state.name.lower(),
            incarnation=member.incarnation,
            is_ready=member.is_ready,
        )
