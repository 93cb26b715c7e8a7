"""ragwortstand.clock: the steady clock of this process.

It is the clock that the event loop's deadlines are measured on, read without
looking up the loop.
"""

from time import monotonic as now_s

__all__ = ('now_s',)
