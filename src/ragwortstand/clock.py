"""ragwortstand.clock: the monotonic clock of this process.

The event loop measures its deadlines on the same clock; reading it here does
not need to look up the loop.
"""

from time import monotonic as now_s

__all__ = ('now_s',)
