"""ragwortstand: configuration distribution for a service mesh."""

import importlib
from typing import TYPE_CHECKING, Any

from ragwortstand.exceptions import (
    ConfigurationError,
    Fault,
    RagwortstandError,
)

if TYPE_CHECKING:
    from ragwortstand.api import check, parse  # noqa: WPS347
    from ragwortstand.authoring import (
        CallerLimits,
        Configuration,
        Rank,
        Route,
        Service,
        WeightedService,
    )

__all__ = (
    'CallerLimits',
    'Configuration',
    'ConfigurationError',
    'Fault',
    'RagwortstandError',
    'Rank',
    'Route',
    'Service',
    'WeightedService',
    'check',
    'parse',
)

_FUNCTIONS = frozenset(('check', 'parse'))


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Load the operators' types on first use, as daemons do not need them."""
    if name not in __all__:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    module = 'api' if name in _FUNCTIONS else 'authoring'
    return getattr(importlib.import_module(f'{__name__}.{module}'), name)
