"""ragwortstand.models: configuration types that daemons decode.

The types have the same fields and bounds as those of `ragwortstand.authoring`,
which operators use and which report every fault of a document. These are
faster to decode. Bounds are checked by `decode`, not by the constructors.
"""

import hashlib
from collections.abc import Iterator
from typing import Annotated

import msgspec

from ragwortstand.decoding import decode_with
from ragwortstand.exceptions import ConfigurationError, Fault
from ragwortstand.ids import Digest

MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
MAX_DEADLINE_S = 600.0
_SHARE_TOLERANCE = 1e-9

_Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}\Z')]
_NameOrNone = Annotated[
    str, msgspec.Meta(pattern=r'^([a-z0-9][a-z0-9._-]{0,62})?\Z')
]
_Method = Annotated[str, msgspec.Meta(pattern=r'^[A-Z]+\Z')]
_Path = Annotated[str, msgspec.Meta(pattern=r'^/[^?#\s]*\Z', max_length=512)]
_Host = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9.-]*\Z', max_length=253)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Deadline = Annotated[float, msgspec.Meta(gt=0, le=MAX_DEADLINE_S)]
_Weight = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
_Attempts = Annotated[int, msgspec.Meta(ge=1, le=100)]

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'))


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all configuration types."""


class Rank(_Model, frozen=True, kw_only=True):
    """A priority class with its latency target and guaranteed share.

    A configuration lists its ranks from the most to the least urgent.

    :param name: unique name.
    :param target_s: target for the response time, in seconds.
    :param guaranteed_share: fraction of each backend server's slots that is
        reserved for the rank when it needs them, from 0 to 1.
    :param deadline_s: time limit for a response if the caller sets none, in
        seconds.
    :param cross_region: whether requests may use links between regions.
    """

    name: _Name
    target_s: _Deadline = 1.0
    guaranteed_share: _Share = 0.0
    deadline_s: _Deadline = 10.0
    cross_region: bool = True


class Service(_Model, frozen=True, kw_only=True):
    """A service that backend servers provide.

    :param name: unique name.
    :param retry_share: retries allowed as a fraction of successful calls.
    :param cold_start_s: time over which the slots of a newly started backend
        server increase from a fifth to all, in seconds.
    :param max_connections: connections that each backend server accepts;
        None uses the number that the backend server announces.
    """

    name: _Name
    retry_share: _Share = 0.1
    cold_start_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 0.0
    max_connections: Annotated[int, msgspec.Meta(ge=1)] | None = None


class WeightedService(_Model, frozen=True, kw_only=True):
    """One service of a route that is split between services by weight.

    :param service: name of the service.
    :param weight: its share of the requests, relative to the other services.
    """

    service: _Name
    weight: _Weight


class CallerLimits(_Model, frozen=True, kw_only=True):
    """Limits on the size of callers' requests and on the time they take.

    :param max_header_bytes: maximum size of the request line and the headers.
    :param max_body_bytes: maximum size of a request's body.
    :param header_timeout_s: time from the first byte of a request to the end
        of its headers.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    max_header_bytes: Annotated[int, msgspec.Meta(ge=256, le=1 << 20)] = 16_384
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=1 << 30)] = 1 << 26
    header_timeout_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 3.0
    idle_timeout_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 15.0


class Route(_Model, frozen=True, kw_only=True):
    """A rule that sends requests at or below a path to services.

    :param path: path prefix, matched by whole segments.
    :param service: name of the service; empty if `backends` is given.
    :param rank: name of the rank.
    :param methods: HTTP methods in upper case; empty means all.
    :param idempotent: whether a request may run twice without harm; None
        decides by the HTTP method.
    :param deadline_s: time limit for a response; None uses the rank's.
    :param host: host name that requests must have; empty means any.
    :param backends: services that share the requests by weight.
    :param max_attempts: maximum number of backend servers that one request
        is sent to; None leaves it to the retry policy.
    :param below_only: whether `path` itself, without a slash at its end, is
        excluded.
    """

    path: _Path
    service: _NameOrNone = ''
    rank: _Name
    methods: tuple[_Method, ...] = ()
    idempotent: bool | None = None
    deadline_s: _Deadline | None = None
    host: _Host = ''
    backends: tuple[WeightedService, ...] = ()
    max_attempts: _Attempts | None = None
    below_only: bool = False

    @property
    def parts(self) -> tuple[WeightedService, ...]:
        """Return the services with their weights; a single service has 1."""
        if self.backends:
            return self.backends
        return (WeightedService(service=self.service, weight=1),)

    def is_idempotent(self, method: str) -> bool:
        """Return whether a request that may have run may be sent again.

        :param method: HTTP method in upper case.
        """
        if self.idempotent is None:
            return method in IDEMPOTENT_METHODS
        return self.idempotent


