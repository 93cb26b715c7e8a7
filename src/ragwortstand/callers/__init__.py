"""ragwortstand.callers: accepts and dispatches callers' requests."""

from ragwortstand.callers.asgi_app import Front
from ragwortstand.callers.at_most_once import OnceRunner
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.overload import OverloadGuard

__all__ = ('Dispatcher', 'Front', 'OnceRunner', 'OverloadGuard')
