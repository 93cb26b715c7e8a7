"""ragwortstand.daemon: the daemon that runs beside a backend server."""

import random
import time
from collections.abc import Mapping
from types import MappingProxyType

import anyio
from anyio.abc import TaskGroup

from ragwortstand import clock
from ragwortstand.backend_servers import BackendServer, BackendState
from ragwortstand.backend_servers.connections import Connect
from ragwortstand.backend_servers.httpcore_client import HttpcoreConnection
from ragwortstand.backend_servers.saved_quarantines import SavedQuarantines
from ragwortstand.callers import (
    AtMostOnceRunner,
    CallerApplication,
    Dispatcher,
    OverloadGuard,
)
from ragwortstand.events import Event, EventLog
from ragwortstand.ids import (
    HostId,
    PeerAddress,
    RegionName,
    ServiceName,
    ZoneName,
)
from ragwortstand.metrics import Metrics
from ragwortstand.operators.admin import Admin
from ragwortstand.operators.fleet_reporter import FleetReporter
from ragwortstand.peers.choice import choice_from_settings
from ragwortstand.peers.crash_notifications import CrashNotifier
from ragwortstand.peers.distribution import Distributor
from ragwortstand.peers.entry_point_discovery import EntryPointDiscovery
from ragwortstand.peers.forwarding import ForwardedWork, Forwarder
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.handlers import PeerHandlers
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.link_scopes import LinkScopes
from ragwortstand.peers.links import MAX_OVERHEAD_BYTES, Links
from ragwortstand.peers.listener import Listener
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    Member,
    MemberState,
    Ping,
)
from ragwortstand.peers.polling_source import PollingSource
from ragwortstand.peers.retries import retry_policy_from_settings
from ragwortstand.peers.store_outage import StoreOutageDetector
from ragwortstand.peers.store_watch import StoreWatch
from ragwortstand.peers.version_sources import DistributionPolicy
from ragwortstand.settings import DaemonSettings
from ragwortstand.sockets import bind, port_of
from ragwortstand.storage import ClaimTable, EntryPoints
from ragwortstand.storage.client import PlatformClient
from ragwortstand.storage.shared_row import SharedRow
from ragwortstand.storage.version_store import VersionStore
from ragwortstand.supervision import supervise
from ragwortstand.uvicorn_server import UvicornServer, create_uvicorn_server
from ragwortstand.versions import Snapshot, VersionGate

# Connection factory for each value of the setting `client`; None selects the
# default of `BackendServer`.
_CONNECT_BY_CLIENT: Mapping[str, Connect | None] = MappingProxyType(
    {
        'httptools': None,
        'httpcore': HttpcoreConnection.connect,
    },
)
_LINK_CHECK_INTERVAL_S = 0.5
_EXPIRY_INTERVAL_S = 0.5
_DRAIN_POLL_S = 0.02
_LEAVE_GOSSIP_S = 0.3
_RESTART_S = 1.0


