"""ragwortstand.peers.member_discovery: joins members found in the table.

Each daemon writes one row when it starts, reads a bounded number of rows and
joins a few unknown daemons; gossip then spreads the list of members. Later a
few keepers, selected by rendezvous hashing, read the rows periodically: they
restore rows that the table has lost, and join daemons that the list of members
lacks.
"""

import random
import time

import anyio
import msgspec

from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PlatformError
from ragwortstand.ids import HostId, PeerAddress
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.members import Members
from ragwortstand.storage import EntryPoint, decode_entry_points
from ragwortstand.storage.table import TableService, Transaction, Write

_PREFIX = 'member/'
# Rows in one read; enough to include live daemons beside departed ones.
_MAX_ROWS = 100
# Unknown daemons that are joined after each read.
_MAX_JOINS = 4
# Lets the daemons of a fleet that starts at once write their rows.
_STARTUP_WAIT_S = 0.4
_RETRY_S = 0.5
# Time between two reads by a daemon that knows no other, and by a keeper.
_ALONE_INTERVAL_S = 1.0
_KEEPER_INTERVAL_S = 12.0
_KEEPER_COUNT = 2


class MemberDiscovery:
    """Joins the other daemons and maintains the rows that list them.

    :param members: the member list.
    :param gossip: requests the list of members from a daemon.
    :param table: the platform's table service.
    :param cluster: name of the cluster.
    :param seeds: addresses to join through without the table.
    :param log: logs failed calls to the table and unreadable rows.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        members: Members,
        gossip: Gossip,
        table: TableService,
        cluster: str,
        seeds: tuple[PeerAddress, ...],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        """Create a discovery that starts when `run` is called."""
        self._members = members
        self._gossip = gossip
        self._table = table
        self._cluster = cluster
        self._seeds = seeds
        self._log = log
        self._rng = rng
        self._is_row_written = False
        self._has_read_rows = False
        self._is_check_due = False
        self._wakeup = anyio.Event()

    async def run(self) -> None:
        """Write the own row, join other daemons, then maintain the rows."""
        async with anyio.create_task_group() as joins:
            for seed in self._seeds:
                joins.start_soon(self._gossip.join, seed)
            joins.start_soon(self._write_own_row)
            # Existing rows may name running daemons. Daemons that start at the
            # same time write their rows a little later.
            await self._read_and_join()
            await anyio.sleep(_STARTUP_WAIT_S)
            while True:
                if self._is_read_due():
                    await self._read_and_join()
                with anyio.move_on_after(self._interval_s()):
                    await self._wakeup.wait()
                self._wakeup = anyio.Event()

    def check_rows(self) -> None:
        """Read the rows soon, and restore those that the table has lost."""
        self._is_check_due = True
        self._wakeup.set()

    def _interval_s(self) -> float:
        is_calm = self._members.peers() and not self._is_check_due
        base_s = _KEEPER_INTERVAL_S if is_calm else _ALONE_INTERVAL_S
        return base_s * self._rng.uniform(0.75, 1.25)

    def _is_read_due(self) -> bool:
        """Return whether this daemon has read no rows, is alone or a keeper."""
        is_alone = not self._members.peers()
        is_first_read = not self._has_read_rows
        return is_alone or is_first_read or self._restores_rows()

    def _restores_rows(self) -> bool:
        return self._is_check_due or self._is_keeper()

    def _is_keeper(self) -> bool:
        keepers = self._members.role_holders('keeper', _KEEPER_COUNT)
        return self._members.own in keepers

    async def _write_own_row(self) -> None:
        while not self._is_row_written:
            try:
                await self._write_rows([self._members.own.host])
                self._is_row_written = True
            except PlatformError as error:
                self._log.emit(
                    Event.PLATFORM_OUTAGE,
                    step='write own row',
                    problem=str(error),
                )
                await anyio.sleep(_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _read_and_join(self) -> None:
        """Read rows, join unknown daemons and restore missing rows."""
        try:
            rows = await self._read_rows()
        except PlatformError as error:
            self._log.emit(
                Event.PLATFORM_OUTAGE, step='read rows', problem=str(error)
            )
            return
        await self._join_unknown(rows)
        self._has_read_rows = True
        missing = self._hosts_without_row(rows)
        if missing and self._is_row_written and self._restores_rows():
            await self._restore_rows(missing)
        self._is_check_due = False

    async def _read_rows(self) -> tuple[EntryPoint, ...]:
        prefix = f'{_PREFIX}{self._cluster}/'
        rows = await self._table.scan(prefix, _MAX_ROWS)
        return decode_entry_points(rows, self._log)

    async def _join_unknown(self, rows: tuple[EntryPoint, ...]) -> None:
        unknown = [row for row in rows if self._is_unknown(row)]
        self._rng.shuffle(unknown)
        async with anyio.create_task_group() as joins:
            for row in unknown[:_MAX_JOINS]:
                joins.start_soon(self._gossip.join, row.peer_address)

    def _is_unknown(self, row: EntryPoint) -> bool:
        if row.host == self._members.own.host:
            return False
        member = self._members.get(row.host)
        return member is None or member.peer_address != row.peer_address

    def _hosts_without_row(self, rows: tuple[EntryPoint, ...]) -> list[HostId]:
        """Return members without a row; none if not all rows were read."""
        if len(rows) >= _MAX_ROWS:
            return []
        known = {row.host for row in rows}
        return [
            member.host
            for member in self._members.usable()
            if member.host not in known
        ]

    async def _restore_rows(self, hosts: list[HostId]) -> None:
        try:
            await self._write_rows(hosts)
        except PlatformError as error:
            self._log.emit(
                Event.PLATFORM_OUTAGE, step='restore rows', problem=str(error)
            )

    async def _write_rows(self, hosts: list[HostId]) -> None:
        writes = tuple(self._row(host) for host in hosts[:_MAX_ROWS])
        await self._table.transact(Transaction((), writes))

    def _row(self, host: HostId) -> Write:
        member = self._members.get(host) or self._members.own
        entry_point = EntryPoint(
            cluster=self._cluster,
            host=member.host,
            peer_address=member.peer_address,
            written_unix_s=time.time(),
        )
        text = msgspec.json.encode(entry_point).decode()
        return Write(f'{_PREFIX}{self._cluster}/{host}', text)
