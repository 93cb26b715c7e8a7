"""ragwortstand: configuration distribution for a service mesh."""

from ragwortstand.api import check, parse  # noqa: WPS347
from ragwortstand.exceptions import (
    ConfigurationError,
    Fault,
    RagwortstandError,
)
from ragwortstand.models import (
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
