"""ragwortstand.storage.claims: rows that say who runs a keyed request.

Claims that arrive together travel in one conditional transaction. Outcomes
and deletions are written behind, in batches, and survive an outage of the
table in a bounded queue.
"""

import base64
from collections import deque
from dataclasses import dataclass, field

import anyio
import msgspec

from ragwortstand.exceptions import PlatformError
from ragwortstand.ids import HostId
from ragwortstand.storage.table import (
    Condition,
    Row,
    TableService,
    Transaction,
    TransactionResult,
    Write,
)
from ragwortstand.verdicts import Answered, Verdict

MAX_STORED_BODY_BYTES = 16 * 1024
_PREFIX = 'claim/'
_BATCH = 25
_GATHER_S = 0.002
_FLUSH_INTERVAL_S = 0.25
_MAX_BEHIND = 20_000
_BLOCK_S = 0.5


class StoredResponse(msgspec.Struct, frozen=True):
    """An answer in a claim row.

    :param status: HTTP status.
    :param headers: pairs of name and content.
    :param body: the body in base64.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


class Claim(msgspec.Struct, frozen=True):
    """Content of a claim row.

    :param holder: host that runs the request.
    :param nonce: tells claims of one host apart.
    :param answer: the answer, once it is known and small enough.
    """

    holder: HostId
    nonce: str
    answer: StoredResponse | None = None


@dataclass(slots=True, eq=False)
class _Pending:
    key: str
    claim: Claim
    is_held: bool = False
    error: PlatformError | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


class ClaimTable:
    """Claims in the platform's table.

    :param table: the table service.
    """

    def __init__(self, table: TableService) -> None:
        """Start with empty queues."""
        self._table = table
        self._pending: deque[_Pending] = deque()
        self._has_pending = anyio.Event()
        self._behind: deque[Write] = deque(maxlen=_MAX_BEHIND)
        self._blocked_until_s = 0.0

    async def claim(self, key: str, claim: Claim) -> bool:
        """Insert a claim unless the key has one.

        :param key: service and idempotency key.
        :param claim: the claim.
        :returns: whether this claim is the one in the table.
        :raises PlatformError: when the table did not settle it.
        """
        if anyio.current_time() < self._blocked_until_s:
            raise PlatformError('table failed just now', Verdict.NOT_RUN)
        pending = _Pending(key, claim)
        self._pending.append(pending)
        self._has_pending.set()
        await pending.done.wait()
        if pending.error:
            raise pending.error
        return pending.is_held

    async def find(self, key: str) -> Claim | None:
        """Return the claim on a key."""
        row = await self._table.get(_PREFIX + key)
        return _claim(row) if row else None

    def write_behind(self, key: str, claim: Claim) -> None:
        """Queue a claim to be written over whatever the row holds."""
        content = msgspec.json.encode(claim).decode()
        self._behind.append(Write(_PREFIX + key, content))

    async def release(self, key: str) -> bool:
        """Delete a claim at once; return whether it is gone."""
        deletion = Transaction((), (Write(_PREFIX + key, None),))
        try:
            outcome = await self._table.transact(deletion)
        except PlatformError:
            return False
        return outcome.committed

    def delete_behind(self, key: str) -> None:
        """Queue the deletion of a claim."""
        self._behind.append(Write(_PREFIX + key, None))

    async def run(self) -> None:
        """Write claims and queued writes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._insert_claims)
            tasks.start_soon(self._flush)

    async def _insert_claims(self) -> None:
        while True:
            await self._has_pending.wait()
            await anyio.sleep(_GATHER_S)
            count = min(_BATCH, len(self._pending))
            batch = [self._pending.popleft() for _ in range(count)]
            if not self._pending:
                self._has_pending = anyio.Event()
            try:
                await self._insert(batch)
            except PlatformError as error:
                _fail(batch, error)
                now_s = anyio.current_time()
                self._blocked_until_s = now_s + _BLOCK_S
            finally:
                for pending in batch:
                    pending.done.set()

    async def _insert(self, batch: list[_Pending]) -> None:
        """Insert claims; those whose key is taken are left out and retried.

        A lost answer is settled by reading the rows back.
        """
        left = batch
        while left:
            try:
                outcome = await self._table.transact(_insertion(left))
            except PlatformError:
                await self._settle(left)
                return
            if outcome.committed:
                for pending in left:
                    pending.is_held = True
                return
            left = _without_failed(left, outcome)

    async def _settle(self, batch: list[_Pending]) -> None:
        for pending in batch:
            found = await self.find(pending.key)
            if found is None:
                await self._insert_alone(pending)
            else:
                pending.is_held = found == pending.claim

    async def _insert_alone(self, pending: _Pending) -> None:
        outcome = await self._table.transact(_insertion([pending]))
        pending.is_held = outcome.committed
        if not outcome.committed:
            found = await self.find(pending.key)
            pending.is_held = found == pending.claim

    async def _flush(self) -> None:
        while True:
            await anyio.sleep(_FLUSH_INTERVAL_S)
            while self._behind:
                writes = tuple(self._behind)[:_BATCH]
                try:
                    await self._table.transact(Transaction((), writes))
                except PlatformError:
                    break
                for _ in writes:
                    self._behind.popleft()


def encode_response(answered: Answered) -> StoredResponse | None:
    """Return an answer as a row keeps it, None when it is too large."""
    if len(answered.body) > MAX_STORED_BODY_BYTES:
        return None
    headers = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in answered.headers
    )
    body = base64.b64encode(answered.body).decode()
    return StoredResponse(answered.status, headers, body)


def decode_response(answer: StoredResponse) -> Answered:
    """Return the answer that a row keeps."""
    headers = tuple(
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in answer.headers
    )
    return Answered(answer.status, headers, base64.b64decode(answer.body))


def _claim(row: Row) -> Claim:
    return msgspec.json.decode(row.content, type=Claim)


def _insertion(batch: list[_Pending]) -> Transaction:
    return Transaction(
        tuple(Condition(_PREFIX + pending.key) for pending in batch),
        tuple(
            Write(
                _PREFIX + pending.key,
                msgspec.json.encode(pending.claim).decode(),
            )
            for pending in batch
        ),
    )


def _without_failed(
    batch: list[_Pending],
    outcome: TransactionResult,
) -> list[_Pending]:
    failed = frozenset(outcome.failed)
    return [one for one in batch if _PREFIX + one.key not in failed]


def _fail(batch: list[_Pending], error: PlatformError) -> None:
    for pending in batch:
        if not pending.is_held:
            pending.error = error
