"""Requests that were in flight in a crash are sent to their owner."""

import random
import unittest

import anyio

from ragwortstand.backend_servers import Load
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.calls import Call
from ragwortstand.ids import HostId
from ragwortstand.metrics import Metrics
from ragwortstand.peers.choice import RandomChoice
from ragwortstand.peers.forwarding import AttemptResult
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member
from ragwortstand.peers.retries import BudgetedRetries
from ragwortstand.settings import MembershipSettings
from ragwortstand.tools.model import run_in_virtual_time
from ragwortstand.verdicts import Answered, Cause, Outcome, Refused
from tests.fakes import ListLog, member
from tests.forwarded import new_call

_SERVICE = 's'
_AGREED_AT_S = 0.1
_NAMES = ('h1', 'h2', 'h3')


class _Peers:
    """Daemons that each leave a suspect to another one until they agree."""

    def __init__(self) -> None:
        self.asked: list[HostId] = []

    async def forward(self, call: Call, target: Member) -> AttemptResult:
        self.asked.append(target.host)
        await anyio.sleep(0.001)
        if anyio.current_time() < _AGREED_AT_S:
            return AttemptResult(Refused(Cause.SUSPECT), 0)
        return AttemptResult(Answered(200, (), b''), 0)


class OwnerTests(unittest.TestCase):
    """The owner of a suspect refuses it as long as it knows another one."""

    def setUp(self) -> None:
        """Create a dispatcher on a host without a backend server."""
        own = member('own', service=None)
        members = Members(own, MembershipSettings(), 0.0)
        members.merge([member(name, service=_SERVICE) for name in _NAMES], 0.0)
        self.peers = _Peers()
        self.dispatcher = Dispatcher(
            members,
            RandomChoice(random.Random(1)),
            BudgetedRetries(),
            KeyOwners(members, 60),
            self.peers,  # type: ignore[arg-type]
            lambda now_s: Load(4, 1, 0),
            self.peers,  # type: ignore[arg-type]
            Metrics(),
            ListLog(),
        )

    def _dispatched(self, budget_s: float) -> Outcome:
        async def play() -> Outcome:
            call = new_call('s', budget_s)
            call.is_suspect = True
            return await self.dispatcher.dispatch(call)

        return run_in_virtual_time(play)

    # For 30 ms after a crash daemons disagreed on the owner; a suspect was
    # refused by all of them within 10 ms and given up.
    def test_is_asked_again_until_the_daemons_agree(self) -> None:
        self.assertIsInstance(self._dispatched(2.0), Answered)
        self.assertEqual(len(set(self.peers.asked)), 1)

    def test_is_not_waited_for_beyond_the_deadline(self) -> None:
        self.assertEqual(self._dispatched(0.03), Refused(Cause.SUSPECT))
        self.assertLessEqual(len(self.peers.asked), 3)