class Daemon:
    """Creates the components of a daemon and runs their tasks.

    Usage::

        >>> daemon = Daemon(load_settings('host.json'), log)
        >>> anyio.run(daemon.run)

    :param settings: validated settings.
    :param log: receives events.
    """

    def __init__(self, settings: DaemonSettings, log: EventLog) -> None:
        """Bind the sockets and create the components."""
        self._settings = settings
        self._log = log
        self._metrics = Metrics()
        self._rng = random.Random()
        self._gate = VersionGate()
        self._open_sockets()
        self._build_peers()
        self._build_request_path()
        self._build_admin()
        self._stopping = anyio.Event()
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Serve until `stop` is called, then drain and leave the cluster."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._forwarder.start(tasks)
            servers = self._start(tasks)
            self._log_listening()
            await self._stopping.wait()
            await self._drain_and_leave()
            for server in servers:
                server.should_exit = True
            await anyio.sleep(_LEAVE_GOSSIP_S)
            tasks.cancel_scope.cancel()
        self._links.close()
        self._log.emit(Event.STOPPED, exit=0)

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stopping.set()

    def drain(self) -> None:
        """Refuse new requests from now on and announce it to other daemons."""
        if self._caller_application.is_leaving:
            return
        self._caller_application.is_leaving = True
        self._log.emit(Event.DRAINING, in_flight=self._in_flight)
        self._members.update_own(is_ready=False)
        self._schedule_announcement()

    @property
    def _in_flight(self) -> int:
        return self._caller_application.in_flight + self._forwarded.in_flight

    def _open_sockets(self) -> None:
        settings = self._settings
        limits = settings.limits
        self._max_message_bytes = MAX_OVERHEAD_BYTES + max(
            limits.max_request_bytes, limits.max_answer_bytes
        )
        callers, admin, peers = (
            settings.callers,
            settings.admin,
            settings.peers,
        )
        self._callers_socket = bind(callers.address, callers.port)
        self._admin_socket = bind(admin.address, admin.port)
        self._listener = Listener(
            f'tcp://{peers.address}:{peers.port}',
            settings.cluster,
            self._max_message_bytes,
            self._metrics,
            self._log,
        )

    def _build_peers(self) -> None:
        settings = self._settings
        own = Member(
            host=HostId(settings.host),
            peer_address=self._peer_address(),
            region=RegionName(settings.region),
            zone=ZoneName(settings.availability_zone),
            incarnation=int(time.time() * 1000),
        )
        self._members = Members(own, settings.membership, time.monotonic())
        self._members.on_change = self._on_member
        self._scopes = LinkScopes(self._members)
        self._links = Links(
            settings.cluster,
            own.host,
            self._metrics,
            self._log,
            self._max_message_bytes,
            lambda address: self._scopes.of_address(address).value,
        )
        self._listener.scope_of_host = lambda host: (
            self._scopes.of_host(host).value
        )
        self._platform = PlatformClient(
            settings.platform, self._metrics, self._log
        )
        self._version_store = VersionStore(self._platform, self._platform)
        source = PollingSource(
            self._version_store, settings.platform.poll_interval_s, self._rng
        )
        self._distributor = Distributor(
            self._gate,
            source,
            self._members,
            self._links,
            DistributionPolicy(
                is_pushing=settings.policies.distribution == 'push',
                store_region=settings.platform.region,
            ),
            self._metrics,
            self._log,
            self._rng,
        )
        self._store_watch = StoreWatch(
            self._members,
            self._links,
            self._distributor.readers,
            lambda: source.is_reading(clock.now_s()),
            self._distributor.read_store,
            self._log,
            self._rng,
        )
        self._key_owners = KeyOwners(
            self._members,
            settings.claims.window_s,
        )
        self._outage_detector = StoreOutageDetector(
            self._members,
            self._links,
            settings.platform.region,
            self._version_store.head,
            self._rng,
        )
        self._members.on_refute = self._on_refute
        self._platform.on_failure = self._key_owners.record_outage
        self._gossip = Gossip(
            self._members,
            self._links,
            settings.membership,
            self._key_owners,
            lambda: self._gate.version,
            self._distributor.on_peer_version,
            self._rng,
        )
        self._discovery = EntryPointDiscovery(
            self._members,
            self._gossip,
            EntryPoints(self._platform, settings.cluster, self._log),
            settings.entry_points,
            self._rng,
        )

    def _peer_address(self) -> PeerAddress:
        advertised = self._settings.peers.advertised
        if advertised:
            return PeerAddress(f'tcp://{advertised}')
        return self._listener.address

    def _build_request_path(self) -> None:
        settings = self._settings
        self._backend_server = BackendServer(
            settings,
            self._log,
            connect=_CONNECT_BY_CLIENT[settings.backend_server.client],
            metrics=self._metrics,
        )
        self._backend_server.on_change = self._on_backend_server
        self._backend_server.is_owner = lambda call: self._key_owners.is_owner(
            ServiceName(call.service.name), call.fingerprint
        )
        self._gate.subscribe(self._backend_server.configure)
        self._guard = OverloadGuard()
        self._gate.subscribe(
            lambda snapshot: self._guard.configure(snapshot.configuration.ranks)
        )
        self._forwarder = Forwarder(self._links)
        crash_detector = self._backend_server.crash_detector
        saved_quarantines = SavedQuarantines(
            crash_detector.record, settings.cluster, self._log
        )
        self._quarantine_row = SharedRow(
            self._platform,
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
        self._claims = ClaimTable(self._platform)
        self._runner = AtMostOnceRunner(
            self._members.own.host,
            self._backend_server,
            self._claims,
            self._key_owners,
            settings.claims.window_s,
            self._outage_detector.is_unavailable_to_all,
        )
        dispatcher = Dispatcher(
            self._members,
            choice_from_settings(settings, self._members.own, self._rng),
            retry_policy_from_settings(settings),
            self._key_owners,
            self._runner,
            self._backend_server.load,
            self._forwarder,
            self._metrics,
            self._log,
        )
        self._caller_application = CallerApplication(
            self._snapshot,
            dispatcher,
            self._guard,
            settings.limits,
            self._metrics,
            self._log,
        )
        self._forwarded = ForwardedWork(
            self._runner,
            self._backend_server.load,
            self._snapshot,
            lambda: self._caller_application.is_leaving,
        )
        self._handlers = PeerHandlers(
            self._gossip,
            self._distributor,
            self._forwarded,
            self._store_watch,
            self._outage_detector,
            self._members,
            self._backend_server.crash_detector.record,
            self._crash_notifier,
        )

    def _build_admin(self) -> None:
        self._admin = Admin(
            settings=self._settings.admin,
            version_store=self._version_store,
            backend_server=self._backend_server,
            gate=self._gate,
            metrics=self._metrics,
            log=self._log,
            fleet=FleetReporter(self._members, self._distributor),
            drain=self.drain,
            is_platform_reachable=lambda: self._platform.is_reachable,
        )

    def _start(self, tasks: TaskGroup) -> list[UvicornServer]:
        callers = create_uvicorn_server(self._caller_application)
        admin = create_uvicorn_server(self._admin.app)
        tasks.start_soon(callers.serve, [self._callers_socket])
        tasks.start_soon(admin.serve, [self._admin_socket])
        for task in (
            self._serve_peers,
            self._caller_application.watch,
            self._guard.watch,
            self._discovery.run,
            self._gossip.run,
            self._distributor.run,
            self._crash_notifier.run,
            self._quarantine_row.run,
            self._store_watch.run,
            self._watch_links,
            self._claims.run,
            self._runner.expire,
            self._expire_backend_server,
        ):
            tasks.start_soon(supervise, task, self._log, _RESTART_S)
        return [callers, admin]

    async def _serve_peers(self) -> None:
        await self._listener.serve(self._handlers.handle)

    async def _watch_links(self) -> None:
        while True:
            await anyio.sleep(_LINK_CHECK_INTERVAL_S)
            now_s = anyio.current_time()
            ping = Ping(
                self._gate.version,
                self._key_owners.outage_age_s(now_s),
                self._members.digest,
                outage_began_age_s=self._key_owners.outage_began_age_s(now_s),
            )
            await self._links.watch(ping)

    async def _expire_backend_server(self) -> None:
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL_S)
            self._backend_server.expire(anyio.current_time())
            states = self._members.states()
            for state in MemberState:
                gauge = self._metrics.members.labels(state.name.lower())
                gauge.set(states[state])

    async def _drain_and_leave(self) -> None:
        self.drain()
        while self._in_flight:  # noqa: ASYNC110
            await anyio.sleep(_DRAIN_POLL_S)
        self._members.update_own(state=MemberState.LEFT)
        await self._gossip.send_updates()

    def _snapshot(self) -> Snapshot | None:
        return self._gate.snapshot if self._distributor.is_initialized else None

    def _on_backend_server(self) -> None:
        announcement = self._backend_server.announcement
        is_ready = self._backend_server.state is BackendState.READY
        self._key_owners.set_ready(is_ready, anyio.current_time())
        self._members.update_own(
            service=announcement.service if announcement else None,
            slots=announcement.slots if announcement else 0,
            is_ready=is_ready and not self._caller_application.is_leaving,
        )
        self._schedule_announcement()

    def _on_refute(self) -> None:
        self._key_owners.restart_window(anyio.current_time())

    def _schedule_announcement(self) -> None:
        if self._tasks:
            self._tasks.start_soon(self._gossip.send_updates)

    def _on_member(self, member: Member) -> None:
        self._scopes.record_address(member)
        self._log.emit(
            Event.MEMBER,
            member=member.host,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
            is_ready=member.is_ready,
        )

    def _log_listening(self) -> None:
        self._log.emit(
            Event.LISTENING,
            callers_port=port_of(self._callers_socket),
            admin_port=port_of(self._admin_socket),
            peer_address=self._listener.address,
        )
