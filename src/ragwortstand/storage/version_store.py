"""ragwortstand.storage.version_store: commits and reads configurations.

A submission is accepted by one conditional transaction that moves the head
row from its base version to the next one. The submission id makes the
transaction idempotent, so it is repeated if its response is lost.
"""

from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from ragwortstand import api
from ragwortstand.decoding import decode_json
from ragwortstand.exceptions import (
    ConfigurationError,
    Fault,
    PlatformError,
)
from ragwortstand.ids import NO_VERSION, Digest, SubmissionId, Version
from ragwortstand.models import digest_of
from ragwortstand.storage.records import VersionRecord
from ragwortstand.storage.table import (
    Condition,
    ObjectStore,
    Row,
    TableService,
    Transaction,
    Write,
)
from ragwortstand.verdicts import Verdict

HEAD_KEY = 'configuration/head'
_VERSION_PREFIX = 'configuration/version/'
_SUBMISSION_PREFIX = 'configuration/submission/'
_MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class Submission:
    """A configuration that an operator submits.

    :param content: JSON text.
    :param submission: id chosen by the operator's client.
    :param base: version that the configuration is based on; None means the
        newest.
    :param author: who submits it.
    """

    content: bytes
    submission: SubmissionId
    base: Version | None
    author: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """The submission was committed as a version."""

    record: VersionRecord


@dataclass(frozen=True, slots=True)
class Faulty:
    """The configuration is invalid; nothing was written to the table."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another submission moved the head first; `winner` is its version."""

    winner: VersionRecord | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform is unavailable.

    :param problem: the last error.
    :param verdict: whether the submission may have been accepted.
    """

    problem: str
    verdict: Verdict


SubmissionOutcome: TypeAlias = Accepted | Faulty | Conflict | Unavailable


class VersionStore:
    """Commits submissions and reads accepted versions.

    :param table: the platform's table service.
    :param objects: the platform's object store.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        """Store the two services."""
        self._table = table
        self._objects = objects

    async def submit(
        self,
        submission: Submission,
        now_unix_s: float,
    ) -> SubmissionOutcome:
        """Validate a configuration and commit it.

        :param submission: the operator's submission.
        :param now_unix_s: present time, seconds since 1970.
        """
        try:
            content = api.parse(submission.content).to_json().encode()
        except ConfigurationError as error:
            return Faulty(error.faults)
        digest = digest_of(content)
        verdict = Verdict.NOT_RUN
        for attempt in range(_MAX_ATTEMPTS):
            try:
                if attempt == 0:
                    await self._objects.put_object(object_key(digest), content)
                return await self._commit(submission, digest, now_unix_s)
            except PlatformError as error:
                problem = str(error)
                if error.verdict is Verdict.MAY_HAVE_RUN:
                    verdict = error.verdict
        return Unavailable(problem, verdict)

    async def head(self) -> VersionRecord | None:
        """Return the record of the newest version, None if there is none."""
        row = await self._table.get(HEAD_KEY)
        return _decode_record(row) if row else None

    async def version(self, version: Version) -> VersionRecord | None:
        """Return the record of a version, None if there is none."""
        row = await self._table.get(_version_key(version))
        return _decode_record(row) if row else None

    async def history(self, limit: int) -> tuple[VersionRecord, ...]:
        """Return the records of the newest versions, newest first."""
        newest = await self._table.get(HEAD_KEY)
        if newest is None:
            return ()
        last = _decode_record(newest).version
        records = []
        for version in range(last, max(NO_VERSION, last - limit), -1):
            row = await self._table.get(_version_key(Version(version)))
            if row:
                records.append(_decode_record(row))
        return tuple(records)

    async def content(self, digest: Digest) -> bytes | None:
        """Return the content of a version, None if it is missing."""
        return await self._objects.get_object(object_key(digest))

    async def _commit(
        self,
        submission: Submission,
        digest: Digest,
        now_unix_s: float,
    ) -> SubmissionOutcome:
        existing = await self._find_submission(submission.submission)
        if existing:
            return Accepted(existing)
        head = await self._table.get(HEAD_KEY)
        newest = _decode_record(head).version if head else NO_VERSION
        if head and _decode_record(head).submission == submission.submission:
            return Accepted(_decode_record(head))
        base = newest if submission.base is None else submission.base
        if base != newest:
            return Conflict(_decode_record(head) if head else None)
        record = VersionRecord(
            Version(base + 1),
            digest,
            submission.submission,
            submission.author,
            now_unix_s,
        )
        outcome = await self._table.transact(_commit_transaction(record, head))
        if outcome.committed:
            return Accepted(record)
        return await self._resolve_lost_race(submission)

    async def _resolve_lost_race(
        self,
        submission: Submission,
    ) -> Accepted | Conflict:
        """Distinguish an earlier commit of this submission from a conflict."""
        existing = await self._find_submission(submission.submission)
        return Accepted(existing) if existing else Conflict(await self.head())

    async def _find_submission(
        self,
        submission: SubmissionId,
    ) -> VersionRecord | None:
        row = await self._table.get(_SUBMISSION_PREFIX + submission)
        return _decode_record(row) if row else None


def object_key(digest: Digest) -> str:
    """Return the key of a configuration in the object store."""
    return f'configurations/{digest}'


def _version_key(version: Version) -> str:
    return f'{_VERSION_PREFIX}{version:012d}'


def _decode_record(row: Row) -> VersionRecord:
    """Return the record in a row.

    :raises PlatformError: when the row has other content.
    """
    try:
        return decode_json(row.content, VersionRecord)
    except msgspec.DecodeError as error:
        problem = f'row {row.key} is not a version: {error}'
        raise PlatformError(problem, Verdict.NOT_RUN) from error


def _commit_transaction(record: VersionRecord, head: Row | None) -> Transaction:
    text = msgspec.json.encode(record).decode()
    submission_key = _SUBMISSION_PREFIX + record.submission
    return Transaction(
        conditions=(
            Condition(HEAD_KEY, head.revision if head else 0),
            Condition(submission_key),
        ),
        writes=(
            Write(HEAD_KEY, text),
            Write(_version_key(record.version), text),
            Write(submission_key, text),
        ),
    )
