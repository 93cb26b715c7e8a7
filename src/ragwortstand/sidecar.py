"""ragwortstand.sidecar: the daemon where the platform hands out the parts.

It is the daemon of `ragwortstand.daemon` without claims and without a log of
submissions: the platform keeps the accepted configuration, and callers bring
no idempotency keys.
"""

import random
import time

import anyio
from anyio.abc import TaskGroup

from ragwortstand import clock
from ragwortstand.backend_servers import (
    Announcement,
    BackendServer,
    BackendState,
)
from ragwortstand.backend_servers.latency_objective_admission import (
    LatencyObjectiveAdmission,
)
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.proxy import Proxy
from ragwortstand.callers.splits import WeightedSplits
from ragwortstand.events import Event, EventLog
from ragwortstand.graceful_stop import GracefulStop
from ragwortstand.http_server import Answer, HttpServer
from ragwortstand.ids import (
    HostId,
    PeerAddress,
    RegionName,
    ServiceName,
    ZoneName,
)
from ragwortstand.metrics import Metrics
from ragwortstand.models import CallerLimits
from ragwortstand.peers.choice import Place
from ragwortstand.peers.crash_news import CrashNews
from ragwortstand.peers.distribution import Distributor
from ragwortstand.peers.enrolment import Enrolment
from ragwortstand.peers.forwarding import ForwardedWork, Forwarder
from ragwortstand.peers.goal_choice import GoalChoice
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.handlers import PeerHandlers
from ragwortstand.peers.homes import Homes
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    Member,
)
from ragwortstand.peers.scopes import LinkScopes
from ragwortstand.peers.shared_budget import SharedBudgetRetries
from ragwortstand.peers.store_watch import StoreWatch
from ragwortstand.peers.stream_listener import StreamListener
from ragwortstand.peers.streams import StreamLinks
from ragwortstand.peers.version_sources import DistributionPolicy
from ragwortstand.settings import Listen
from ragwortstand.sidecar_parts import Parts, SidecarSettings
from ragwortstand.sockets import bind
from ragwortstand.supervision import supervise
from ragwortstand.versions import Snapshot, VersionGate

# Message beyond the bodies that it carries.
_MESSAGE_OVERHEAD_BYTES = 4 * 1024 * 1024
# How long acknowledgements wait for peers to hear that a server leaves.
_SPREAD_TIMEOUT_S = 0.5
# Members that a daemon tells of a new version, and how many of them are in
# other availability zones. One daemon in 3,000 (e to the power of -8) is
# missed by all others and hears of the version with the next probe.
_FANOUT = 8
_FAR_FANOUT = 3
# Between two looks whether the backend server still announces itself; it does
# about once a second.
_EXPIRE_S = 0.5
# Pause before a task that failed starts again, so that one that always fails
# does not take the processor.
_RESTART_S = 0.5
# Random bits of a boot's number: two boots of a host do not share one.
_BOOT_BITS = 48


