"""Tests of claims and of running keyed requests at most once."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio

from ragwortstand.backend_servers.crash_record import CrashRecord, CrashReport
from ragwortstand.callers.at_most_once import AtMostOnceRunner
from ragwortstand.calls import Call
from ragwortstand.ids import (
    Fingerprint,
    HostId,
    IdempotencyKey,
    RequestId,
    Version,
)
from ragwortstand.models import Rank, Service
from ragwortstand.peers.key_owners import KeyOwners
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

_RESPONSE = Answered(200, ((b'x', b'y'),), b'done')
_WINDOW_S = 0.0


class _FakeBackendServer:
    """Counts runs and returns configured outcomes."""

    def __init__(self) -> None:
        self.runs = 0
        self.outcomes: list[Outcome] = []
        self.duration_s = 0.0

    async def run(
        self,
        call: Call,
        claim: Callable[[], Awaitable[Outcome | None]],
    ) -> Outcome:
        """Run the request if the claim succeeds."""
        refusal = await claim()
        if refusal:
            return refusal
        outcome = self.outcomes.pop(0) if self.outcomes else _RESPONSE
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
    """The components of one daemon that prevent duplicate runs."""

    def __init__(self, platform: FakePlatform, host: str, *, window_s: float):
        self.backend = _FakeBackendServer()
        self.is_store_unavailable = True
        self.claims = ClaimTable(platform)
        self.members = Members(member(host), MembershipSettings(), 0)
        self.key_owners = KeyOwners(self.members, window_s)
        self.key_owners.set_ready(is_ready=True, now_s=anyio.current_time())
        self.runner = AtMostOnceRunner(
            HostId(host),
            self.backend,  # type: ignore[arg-type]
            self.claims,
            self.key_owners,
            window_s=60,
            is_store_unavailable=self._is_store_unavailable,
        )

    async def _is_store_unavailable(self) -> bool:
        return self.is_store_unavailable


class AtMostOnceRunnerTest(unittest.IsolatedAsyncioTestCase):
    """A request with a key runs at most once, despite lost messages."""

    async def asyncSetUp(self) -> None:
        """Start two daemons with one platform and separate member lists."""
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

    async def test_repetition_gets_the_first_response(self) -> None:
        """The key's owner responds to a repetition from its memory."""
        outcomes = [await self.first.runner.run(_call()) for _ in range(3)]
        self.assertEqual(outcomes, [_RESPONSE] * 3)
        self.assertEqual(self.first.backend.runs, 1)

    async def test_concurrent_repetitions_run_once(self) -> None:
        """Concurrent repetitions wait for the one run."""
        self.first.backend.duration_s = 0.05
        outcomes: list[Outcome] = []

        async def run() -> None:
            outcomes.append(await self.first.runner.run(_call()))

        async with anyio.create_task_group() as calls:
            for _ in range(5):
                calls.start_soon(run)
        self.assertEqual(outcomes, [_RESPONSE] * 5)
        self.assertEqual(self.first.backend.runs, 1)

    async def test_second_owner_finds_the_claim(self) -> None:
        """A daemon without the response in memory reads it from the table."""
        await self.first.runner.run(_call())
        await anyio.sleep(0.4)
        outcome = await self.second.runner.run(_call())
        self.assertEqual(outcome, _RESPONSE)
        self.assertEqual(self.second.backend.runs, 0)

    async def test_claim_without_response_may_have_run(self) -> None:
        """After a claim without a response the outcome is unknown."""
        await self.first.claims.claim('consult/k', Claim(HostId('h1'), 'nonce'))
        outcome = await self.second.runner.run(_call())
        self.assertEqual(outcome, Unknown(Cause.ALREADY_CLAIMED))
        self.assertEqual(self.second.backend.runs, 0)

    async def test_lost_response_of_the_claim(self) -> None:
        """A claim whose response was lost is read back and used once."""
        self.platform.write_faults.append(Verdict.MAY_HAVE_RUN)
        outcome = await self.first.runner.run(_call())
        self.assertEqual(outcome, _RESPONSE)
        self.assertEqual(self.first.backend.runs, 1)

    async def test_refusal_releases_the_claim(self) -> None:
        """After "not run" another daemon may run the request."""
        down = Refused(Cause.BACKEND_SERVER_DOWN)
        self.first.backend.outcomes = [down]
        self.assertEqual(await self.first.runner.run(_call()), down)
        self.assertEqual(await self.second.runner.run(_call()), _RESPONSE)

    async def test_unknown_outcome_is_never_repeated(self) -> None:
        """A run without an answer is not run again anywhere."""
        self.first.backend.outcomes = [Unknown(Cause.CONNECTION_LOST)]
        await self.first.runner.run(_call())
        for daemon in (self.first, self.second):
            outcome = await daemon.runner.run(_call())
            self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.first.backend.runs, 1)
        self.assertEqual(self.second.backend.runs, 0)

    async def test_sole_owner_runs_during_outage(self) -> None:
        """During an outage a sole owner runs a request once, from memory."""
        self.platform.is_unavailable = True
        for _ in range(2):
            outcome = await self.first.runner.run(_call())
            self.assertEqual(outcome, _RESPONSE)
        self.assertEqual(self.first.backend.runs, 1)

    async def test_new_owner_does_not_run_during_outage(self) -> None:
        """During an outage an owner newer than the window does not run.

        An earlier owner may have run the request.
        """
        new_owner = _Daemon(self.platform, 'h3', window_s=60)
        self._start_writer(new_owner)
        self.platform.is_unavailable = True
        outcome = await new_owner.runner.run(_call())
        self.assertEqual(outcome, Unknown(Cause.CLAIM_UNAVAILABLE))
        self.assertEqual(new_owner.backend.runs, 0)

    async def test_owner_cut_off_from_store_does_not_run(self) -> None:
        """An owner does not run from memory if others reach the store."""
        self.first.is_store_unavailable = False
        self.platform.is_unavailable = True
        outcome = await self.first.runner.run(_call())
        self.assertEqual(outcome, Unknown(Cause.CLAIM_UNAVAILABLE))
        self.assertEqual(self.first.backend.runs, 0)

    async def test_new_owner_runs_after_outage(self) -> None:
        """After the outage the owner claims and runs the repetition."""
        new_owner = _Daemon(self.platform, 'h3', window_s=60)
        self._start_writer(new_owner)
        self.platform.is_unavailable = True
        await new_owner.runner.run(_call())
        self.platform.is_unavailable = False
        await anyio.sleep(0.6)
        self.assertEqual(await new_owner.runner.run(_call()), _RESPONSE)

    async def test_restarted_owner_does_not_repeat_work_of_outage(
        self,
    ) -> None:
        """After a restart an owner does not run what may have run before.

        A request that ran from memory during an outage has no claim.
        """
        self.platform.is_unavailable = True
        self.assertEqual(await self.first.runner.run(_call()), _RESPONSE)
        self.platform.is_unavailable = False
        restarted = _Daemon(self.platform, 'h1', window_s=60)
        self._start_writer(restarted)
        restarted.key_owners.record_reported_outage(0.1, anyio.current_time())
        outcome = await restarted.runner.run(_call())
        self.assertEqual(outcome, Unknown(Cause.CLAIM_UNAVAILABLE))
        self.assertEqual(restarted.backend.runs, 0)

    async def test_not_the_owner(self) -> None:
        """A daemon that does not own the key refuses; nothing has run."""
        others = [member(f'x{one}') for one in range(9)]
        self.first.members.merge(others, 0)
        outcomes = {
            await self.first.runner.run(_call(f'k{one}')) for one in range(20)
        }
        self.assertIn(Refused(Cause.NOT_OWNER, 0.5), outcomes)

    async def test_claims_are_batched(self) -> None:
        """Concurrent claims share a few transactions."""

        async def run(number: int) -> None:
            await self.first.runner.run(_call(f'k{number}'))

        async with anyio.create_task_group() as calls:
            for number in range(50):
                calls.start_soon(run, number)
        self.assertEqual(self.first.backend.runs, 50)
        self.assertLessEqual(self.platform.writes, 10)

    async def test_large_responses_are_not_stored(self) -> None:
        """Large responses are not stored; a repetition may have run."""
        self.first.backend.outcomes = [Answered(200, (), b'x' * 100_000)]
        first = await self.first.runner.run(_call())
        self.assertEqual(first.verdict, Verdict.RAN)
        again = await self.first.runner.run(_call())
        self.assertEqual(again, Unknown(Cause.ALREADY_CLAIMED))
        self.assertEqual(self.first.backend.runs, 1)

    async def test_full_memory_refuses_new_keys(self) -> None:
        """An owner with the maximum number of entries refuses new keys."""
        with mock.patch('ragwortstand.callers.at_most_once._MAX_ENTRIES', 1):
            await self.first.runner.run(_call('k1'))
            outcome = await self.first.runner.run(_call('k2'))
            again = await self.first.runner.run(_call('k1'))
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(again, _RESPONSE)

    async def test_expired_entries_are_evicted(self) -> None:
        """After the window the entry and its claim are deleted."""
        await self.first.runner.run(_call())
        self.first.runner.evict_expired(anyio.current_time() + 61)
        await anyio.sleep(0.6)
        self.assertIsNone(await self.first.claims.find('consult/k'))


