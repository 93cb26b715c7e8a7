"""ragwortstand.backend_servers.rejection_breaker: a circuit breaker.

A backend server in trouble may reject all requests while it announces itself as
ready. Only the daemon on its host sees all of its rejections. While the breaker
is open, that daemon refuses requests without sending them, so that other
backend servers get them at once and without a retry from the shared budget.
"""

# Consecutive rejections, and the time without a request that ran, that open the
# breaker. A server that rejects half of its requests at random hardly opens it:
# it still runs the others, and all servers of a service may be like it.
_OPEN_AFTER = 8
_OPEN_AFTER_S = 0.3
#: Interval in which one request is sent to a server whose breaker is open.
PROBE_INTERVAL_S = 0.25


class RejectionBreaker:
    """Stops requests to a backend server that rejects all of them.

    Usage::

        >>> breaker = RejectionBreaker()
        >>> breaker.allows(now_s=0.0)
        True
    """

    def __init__(self) -> None:
        """Create a breaker that is closed."""
        self._rejections = 0
        self._rejecting_since_s = 0.0
        self._probe_at_s = 0.0
        self.is_open = False

    def allows(self, now_s: float) -> bool:
        """Return whether to send a request to the backend server.

        :param now_s: present time.
        """
        if not self.is_open:
            return True
        if now_s < self._probe_at_s:
            return False
        self._probe_at_s = now_s + PROBE_INTERVAL_S
        return True

    def record_rejection(self, now_s: float) -> None:
        """Record that the backend server rejected a request.

        :param now_s: present time.
        """
        if not self._rejections:
            self._rejecting_since_s = now_s
        self._rejections += 1
        if self.is_open or self._rejections < _OPEN_AFTER:
            return
        if now_s - self._rejecting_since_s >= _OPEN_AFTER_S:
            self.is_open = True
            self._probe_at_s = now_s + PROBE_INTERVAL_S

    def close(self) -> None:
        """Close the breaker, as the backend server ran a request."""
        self._rejections = 0
        self.is_open = False
