"""ragwortstand.platform.configuration: the operator's row as a configuration.

Routes and services come as column names and rows of values.
"""

from types import MappingProxyType
from typing import Any

import msgspec

from ragwortstand.exceptions import ConfigurationError, Fault
from ragwortstand.ids import Version
from ragwortstand.models import Configuration

_IDEMPOTENT = MappingProxyType(
    {'idempotent': True, 'non_idempotent': False},
)
# Where a route has no time-out or goal; the longest budget of callers here
# is a few seconds.
_DEFAULT_TIMEOUT_MS = 10_000.0
_DEFAULT_GOAL_MS = 1_000.0


class _Columns(msgspec.Struct, frozen=True):
    columns: list[str]
    rows: list[list[Any]]


class _Part(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    host: str
    prefix: str
    kind: str
    # Longest time that a request may be kept waiting.
    timeout_ms: float | None = None
    # Time within which an answer has its full use.
    goal_ms: float | None = None
    # 0 is the most urgent.
    priority: int = 0
    # Parts of a split route; `service` is missing then.
    backends: list[_Part] | None = None
    # Backend servers that one request may be sent to.
    attempts: int | None = None
    service: str | None = None


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    # Connections that one backend server accepts from all callers.
    max_conns: int | None = None


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1 << 26
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Row(msgspec.Struct, frozen=True):
    version: int
    routes: _Columns
    services: _Columns
    limits: _Limits = _Limits()


def decode_configuration(content: bytes) -> tuple[Version, Configuration]:
    """Return the version and the configuration in the operator's row.

    :param content: the value of the row.
    :raises ConfigurationError: when it is not a whole, sound configuration.
    """
    try:
        row = msgspec.json.decode(content, type=_Row)
        routes = _structs(row.routes, _Route)
        services = _structs(row.services, _Service)
        mesh = _configuration(routes, services, row.limits)
    except (msgspec.DecodeError, ValueError) as error:
        raise ConfigurationError([Fault('$', str(error))]) from error
    faults = mesh.faults()
    if faults:
        raise ConfigurationError(faults)
    return Version(row.version), mesh


def _structs(table: _Columns, form: type[Any]) -> list[Any]:
    """Return one struct for each row; null means that a field is left out."""
    found = []
    for row in table.rows:
        fields = {
            name: cell
            for name, cell in zip(table.columns, row, strict=True)
            if cell is not None
        }
        found.append(msgspec.convert(fields, form))
    return found


def _configuration(
    routes: list[_Route],
    services: list[_Service],
    limits: _Limits,
) -> Configuration:
    """Return the configuration with the bounds of all fields checked."""
    ranks = sorted({_urgency(route) for route in routes})
    document = {
        'ranks': [
            {'name': _rank_name(urgency), 'target_s': urgency[1] / 1000}
            for urgency in ranks
        ]
        or [{'name': 'none'}],
        'services': [
            {'name': one.name, 'max_connections': one.max_conns}
            for one in services
        ],
        'routes': [_route(route) for route in routes],
        'limits': {
            'max_header_bytes': limits.max_header_bytes,
            'max_body_bytes': limits.max_body_bytes,
            'header_timeout_s': limits.header_timeout_ms / 1000,
            'idle_timeout_s': limits.idle_timeout_ms / 1000,
        },
    }
    return msgspec.convert(document, Configuration)


def _route(route: _Route) -> dict[str, Any]:
    if route.kind not in _IDEMPOTENT:
        raise ValueError(f'route {route.name!r} has kind {route.kind!r}')
    parts = [
        {'service': part.service, 'weight': part.weight}
        for part in route.backends or ()
        if part.weight > 0
    ]
    return {
        'path': route.prefix,
        'below_only': True,
        'host': route.host.lower(),
        'service': '' if parts else route.service or '',
        'backends': parts,
        'rank': _rank_name(_urgency(route)),
        'idempotent': _IDEMPOTENT[route.kind],
        'deadline_s': (route.timeout_ms or _DEFAULT_TIMEOUT_MS) / 1000,
        'max_attempts': route.attempts,
    }


def _urgency(route: _Route) -> tuple[int, float]:
    return (route.priority, route.goal_ms or _DEFAULT_GOAL_MS)


def _rank_name(urgency: tuple[int, float]) -> str:
    priority, goal_ms = urgency
    return f'p{priority}-{goal_ms:g}ms'
