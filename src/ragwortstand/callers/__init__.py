"""ragwortstand.callers: accepts and dispatches callers' requests."""

from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.front import Front
from ragwortstand.callers.once import OnceRunner
from ragwortstand.callers.overload import OverloadGuard

__all__ = ('Dispatcher', 'Front', 'OnceRunner', 'OverloadGuard')
