"""ragwortstand.callers: the side that callers talk to."""

from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.front import Front

__all__ = ('Dispatcher', 'Front')
