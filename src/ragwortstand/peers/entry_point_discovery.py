"""ragwortstand.peers.entry_point_discovery: joins daemons by entry points.

The entry points are a few rows of the platform's table. A newcomer reads them
and requests the list of members from them. Two members of each availability
zone keep the rows up to date. They also join unknown entry points, which
merges groups of daemons that do not know each other.
"""

import random
import time

import anyio

from ragwortstand.exceptions import PlatformError
from ragwortstand.ids import PeerAddress
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.members import Members
from ragwortstand.storage import EntryPoint, EntryPoints

_KEEPER_COUNT = 2
_ALONE_INTERVAL_S = 0.5
_STARTUP_INTERVAL_S = 2.0
_STARTUP_S = 20.0
_INTERVAL_S = 15.0
_MAX_JOINS = 3


class EntryPointDiscovery:
    """Joins the other daemons and maintains the entry points.

    :param members: the member list.
    :param gossip: requests the list of members from a daemon.
    :param entry_points: rows of the platform's table.
    :param seeds: addresses from the settings, joined while alone.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        members: Members,
        gossip: Gossip,
        entry_points: EntryPoints,
        seeds: tuple[str, ...],
        rng: random.Random,
    ) -> None:
        """Create a discovery that starts when `run` is called."""
        self._members = members
        self._gossip = gossip
        self._entry_points = entry_points
        self._seeds = tuple(PeerAddress(address) for address in seeds)
        self._rng = rng

    async def run(self) -> None:
        """Join other daemons and maintain entry points until cancelled."""
        started_s = anyio.current_time()
        while True:
            if not self._members.peers():
                await self._join_seeds()
            position = self._keeper_position()
            if position is not None:
                await self._maintain_entry_points()
            age_s = anyio.current_time() - started_s
            interval_s = self._interval_s(age_s)
            await anyio.sleep(interval_s * self._rng.uniform(0.5, 1.5))

    def _interval_s(self, age_s: float) -> float:
        if not self._members.peers():
            return _ALONE_INTERVAL_S
        return _STARTUP_INTERVAL_S if age_s < _STARTUP_S else _INTERVAL_S

    def _keeper_position(self) -> int | None:
        own = self._members.own
        keepers = self._members.role_holders(
            'entry', _KEEPER_COUNT, zone=own.zone
        )
        return keepers.index(own) if own in keepers else None

    async def _join_seeds(self) -> None:
        for address in self._seeds:
            if await self._gossip.join(address):
                return

    async def _maintain_entry_points(self) -> None:
        try:
            rows = await self._entry_points.read()
            await self._join_unknown(rows)
            position_now = self._keeper_position()
            if position_now is not None:
                await self._write_own_row(rows, position_now)
        except PlatformError:
            return

    async def _join_unknown(self, rows: tuple[EntryPoint, ...]) -> None:
        unknown = [row for row in rows if self._is_unknown(row)]
        self._rng.shuffle(unknown)
        for row in unknown[:_MAX_JOINS]:
            await self._gossip.join(row.peer_address)

    def _is_unknown(self, row: EntryPoint) -> bool:
        member = self._members.get(row.host)
        if row.host == self._members.own.host:
            return False
        return member is None or member.peer_address != row.peer_address

    async def _write_own_row(
        self,
        rows: tuple[EntryPoint, ...],
        position: int,
    ) -> None:
        own = self._members.own
        is_written = any(
            row.host == own.host and row.peer_address == own.peer_address
            for row in rows
        )
        if is_written:
            return
        entry_point = EntryPoint(
            cluster=self._entry_points.cluster,
            host=own.host,
            peer_address=own.peer_address,
            written_unix_s=time.time(),
        )
        await self._entry_points.write(own.zone, position, entry_point)
