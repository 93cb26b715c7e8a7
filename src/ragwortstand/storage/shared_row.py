"""ragwortstand.storage.shared_row: state in a row that outlasts all daemons.

Daemons keep state in memory and return it to each other after restarts. What
must not be forgotten when all of them end together is also kept in a row.
"""

from collections.abc import Callable

import anyio

from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PlatformError
from ragwortstand.storage.table import (
    Condition,
    TableService,
    Transaction,
    Write,
)

_RETRY_S = 0.5


class SharedRow:
    """Merges state in memory with that of a row, in both directions.

    Usage::

        >>> row = SharedRow(table, 'departed/c/h', merge, log)
        >>> tasks.start_soon(row.run)
        >>> row.schedule()        # the state in memory has changed
        >>> await row.flush()     # the row has it

    :param table: the platform's table service.
    :param key: key of the row.
    :param merge: applies the content of the row to the state in memory, and
        returns the content that has both. An empty text stands for no row.
    :param log: logs failed calls.
    :ivar is_read: set once the content of the row has been applied.
    """

    def __init__(
        self,
        table: TableService,
        key: str,
        merge: Callable[[str], str],
        log: EventLog,
    ) -> None:
        """Create an object that reads the row when `run` is called."""
        self._table = table
        self._key = key
        self._merge = merge
        self._log = log
        self._scheduled = 1
        self._finished = 0
        self._wakeup = anyio.Event()
        self._progress = anyio.Event()
        self.is_read = anyio.Event()

    async def run(self) -> None:
        """Read the row, and write it after each change, until cancelled."""
        while True:
            scheduled = self._scheduled
            if self._finished < scheduled:
                if await self._synchronize():
                    self._set_finished(scheduled)
                else:
                    await anyio.sleep(_RETRY_S)
                continue
            await self._wakeup.wait()
            self._wakeup = anyio.Event()

    def schedule(self) -> None:
        """Read the row and write what it lacks, soon."""
        self._scheduled += 1
        self._wakeup.set()

    async def flush(self) -> None:
        """Return once the row has all changes that are scheduled now."""
        scheduled = self._scheduled
        while self._finished < scheduled:
            await self._progress.wait()

    def _set_finished(self, scheduled: int) -> None:
        self._finished = scheduled
        self._progress.set()
        self._progress = anyio.Event()

    async def _synchronize(self) -> bool:
        """Return whether the row was read and has the state in memory."""
        try:
            return await self._merge_once()
        except PlatformError as error:
            self._log.emit(
                Event.PLATFORM_OUTAGE,
                step=f'update {self._key}',
                problem=str(error),
            )
            return False

    async def _merge_once(self) -> bool:
        """Read, merge and write; return False if another write came between.

        The write of an earlier process may take effect late, so that each
        write depends on the revision that was read.
        """
        row = await self._table.get(self._key)
        stored = row.content if row else ''
        merged = self._merge(stored)
        self.is_read.set()
        if merged == stored:
            return True
        condition = Condition(self._key, row.revision if row else 0)
        outcome = await self._table.transact(
            Transaction((condition,), (Write(self._key, merged),))
        )
        return outcome.committed
