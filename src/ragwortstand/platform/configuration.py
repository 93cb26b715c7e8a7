"""ragwortstand.platform.configuration: the operator's row as a configuration.

Routes and services come as column names and rows of values.
"""

from types import MappingProxyType
from typing import Any, NamedTuple, TypeVar

import msgspec

from ragwortstand.exceptions import ConfigurationError, Fault
from ragwortstand.ids import Version
from ragwortstand.models import Configuration, Route

_Form = TypeVar('_Form')

_IDEMPOTENT = MappingProxyType(
    {'idempotent': True, 'non_idempotent': False},
)
# Where a route has no time-out or goal; the longest budget of callers here
# is a few seconds.
_DEFAULT_TIMEOUT_MS = 10_000.0
_DEFAULT_GOAL_MS = 1_000.0


class _Read(NamedTuple):
    route: Route
    urgency: tuple[int, float]


class _Columns(msgspec.Struct, frozen=True):
    columns: list[str]
    rows: list[msgspec.Raw]


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


class RowReader:
    """Decodes one version of the operator's row after the other.

    Most rows of a version are those of the one before, so that their routes
    are used again.
    """

    def __init__(self) -> None:
        """Start without routes."""
        self._columns: list[str] = []
        self._routes: dict[bytes, _Read] = {}

    def decode(self, content: bytes) -> tuple[Version, Configuration]:
        """Return the version and the configuration in the operator's row.

        :param content: the value of the row.
        :raises ConfigurationError: when it is not a whole, sound
            configuration.
        """
        try:
            row = msgspec.json.decode(content, type=_Row)
            mesh = self._configuration(row)
        except (msgspec.DecodeError, ValueError) as error:
            raise ConfigurationError([Fault('$', str(error))]) from error
        faults = mesh.faults()
        if faults:
            raise ConfigurationError(faults)
        return Version(row.version), mesh

    def _configuration(self, row: _Row) -> Configuration:
        """Return the configuration with the bounds of all fields checked."""
        columns = row.routes.columns
        known = self._routes if columns == self._columns else {}
        texts = [bytes(text) for text in row.routes.rows]
        read = {text: known.get(text) or _read(columns, text) for text in texts}
        self._columns = columns
        self._routes = read
        limits = row.limits
        document = {
            'ranks': [
                {'name': _rank_name(urgency), 'target_s': urgency[1] / 1000}
                for urgency in sorted({one.urgency for one in read.values()})
            ]
            or [{'name': 'none'}],
            'services': [
                _service(row.services.columns, bytes(text))
                for text in row.services.rows
            ],
            'limits': {
                'max_header_bytes': limits.max_header_bytes,
                'max_body_bytes': limits.max_body_bytes,
                'header_timeout_s': limits.header_timeout_ms / 1000,
                'idle_timeout_s': limits.idle_timeout_ms / 1000,
            },
        }
        mesh = msgspec.convert(document, Configuration)
        routes = tuple(read[text].route for text in texts)
        return msgspec.structs.replace(mesh, routes=routes)


def decode_configuration(content: bytes) -> tuple[Version, Configuration]:
    """Return the version and the configuration in the operator's row.

    :param content: the value of the row.
    :raises ConfigurationError: when it is not a whole, sound configuration.
    """
    return RowReader().decode(content)


def _struct(columns: list[str], text: bytes, form: type[_Form]) -> _Form:
    """Return the struct in a row; null means that a field is left out."""
    cells = msgspec.json.decode(text, type=list[Any])
    fields = {
        name: cell
        for name, cell in zip(columns, cells, strict=True)
        if cell is not None
    }
    return msgspec.convert(fields, form)


def _read(columns: list[str], text: bytes) -> _Read:
    route = _struct(columns, text, _Route)
    return _Read(msgspec.convert(_route(route), Route), _urgency(route))


def _service(columns: list[str], text: bytes) -> dict[str, Any]:
    service = _struct(columns, text, _Service)
    return {'name': service.name, 'max_connections': service.max_conns}


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
