"""ragwortstand: configuration distribution for a service mesh."""

from ragwortstand.api import check, parse  # noqa: WPS347
from ragwortstand.exceptions import (
    ConfigurationError,
    Fault,
    RagwortstandError,
)
from ragwortstand.models import Configuration, Rank, Route, Service

__all__ = (
    'Configuration',
    'ConfigurationError',
    'Fault',
    'RagwortstandError',
    'Rank',
    'Route',
    'Service',
    'check',
    'parse',
)
