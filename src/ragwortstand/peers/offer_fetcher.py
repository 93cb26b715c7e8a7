"""ragwortstand.peers.offer_fetcher: fetches the versions that peers offer."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio
from anyio.abc import TaskGroup

from ragwortstand.ids import PeerAddress, Version

# A peer that has not sent an offered version for this long is not waited for;
# its link counts as silent by then.
_NEXT_FETCH_AFTER_S = 0.5
# Concurrent requests for offered versions, whose content may be large.
_MAX_FETCHES = 3

_Fetch: TypeAlias = Callable[[Version, PeerAddress], Awaitable[object]]


class OfferFetcher:
    """Fetches the newest version that peers offer.

    A peer that does not reply soon may be cut off. Another one that has offered
    the version is asked then, or when the first request has failed.

    :param fetch: requests a version from a peer and puts it in force.
    :param version_in_force: returns the version in force at this daemon.
    """

    def __init__(
        self, fetch: _Fetch, version_in_force: Callable[[], Version]
    ) -> None:
        """Create a fetcher without offers."""
        self._fetch = fetch
        self._version_in_force = version_in_force
        # Versions offered by peers that they were not requested from yet.
        self._offers: dict[PeerAddress, Version] = {}
        self._is_running = False
        self._pending_fetches = 0
        self._fetch_ended = anyio.Event()

    def add(
        self, version: Version, address: PeerAddress, tasks: TaskGroup
    ) -> None:
        """Fetch an offered version if it is newer than the one in force.

        :param version: the offered version.
        :param address: address that the peer listens on.
        :param tasks: runs the requests.
        """
        if version <= self._version_in_force():
            return
        self._offers[address] = version
        if not self._is_running:
            self._is_running = True
            tasks.start_soon(self._run)

    async def _run(self) -> None:
        try:
            async with anyio.create_task_group() as fetches:
                while self._has_newer_offer() or self._pending_fetches:
                    self._start_fetch(fetches)
                    await self._wait_for_fetch()
        finally:
            self._is_running = False

    def _has_newer_offer(self) -> bool:
        """Return whether a peer offers a newer version; drop older offers."""
        in_force = self._version_in_force()
        self._offers = {
            address: version
            for address, version in self._offers.items()
            if version > in_force
        }
        return bool(self._offers)

    def _start_fetch(self, fetches: TaskGroup) -> None:
        has_room = self._pending_fetches < _MAX_FETCHES
        if has_room and self._has_newer_offer():
            address = max(self._offers, key=self._offers.__getitem__)
            version = self._offers.pop(address)
            self._pending_fetches += 1
            fetches.start_soon(self._fetch_from, version, address)

    async def _wait_for_fetch(self) -> None:
        """Wait until a request ends, or until the next one may start."""
        self._fetch_ended = anyio.Event()
        with anyio.move_on_after(_NEXT_FETCH_AFTER_S):
            await self._fetch_ended.wait()

    async def _fetch_from(self, version: Version, address: PeerAddress) -> None:
        try:
            await self._fetch(version, address)
        finally:
            self._pending_fetches -= 1
            self._fetch_ended.set()