class Configuration(_Model, frozen=True, kw_only=True):
    """A complete configuration, applied as one version.

    :param ranks: from the most to the least urgent.
    :param services: the services that routes may name.
    :param routes: the longest matching path wins.
    :param limits: limits on callers' requests.
    """

    ranks: tuple[Rank, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()

    def to_json(self) -> str:
        """Return the canonical JSON text: sorted keys, no white space."""
        return msgspec.json.encode(self, order='sorted').decode()

    def faults(self) -> tuple[Fault, ...]:
        """Return conflicts between fields, such as unknown names.

        The result is empty if there are none.
        """
        return tuple(_consistency_faults(self))


class _RawRoutesConfiguration(_Model, frozen=True, kw_only=True):
    """A configuration whose routes are not decoded yet."""

    ranks: tuple[Rank, ...]
    services: tuple[Service, ...]
    routes: list[msgspec.Raw] = []
    limits: CallerLimits = CallerLimits()


_RAW_ROUTES_DECODER = msgspec.json.Decoder(_RawRoutesConfiguration)
_ROUTE_DECODER = msgspec.json.Decoder(Route)
_CONFIGURATION_DECODER = msgspec.json.Decoder(Configuration)


class ConfigurationReader:
    """Decodes successive versions and reuses unchanged routes.

    Most routes of a version equal those of the previous one, so their
    decoded objects are reused.
    """

    def __init__(self) -> None:
        """Create a reader with an empty route cache."""
        self._routes: dict[bytes, Route] = {}

    def decode(self, content: bytes) -> Configuration:
        """Decode and validate a configuration.

        :param content: JSON in UTF-8.
        :raises ConfigurationError: with the first schema fault, or with all
            conflicts between fields.
        """
        if len(content) > MAX_CONFIGURATION_BYTES:
            problem = f'larger than {MAX_CONFIGURATION_BYTES} bytes'
            raise ConfigurationError([Fault('$', problem)])
        try:
            configuration = decode_with(self._decode_reusing_routes, content)
        except msgspec.DecodeError as error:
            raise ConfigurationError([Fault('$', str(error))]) from error
        faults = configuration.faults()
        if faults:
            raise ConfigurationError(faults)
        return configuration

    def _decode_reusing_routes(self, content: bytes) -> Configuration:
        partial = _RAW_ROUTES_DECODER.decode(content)
        texts = [bytes(text) for text in partial.routes]
        cached = self._routes
        try:
            routes = {
                text: cached.get(text) or _ROUTE_DECODER.decode(text)
                for text in texts
            }
        except msgspec.DecodeError:
            # Decode the whole document, so that the error has the path in it.
            return _CONFIGURATION_DECODER.decode(content)
        self._routes = routes
        return Configuration(
            ranks=partial.ranks,
            services=partial.services,
            routes=tuple(routes[text] for text in texts),
            limits=partial.limits,
        )


def decode(content: bytes) -> Configuration:
    """Decode and validate a configuration.

    :param content: JSON in UTF-8.
    :raises ConfigurationError: if it is not valid.
    """
    return ConfigurationReader().decode(content)


def digest_of(content: bytes) -> Digest:
    """Return the SHA-256 of canonical content, in hexadecimal.

    :param content: canonical JSON in UTF-8.
    """
    return Digest(hashlib.sha256(content).hexdigest())


def _consistency_faults(configuration: Configuration) -> Iterator[Fault]:
    ranks = [rank.name for rank in configuration.ranks]
    services = [service.name for service in configuration.services]
    if not ranks:
        yield Fault('$.ranks', 'at least one rank is needed')
    if not services:
        yield Fault('$.services', 'at least one service is needed')
    yield from _duplicate_names('ranks', ranks)
    yield from _duplicate_names('services', services)
    shares = sum(rank.guaranteed_share for rank in configuration.ranks)
    if shares > 1 + _SHARE_TOLERANCE:
        yield Fault('$.ranks', f'guaranteed shares add up to {shares:g} > 1')
    yield from _route_faults(
        configuration, frozenset(ranks), frozenset(services)
    )


def _duplicate_names(field_name: str, names: list[str]) -> Iterator[Fault]:
    for position, name in enumerate(names):
        if name in names[:position]:
            path = f'$.{field_name}[{position}].name'
            yield Fault(path, f'{name!r} is used twice')


def _route_faults(
    configuration: Configuration,
    ranks: frozenset[str],
    services: frozenset[str],
) -> Iterator[Fault]:
    seen: set[tuple[str, str, str]] = set()
    for position, route in enumerate(configuration.routes):
        if not _has_known_names(route, ranks, services):
            path = f'$.routes[{position}]'
            yield from _name_faults(route, path, ranks, services)
        for method in route.methods or ('*',):
            key = (route.host, route.path, method)
            if key in seen:
                problem = f'{method} {route.host}{route.path} is routed twice'
                yield Fault(f'$.routes[{position}].path', problem)
            seen.add(key)


def _has_known_names(
    route: Route,
    ranks: frozenset[str],
    services: frozenset[str],
) -> bool:
    if route.rank not in ranks or bool(route.service) == bool(route.backends):
        return False
    if route.service:
        return route.service in services
    return services.issuperset([target.service for target in route.backends])


def _name_faults(
    route: Route,
    path: str,
    ranks: frozenset[str],
    services: frozenset[str],
) -> Iterator[Fault]:
    if bool(route.service) == bool(route.backends):
        problem = 'needs a service or backends, and not both'
        yield Fault(f'{path}.service', problem)
    elif route.service:
        yield from _unknown_service_faults(route.service, path, services)
    else:
        for position, target in enumerate(route.backends):
            target_path = f'{path}.backends[{position}]'
            yield from _unknown_service_faults(
                target.service, target_path, services
            )
    if route.rank not in ranks:
        yield Fault(f'{path}.rank', f'no rank is named {route.rank!r}')


def _unknown_service_faults(
    name: str,
    path: str,
    services: frozenset[str],
) -> Iterator[Fault]:
    if name not in services:
        yield Fault(f'{path}.service', f'no service is named {name!r}')
