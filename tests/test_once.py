"""Tests of claims and of running keyed requests at most once."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio

from ragwortstand.backend_servers.crash_record import CrashRecord
from ragwortstand.callers.once import OnceRunner
from ragwortstand.calls import Call
from ragwortstand.ids import (
    Fingerprint,
    HostId,
    IdempotencyKey,
    RequestId,
    Version,
)
from ragwortstand.models import Rank, Service
from ragwortstand.peers.homes import Homes
from ragwortstand.peers.members import Members
from ragwortstand.settings import MembershipSettings
from ragwortstand.storage.claims import Claim, ClaimTable
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)
from tests.fakes import FakePlatform, member

_ANSWER = Answered(200, ((b'x', b'y'),), b'done')
_WINDOW_S = 0.0


class _FakeBackendServer:
    """Counts runs; outcomes are scripted."""

    def __init__(self) -> None:
        self.runs = 0
        self.outcomes: list[Outcome] = []
        self.duration_s = 0.0

    async def run(
        self,
        call: Call,
        claim: Callable[[], Awaitable[Outcome | None]],
    ) -> Outcome:
        """Run after the claim."""
        refusal = await claim()
        if refusal:
            return refusal
        outcome = self.outcomes.pop(0) if self.outcomes else _ANSWER
        if not isinstance(outcome, Refused):
            call.is_dispatched = True
            self.runs += 1
            await anyio.sleep(self.duration_s)
        return outcome


def _call(key: str = 'k') -> Call:
    return Call(
        request_id=RequestId('r'),
        method='POST',
        target='/lifts',
        headers=(),
        body=b'',
        service=Service(name='consult'),
        rank=Rank(name='urgent'),
        is_idempotent=False,
        deadline_s=anyio.current_time() + 5,
        version=Version(1),
        key=IdempotencyKey(key),
    )


class _Daemon:
    """The parts of one daemon that keep work from running twice."""

    def __init__(self, platform: FakePlatform, host: str, *, window_s: float):
        self.backend = _FakeBackendServer()
        self.is_store_out = True
        self.claims = ClaimTable(platform)
        self.members = Members(member(host), MembershipSettings(), 0)
        self.homes = Homes(self.members, window_s)
        self.homes.note_ready(is_ready=True, now_s=anyio.current_time())
        self.runner = OnceRunner(
            HostId(host),
            self.backend,  # type: ignore[arg-type]
            self.claims,
            self.homes,
            window_s=60,
            is_store_out=self._is_store_out,
        )

    async def _is_store_out(self) -> bool:
        return self.is_store_out


class OnceRunnerTest(unittest.IsolatedAsyncioTestCase):
    """A key runs at most once, whatever is lost on the way."""

    async def asyncSetUp(self) -> None:
        """Start two daemons that share a platform, not a list."""
        self.platform = FakePlatform()
        self.first = _Daemon(self.platform, 'h1', window_s=_WINDOW_S)
        self.second = _Daemon(self.platform, 'h2', window_s=_WINDOW_S)
        self._writers: list[asyncio.Task[None]] = []
        self._start_writer(self.first)
        self._start_writer(self.second)

    def _start_writer(self, daemon: _Daemon) -> None:
        """Run a writer of claims until the end of the test."""
        writer = asyncio.ensure_future(daemon.claims.run())
        self._writers.append(writer)
        self.addCleanup(writer.cancel)

    async def test_repetition_gets_the_first_answer(self) -> None:
        """The home answers a repetition from its memory."""
        outcomes = [await self.first.runner.run(_call()) for _ in range(3)]
        self.assertEqual(outcomes, [_ANSWER] * 3)
        self.assertEqual(self.first.backend.runs, 1)

    async def test_crossing_repetitions_run_once(self) -> None:
        """Two repetitions at once wait for the one run."""
        self.first.backend.duration_s = 0.05
        outcomes: list[Outcome] = []

        async def run() -> None:
            outcomes.append(await self.first.runner.run(_call()))

        async with anyio.create_task_group() as calls:
            for _ in range(5):
                calls.start_soon(run)
        self.assertEqual(outcomes, [_ANSWER] * 5)
        self.assertEqual(self.first.backend.runs, 1)

    async def test_second_home_finds_the_claim(self) -> None:
        """A daemon without memory learns the answer from the table."""
        await self.first.runner.run(_call())
        await anyio.sleep(0.4)
        outcome = await self.second.runner.run(_call())
        self.assertEqual(outcome, _ANSWER)
        self.assertEqual(self.second.backend.runs, 0)

    async def test_claim_without_answer_may_have_run(self) -> None:
        """A claim of a daemon that died is honestly unknown."""
        await self.first.claims.claim('consult/k', Claim(HostId('h1'), 'nonce'))
        outcome = await self.second.runner.run(_call())
        self.assertEqual(outcome, Unknown(Cause.ALREADY_CLAIMED))
        self.assertEqual(self.second.backend.runs, 0)

    async def test_lost_answer_of_the_claim(self) -> None:
        """A claim whose answer was lost is found and used, once."""
        self.platform.write_faults.append(Verdict.MAY_HAVE_RUN)
        outcome = await self.first.runner.run(_call())
        self.assertEqual(outcome, _ANSWER)
        self.assertEqual(self.first.backend.runs, 1)

    async def test_refusal_releases_the_claim(self) -> None:
        """After "not run" another daemon may run the request."""
        down = Refused(Cause.BACKEND_SERVER_DOWN)
        self.first.backend.outcomes = [down]
        self.assertEqual(await self.first.runner.run(_call()), down)
        self.assertEqual(await self.second.runner.run(_call()), _ANSWER)

    async def test_unknown_outcome_is_never_repeated(self) -> None:
        """A run without an answer is not run again anywhere."""
        self.first.backend.outcomes = [Unknown(Cause.CONNECTION_LOST)]
        await self.first.runner.run(_call())
        for daemon in (self.first, self.second):
            outcome = await daemon.runner.run(_call())
            self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.first.backend.runs, 1)
        self.assertEqual(self.second.backend.runs, 0)

    async def test_store_out_only_home_runs(self) -> None:
        """In an outage the only home runs from memory, once."""
        self.platform.is_out = True
        for _ in range(2):
            outcome = await self.first.runner.run(_call())
            self.assertEqual(outcome, _ANSWER)
        self.assertEqual(self.first.backend.runs, 1)

    async def test_store_out_young_home_does_not_run(self) -> None:
        """In an outage a young home cannot know, and says so."""
        young = _Daemon(self.platform, 'h3', window_s=60)
        self._start_writer(young)
        self.platform.is_out = True
        outcome = await young.runner.run(_call())
        self.assertEqual(outcome, Unknown(Cause.CLAIM_UNAVAILABLE))
        self.assertEqual(young.backend.runs, 0)

    async def test_cut_off_home_does_not_run(self) -> None:
        """A home that alone misses the store does not run from memory."""
        self.first.is_store_out = False
        self.platform.is_out = True
        outcome = await self.first.runner.run(_call())
        self.assertEqual(outcome, Unknown(Cause.CLAIM_UNAVAILABLE))
        self.assertEqual(self.first.backend.runs, 0)

    async def test_outage_over_the_young_home_runs(self) -> None:
        """After the outage the same repetition runs under its claim."""
        young = _Daemon(self.platform, 'h3', window_s=60)
        self._start_writer(young)
        self.platform.is_out = True
        await young.runner.run(_call())
        self.platform.is_out = False
        await anyio.sleep(0.6)
        self.assertEqual(await young.runner.run(_call()), _ANSWER)

    async def test_restarted_home_does_not_repeat_work_of_an_outage(
        self,
    ) -> None:
        """What ran from memory alone has no claim after a restart."""
        self.platform.is_out = True
        self.assertEqual(await self.first.runner.run(_call()), _ANSWER)
        self.platform.is_out = False
        restarted = _Daemon(self.platform, 'h1', window_s=60)
        self._start_writer(restarted)
        restarted.homes.note_report(0.1, anyio.current_time())
        outcome = await restarted.runner.run(_call())
        self.assertEqual(outcome, Unknown(Cause.CLAIM_UNAVAILABLE))
        self.assertEqual(restarted.backend.runs, 0)

    async def test_not_the_home(self) -> None:
        """A daemon that is not the home refuses as not run."""
        others = [member(f'x{one}') for one in range(9)]
        self.first.members.merge(others, 0)
        outcomes = {
            await self.first.runner.run(_call(f'k{one}')) for one in range(20)
        }
        self.assertIn(Refused(Cause.NOT_HOME, 0.5), outcomes)

    async def test_claims_travel_in_batches(self) -> None:
        """Many claims at once take few transactions."""

        async def run(number: int) -> None:
            await self.first.runner.run(_call(f'k{number}'))

        async with anyio.create_task_group() as calls:
            for number in range(50):
                calls.start_soon(run, number)
        self.assertEqual(self.first.backend.runs, 50)
        self.assertLessEqual(self.platform.writes, 10)

    async def test_large_answers_are_not_kept(self) -> None:
        """A repetition of a request with a large answer is told it ran."""
        self.first.backend.outcomes = [Answered(200, (), b'x' * 100_000)]
        first = await self.first.runner.run(_call())
        self.assertEqual(first.verdict, Verdict.RAN)
        again = await self.first.runner.run(_call())
        self.assertEqual(again, Unknown(Cause.ALREADY_CLAIMED))
        self.assertEqual(self.first.backend.runs, 1)

    async def test_full_memory_refuses_new_keys(self) -> None:
        """A home that can remember no more keys refuses new ones."""
        with mock.patch('ragwortstand.callers.once._MAX_ENTRIES', 1):
            await self.first.runner.run(_call('k1'))
            outcome = await self.first.runner.run(_call('k2'))
            again = await self.first.runner.run(_call('k1'))
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(again, _ANSWER)

    async def test_old_entries_are_forgotten(self) -> None:
        """Beyond the window the memory and the claim go."""
        await self.first.runner.run(_call())
        self.first.runner.forget_old(anyio.current_time() + 61)
        await anyio.sleep(0.6)
        self.assertIsNone(await self.first.claims.find('consult/k'))


class CrashRecordTest(unittest.TestCase):
    """Requests that crash their backend server are quarantined."""

    def test_second_crash_quarantines(self) -> None:
        """Two crashes condemn a request; one is only a suspicion."""
        record = CrashRecord()
        poison, other = Fingerprint('p'), Fingerprint('o')
        self.assertEqual(record.add([poison, other], 0), ())
        self.assertFalse(record.is_quarantined(poison, 1))
        record.clear(other)
        self.assertEqual(record.add([poison], 2), (poison,))
        self.assertTrue(record.is_quarantined(poison, 3))
        self.assertFalse(record.is_quarantined(other, 3))

    def test_quarantine_ends(self) -> None:
        """No request is quarantined for good."""
        record = CrashRecord()
        poison = Fingerprint('p')
        record.add([poison], 0)
        record.add([poison], 0)
        self.assertFalse(record.is_quarantined(poison, 601))
