"""ragwortstand.tools.model.fleet: a fleet in memory, in virtual time.

The decision classes are the real ones: dispatcher, choice, retries, memory of
forwarded work and admission. Links are delays, backend servers are timers.
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

# One way to the same host, zone, region and another region, in seconds.
_ONE_WAY_DELAYS_S = (0.0001, 0.0002, 0.001, 0.012)
_SERVER_ERROR = 500
# As the adapter tells callers of a server that rejects.
_REJECTED_RETRY_AFTER_S = 0.02
# Callers come back at the latest after this part of the time they have left.
_MAX_RETRY_DELAY_SHARE = 1 / 3
# Refusals spread the return of callers up to this factor.
_RETRY_DELAY_SPREAD = 1.3
_VERSION = Version(1)


class _BackendServer:
    """Runs requests with the slots that the admission grants."""

    def __init__(self, daemon: '_Daemon', admission: Admission) -> None:
        self._daemon = daemon
        self._server = daemon.server
        self._rng = daemon.fleet.rng
        self.admission = admission
        admission.configure(daemon.fleet.ranks)
        admission.open(self._server.slots, 0, 0)

    async def run(self, call: Call) -> Outcome:
        """Return the outcome of a request here."""
        now_s = clock.now_s()
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
        if ticket.refusal:
            return ticket.refusal
        faults = self._active_faults()
        if any(self._rng.random() < one.rejected_share for one in faults):
            return Refused(Cause.REJECTED, _REJECTED_RETRY_AFTER_S)
        call.is_dispatched = True
        slowdown = math.prod(one.slowdown for one in faults)
        kind = self._daemon.fleet.kind_of(call)
        spread = self._rng.uniform(1 - kind.spread, 1 + kind.spread)
        await anyio.sleep(kind.work_s * spread * slowdown / self._server.speed)
        for called in kind.calls:
            outcome = await self._daemon.send(called, call.deadline_s)
            if not _is_served(outcome):
                return Answered(_SERVER_ERROR, (), b'')
        return Answered(200, (), b'')

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
        self.place = Locality(
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
            cast(Any, fleet.membership_of(self.place.host)),
            policy.choice(self.place, self.load, fleet.rng),
            policy.retries(len(fleet.scenario.servers)),
            cast(Any, None),
            self._backend_server,
            self.load,
            self.forwarder,
            Metrics(),
            NullLog(),
        )

    def load(self, now_s: float) -> Load:
        """Return how busy the backend server is."""
        return self._backend_server.admission.load(now_s)

    async def send(
        self, kind: RequestKind, deadline_s: float = math.inf
    ) -> Outcome:
        """Send a request as a caller on this host does.

        :param kind: what is asked for.
        :param deadline_s: when the caller itself must be done.
        """
        call = self.fleet.create_call(kind, deadline_s)
        budget_s = call.remaining_s(call.began_at_s)
        waited_s = self._wait_estimator.waited_s(kind.rank.name, budget_s)
        call.goal_s = call.began_at_s + kind.rank.target_s - waited_s
        await anyio.sleep(_ONE_WAY_DELAYS_S[0])
        return await self._dispatcher.dispatch(call)


class _Links:
    """Delays between daemons."""

    def __init__(self, daemon: _Daemon) -> None:
        self._daemon = daemon

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Carry a message there and its reply back."""
        peer = self._daemon.fleet.daemons[address]
        member = self._daemon.fleet.members[address]
        delay_s = _ONE_WAY_DELAYS_S[self._daemon.place.distance(member)]
        await anyio.sleep(delay_s)
        reply: Reply
        if isinstance(request, CancelWork):
            reply = peer.work.cancel(request)
        else:
            reply = await peer.work.run(cast(Work, request))
        await anyio.sleep(delay_s)
        return reply

    def close_link(self, address: PeerAddress) -> None:
        """Keep no links."""


@dataclass(slots=True)
class FleetModel:
    """Plays one scene with one policy.

    :param scenario: the load pattern.
    :param policy: the deciding parts.
    :param seed: of all randomness.
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
        """Know all servers from the start."""
        self.rng = random.Random(self.seed)
        self.members = {
            server.host: _member(server) for server in self.scenario.servers
        }

    @property
    def ranks(self) -> tuple[Rank, ...]:
        """Return the ranks of the scene, the most urgent first."""
        kinds = [stream.kind for stream in self.scenario.streams]
        called = [one for kind in kinds for one in kind.calls]
        ranks = {kind.rank.name: kind.rank for kind in (*kinds, *called)}
        return tuple(sorted(ranks.values(), key=lambda rank: rank.target_s))

    async def simulate(self) -> tuple[RequestResult, ...]:
        """Return how each request of the scene ended."""
        for server in self.scenario.servers:
            self.daemons[server.host] = _Daemon(self, server)
        async with anyio.create_task_group() as tasks:
            for daemon in self.daemons.values():
                daemon.forwarder.start(tasks)
            for stream in self.scenario.streams:
                tasks.start_soon(self._run_stream, stream, tasks)
        return tuple(self.results)

    def kind_of(self, call: Call) -> RequestKind:
        """Return the kind of a request that runs."""
        return self._kinds[call.request_id]

    def create_call(self, kind: RequestKind, deadline_s: float) -> Call:
        """Return a new request."""
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
        """Return the list of members as one daemon has it."""
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
        """Ask, and come back as callers do, until there is an answer.

        Returns the last outcome and the time to the first refusal.
        """
        began_at_s = clock.now_s()
        until_s = began_at_s + stream.kind.deadline_s
        refused_after_s = math.inf
        for retries_left in reversed(range(stream.max_retries + 1)):
            daemon = self.rng.choice(self._daemons_in(stream.zone))
            outcome = await daemon.send(stream.kind, until_s)
            if not isinstance(outcome, Refused) or not retries_left:
                break
            now_s = clock.now_s()
            refused_after_s = min(refused_after_s, now_s - began_at_s)
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
    """Know no configuration; the ranks of work come with it."""


def _never() -> bool:
    return False
