"""ragwortstand.peers.store_outage: whether the store is out for everybody.

A daemon that the store does not answer asks daemons near the store to try.
It may be cut off itself, and only an outage for everybody lets it run keyed
requests from memory.
"""

import random
from collections.abc import Awaitable, Callable

import anyio

from ragwortstand.exceptions import PeerError, PlatformError
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import AskStore, Member, StoreAnswer
from ragwortstand.peers.protocols import PeerLinks

_ASKED = 3
_PROBE_TIMEOUT_S = 0.5
_ASK_TIMEOUT_S = 1.0
_FRESH_S = 1.0


class StoreOutageDetector:
    """Finds out whether an outage of the store is general.

    :param members: the list of members.
    :param links: links to the other daemons.
    :param store_region: region of the platform's store.
    :param probe: reads something small from the store.
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
        """Start without findings."""
        self._members = members
        self._links = links
        self._store_region = store_region
        self._probe = probe
        self._rng = rng
        self._turn = anyio.Lock()
        self._found_at_s: float | None = None
        self._is_out = False

    async def is_unavailable_to_all(self) -> bool:
        """Return whether no daemon near the store gets an answer from it.

        One inquiry runs at a time, and its finding holds for a second.
        """
        async with self._turn:
            now_s = anyio.current_time()
            found_at_s = self._found_at_s
            if found_at_s is None or now_s - found_at_s > _FRESH_S:
                self._is_out = await self._inquire()
                self._found_at_s = anyio.current_time()
            return self._is_out

    async def on_ask_store(self) -> StoreAnswer:
        """Try the store for another daemon."""
        try:
            with anyio.fail_after(_PROBE_TIMEOUT_S):
                await self._probe()
        except (PlatformError, TimeoutError):
            return StoreAnswer(is_reachable=False)
        return StoreAnswer(is_reachable=True)

    async def _inquire(self) -> bool:
        near = [
            peer
            for peer in self._members.peers()
            if peer.region == self._store_region
        ]
        if not near:
            return self._members.own.region == self._store_region
        answers: list[StoreAnswer] = []
        async with anyio.create_task_group() as questions:
            for peer in self._rng.sample(near, min(_ASKED, len(near))):
                questions.start_soon(self._ask, peer, answers)
        is_reachable = any(answer.is_reachable for answer in answers)
        return bool(answers) and not is_reachable

    async def _ask(self, peer: Member, answers: list[StoreAnswer]) -> None:
        try:
            reply = await self._links.ask(
                peer.peer_address, AskStore(), _ASK_TIMEOUT_S
            )
        except PeerError:
            return
        if isinstance(reply, StoreAnswer):
            answers.append(reply)
