"""ragwortstand.storage.table: interfaces of the table and object store."""

from typing import Protocol

import msgspec


class Row(msgspec.Struct, frozen=True):
    """A row of the table service.

    :param key: unique key.
    :param revision: increases with each write of the row.
    :param content: JSON text of the row.
    """

    key: str
    revision: int
    content: str


class Condition(msgspec.Struct, frozen=True):
    """A condition on a row for a transaction to commit.

    :param key: key of the row.
    :param revision: revision that the row must have; 0 means that the row must
        not exist.
    """

    key: str
    revision: int = 0


class Write(msgspec.Struct, frozen=True):
    """One write of a transaction.

    :param key: key of the row.
    :param content: new JSON text of the row; None deletes the row.
    """

    key: str
    content: str | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are committed together or not at all.

    :param conditions: conditions that must all be met.
    :param writes: the writes.
    """

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class TransactionResult(msgspec.Struct, frozen=True):
    """Result of a transaction.

    :param committed: whether the writes were committed.
    :param failed: keys of the conditions that were not met.
    """

    committed: bool
    failed: tuple[str, ...] = ()


class TableService(Protocol):
    """The platform's transactional table service."""

    async def get(self, key: str) -> Row | None:
        """Return a row, None if there is none."""

    async def scan(self, prefix: str, limit: int = 1000) -> tuple[Row, ...]:
        """Return the rows whose key starts with a prefix, sorted by key."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction; the writes are skipped if a condition fails."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, None if there is none."""

    async def put_object(self, key: str, content: bytes) -> None:
        """Write an object."""
