"""Tests that work runs at most once despite lost messages and restarts.

Real components exchange messages over links in memory: the daemon that
received the request, with its retries and its choice of a member, and the
daemons of the backend servers, with their records of forwarded work.
Hypothesis generates the lost messages and the restarts.
"""

import enum
import random
import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any, cast

import anyio
from anyio.lowlevel import checkpoint
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from ragwortstand import clock
from ragwortstand.backend_servers import Load
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.calls import Call
from ragwortstand.exceptions import PeerError
from ragwortstand.ids import (
    HostId,
    PeerAddress,
    RegionName,
    RequestId,
    Version,
    ZoneName,
)
from ragwortstand.metrics import Metrics
from ragwortstand.models import Rank, Service
from ragwortstand.peers.choice import Place
from ragwortstand.peers.forwarding import ForwardedWork, Forwarder
from ragwortstand.peers.goal_choice import GoalChoice
from ragwortstand.peers.messages import (
    CancelWork,
    Member,
    Reply,
    Request,
    Work,
)
from ragwortstand.peers.shared_budget import RetryTerms, SharedBudgetRetries
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)
from tests.fakes import ListLog, member

_SERVICE = Service(name='consult')
_RANK = Rank(name='work', target_s=0.25)
_TERMS = RetryTerms(ratio=1.0, slack=1000, window_s=10)
_HOSTS = ('a', 'b', 'c')


class _Hop(enum.Enum):
    """What happens to one message between two daemons."""

    WHOLE = 'whole'
    NOT_CONNECTED = 'not connected'
    REQUEST_LOST = 'request lost'
    REPLY_LOST = 'reply lost'
    LATE = 'arrives after the link was given up'
    PEER_RESTARTS = 'reply lost with the process'
    PEER_LEAVES = 'the peer takes no new work'


class _Server(enum.Enum):
    """What happens to one request at a backend server."""

    ANSWERS = 'answers'
    REJECTS = 'rejects without running it'
    DIES = 'runs it and dies'


_RAN = frozenset((_Server.ANSWERS, _Server.DIES))
_Forgetful = Callable[[ForwardedWork], None]


class _Peer:
    """A daemon on the host of a backend server."""

    def __init__(self, world: '_World') -> None:
        self._world = world
        self.boot = 1
        self.is_leaving = False
        self.work = self._new_work()

    def restart(self) -> None:
        """Discard all state, as a restart of the process does."""
        self.boot += 1
        self.work = self._new_work()

    def _new_work(self) -> ForwardedWork:
        return ForwardedWork(
            self._world,
            lambda now_s: Load(4, 0, 0),
            lambda: None,
            lambda: self.is_leaving,
            self.boot,
        )


