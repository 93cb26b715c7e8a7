"""ragwortstand.versions: snapshots of the configuration and their order."""

import enum
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ragwortstand import api
from ragwortstand.exceptions import ConfigurationError
from ragwortstand.ids import NO_VERSION, Digest, Version
from ragwortstand.models import Configuration, Rank, Route, Service, digest_of

_KEPT_CONTENTS = 4
_ANY_METHOD = '*'


class Offer(enum.Enum):
    """What became of a version that was offered to a daemon."""

    APPLIED = 'applied'
    STALE = 'stale'
    WRONG_DIGEST = 'wrong-digest'
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class Match:
    """A route with the rank and the service that it names."""

    route: Route
    rank: Rank
    service: Service


class Snapshot:
    """One whole configuration, compiled for matching; never changes.

    Usage::

        >>> snapshot = Snapshot(version, mesh, content)
        >>> snapshot.match('GET', '/slips/ndank')

    :param version: version of the configuration.
    :param mesh: the checked configuration.
    :param content: its canonical JSON in UTF-8.
    """

    def __init__(
        self,
        version: Version,
        mesh: Configuration,
        content: bytes,
    ) -> None:
        """Compile the routes."""
        self.version = version
        self.mesh = mesh
        self.content = content
        self.digest = digest_of(content)
        ranks = {rank.name: rank for rank in mesh.ranks}
        services = {service.name: service for service in mesh.services}
        self._ranks = ranks
        self._routes: dict[tuple[str, str], Match] = {}
        for route in mesh.routes:
            match = Match(route, ranks[route.rank], services[route.service])
            for method in route.methods or (_ANY_METHOD,):
                self._routes[_normal(route.path), method] = match

    def rank(self, name: str) -> Rank | None:
        """Return the rank of that name."""
        return self._ranks.get(name)

    def match(self, method: str, path: str) -> Match | None:
        """Return the longest route that covers a request.

        :param method: HTTP method in upper case.
        :param path: path without the query.
        :returns: the match, or None where no route covers the request.
        """
        prefix = _normal(path)
        while True:
            found = self._routes.get((prefix, method))
            found = found or self._routes.get((prefix, _ANY_METHOD))
            if found or not prefix:
                return found
            prefix = prefix.rpartition('/')[0]


class VersionGate:
    """Holds the version in force and lets only newer whole versions in.

    Usage::

        >>> gate = VersionGate()
        >>> gate.offer(Version(1), digest, content)
        <Offer.APPLIED: 'applied'>
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.snapshot: Snapshot | None = None
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._contents: OrderedDict[Version, bytes] = OrderedDict()

    @property
    def version(self) -> Version:
        """Return the version in force; 0 where there is none."""
        return self.snapshot.version if self.snapshot else NO_VERSION

    def subscribe(self, listener: Callable[[Snapshot], None]) -> None:
        """Call a function after each new version has come into force."""
        self._listeners.append(listener)

    def content(self, version: Version) -> bytes | None:
        """Return the content of a recent version, for deltas."""
        return self._contents.get(version)

    def offer(self, version: Version, digest: Digest, content: bytes) -> Offer:
        """Put a version in force when it is whole, sound and newer.

        :param version: the offered version.
        :param digest: digest that was accepted with the version.
        :param content: canonical JSON in UTF-8.
        :returns: what became of the offer.
        """
        if version <= self.version:
            return Offer.STALE
        if digest_of(content) != digest:
            return Offer.WRONG_DIGEST
        try:
            mesh = api.parse(content)
        except ConfigurationError:
            return Offer.INVALID
        self._apply(Snapshot(version, mesh, content))
        return Offer.APPLIED

    def _apply(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._contents[snapshot.version] = snapshot.content
        while len(self._contents) > _KEPT_CONTENTS:
            self._contents.popitem(last=False)
        for listener in self._listeners:
            listener(snapshot)


def _normal(path: str) -> str:
    return path.rstrip('/')
