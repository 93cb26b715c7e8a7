"""ragwortstand.platform.configuration: decodes the operator's row.

The row holds one version of the configuration. Routes and services are
encoded in it as column names and rows of values.
"""

from types import MappingProxyType
from typing import Any, NamedTuple, TypeVar

import msgspec

from ragwortstand.decoding import Count, decode_json
from ragwortstand.exceptions import ConfigurationError, Fault
from ragwortstand.ids import Version
from ragwortstand.models import Configuration, Route

_StructType = TypeVar('_StructType')

# Downloads have large responses; as requests they are idempotent ones.
_IS_IDEMPOTENT_BY_KIND = MappingProxyType(
    {'idempotent': True, 'download': True, 'non_idempotent': False},
)
# For routes without a time-out or a latency objective; the longest budget of
# callers on the platform is a few seconds.
_DEFAULT_TIMEOUT_MS = 10_000.0
_DEFAULT_LATENCY_OBJECTIVE_MS = 1_000.0


class _DecodedRoute(NamedTuple):
    route: Route
    # Priority and latency objective in milliseconds, which identify a rank.
    rank_key: tuple[int, float]


class _Table(msgspec.Struct, frozen=True):
    columns: list[str]
    rows: list[msgspec.Raw]


class _WeightedTarget(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    host: str
    prefix: str
    kind: str
    # Longest time that a request may be kept waiting for its response.
    timeout_ms: float | None = None
    # Latency objective: time within which a response has its full value.
    goal_ms: float | None = None
    # 0 is the most urgent.
    priority: int = 0
    # Weighted services of a split route, which has no `service`.
    backends: list[_WeightedTarget] | None = None
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


class _VersionOnly(msgspec.Struct, frozen=True):
    version: Count


class _Row(msgspec.Struct, frozen=True):
    version: Count
    routes: _Table
    services: _Table
    limits: _Limits = _Limits()


class RowDecoder:
    """Decodes successive versions of the operator's row.

    Most routes don't change between two versions, so those of the previous
    version are cached by their encoded row.
    """

    def __init__(self) -> None:
        """Create a decoder with an empty cache."""
        self._columns: list[str] = []
        self._route_by_row: dict[bytes, _DecodedRoute] = {}

    def decode(self, content: bytes) -> tuple[Version, Configuration]:
        """Return the version and the configuration in the operator's row.

        :param content: the value of the row.
        :raises ConfigurationError: when the configuration is incomplete or
            invalid.
        """
        try:
            row = decode_json(content, _Row)
            mesh = self._build_configuration(row)
        except (msgspec.DecodeError, ValueError) as error:
            raise ConfigurationError([Fault('$', str(error))]) from error
        faults = mesh.faults()
        if faults:
            raise ConfigurationError(faults)
        return Version(row.version), mesh

    def _build_configuration(self, row: _Row) -> Configuration:
        """Build the configuration and check the bounds of all fields."""
        columns = row.routes.columns
        previous = self._route_by_row if columns == self._columns else {}
        encoded_rows = [bytes(encoded_row) for encoded_row in row.routes.rows]
        decoded = {
            encoded_row: previous.get(encoded_row)
            or _decode_route(columns, encoded_row)
            for encoded_row in encoded_rows
        }
        self._columns = columns
        self._route_by_row = decoded
        limits = row.limits
        document = {
            'ranks': [
                {'name': _rank_name(rank_key), 'target_s': rank_key[1] / 1000}
                for rank_key in sorted(
                    {
                        decoded_route.rank_key
                        for decoded_route in decoded.values()
                    }
                )
            ]
            or [{'name': 'none'}],
            'services': [
                _service_document(row.services.columns, bytes(encoded_row))
                for encoded_row in row.services.rows
            ],
            'limits': {
                'max_header_bytes': limits.max_header_bytes,
                'max_body_bytes': limits.max_body_bytes,
                'header_timeout_s': limits.header_timeout_ms / 1000,
                'idle_timeout_s': limits.idle_timeout_ms / 1000,
            },
        }
        mesh = msgspec.convert(document, Configuration)
        routes = tuple(
            decoded[encoded_row].route for encoded_row in encoded_rows
        )
        return msgspec.structs.replace(mesh, routes=routes)


def decode_configuration(content: bytes) -> tuple[Version, Configuration]:
    """Return the version and the configuration in the operator's row.

    :param content: the value of the row.
    :raises ConfigurationError: when the configuration is incomplete or
        invalid.
    """
    return RowDecoder().decode(content)


def decode_version(content: bytes) -> Version | None:
    """Return the version of a row that may be invalid in other parts.

    :param content: the value of the row.
    :returns: the version; None if it can't be decoded.
    """
    try:
        return Version(decode_json(content, _VersionOnly).version)
    except msgspec.DecodeError:
        return None


def _decode_fields(
    columns: list[str], encoded_row: bytes, struct_type: type[_StructType]
) -> _StructType:
    """Decode a row of values; a null leaves the field at its default."""
    cells = decode_json(encoded_row, list[Any])
    fields = {
        name: cell
        for name, cell in zip(columns, cells, strict=True)
        if cell is not None
    }
    return msgspec.convert(fields, struct_type)


def _decode_route(columns: list[str], encoded_row: bytes) -> _DecodedRoute:
    route = _decode_fields(columns, encoded_row, _Route)
    return _DecodedRoute(
        msgspec.convert(_route_document(route), Route), _rank_key(route)
    )


def _service_document(columns: list[str], encoded_row: bytes) -> dict[str, Any]:
    service = _decode_fields(columns, encoded_row, _Service)
    return {'name': service.name, 'max_connections': service.max_conns}


def _route_document(route: _Route) -> dict[str, Any]:
    if route.kind not in _IS_IDEMPOTENT_BY_KIND:
        known_kinds = ', '.join(sorted(_IS_IDEMPOTENT_BY_KIND))
        problem = f'{route.kind!r} is unknown; legal are {known_kinds}'
        raise ConfigurationError(
            [Fault(f'$.routes[{route.name}].kind', problem)]
        )
    targets = [
        {'service': target.service, 'weight': target.weight}
        for target in route.backends or ()
        if target.weight > 0
    ]
    return {
        'path': route.prefix,
        'below_only': True,
        'host': route.host.lower(),
        'service': '' if targets else route.service or '',
        'backends': targets,
        'rank': _rank_name(_rank_key(route)),
        'idempotent': _IS_IDEMPOTENT_BY_KIND[route.kind],
        'deadline_s': (route.timeout_ms or _DEFAULT_TIMEOUT_MS) / 1000,
        'max_attempts': route.attempts,
    }


def _rank_key(route: _Route) -> tuple[int, float]:
    return (route.priority, route.goal_ms or _DEFAULT_LATENCY_OBJECTIVE_MS)


def _rank_name(rank_key: tuple[int, float]) -> str:
    priority, goal_ms = rank_key
    return f'p{priority}-{goal_ms:g}ms'
