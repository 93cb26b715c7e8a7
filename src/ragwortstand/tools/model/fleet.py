"""ragwortstand.tools.model.fleet: simulates a fleet in one process.

The classes that decide are those of the daemon: dispatcher, choice, retries,
forwarded work and admission. Delays stand in for links, and timers for the
work of backend servers.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from types import MappingProxyType, SimpleNamespace
from typing import Any, cast

import anyio
from anyio.abc import TaskGroup

from ragwortstand import clock
from ragwortstand.backend_servers.admission import Admission, Load, Ticket
from ragwortstand.backend_servers.rate_limiter import RateLimiter
from ragwortstand.backend_servers.rejection_breaker import (
    PROBE_INTERVAL_S,
    RejectionBreaker,
)
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.wait_estimator import CallerWaitEstimator
from ragwortstand.calls import Call
from ragwortstand.events import NullLog
from ragwortstand.ids import (
    HostId,
    PeerAddress,
    RegionName,
    RequestId,
    ServiceName,
    Version,
    ZoneName,
)
from ragwortstand.metrics import Metrics
from ragwortstand.models import Rank, Service
from ragwortstand.peers.choice import Locality
from ragwortstand.peers.forwarding import ForwardedWork, Forwarder
from ragwortstand.peers.messages import (
    CancelWork,
    Member,
    MemberState,
    Reply,
    Request,
    Work,
)
from ragwortstand.tools.model.plans import (
    Fault,
    Policy,
    RequestKind,
    RequestResult,
    Scenario,
    Server,
    Stream,
)
from ragwortstand.verdicts import Answered, Cause, Outcome, Refused, Unknown

# One-way delays to the same host, zone and region and to another region.
_ONE_WAY_DELAYS_S = (0.0001, 0.0002, 0.001, 0.012)
_SERVER_ERROR = 500
# The value that the adapter sends to callers when a server rejects a request.
_REJECTED_RETRY_AFTER_S = 0.02
# Callers wait at most this share of their remaining time before a retry.
_MAX_RETRY_DELAY_SHARE = 1 / 3
# Refusals lengthen the delay by up to this factor, to spread the retries.
_RETRY_DELAY_SPREAD = 1.3
_VERSION = Version(1)


class _BackendServer:
    """Runs requests with the slots that the admission grants."""

    def __init__(self, daemon: '_Daemon', admission: Admission) -> None:
        self._daemon = daemon
        self._server = daemon.server
        self._rng = daemon.fleet.rng
        self._breaker = RejectionBreaker()
        self._rate_limiter = RateLimiter()
        self._rate_limiter.configure(daemon.fleet.ranks)
        self.admission = admission
        admission.configure(daemon.fleet.ranks)
        admission.open(self._server.slots, 0, 0)

    async def run(self, call: Call) -> Outcome:
        """Run a request on this server and return its outcome."""
        now_s = clock.now_s()
        queued = self.admission.load(now_s).queued
        refusal = self._rate_limiter.refusal(call.rank.name, queued, now_s)
        if refusal:
            return refusal
        ticket = self.admission.enter(
            call.rank.name, call.deadline_s, now_s, goal_s=call.goal_s
        )
        if isinstance(ticket, Refused):
            return ticket
        outcome: Outcome = Refused(Cause.DEADLINE)
        try:
            with anyio.CancelScope(deadline=call.deadline_s):
                outcome = await self._run_when_granted(call, ticket)
            if call.is_dispatched and isinstance(outcome, Refused):
                outcome = Unknown(Cause.DEADLINE)
        finally:
            self.admission.leave(ticket, clock.now_s())
        return outcome

    async def _run_when_granted(self, call: Call, ticket: Ticket) -> Outcome:
        if ticket.granted_at_s is None:
            await ticket.granted.wait()
        refusal = ticket.refusal or self._rate_limiter.take(clock.now_s())
        if refusal:
            return refusal
        faults = self._active_faults()
        if not self._breaker.allows(clock.now_s()):
            return Refused(Cause.BACKEND_SERVER_DOWN, PROBE_INTERVAL_S)
        if any(self._rng.random() < one.rejected_share for one in faults):
            self._daemon.rejected += 1
            self._breaker.record_rejection(clock.now_s())
            return Refused(Cause.REJECTED, _REJECTED_RETRY_AFTER_S)
        self._breaker.close()
        call.is_dispatched = True
        self._daemon.arrivals_s.append(clock.now_s())
        slowdown = math.prod(one.slowdown for one in faults)
        kind = self._daemon.fleet.kind_of(call)
        spread = self._rng.uniform(1 - kind.spread, 1 + kind.spread)
        await anyio.sleep(kind.work_s * spread * slowdown / self._server.speed)
        self._name_limit()
        for called in kind.calls:
            outcome = await self._daemon.send(called, call.deadline_s)
            if not _is_served(outcome):
                return Answered(_SERVER_ERROR, (), b'')
        return Answered(200, (), b'')

    def _name_limit(self) -> None:
        """Name the present limit with a response."""
        limits_per_s = [
            fault.rate_limit_per_s
            for fault in self._active_faults()
            if fault.rate_limit_per_s is not None
        ]
        self._rate_limiter.set_limit(
            min(limits_per_s, default=None), clock.now_s()
        )

    def _active_faults(self) -> list[Fault]:
        now_s = clock.now_s()
        return [
            fault
            for fault in self._daemon.fleet.scenario.faults
            if self._server.host in fault.hosts
            and fault.from_s <= now_s < fault.until_s
        ]


class _Daemon:
    """The daemon beside one backend server."""

    def __init__(self, fleet: 'FleetModel', server: Server) -> None:
        self.fleet = fleet
        self.server = server
        self.rejected = 0
        self.arrivals_s: list[float] = []
        self.locality = Locality(
            HostId(server.host),
            ZoneName(server.zone),
            RegionName(server.region),
        )
        policy = fleet.policy
        self._backend_server = _BackendServer(self, policy.admission())
        self.work = ForwardedWork(
            self._backend_server, self.load, _no_snapshot, _never
        )
        self.forwarder = Forwarder(_Links(self))
        self._wait_estimator = CallerWaitEstimator()
        self._dispatcher = Dispatcher(
            cast(Any, fleet.membership_of(self.locality.host)),
            policy.choice(self.locality, self.load, fleet.rng),
            policy.retries(len(fleet.scenario.servers)),
            cast(Any, None),
            self._backend_server,
            self.load,
            self.forwarder,
            Metrics(),
            NullLog(),
        )

    def load(self, now_s: float) -> Load:
        """Return the load of the backend server."""
        return self._backend_server.admission.load(now_s)

    async def send(
        self, kind: RequestKind, deadline_s: float = math.inf
    ) -> Outcome:
        """Send a request as a caller on this host does.

        :param kind: the kind of request.
        :param deadline_s: deadline of the caller itself, in virtual time.
        """
        call = self.fleet.create_call(kind, deadline_s)
        budget_s = call.remaining_s(call.began_at_s)
        waited_s = self._wait_estimator.waited_s(kind.rank.name, budget_s)
        call.goal_s = call.began_at_s + kind.rank.target_s - waited_s
        await anyio.sleep(_ONE_WAY_DELAYS_S[0])
        return await self._dispatcher.dispatch(call)


class _Links:
    """Passes messages between daemons after the delay of their distance."""

    def __init__(self, daemon: _Daemon) -> None:
        self._daemon = daemon

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Deliver a message to a peer and return its reply."""
        peer = self._daemon.fleet.daemons[address]
        member = self._daemon.fleet.members[address]
        delay_s = _ONE_WAY_DELAYS_S[self._daemon.locality.distance(member)]
        await anyio.sleep(delay_s)
        reply: Reply
        if isinstance(request, CancelWork):
            reply = peer.work.cancel(request)
        else:
            reply = await peer.work.run(cast(Work, request))
        await anyio.sleep(delay_s)
        return reply

    def close_link(self, address: PeerAddress) -> None:
        """Do nothing, as the model keeps no links."""


