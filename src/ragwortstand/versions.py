"""ragwortstand.versions: configuration snapshots and the version in force."""

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeAlias

from ragwortstand.exceptions import ConfigurationError
from ragwortstand.ids import NO_VERSION, Digest, Version
from ragwortstand.models import (
    Configuration,
    ConfigurationReader,
    Rank,
    Route,
    Service,
    digest_of,
)

_MAX_RECENT_CONTENTS = 4
_ANY_METHOD = '*'
# Host, path and method.
_RouteKey: TypeAlias = tuple[str, str, str]


class OfferResult(enum.Enum):
    """Result of offering a version to a daemon."""

    APPLIED = 'applied'
    STALE = 'stale'
    WRONG_DIGEST = 'wrong-digest'
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class WeightedTarget:
    """A service that a route sends requests to, with its weight.

    :param service: the service.
    :param weight: its share of the requests, relative to the other targets.
    """

    service: Service
    weight: float


@dataclass(frozen=True, slots=True)
class Match:
    """A matched route with its resolved rank and services."""

    route: Route
    rank: Rank
    targets: tuple[WeightedTarget, ...]

    @property
    def service(self) -> Service:
        """Return the first service of the route, usually the only one."""
        return self.targets[0].service


class Snapshot:
    """An immutable configuration, indexed for matching requests to routes.

    Usage::

        >>> snapshot = Snapshot(version, configuration, content)
        >>> snapshot.match('GET', '/slips/ndank')

    :param version: version of the configuration.
    :param configuration: the validated configuration.
    :param content: its canonical JSON in UTF-8.
    :param digest: digest of the content; computed if not given.
    """

    def __init__(
        self,
        version: Version,
        configuration: Configuration,
        content: bytes,
        digest: Digest | None = None,
    ) -> None:
        """Index the routes by host, path and method."""
        self.version = version
        self.configuration = configuration
        self.content = content
        self.digest = digest or digest_of(content)
        self.services = {
            service.name: service for service in configuration.services
        }
        self._ranks = {rank.name: rank for rank in configuration.ranks}
        self._routes: dict[_RouteKey, Route] = {}
        # Filled on demand: few of the routes get requests before the next
        # version.
        self._matches: dict[_RouteKey, Match] = {}
        for route in configuration.routes:
            path = _path_key(route)
            for method in route.methods or (_ANY_METHOD,):
                self._routes[route.host, path, method] = route

    def rank(self, name: str) -> Rank | None:
        """Return the rank with this name, or None."""
        return self._ranks.get(name)

    def match(self, method: str, path: str, host: str = '') -> Match | None:
        """Return the match with the longest path that covers a request.

        Routes for the request's host take precedence over those for any host.

        :param method: HTTP method in upper case.
        :param path: path without the query.
        :param host: host name of the request, in lower case.
        :returns: the match, or None if no route covers the request.
        """
        host_match = self._find_longest(method, path, host) if host else None
        return host_match or self._find_longest(method, path, '')

    def _find_longest(self, method: str, path: str, host: str) -> Match | None:
        for prefix in _covering_paths(path):
            for method_key in (method, _ANY_METHOD):
                key = (host, prefix, method_key)
                if key in self._routes:
                    return self._matches.get(key) or self._build_match(key)
        return None

    def _build_match(self, key: _RouteKey) -> Match:
        route = self._routes[key]
        targets = tuple(
            WeightedTarget(self.services[target.service], target.weight)
            for target in route.parts
        )
        match = Match(route, self._ranks[route.rank], targets)
        self._matches[key] = match
        return match


def _path_key(route: Route) -> str:
    """Return the index key of a route's path; `below_only` adds a slash."""
    path = route.path.rstrip('/')
    return f'{path}/' if route.below_only else path


def _covering_paths(path: str) -> Iterator[str]:
    """Yield the route paths that cover a path, the longest first."""
    if not path.endswith('/'):
        yield path
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        yield path[:end]
        end = path.rfind('/', 0, end)


class VersionGate:
    """Holds the version in force and applies only valid newer versions.

    Usage::

        >>> gate = VersionGate()
        >>> gate.offer(Version(1), digest, content)
        <OfferResult.APPLIED: 'applied'>
    """

    def __init__(self) -> None:
        """Create a gate without a configuration."""
        self.snapshot: Snapshot | None = None
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._reader = ConfigurationReader()
        self._recent_contents: OrderedDict[Version, bytes] = OrderedDict()

    @property
    def version(self) -> Version:
        """Return the version in force, or 0 if there is none."""
        return self.snapshot.version if self.snapshot else NO_VERSION

    def subscribe(self, listener: Callable[[Snapshot], None]) -> None:
        """Call a function whenever a new version has come into force."""
        self._listeners.append(listener)

    def content(self, version: Version) -> bytes | None:
        """Return the content of a recent version, to compute deltas.

        :returns: the content, or None if the version is not cached.
        """
        return self._recent_contents.get(version)

    def offer(
        self, version: Version, digest: Digest, content: bytes
    ) -> OfferResult:
        """Apply a version if it is newer, matches its digest and is valid.

        :param version: the offered version.
        :param digest: digest that was accepted with the version.
        :param content: canonical JSON in UTF-8.
        :returns: whether the version was applied, or why not.
        """
        if version <= self.version:
            return OfferResult.STALE
        if digest_of(content) != digest:
            return OfferResult.WRONG_DIGEST
        try:
            configuration = self._reader.decode(content)
        except ConfigurationError:
            return OfferResult.INVALID
        self._apply(Snapshot(version, configuration, content, digest))
        return OfferResult.APPLIED

    def _apply(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._recent_contents[snapshot.version] = snapshot.content
        while len(self._recent_contents) > _MAX_RECENT_CONTENTS:
            self._recent_contents.popitem(last=False)
        for listener in self._listeners:
            listener(snapshot)
