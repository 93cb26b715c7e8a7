"""ragwortstand.backend_servers.rejection_breaker: a circuit breaker.

A backend server in trouble may reject all requests while it announces itself as
ready. Only the daemon on its host sees all of its rejections. While the breaker
is open, that daemon refuses requests without sending them, so that other
backend servers get them at once and without a retry from the shared budget.
"""

# Consecutive rejections that open the breaker. A server that rejects a third of
# its requests at random opens it about once in a hundred.
_OPEN_AFTER = 4
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
        self._probe_at_s = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether most requests are refused."""
        return self._rejections >= _OPEN_AFTER

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
        self._rejections += 1
        if self._rejections == _OPEN_AFTER:
            self._probe_at_s = now_s + PROBE_INTERVAL_S

    def close(self) -> None:
        """Close the breaker, as the backend server ran a request."""
        self._rejections = 0
