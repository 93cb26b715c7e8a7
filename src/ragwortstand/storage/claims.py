"""ragwortstand.storage.claims: claims of idempotency keys, kept as rows.

Claims that arrive at about the same time are batched into one conditional
transaction. Outcomes and deletions are queued and written later, in batches;
the queue is bounded and keeps them during an outage of the table.
"""

import base64
from collections import deque
from dataclasses import dataclass, field

import anyio
import msgspec

from ragwortstand.decoding import decode_json
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
_BATCH_SIZE = 25
_BATCH_DELAY_S = 0.002
_FLUSH_INTERVAL_S = 0.25
_MAX_QUEUED_WRITES = 20_000
_FAILURE_PAUSE_S = 0.5


class StoredResponse(msgspec.Struct, frozen=True):
    """An HTTP response in a claim row.

    :param status: HTTP status.
    :param headers: pairs of name and value.
    :param body: the body in base64.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


class Claim(msgspec.Struct, frozen=True):
    """Content of a claim row.

    :param holder: host that runs the request.
    :param nonce: distinguishes the claims of one host.
    :param answer: the response; None if it is unknown or too large.
    """

    holder: HostId
    nonce: str
    answer: StoredResponse | None = None


@dataclass(slots=True, eq=False)
class _PendingClaim:
    key: str
    claim: Claim
    is_inserted: bool = False
    error: PlatformError | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


class ClaimTable:
    """Inserts, reads and deletes claims in the platform's table.

    :param table: the table service.
    """

    def __init__(self, table: TableService) -> None:
        """Create a claim table with empty queues."""
        self._table = table
        self._pending: deque[_PendingClaim] = deque()
        self._has_pending = anyio.Event()
        self._queued_writes: deque[Write] = deque(maxlen=_MAX_QUEUED_WRITES)
        self._paused_until_s = 0.0

    async def claim(self, key: str, claim: Claim) -> bool:
        """Insert a claim unless the key already has one.

        :param key: service and idempotency key.
        :param claim: the claim.
        :returns: whether this claim is the one in the table.
        :raises PlatformError: if the table failed and it is not known which
            claim it contains, or if that happened within the last 0.5 s.
        """
        if anyio.current_time() < self._paused_until_s:
            raise PlatformError(
                'not sent, as a recent call of the table failed',
                Verdict.NOT_RUN,
            )
        pending = _PendingClaim(key, claim)
        self._pending.append(pending)
        self._has_pending.set()
        await pending.done.wait()
        if pending.error:
            raise pending.error
        return pending.is_inserted

    async def find(self, key: str) -> Claim | None:
        """Return the claim of a key, None if there is none."""
        row = await self._table.get(_PREFIX + key)
        return _decode_claim(row) if row else None

    def queue_write(self, key: str, claim: Claim) -> None:
        """Queue an unconditional write of a claim's row."""
        content = msgspec.json.encode(claim).decode()
        self._queued_writes.append(Write(_PREFIX + key, content))

    async def release(self, key: str) -> bool:
        """Delete a claim now; return whether the deletion was committed."""
        deletion = Transaction((), (Write(_PREFIX + key, None),))
        try:
            outcome = await self._table.transact(deletion)
        except PlatformError:
            return False
        return outcome.committed

    def queue_deletion(self, key: str) -> None:
        """Queue the deletion of a claim."""
        self._queued_writes.append(Write(_PREFIX + key, None))

    async def run(self) -> None:
        """Insert claims and flush the queue; runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._insert_claims)
            tasks.start_soon(self._flush)

    async def _insert_claims(self) -> None:
        while True:
            await self._has_pending.wait()
            await anyio.sleep(_BATCH_DELAY_S)
            count = min(_BATCH_SIZE, len(self._pending))
            batch = [self._pending.popleft() for _ in range(count)]
            if not self._pending:
                self._has_pending = anyio.Event()
            try:
                await self._insert(batch)
            except PlatformError as error:
                _set_error(batch, error)
                now_s = anyio.current_time()
                self._paused_until_s = now_s + _FAILURE_PAUSE_S
            finally:
                for pending in batch:
                    pending.done.set()

    async def _insert(self, batch: list[_PendingClaim]) -> None:
        """Insert claims; if some keys are taken, retry without their claims.

        If the response is lost, the rows are read back to find out which
        claims were inserted.
        """
        remaining = batch
        while remaining:
            try:
                outcome = await self._table.transact(
                    _insert_transaction(remaining)
                )
            except PlatformError:
                await self._resolve_by_reading(remaining)
                return
            if outcome.committed:
                for pending in remaining:
                    pending.is_inserted = True
                return
            remaining = _without_failed(remaining, outcome)

    async def _resolve_by_reading(self, batch: list[_PendingClaim]) -> None:
        for pending in batch:
            found = await self.find(pending.key)
            if found is None:
                await self._insert_one(pending)
            else:
                pending.is_inserted = found == pending.claim

    async def _insert_one(self, pending: _PendingClaim) -> None:
        outcome = await self._table.transact(_insert_transaction([pending]))
        pending.is_inserted = outcome.committed
        if not outcome.committed:
            found = await self.find(pending.key)
            pending.is_inserted = found == pending.claim

    async def _flush(self) -> None:
        while True:
            await anyio.sleep(_FLUSH_INTERVAL_S)
            while self._queued_writes:
                writes = tuple(self._queued_writes)[:_BATCH_SIZE]
                try:
                    await self._table.transact(Transaction((), writes))
                except PlatformError:
                    break
                for _ in writes:
                    self._queued_writes.popleft()


def encode_response(answered: Answered) -> StoredResponse | None:
    """Return a response in the form of a row, None if it is too large."""
    if len(answered.body) > MAX_STORED_BODY_BYTES:
        return None
    headers = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in answered.headers
    )
    body = base64.b64encode(answered.body).decode()
    return StoredResponse(answered.status, headers, body)


def decode_response(response: StoredResponse) -> Answered:
    """Return the HTTP response from its form in a row."""
    headers = tuple(
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in response.headers
    )
    return Answered(response.status, headers, base64.b64decode(response.body))


def _decode_claim(row: Row) -> Claim:
    """Return the claim in a row.

    :raises PlatformError: when the row has other content: what it stands for
        may have run.
    """
    try:
        return decode_json(row.content, Claim)
    except msgspec.DecodeError as error:
        problem = f'row {row.key} is not a claim: {error}'
        raise PlatformError(problem, Verdict.MAY_HAVE_RUN) from error


def _insert_transaction(batch: list[_PendingClaim]) -> Transaction:
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
    batch: list[_PendingClaim],
    outcome: TransactionResult,
) -> list[_PendingClaim]:
    failed = frozenset(outcome.failed)
    return [one for one in batch if _PREFIX + one.key not in failed]


def _set_error(batch: list[_PendingClaim], error: PlatformError) -> None:
    for pending in batch:
        if not pending.is_inserted:
            pending.error = error
