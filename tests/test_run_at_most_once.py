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
from ragwortstand.peers.choice import Locality
from ragwortstand.peers.forwarding import ForwardedWork, Forwarder
from ragwortstand.peers.latency_objective_choice import LatencyObjectiveChoice
from ragwortstand.peers.messages import (
    CancelWork,
    Member,
    Reply,
    Request,
    Work,
)
from ragwortstand.peers.shared_budget import RetryBudget, SharedBudgetRetries
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
_TERMS = RetryBudget(ratio=1.0, slack=1000, window_s=10)
_HOSTS = ('a', 'b', 'c')


class _Delivery(enum.Enum):
    """What happens to one message between two daemons."""

    WHOLE = 'whole'
    NOT_CONNECTED = 'not connected'
    REQUEST_LOST = 'request lost'
    REPLY_LOST = 'reply lost'
    LATE = 'arrives after the link was given up'
    PEER_RESTARTS = 'reply lost with the process'
    PEER_LEAVES = 'the peer takes no new work'


class _ServerBehaviour(enum.Enum):
    """What happens to one request at a backend server."""

    ANSWERS = 'answers'
    REJECTS = 'rejects without running it'
    DIES = 'runs it and dies'


_RAN = frozenset((_ServerBehaviour.ANSWERS, _ServerBehaviour.DIES))
_Forget = Callable[[ForwardedWork], None]


class _Peer:
    """A daemon on the host of a backend server."""

    def __init__(self, network: '_Network') -> None:
        self._network = network
        self.boot = 1
        self.is_leaving = False
        self.work = self._new_work()

    def restart(self) -> None:
        """Discard all state, as a restart of the process does."""
        self.boot += 1
        self.work = self._new_work()

    def _new_work(self) -> ForwardedWork:
        return ForwardedWork(
            self._network,
            lambda now_s: Load(4, 0, 0),
            lambda: None,
            lambda: self.is_leaving,
            self.boot,
        )


class _Network:
    """Links and backend servers with faults that are given in advance."""

    def __init__(
        self,
        deliveries: Sequence[_Delivery],
        behaviours: Sequence[_ServerBehaviour],
    ) -> None:
        self._deliveries = list(deliveries)
        self._behaviours = list(behaviours)
        self.runs: Counter[str] = Counter()
        self.peers = {name: _Peer(self) for name in _HOSTS}
        self.forget_after_each: _Forget | None = None

    async def run(self, call: Call) -> Outcome:
        """Run a request on a backend server."""
        call.is_dispatched = True
        await checkpoint()
        behaviour = (
            self._behaviours.pop()
            if self._behaviours
            else _ServerBehaviour.ANSWERS
        )
        if behaviour in _RAN:
            self.runs[call.request_id] += 1
        if behaviour is _ServerBehaviour.REJECTS:
            return Refused(Cause.REJECTED)
        if behaviour is _ServerBehaviour.DIES:
            return Unknown(Cause.CONNECTION_LOST)
        return Answered(200, (), b'')

    async def send_request(
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
        return await self._deliver(peer, request)

    def close_link(self, address: PeerAddress) -> None:
        """Do nothing, as this fake has no links."""

    async def _deliver(self, peer: _Peer, work: Work) -> Reply:
        delivery = (
            self._deliveries.pop() if self._deliveries else _Delivery.WHOLE
        )
        if delivery is _Delivery.NOT_CONNECTED:
            raise PeerError(delivery.value, Verdict.NOT_RUN)
        if delivery is _Delivery.PEER_LEAVES:
            peer.is_leaving = True
        if delivery is not _Delivery.REQUEST_LOST:
            reply = await self._run_on_peer(peer, work, delivery)
            if delivery in {_Delivery.WHOLE, _Delivery.PEER_LEAVES}:
                return reply
        raise PeerError(delivery.value, Verdict.MAY_HAVE_RUN)

    async def _run_on_peer(
        self, peer: _Peer, work: Work, delivery: _Delivery
    ) -> Reply:
        if delivery is _Delivery.LATE:
            # Lets the delayed copy and a later copy of the work overlap.
            await checkpoint()
        reply = await peer.work.run(work)
        if delivery is _Delivery.PEER_RESTARTS:
            peer.restart()
        elif self.forget_after_each:
            self.forget_after_each(peer.work)
        return reply


def _members(network: _Network) -> Any:
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


def _dispatcher(network: _Network) -> Dispatcher:
    return Dispatcher(
        _members(network),
        LatencyObjectiveChoice(
            Locality(HostId('own'), ZoneName('a1'), RegionName('a')),
            lambda now_s: Load(4, 0, 0),
            random.Random(1),
        ),
        SharedBudgetRetries(_TERMS, lambda: 1),
        cast(Any, None),
        network,
        lambda now_s: Load(4, 0, 0),
        Forwarder(network),
        Metrics(),
        ListLog(),
    )


async def _outcomes(network: _Network, count: int) -> dict[str, Outcome]:
    dispatcher = _dispatcher(network)
    names = [f'r{number}' for number in range(count)]
    return {name: await dispatcher.dispatch(_call(name)) for name in names}


def _check(network: _Network, outcomes: dict[str, Outcome]) -> None:
    """Assert that each outcome agrees with the number of runs."""
    for name, outcome in outcomes.items():
        runs = network.runs[name]
        assert runs <= 1, f'{name} ran {runs} times'
        if isinstance(outcome, Refused):
            assert runs == 0, f'{name} ran, but its verdict is not-run'
        if isinstance(outcome, Answered):
            assert runs == 1, f'{name} has an answer, but did not run'


_DELIVERIES = st.lists(st.sampled_from(_Delivery), max_size=12)
_BEHAVIOURS = st.lists(st.sampled_from(_ServerBehaviour), max_size=8)


def _run_and_check(
    deliveries: Sequence[_Delivery],
    behaviours: Sequence[_ServerBehaviour],
    forget: _Forget | None = None,
) -> None:
    network = _Network(deliveries, behaviours)
    network.forget_after_each = forget
    _check(network, anyio.run(_outcomes, network, 4))


class RunAtMostOnceTests(unittest.TestCase):
    """Verdicts of forwarded work, over peer links and backend servers."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(_DELIVERIES, _BEHAVIOURS)
    def test_work_runs_at_most_once(
        self,
        deliveries: list[_Delivery],
        behaviours: list[_ServerBehaviour],
    ) -> None:
        """No combination of faults runs work twice or gives a wrong verdict."""
        _run_and_check(deliveries, behaviours)

    def test_check_detects_lost_records(self) -> None:
        """The check fails on a daemon that discards its record of runs."""

        def forget(work: ForwardedWork) -> None:
            cast(Any, work)._runs.clear()

        with self.assertRaisesRegex(AssertionError, 'ran 2 times'):
            _run_and_check([_Delivery.REPLY_LOST], [], forget)

    def test_check_detects_wrong_retries(self) -> None:
        """The check fails if unknown outcomes are retried elsewhere."""
        network = _Network([], [_ServerBehaviour.DIES])
        dispatcher = _dispatcher(network)
        retries = SimpleNamespace(
            allows=lambda call, outcome, now_s: (
                not isinstance(outcome, Answered)
            )
        )
        cast(Any, dispatcher)._retries = retries
        outcome = anyio.run(dispatcher.dispatch, _call('r'))
        with self.assertRaisesRegex(AssertionError, 'ran 2 times'):
            _check(network, {'r': outcome})
