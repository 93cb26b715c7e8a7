"""ragwortstand.platform.configuration: decodes the operator's row.

The row holds one version of the configuration. Routes and services are
encoded in it as column names and rows of values.
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
# For routes without a time-out or a latency objective; the longest budget of
# callers on the platform is a few seconds.
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
    # Deadline of a request.
    timeout_ms: float | None = None
    # Latency objective: a later response loses most of its value.
    goal_ms: float | None = None
    # 0 is the most urgent.
    priority: int = 0
    # Weighted services of a split route, which has no `service`.
    backends: list[_Part] | None = None
    # Maximum number of backend servers that one request is sent to.
    attempts: int | None = None
    service: str | None = None


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    # Maximum number of connections to one backend server, of all callers.
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
    """Decodes successive versions of the operator's row.

    Most routes don't change between two versions, so those of the previous
    version are cached by their encoded row.
    """

    def __init__(self) -> None:
        """Create a decoder with an empty cache."""
        self._columns: list[str] = []
        self._routes: dict[bytes, _Read] = {}

    def decode(self, content: bytes) -> tuple[Version, Configuration]:
        """Return the version and the configuration in the operator's row.

        :param content: the value of the row.
        :raises ConfigurationError: when the configuration is incomplete or
            invalid.
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
        """Build the configuration and check the bounds of all fields."""
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
    :raises ConfigurationError: when the configuration is incomplete or
        invalid.
    """
    return RowReader().decode(content)


def _struct(columns: list[str], text: bytes, form: type[_Form]) -> _Form:
    """Decode a row of values; a null leaves the field at its default."""
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
