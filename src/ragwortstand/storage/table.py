"""ragwortstand.storage.table: rows, conditions and transactions."""

from typing import Protocol

import msgspec


class Row(msgspec.Struct, frozen=True):
    """A row of the table service.

    :param key: unique key.
    :param revision: grows with each write of the row.
    :param content: JSON text of the row.
    """

    key: str
    revision: int
    content: str


class Condition(msgspec.Struct, frozen=True):
    """What must hold for a transaction to commit.

    :param key: key of the row.
    :param revision: revision the row must have; 0 means no such row.
    """

    key: str
    revision: int = 0


class Write(msgspec.Struct, frozen=True):
    """One write of a transaction; no content deletes the row."""

    key: str
    content: str | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together or not at all."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class TransactionResult(msgspec.Struct, frozen=True):
    """What became of a transaction.

    :param committed: whether the writes took effect.
    :param failed: keys of the conditions that did not hold.
    """

    committed: bool
    failed: tuple[str, ...] = ()


class TableService(Protocol):
    """The platform's transactional table service."""

    async def get(self, key: str) -> Row | None:
        """Return a row, or None where there is none."""

    async def scan(self, prefix: str, limit: int = 1000) -> tuple[Row, ...]:
        """Return the rows whose key starts with a prefix, by key."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None where there is none."""

    async def put_object(self, key: str, content: bytes) -> None:
        """Write an object."""
