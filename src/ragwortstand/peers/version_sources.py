"""ragwortstand.peers.version_sources: sources of versions and their policy."""

from dataclasses import dataclass
from typing import Protocol

from ragwortstand.ids import Digest
from ragwortstand.storage import VersionRecord


class VersionSource(Protocol):
    """Reads accepted versions."""

    async def head(self) -> VersionRecord | None:
        """Return the newest accepted version, None if there is none.

        :raises PlatformError: if the store does not respond.
        """

    async def read_head(self) -> VersionRecord | None:
        """Return the newest accepted version, always from the store.

        The time for it is short, as another daemon may read it instead.

        :raises PlatformError: if the store does not respond.
        """

    def is_reading(self, now_s: float) -> bool:
        """Return whether the store has responded to the last poll in time.

        :param now_s: present time.
        """

    async def content(self, digest: Digest) -> bytes | None:
        """Return the content of a version, None if it is not stored.

        :raises PlatformError: if the store does not respond.
        """

    def is_cached(self, digest: Digest) -> bool:
        """Return whether `content` returns without a call to the store."""

    async def wait(self, is_reader: bool) -> None:
        """Wait until the newest version may have changed.

        :param is_reader: whether this daemon polls the store for others.
        """


@dataclass(frozen=True, slots=True)
class DistributionPolicy:
    """How versions are distributed to the daemons.

    :param is_pushing: whether a daemon offers a version that it applied to
        others; otherwise each daemon reads the whole configuration itself.
    :param fanout: number of members that a daemon offers a version to; only
        members of its region unless `is_flat`.
    :param far_fanout: how many of them are in other availability zones.
    :param is_flat: whether offers go to all regions alike, without bridges; for
        small fleets.
    :param standby_delay_s: seconds that the second reader waits before it
        fetches a new version, which the first normally distributes.
    :param store_region: region of the store; None if readers are chosen by how
        well they reach it.
    :param join_wait_s: seconds that a new process waits for other members
        before it reads the source; they have the content, and their list shows
        how many daemons may be starting together.
    :param isolated_after_s: seconds without a message from any other member
        after which a daemon polls the store itself; the probe that it sends
        every second, with a tenth of jitter, is answered by then.
    """

    is_pushing: bool = True
    fanout: int = 4
    far_fanout: int = 2
    is_flat: bool = False
    standby_delay_s: float = 1.0
    store_region: str | None = None
    join_wait_s: float = 0.5
    isolated_after_s: float = 1.2
