"""ragwortstand.backend_servers.rate_limiter: a token bucket.

An overloaded backend server names the requests per second that it takes from
all hosts together. All of them go through the daemon on its host, so this
daemon alone keeps the sum to that rate, whichever other daemons join, restart
or are cut off.
"""

from collections.abc import Iterable

import msgspec

from ragwortstand.backend_servers.announcements import Identity
from ragwortstand.models import Rank
from ragwortstand.verdicts import Cause, Refused

# Requests that may be sent at once after a pause, as a time at the named rate.
_DEPTH_S = 0.25
# Share of the bucket that is kept for the most urgent rank.
_URGENT_SHARE = 0.5
# Time without a request after which nothing is kept for a rank.
_RANK_MEMORY_S = 3.0
# A server that gets no requests can't withdraw its limit, so a limit of zero
# lets one request through in this time.
_MAX_INTERVAL_S = 5.0
# Shortest retry delay of a refusal; shorter times are within the jitter of the
# network between caller and daemon.
_MIN_RETRY_AFTER_S = 0.05


# Limits that differ by less than this share are not published again.
_PUBLISHED_DIFFERENCE = 0.2


class ServerRateLimit(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit that a backend server names.

    :param identity: the backend server and its boot.
    :param per_s: requests per second that it takes from all hosts together.
    """

    identity: Identity
    per_s: float

    def is_like(self, other: 'ServerRateLimit | None') -> bool:
        """Return whether another limit is about the same."""
        if other is None or other.identity != self.identity:
            return False
        difference = abs(other.per_s - self.per_s)
        return difference <= _PUBLISHED_DIFFERENCE * self.per_s


class RateLimiter:
    """Holds the requests to a backend server to the rate that it names.

    Usage::

        >>> limiter = RateLimiter()
        >>> limiter.set_limit(20.0, now_s=0.0)
        >>> limiter.take(now_s=0.0)
        Refused(cause=<Cause.RATE_LIMITED: 'rate-limited'>, retry_after_s=0.05)

    :ivar limit_per_s: requests per second that the server takes; None without
        a limit.
    """

    def __init__(self) -> None:
        """Create a limiter without a limit."""
        self.limit_per_s: float | None = None
        self._tokens = 0.0
        self._updated_at_s = 0.0
        self._orders: dict[str, int] = {}
        self._seen_at_s: dict[str, float] = {}

    def configure(self, ranks: Iterable[Rank]) -> None:
        """Apply the ranks of a new configuration.

        :param ranks: from the most to the least urgent.
        """
        self._orders = {rank.name: order for order, rank in enumerate(ranks)}
        self._seen_at_s.clear()

    def set_limit(self, limit_per_s: float | None, now_s: float) -> None:
        """Apply the limit that the backend server named last.

        The bucket is empty at first, because the server has just got more
        requests than it takes.

        :param limit_per_s: requests per second; None for no limit.
        :param now_s: present time.
        """
        if limit_per_s == self.limit_per_s:
            return
        if self.limit_per_s is None:
            self._tokens = 0.0
            self._updated_at_s = now_s
        else:
            self._refill(now_s)
        self.limit_per_s = limit_per_s
        self._tokens = min(self._tokens, self._depth)

    def refusal(self, rank: str, queued: int, now_s: float) -> Refused | None:
        """Return the refusal of a request that the limit leaves no room for.

        Other ranks than the most urgent one that the server gets leave a part
        of the bucket to it.

        :param rank: name of its rank.
        :param queued: requests that wait for a slot and have no token yet.
        :param now_s: present time.
        """
        needed = queued + 1.0
        self._seen_at_s[rank] = now_s
        if self._gets_more_urgent(rank, now_s):
            needed += min(self._depth * _URGENT_SHARE, self._depth - 1)
        return self._refusal_below(needed, now_s)

    def take(self, now_s: float) -> Refused | None:
        """Take the token of a request that is sent now, or return its refusal.

        :param now_s: present time.
        """
        refusal = self._refusal_below(1, now_s)
        if refusal is None and self.limit_per_s is not None:
            self._tokens -= 1
        return refusal

    def _gets_more_urgent(self, rank: str, now_s: float) -> bool:
        """Return whether the server gets requests of a more urgent rank."""
        order = self._orders.get(rank, len(self._orders))
        since_s = now_s - _RANK_MEMORY_S
        return any(
            seen_at_s > since_s and self._orders.get(name, order) < order
            for name, seen_at_s in self._seen_at_s.items()
        )

    @property
    def _rate_per_s(self) -> float:
        return max(self.limit_per_s or 0.0, 1 / _MAX_INTERVAL_S)

    @property
    def _depth(self) -> float:
        return max(1.0, self._rate_per_s * _DEPTH_S)

    def _refusal_below(self, needed: float, now_s: float) -> Refused | None:
        if self.limit_per_s is None:
            return None
        self._refill(now_s)
        missing = needed - self._tokens
        if missing <= 0:
            return None
        wait_s = missing / self._rate_per_s
        return Refused(Cause.RATE_LIMITED, max(_MIN_RETRY_AFTER_S, wait_s))

    def _refill(self, now_s: float) -> None:
        added = (now_s - self._updated_at_s) * self._rate_per_s
        self._tokens = min(self._depth, self._tokens + max(0.0, added))
        self._updated_at_s = now_s
