"""ragwortstand.clock: the monotonic clock of this process.

The event loop measures its deadlines on the same clock; reading it here does
not need to look up the loop.
"""

from time import CLOCK_BOOTTIME, clock_gettime
from time import monotonic as now_s

__all__ = ('boot_time_s', 'now_s')


def boot_time_s() -> float:
    """Return the time since the host was booted, suspensions included."""
    return clock_gettime(CLOCK_BOOTTIME)
