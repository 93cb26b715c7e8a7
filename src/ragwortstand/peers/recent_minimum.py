"""ragwortstand.peers.recent_minimum: the minimum of recent measurements."""

import math


class RecentMinimum:
    """The minimum of the present interval and the one before it.

    :param interval_s: length of an interval.
    """

    def __init__(self, interval_s: float) -> None:
        """Create an object without measurements, whose minimum is infinite."""
        self._interval_s = interval_s
        self._began_at_s = -math.inf
        self._present = math.inf
        self._previous = math.inf

    @property
    def minimum(self) -> float:
        """Return the minimum."""
        return min(self._present, self._previous)

    def record(self, measured: float, now_s: float) -> None:
        """Record a measurement.

        :param measured: the measurement.
        :param now_s: present time.
        """
        if now_s - self._began_at_s > self._interval_s:
            self._began_at_s = now_s
            self._previous = self._present
            self._present = math.inf
        self._present = min(self._present, measured)
