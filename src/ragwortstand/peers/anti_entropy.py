"""ragwortstand.peers.anti_entropy: which differences of lists last."""

from ragwortstand.settings import MembershipSettings

_MAX_DIGESTS = 32


class AntiEntropyTrigger:
    """Decides when a peer's whole list of members is fetched.

    News is told a bounded number of times, so a list can miss some. Lists also
    differ while news is on its way. A list is fetched when no other list
    agreed for a while, or when a peer's digest and the own one both stay as
    they are: two groups of daemons may agree among themselves.

    :param settings: how long lists may differ.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Start without differences."""
        self._difference_s = settings.difference_s
        self._own_digest = 0
        self._settled_at_s = 0.0
        self._since_s: dict[int, float] = {}

    def restart(self, now_s: float) -> None:
        """Give all differences their whole time again.

        :param now_s: present time.
        """
        self._settled_at_s = now_s
        self._since_s.clear()

    def is_sync_due(self, own: int, other: int, now_s: float) -> bool:
        """Tell whether to fetch the list of a peer; restarts if so.

        :param own: digest of this daemon's list.
        :param other: digest of the peer's list.
        :param now_s: present time.
        """
        if own != self._own_digest:
            self._own_digest = own
            self._since_s.clear()
        if own == other:
            self._settled_at_s = now_s
            return False
        if len(self._since_s) >= _MAX_DIGESTS and other not in self._since_s:
            self._since_s.pop(next(iter(self._since_s)))
        since_s = self._since_s.setdefault(other, now_s)
        earliest_s = min(since_s, self._settled_at_s)
        if now_s - earliest_s <= self._difference_s:
            return False
        self.restart(now_s)
        return True
