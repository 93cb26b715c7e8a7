"""ragwortstand.storage.entry_points: rows with daemons to join through."""

from collections.abc import Iterable

import msgspec

from ragwortstand.decoding import decode_json
from ragwortstand.events import Event, EventLog
from ragwortstand.ids import DecodedPeerAddress, HostId, ZoneName
from ragwortstand.storage.table import Row, TableService, Transaction, Write

_PREFIX = 'entry/'
_MAX_ROWS = 64


class EntryPoint(msgspec.Struct, frozen=True):
    """A daemon from which joining daemons can request the list of members.

    :param cluster: name of the cluster.
    :param host: the daemon's host.
    :param peer_address: address where it listens for other daemons.
    :param written_unix_s: time of the write, seconds since 1970.
    """

    cluster: str
    host: HostId
    peer_address: DecodedPeerAddress
    written_unix_s: float


class EntryPoints:
    """Reads and writes the rows of a cluster's entry points.

    :param table: the platform's table service.
    :param cluster: name of the cluster.
    :param log: logs rows that can't be decoded.
    """

    def __init__(
        self, table: TableService, cluster: str, log: EventLog
    ) -> None:
        """Store the table and the cluster's name."""
        self._table = table
        self._log = log
        self.cluster = cluster

    async def read(self) -> tuple[EntryPoint, ...]:
        """Return the entry points of this cluster, 64 at most."""
        prefix = f'{_PREFIX}{self.cluster}/'
        rows = await self._table.scan(prefix, _MAX_ROWS)
        return decode_entry_points(rows, self._log)

    async def write(
        self,
        zone: ZoneName,
        position: int,
        entry_point: EntryPoint,
    ) -> None:
        """Write one entry point of an availability zone.

        :param zone: the availability zone.
        :param position: index among the zone's entry points.
        :param entry_point: the new content of the row.
        """
        key = f'{_PREFIX}{self.cluster}/{zone}/{position}'
        text = msgspec.json.encode(entry_point).decode()
        await self._table.transact(Transaction((), (Write(key, text),)))


def decode_entry_points(
    rows: Iterable[Row], log: EventLog
) -> tuple[EntryPoint, ...]:
    """Return the entry points in rows; rows of other content are left out.

    :param rows: rows of the table, which other programs may have written.
    :param log: logs the rows that can't be decoded.
    """
    found = []
    for row in rows:
        try:
            found.append(decode_json(row.content, EntryPoint))
        except msgspec.DecodeError as error:
            log.emit(Event.ROW_REFUSED, key=row.key, problem=str(error))
    return tuple(found)
