"""Tests of committing submissions as configuration versions."""

import unittest

from ragwortstand.ids import SubmissionId, Version
from ragwortstand.storage.version_store import (
    Accepted,
    Conflict,
    Faulty,
    Submission,
    Unavailable,
    VersionStore,
)
from ragwortstand.verdicts import Verdict
from tests.fakes import MESH, FakePlatform


def _submission(name: str, base: int | None = 0) -> Submission:
    return Submission(
        content=MESH.to_json().encode(),
        submission=SubmissionId(name),
        base=None if base is None else Version(base),
        author='test',
    )


class VersionStoreTest(unittest.IsolatedAsyncioTestCase):
    """A version is accepted by one conditional transaction."""

    def setUp(self) -> None:
        """Create an empty platform."""
        self.platform = FakePlatform()
        self.store = VersionStore(self.platform, self.platform)

    async def test_first_version(self) -> None:
        """An accepted version is written as head, record and object."""
        outcome = await self.store.submit(_submission('s'), 1.0)
        assert isinstance(outcome, Accepted)
        self.assertEqual(outcome.record.version, 1)
        self.assertEqual(await self.store.head(), outcome.record)
        content = await self.store.content(outcome.record.digest)
        self.assertEqual(content, MESH.to_json().encode())

    async def test_race_has_one_winner(self) -> None:
        """The second submission on a base gets the first as the winner."""
        await self.store.submit(_submission('s1'), 1.0)
        outcome = await self.store.submit(_submission('s2'), 1.0)
        assert isinstance(outcome, Conflict)
        assert outcome.winner
        self.assertEqual(outcome.winner.submission, 's1')

    async def test_repetition_is_accepted_once(self) -> None:
        """A repeated submission id returns the version of the first."""
        first = await self.store.submit(_submission('s'), 1.0)
        second = await self.store.submit(_submission('s'), 2.0)
        self.assertEqual(first, second)

    async def test_lost_response_is_resolved(self) -> None:
        """A commit whose response was lost is found, not repeated."""
        self.platform.write_faults.append(Verdict.MAY_HAVE_RUN)
        outcome = await self.store.submit(_submission('s'), 1.0)
        assert isinstance(outcome, Accepted)
        self.assertEqual(outcome.record.version, 1)
        self.assertEqual(len(await self.store.history(10)), 1)

    async def test_lost_response_before_another_version(self) -> None:
        """A commit with a lost response is found after the head moved."""
        self.platform.write_faults.append(Verdict.MAY_HAVE_RUN)
        await self.store.submit(_submission('s'), 1.0)
        await self.store.submit(_submission('rival', 1), 1.0)
        outcome = await self.store.submit(_submission('s'), 1.0)
        assert isinstance(outcome, Accepted)
        self.assertEqual(outcome.record.version, 1)

    async def test_outage_before_the_commit(self) -> None:
        """During an outage the verdict is that nothing was accepted."""
        self.platform.is_unavailable = True
        outcome = await self.store.submit(_submission('s'), 1.0)
        assert isinstance(outcome, Unavailable)
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.platform.is_unavailable = False
        self.assertIsNone(await self.store.head())

    async def test_refused_commits_change_nothing(self) -> None:
        """Without a committed head row an object is not a version."""
        self.platform.write_faults.extend([Verdict.NOT_RUN] * 4)
        outcome = await self.store.submit(_submission('s'), 1.0)
        self.assertIsInstance(outcome, Unavailable)
        self.assertTrue(self.platform.objects)
        self.assertIsNone(await self.store.head())

    async def test_invalid_configuration(self) -> None:
        """An invalid configuration is rejected and not written."""
        faulty = Submission(b'{}', SubmissionId('s'), None, 'test')
        outcome = await self.store.submit(faulty, 1.0)
        self.assertIsInstance(outcome, Faulty)
        self.assertFalse(self.platform.objects)

    async def test_history_is_newest_first(self) -> None:
        """The history lists versions in descending order."""
        for number in range(5):
            name = f's{number}'
            await self.store.submit(_submission(name, None), 1.0)
        versions = [one.version for one in await self.store.history(3)]
        self.assertEqual(versions, [5, 4, 3])