class _World:
    """Links and backend servers with faults that are given in advance."""

    def __init__(
        self,
        hops: Sequence[_Hop],
        servers: Sequence[_Server],
    ) -> None:
        self._hops = list(hops)
        self._servers = list(servers)
        self.runs: Counter[str] = Counter()
        self.peers = {name: _Peer(self) for name in _HOSTS}
        self.forget_after_each: _Forgetful | None = None

    async def run(self, call: Call) -> Outcome:
        """Run a request on a backend server."""
        call.is_dispatched = True
        await checkpoint()
        fate = self._servers.pop() if self._servers else _Server.ANSWERS
        if fate in _RAN:
            self.runs[call.request_id] += 1
        if fate is _Server.REJECTS:
            return Refused(Cause.REJECTED)
        if fate is _Server.DIES:
            return Unknown(Cause.CONNECTION_LOST)
        return Answered(200, (), b'')

    async def ask(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Deliver a message to a peer, or lose it or its reply."""
        peer = self.peers[address.removeprefix('tcp://').partition(':')[0]]
        if isinstance(request, CancelWork):
            return peer.work.cancel(request)
        assert isinstance(request, Work)
        return await self._carry(peer, request)

    def forget(self, address: PeerAddress) -> None:
        """Do nothing, as this fake has no links."""

    async def _carry(self, peer: _Peer, work: Work) -> Reply:
        hop = self._hops.pop() if self._hops else _Hop.WHOLE
        if hop is _Hop.NOT_CONNECTED:
            raise PeerError(hop.value, Verdict.NOT_RUN)
        if hop is _Hop.PEER_LEAVES:
            peer.is_leaving = True
        if hop is not _Hop.REQUEST_LOST:
            reply = await self._arrive(peer, work, hop)
            if hop in {_Hop.WHOLE, _Hop.PEER_LEAVES}:
                return reply
        raise PeerError(hop.value, Verdict.MAY_HAVE_RUN)

    async def _arrive(self, peer: _Peer, work: Work, hop: _Hop) -> Reply:
        if hop is _Hop.LATE:
            # Lets the delayed copy and a later copy of the work overlap.
            await checkpoint()
        reply = await peer.work.run(work)
        if hop is _Hop.PEER_RESTARTS:
            peer.restart()
        elif self.forget_after_each:
            self.forget_after_each(peer.work)
        return reply


def _members(world: _World) -> Any:
    def offering(service: str) -> tuple[Member, ...]:
        return tuple(replace(member(name), boot=1) for name in _HOSTS)

    own = SimpleNamespace(host=HostId('own'))
    return SimpleNamespace(own=own, offering=offering)


def _call(name: str) -> Call:
    now_s = clock.now_s()
    return Call(
        request_id=RequestId(name),
        method='POST',
        target='/',
        headers=(),
        body=b'',
        service=_SERVICE,
        rank=_RANK,
        is_idempotent=False,
        deadline_s=now_s + 5,
        version=Version(1),
        goal_s=now_s + 5,
        max_attempts=3,
        began_at_s=now_s,
    )


def _dispatcher(world: _World) -> Dispatcher:
    return Dispatcher(
        _members(world),
        GoalChoice(
            Place(HostId('own'), ZoneName('a1'), RegionName('a')),
            lambda now_s: Load(4, 0, 0),
            random.Random(1),
        ),
        SharedBudgetRetries(_TERMS, lambda: 1),
        cast(Any, None),
        world,
        lambda now_s: Load(4, 0, 0),
        Forwarder(world),
        Metrics(),
        ListLog(),
    )


async def _outcomes(world: _World, count: int) -> dict[str, Outcome]:
    dispatcher = _dispatcher(world)
    names = [f'r{number}' for number in range(count)]
    return {name: await dispatcher.dispatch(_call(name)) for name in names}


def _check(world: _World, outcomes: dict[str, Outcome]) -> None:
    """Assert that each outcome agrees with the number of runs."""
    for name, outcome in outcomes.items():
        runs = world.runs[name]
        assert runs <= 1, f'{name} ran {runs} times'
        if isinstance(outcome, Refused):
            assert runs == 0, f'{name} ran, but was told not to have'
        if isinstance(outcome, Answered):
            assert runs == 1, f'{name} has an answer, but did not run'


_HOPS = st.lists(st.sampled_from(_Hop), max_size=12)
_SERVERS = st.lists(st.sampled_from(_Server), max_size=8)


def _play(
    hops: Sequence[_Hop],
    servers: Sequence[_Server],
    forget: _Forgetful | None = None,
) -> None:
    world = _World(hops, servers)
    world.forget_after_each = forget
    _check(world, anyio.run(_outcomes, world, 4))


class RunAtMostOnceTests(unittest.TestCase):
    """Verdicts of forwarded work, over peer links and backend servers."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(_HOPS, _SERVERS)
    def test_no_loss_makes_work_run_twice(
        self,
        hops: list[_Hop],
        servers: list[_Server],
    ) -> None:
        """No combination of faults runs work twice or gives a wrong verdict."""
        _play(hops, servers)

    def test_forgotten_work_is_found(self) -> None:
        """The check fails on a daemon that discards its record of runs."""

        def forget(work: ForwardedWork) -> None:
            cast(Any, work)._runs.clear()

        with self.assertRaisesRegex(AssertionError, 'ran 2 times'):
            _play([_Hop.REPLY_LOST], [], forget)

    def test_retries_that_ignore_the_verdict_are_found(self) -> None:
        """The check fails if unknown outcomes are retried elsewhere."""
        world = _World([], [_Server.DIES])
        dispatcher = _dispatcher(world)
        retries = SimpleNamespace(
            allows=lambda call, outcome, now_s: (
                not isinstance(outcome, Answered)
            )
        )
        cast(Any, dispatcher)._retries = retries
        outcome = anyio.run(dispatcher.dispatch, _call('r'))
        with self.assertRaisesRegex(AssertionError, 'ran 2 times'):
            _check(world, {'r': outcome})
