"""ragwortstand.peers.anti_entropy: when to fetch the whole list of a peer."""

from ragwortstand.settings import MembershipSettings

_MAX_DIGESTS = 32


class AntiEntropyTrigger:
    """Decides when a peer's whole list of members is fetched.

    Each update is sent a bounded number of times, so a list can miss some.
    Lists also differ while updates are in transit. A list is therefore fetched
    only when no peer's list has been equal to the own one for a while, or when
    the digests of a peer and of this daemon have both stayed unchanged and
    different for a while: two groups of daemons may agree among themselves.

    :param settings: how long lists may differ.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Create a trigger without known digests."""
        self._max_difference_s = settings.difference_s
        self._own_digest = 0
        self._last_agreement_s = 0.0
        self._first_seen_s: dict[int, float] = {}

    def restart(self, now_s: float) -> None:
        """Restart the time of all differences.

        :param now_s: current time.
        """
        self._last_agreement_s = now_s
        self._first_seen_s.clear()

    def is_sync_due(
        self, own_digest: int, peer_digest: int, now_s: float
    ) -> bool:
        """Return whether to fetch the list of a peer; restarts if so.

        :param own_digest: digest of this daemon's list.
        :param peer_digest: digest of the peer's list.
        :param now_s: current time.
        """
        if own_digest != self._own_digest:
            self._own_digest = own_digest
            self._first_seen_s.clear()
        if own_digest == peer_digest:
            self._last_agreement_s = now_s
            return False
        if (
            len(self._first_seen_s) >= _MAX_DIGESTS
            and peer_digest not in self._first_seen_s
        ):
            self._first_seen_s.pop(next(iter(self._first_seen_s)))
        first_seen_s = self._first_seen_s.setdefault(peer_digest, now_s)
        earliest_s = min(first_seen_s, self._last_agreement_s)
        if now_s - earliest_s <= self._max_difference_s:
            return False
        self.restart(now_s)
        return True