class Sidecar:
    """All parts of one sidecar and the tasks that drive them.

    Usage::

        >>> sidecar = Sidecar(settings, parts, metrics, log)
        >>> anyio.run(sidecar.run, answer_ready, answer_control)

    :param settings: checked settings.
    :param parts: what the adapter brings.
    :param metrics: counters of this process.
    :param log: where events go.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        parts: Parts,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Connect the parts."""
        self._settings = settings
        self._parts = parts
        self._metrics = metrics
        self._log = log
        self._rng = random.Random()
        self._boot = self._rng.getrandbits(_BOOT_BITS) | 1
        self._gate = VersionGate()
        self._stopping = anyio.Event()
        self._tasks: TaskGroup | None = None
        self._build_peers()
        self._build_calls()

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self._snapshot() is not None and not self._stopping.is_set()

    async def run(self, ready: Answer, control: Answer) -> None:
        """Serve until told to stop, then leave in order.

        :param ready: answers questions for readiness and for metrics.
        :param control: answers the backend server's announcements.
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
            for answer, listen in (
                (ready, self._settings.ready),
                (ready, self._settings.metrics),
                (control, self._settings.control),
            ):
                server = HttpServer(answer, self._limits, self._log)
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
        """Take over settings that may change while the process runs.

        :param settings: the new settings.
        """
        self._settings = settings
        self._retries.terms = settings.retry_terms
        self._log.emit(Event.RELOADED)

    async def announce(self, announcement: Announcement) -> None:
        """Take in what the backend server says of itself.

        Word that it is leaving has been passed on, as far as peers can be
        reached, when this returns.

        :param announcement: its words.
        """
        before = self._backend_server.state
        await self._backend_server.announce(announcement, clock.now_s())
        if before is not self._backend_server.state:
            await self._spread_soon()

    async def depart(self, instance: str, boot: int) -> None:
        """Take in that a backend server is leaving and says no more.

        :param instance: the backend server.
        :param boot: its start; 0 where it is not told.
        """
        self._backend_server.depart(instance, boot)
        await self._spread_soon()

    def set_store_reach(self, reach: int) -> None:
        """Note how well the platform's store answers this daemon.

        :param reach: 0 for not at all; the higher, the better.
        """
        if reach != self._members.own.store_reach:
            self._members.update_own(store_reach=reach)
            self._spawn_spread()

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
        self._members.on_rumour = self._on_rumour
        self._scopes = LinkScopes(self._members)
        max_message_bytes = _MESSAGE_OVERHEAD_BYTES + max(
            daemon.limits.max_request_bytes, daemon.limits.max_answer_bytes
        )
        self._links = StreamLinks(
            daemon.cluster,
            own.host,
            self._metrics,
            self._log,
            max_message_bytes,
            lambda address: self._scopes.of_address(address).value,
        )
        self._listener = StreamListener(
            daemon.cluster, max_message_bytes, self._metrics, self._log
        )
        self._distributor = Distributor(
            self._gate,
            self._parts.versions,
            self._members,
            self._links,
            DistributionPolicy(
                fanout=_FANOUT,
                far_fanout=_FAR_FANOUT,
                is_flat=True,
                standby_delay_s=0,
                # One read of the source brings the whole content.
                join_wait_s=0,
            ),
            self._metrics,
            self._log,
            self._rng,
        )
        self._homes = Homes(self._members, daemon.claims.window_s)
        self._gossip = Gossip(
            self._members,
            self._links,
            daemon.membership,
            self._homes,
            lambda: self._gate.version,
            self._distributor.heard,
            self._rng,
        )
        self._enrolment = Enrolment(
            self._members,
            self._gossip,
            self._parts.table,
            daemon.cluster,
            self._settings.seeds,
            self._log,
            self._rng,
        )

    def _build_calls(self) -> None:
        daemon = self._settings.daemon
        self._backend_server = BackendServer(
            daemon,
            self._log,
            self._parts.backend_servers,
            LatencyObjectiveAdmission(),
        )
        self._backend_server.on_change = self._on_backend_server
        self._gate.subscribe(self._backend_server.configure)
        self._forwarder = Forwarder(self._links)
        news = CrashNews(
            self._members,
            self._forwarder,
            lambda: self._backend_server.service,
        )
        self._backend_server.crash_detector.on_crash = news.on_crash
        self._backend_server.crash_detector.on_clear = news.on_clear
        own = self._members.own
        self._choice = GoalChoice(
            Place(own.host, own.zone, own.region),
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
            self._homes,
            self._backend_server,
            self._backend_server.load,
            self._forwarder,
            self._metrics,
            self._log,
        )
        splits = WeightedSplits(self._rng)
        self._gate.subscribe(lambda snapshot: splits.clear())
        self._proxy = Proxy(
            self._snapshot,
            dispatcher,
            self._parts.callers,
            splits,
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
        self._stop = GracefulStop(
            self._proxy,
            self._forwarded,
            lambda: self._listener.unsent_bytes,
            self._members,
            self._spawn_spread,
            self._log,
        )
        self._handlers = PeerHandlers(
            self._gossip,
            self._distributor,
            self._forwarded,
            StoreWatch(
                self._members,
                self._links,
                own.region,
                self._parts.versions.head,
                self._rng,
            ),
            self._members,
            self._backend_server.crash_detector.record,
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
            self._enrolment.run,
            self._gossip.run,
            self._distributor.run,
            self._expire,
        ):
            tasks.start_soon(supervise, task, self._log, _RESTART_S)

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(_EXPIRE_S)
            self._backend_server.expire(clock.now_s())

    def _snapshot(self) -> Snapshot | None:
        return self._gate.snapshot if self._distributor.is_settled else None

    def _limits(self) -> CallerLimits:
        snapshot = self._gate.snapshot
        return snapshot.mesh.limits if snapshot else CallerLimits()

    def _refuses_work(self) -> bool:
        now_s = clock.now_s()
        service_s = self._backend_server.load(now_s).service_s
        return self._stop.refuses_work(service_s, now_s)

    def _on_backend_server(self) -> None:
        announcement = self._backend_server.announcement
        is_ready = self._backend_server.state is BackendState.READY
        self._members.update_own(
            service=announcement.service if announcement else None,
            slots=announcement.slots if announcement else 0,
            is_ready=is_ready and not self._stop.is_leaving,
            departed=self._backend_server.last_departed,
        )
        self._spawn_spread()

    def _on_rumour(self, rumour: Member) -> None:
        """Learn from the others which backend server left before a restart."""
        known = self._backend_server.last_departed
        if rumour.departed and rumour.departed != known and not known:
            self._backend_server.depart(*rumour.departed)
            self._members.update_own(departed=rumour.departed)

    async def _spread_soon(self) -> None:
        with anyio.move_on_after(_SPREAD_TIMEOUT_S):
            await self._gossip.tell_own()

    def _spawn_spread(self) -> None:
        if self._tasks:
            self._tasks.start_soon(self._gossip.tell_own)

    def _on_member(self, member: Member) -> None:
        self._scopes.learn(member)
        self._choice.forget(member.host)
        self._log.emit(
            Event.MEMBER,
            member=member.host,
            service=ServiceName(member.service or ''),
            state=member.state.name.lower(),
            incarnation=member.incarnation,
            is_ready=member.is_ready,
        )
