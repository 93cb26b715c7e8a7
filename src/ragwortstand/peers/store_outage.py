"""ragwortstand.peers.store_outage: whether the store is unavailable to all.

When the store does not respond, a daemon asks daemons near the store whether
they reach it, because it may itself be partitioned. It may run keyed requests
from memory only if the store is unavailable to all daemons.
"""

import random
from collections.abc import Awaitable, Callable

import anyio

from ragwortstand.exceptions import PeerError, PlatformError
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import AskStore, Member, StoreAnswer
from ragwortstand.peers.protocols import PeerLinks

_QUERIED_PEERS = 3
_PROBE_TIMEOUT_S = 0.5
_QUERY_TIMEOUT_S = 1.0
_RESULT_LIFETIME_S = 1.0


class StoreOutageDetector:
    """Determines whether the store is unavailable to all daemons.

    :param members: the member list.
    :param links: links to the other daemons.
    :param store_region: region of the platform's store.
    :param probe: reads a small item from the store.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        store_region: str,
        probe: Callable[[], Awaitable[object]],
        rng: random.Random,
    ) -> None:
        """Create a detector without a result."""
        self._members = members
        self._links = links
        self._store_region = store_region
        self._probe = probe
        self._rng = rng
        self._query_lock = anyio.Lock()
        self._checked_at_s: float | None = None
        self._is_unavailable = False

    async def is_unavailable_to_all(self) -> bool:
        """Return whether no queried daemon near the store can reach it.

        One check runs at a time, and its result is reused for a second.
        """
        async with self._query_lock:
            now_s = anyio.current_time()
            checked_at_s = self._checked_at_s
            if (
                checked_at_s is None
                or now_s - checked_at_s > _RESULT_LIFETIME_S
            ):
                self._is_unavailable = await self._query_peers()
                self._checked_at_s = anyio.current_time()
            return self._is_unavailable

    async def on_ask_store(self) -> StoreAnswer:
        """Return whether this daemon reaches the store, for another daemon."""
        try:
            with anyio.fail_after(_PROBE_TIMEOUT_S):
                await self._probe()
        except (PlatformError, TimeoutError):
            return StoreAnswer(is_reachable=False)
        return StoreAnswer(is_reachable=True)

    async def _query_peers(self) -> bool:
        near = [
            peer
            for peer in self._members.peers()
            if peer.region == self._store_region
        ]
        if not near:
            return self._members.own.region == self._store_region
        replies: list[StoreAnswer] = []
        async with anyio.create_task_group() as queries:
            for peer in self._rng.sample(near, min(_QUERIED_PEERS, len(near))):
                queries.start_soon(self._query_peer, peer, replies)
        is_reachable = any(reply.is_reachable for reply in replies)
        return bool(replies) and not is_reachable

    async def _query_peer(
        self, peer: Member, replies: list[StoreAnswer]
    ) -> None:
        try:
            reply = await self._links.send_request(
                peer.peer_address, AskStore(), _QUERY_TIMEOUT_S
            )
        except PeerError:
            return
        if isinstance(reply, StoreAnswer):
            replies.append(reply)
