"""ragwortstand.peers.version_sources: where versions come from, and how far."""

from dataclasses import dataclass
from typing import Protocol

from ragwortstand.ids import Digest
from ragwortstand.storage import VersionRecord


class VersionSource(Protocol):
    """Where accepted versions are read."""

    async def head(self) -> VersionRecord | None:
        """Return the newest accepted version, None where there is none.

        :raises PlatformError: when the store does not answer.
        """

    async def content(self, digest: Digest) -> bytes | None:
        """Return the content of a version, None where it is not held.

        :raises PlatformError: when the store does not answer.
        """

    def is_cached(self, digest: Digest) -> bool:
        """Return whether `content` needs no call to the store."""

    async def wait(self, is_reader: bool) -> None:
        """Wait until the newest version is worth another look.

        :param is_reader: whether this daemon reads the store for others.
        """


@dataclass(frozen=True, slots=True)
class DistributionPolicy:
    """How versions travel.

    :param is_pushing: whether a daemon tells others of a version it applied;
        otherwise each reads the whole configuration itself.
    :param fanout: members that a daemon tells; of its region unless flat.
    :param far_fanout: how many of them are in other availability zones.
    :param is_flat: whether members of all regions are told alike, without
        bridges; for small fleets.
    :param standby_delay_s: how long the second reader leaves a new version to
        the first.
    :param store_region: region of the store; None where readers are chosen by
        how well they reach it.
    :param join_wait_s: how long a new process waits for other members before
        it reads the source; they have the content and tell the size of a herd.
    :param isolated_after_s: time without word of any other member after which a
        daemon reads for itself; the probe that it sends every second, with a
        tenth of jitter, is answered until then.
    """

    is_pushing: bool = True
    fanout: int = 4
    far_fanout: int = 2
    is_flat: bool = False
    standby_delay_s: float = 1.0
    store_region: str | None = None
    join_wait_s: float = 0.5
    isolated_after_s: float = 1.2
