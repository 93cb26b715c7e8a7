"""ragwortstand.peers.store_watch: notices readers that have lost the store.

Few daemons read the store for all. The store may be silent for these alone, and
they may be cut off from the other daemons. The watchers ask a reader now and
then whether the store responds to it, and read the store once themselves where
no reader says so. A reader whose poll is overdue asks other daemons to do so.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PeerError
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    AskReader,
    Done,
    Member,
    ReadStore,
    StoreAnswer,
)
from ragwortstand.peers.protocols import PeerLinks

# Watchers, and checks of all of them together, so that the work and the links
# of the readers do not grow with the fleet.
_MAX_WATCHERS = 64
_CHECKS_PER_S = 12.0
_MIN_INTERVAL_S = 1.0
_JITTER = 0.1
_ASK_TIMEOUT_S = 0.3
# Daemons that a reader asks to read the store; it may be silent for some, too.
_ASKED_PEERS = 4
# Pause after a read that failed, as the store may be unavailable to all.
_BACKOFF_S = 2.0


class StoreWatch:
    """Reads the store in place of readers that can't.

    :param members: the member list.
    :param links: links to the other daemons.
    :param readers: returns the members that read the store for all.
    :param is_reading: returns whether the store responds to this daemon as a
        reader.
    :param read_store: reads the store once and puts a newer version in force;
        returns whether the store responded.
    :param log: logs each read in place of the readers.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        readers: Callable[[], list[Member]],
        is_reading: Callable[[], bool],
        read_store: Callable[[], Awaitable[bool]],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        """Create an object that starts to check when `run` is called."""
        self._members = members
        self._links = links
        self._readers = readers
        self._is_reading = is_reading
        self._read_store = read_store
        self._log = log
        self._rng = rng
        self._tasks: TaskGroup | None = None
        self._reads_again_at_s = 0.0
        self._is_under_way = False

    async def run(self) -> None:
        """Check the readers until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            # Daemons that have started together check at different times.
            await anyio.sleep(self._interval_s() * self._rng.random())
            while True:
                await self.check()
                jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
                await anyio.sleep(self._interval_s() * jitter)

    async def check(self) -> None:
        """Read the store unless a reader says that it responds."""
        readers = self._readers()
        own = self._members.own
        if own in readers or own not in self._watchers():
            return
        for reader in self._rng.sample(readers, len(readers)):
            if await self._is_read_by(reader):
                return
        await self._read_if_due('no-reader')

    def ask_others(self) -> None:
        """Ask some daemons to read the store, as it does not respond here."""
        if self._tasks is None:
            return
        readers = self._readers()
        peers = [one for one in self._members.peers() if one not in readers]
        chosen = self._rng.sample(peers, min(_ASKED_PEERS, len(peers)))
        for peer in chosen:
            self._tasks.start_soon(self._ask, peer)

    def on_ask_reader(self) -> StoreAnswer:
        """Return whether this daemon is a reader that the store responds to."""
        is_reader = self._members.own in self._readers()
        return StoreAnswer(is_reader and self._is_reading())

    def on_read_store(self) -> Done:
        """Read the store in the background."""
        if self._tasks:
            self._tasks.start_soon(self._read_if_due, 'asked')
        return Done()

    def _watchers(self) -> list[Member]:
        return self._members.role_holders('store-watcher', _MAX_WATCHERS)

    def _interval_s(self) -> float:
        return max(_MIN_INTERVAL_S, len(self._watchers()) / _CHECKS_PER_S)

    async def _is_read_by(self, reader: Member) -> bool:
        try:
            reply = await self._links.send_request(
                reader.peer_address, AskReader(), _ASK_TIMEOUT_S
            )
        except PeerError:
            return False
        return isinstance(reply, StoreAnswer) and reply.is_reachable

    async def _ask(self, peer: Member) -> None:
        try:
            await self._links.send_request(
                peer.peer_address, ReadStore(), _ASK_TIMEOUT_S
            )
        except PeerError:
            # The others have been asked too, and check by themselves.
            return

    async def _read_if_due(self, cause: str) -> None:
        now_s = anyio.current_time()
        if self._is_under_way or now_s < self._reads_again_at_s:
            return
        self._is_under_way = True
        try:
            has_responded = await self._read_store()
        finally:
            self._is_under_way = False
        self._log.emit(
            Event.STORE_READ_FOR_READERS,
            cause=cause,
            has_responded=has_responded,
        )
        if not has_responded:
            self._reads_again_at_s = anyio.current_time() + _BACKOFF_S