@dataclass(slots=True)
class FleetModel:
    """Simulates one scenario with one policy.

    :param scenario: the servers, the load and the faults.
    :param policy: the policy classes of all daemons.
    :param seed: seed of all random choices.
    """

    scenario: Scenario
    policy: Policy
    seed: int = 1
    rng: random.Random = field(init=False)
    members: dict[str, Member] = field(init=False)
    daemons: dict[str, _Daemon] = field(default_factory=dict)
    results: list[RequestResult] = field(default_factory=list)
    _kinds: dict[RequestId, RequestKind] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the members, so that all servers are known from the start."""
        self.rng = random.Random(self.seed)
        self.members = {
            server.host: _member(server) for server in self.scenario.servers
        }

    @property
    def ranks(self) -> tuple[Rank, ...]:
        """Return the ranks of the scenario, the most urgent first."""
        kinds = [stream.kind for stream in self.scenario.streams]
        called = [one for kind in kinds for one in kind.calls]
        ranks = {kind.rank.name: kind.rank for kind in (*kinds, *called)}
        return tuple(sorted(ranks.values(), key=lambda rank: rank.target_s))

    async def simulate(self) -> tuple[RequestResult, ...]:
        """Run the scenario and return the results of its requests."""
        for server in self.scenario.servers:
            self.daemons[server.host] = _Daemon(self, server)
        async with anyio.create_task_group() as tasks:
            for daemon in self.daemons.values():
                daemon.forwarder.start(tasks)
            for stream in self.scenario.streams:
                tasks.start_soon(self._run_stream, stream, tasks)
        return tuple(self.results)

    def kind_of(self, call: Call) -> RequestKind:
        """Return the kind of a request that `create_call` returned."""
        return self._kinds[call.request_id]

    def create_call(self, kind: RequestKind, deadline_s: float) -> Call:
        """Create a request of a kind, and record its kind by its id."""
        now_s = clock.now_s()
        request_id = RequestId(str(len(self._kinds)))
        self._kinds[request_id] = kind
        return Call(
            request_id=request_id,
            method='GET',
            target='/',
            headers=(),
            body=b'',
            service=Service(name=kind.service),
            rank=kind.rank,
            is_idempotent=kind.is_idempotent,
            deadline_s=min(deadline_s, now_s + kind.deadline_s),
            version=_VERSION,
            began_at_s=now_s,
        )

    def membership_of(self, host: HostId) -> SimpleNamespace:
        """Return a stand-in for the membership of one daemon."""
        offering: dict[str, tuple[Member, ...]] = {}
        for member in self.members.values():
            name = member.service or ''
            offering[name] = (*offering.get(name, ()), member)
        return SimpleNamespace(
            own=self.members[host],
            offering=MappingProxyType(offering).__getitem__,
        )

    async def _run_stream(self, stream: Stream, tasks: TaskGroup) -> None:
        await anyio.sleep(stream.from_s)
        while clock.now_s() < stream.until_s:
            await anyio.sleep(self.rng.expovariate(stream.rate_per_s))
            tasks.start_soon(self._run_caller, stream)

    async def _run_caller(self, stream: Stream) -> None:
        began_at_s = clock.now_s()
        outcome, refused_after_s = await self._send_with_retries(stream)
        rank = stream.kind.rank
        taken_s = clock.now_s() - began_at_s
        is_served = _is_served(outcome)
        self.results.append(
            RequestResult(
                rank.name,
                stream.zone,
                began_at_s,
                taken_s,
                is_served,
                is_served and taken_s <= rank.target_s,
                refused_after_s,
            )
        )

    async def _send_with_retries(self, stream: Stream) -> tuple[Outcome, float]:
        """Send a request, and retry refusals as callers do.

        Returns the last outcome and the time until the first refusal.
        """
        began_at_s = clock.now_s()
        until_s = began_at_s + stream.kind.deadline_s
        refused_after_s = math.inf
        for retries_left in reversed(range(stream.max_retries + 1)):
            daemon = self.rng.choice(self._daemons_in(stream.zone))
            outcome = await daemon.send(stream.kind, until_s)
            if not isinstance(outcome, Refused):
                break
            now_s = clock.now_s()
            refused_after_s = min(refused_after_s, now_s - began_at_s)
            if not retries_left:
                break
            spread = self.rng.uniform(1, _RETRY_DELAY_SPREAD)
            longest_s = (until_s - now_s) * _MAX_RETRY_DELAY_SHARE
            await anyio.sleep(min(outcome.retry_after_s * spread, longest_s))
        return outcome, refused_after_s

    def _daemons_in(self, zone: str) -> Sequence[_Daemon]:
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.server.zone == zone
        ]


def _member(server: Server) -> Member:
    return Member(
        host=HostId(server.host),
        peer_address=PeerAddress(server.host),
        region=RegionName(server.region),
        zone=ZoneName(server.zone),
        incarnation=1,
        state=MemberState.ALIVE,
        service=ServiceName(server.service),
        slots=server.slots,
        is_ready=True,
        boot=1,
    )


def _is_served(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and not outcome.has_failed


def _no_snapshot() -> None:
    """Return no configuration: forwarded work carries its own rank."""


def _never() -> bool:
    return False