class CrashRecordTest(unittest.TestCase):
    """Requests that crash their backend server are quarantined."""

    def test_second_crash_quarantines(self) -> None:
        """Two crashes quarantine a request; one only makes it suspect."""
        record = CrashRecord()
        suspect, other = Fingerprint('p'), Fingerprint('o')
        self.assertEqual(record.add(CrashReport((suspect, other)), 0), ())
        self.assertFalse(record.is_quarantined(suspect, 1))
        record.clear(other)
        second = record.add(CrashReport((suspect,)), 2)
        self.assertEqual(second, (suspect,))
        self.assertTrue(record.is_quarantined(suspect, 3))
        self.assertFalse(record.is_quarantined(other, 3))

    def test_crash_while_a_suspect_runs(self) -> None:
        """It makes other requests suspects and counts against none of them."""
        record = CrashRecord()
        suspect, other, popular = (Fingerprint(one) for one in 'pou')
        record.add(CrashReport((suspect, popular)), 0)
        report = CrashReport((suspect,), (other, popular))
        for now_s in (1, 2):
            record.add(report, now_s)
        for one in (other, popular):
            self.assertEqual(record.crashes(one, 3), 1)
        self.assertTrue(record.is_quarantined(suspect, 3))

    def test_quarantine_ends(self) -> None:
        """A quarantine expires."""
        record = CrashRecord()
        suspect = Fingerprint('p')
        record.add(CrashReport((suspect,)), 0)
        record.add(CrashReport((suspect,)), 0)
        self.assertFalse(record.is_quarantined(suspect, 601))
