"""ragwortstand.peers.polling_source: reads versions at fixed intervals."""

import math
import random

import anyio

from ragwortstand import clock
from ragwortstand.ids import Digest
from ragwortstand.storage import VersionRecord
from ragwortstand.storage.version_store import VersionStore


class PollingSource:
    """Source that reads versions from the store at intervals.

    :param version_store: reads accepted versions from the platform.
    :param interval_s: time between two reads.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        version_store: VersionStore,
        interval_s: float,
        rng: random.Random,
    ) -> None:
        """Create a source; reads start with the first call."""
        self._version_store = version_store
        self._interval_s = interval_s
        self._rng = rng
        self._responded_at_s = -math.inf

    async def head(self) -> VersionRecord | None:
        """Return the newest accepted version, None if there is none."""
        head = await self._version_store.head()
        self._responded_at_s = clock.now_s()
        return head

    async def read_head(self) -> VersionRecord | None:
        """Return the newest accepted version, None if there is none."""
        return await self.head()

    def is_reading(self, now_s: float) -> bool:
        """Return whether the last of two polls has had a response."""
        return now_s - self._responded_at_s < 2 * self._interval_s

    async def content(self, digest: Digest) -> bytes | None:
        """Return the content of a version, None if it is not stored."""
        return await self._version_store.content(digest)

    def is_cached(self, digest: Digest) -> bool:
        """Return False, as nothing is cached."""
        return False

    async def wait(self, is_reader: bool) -> None:
        """Wait for one interval, with a tenth of jitter."""
        await anyio.sleep(self._interval_s * self._rng.uniform(0.9, 1.1))
