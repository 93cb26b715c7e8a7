"""ragwortstand.callers: accepts and dispatches callers' requests."""

from ragwortstand.callers.asgi_app import CallerApplication
from ragwortstand.callers.at_most_once import AtMostOnceRunner
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.overload import OverloadGuard

__all__ = (
    'AtMostOnceRunner',
    'CallerApplication',
    'Dispatcher',
    'OverloadGuard',
)
