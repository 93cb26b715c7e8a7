"""ragwortstand.authoring: configuration types that operators write.

Constructors validate every field. `ragwortstand.models` has the same types in
a form that daemons decode faster.
"""

import json
import sys
from typing import Annotated, Literal, TextIO

import msgspec
from pydantic import Field

from ragwortstand import models
from ragwortstand.exceptions import ConfigurationError, Fault
from ragwortstand.ids import Digest
from ragwortstand.models import IDEMPOTENT_METHODS, MAX_DEADLINE_S, digest_of
from ragwortstand.pydantic_validation import StrictModel

_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
_Share = Annotated[float, Field(ge=0, le=1)]
_Deadline = Annotated[float, Field(gt=0, le=MAX_DEADLINE_S)]


class Rank(StrictModel):
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


class Service(StrictModel):
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
    cold_start_s: Annotated[float, Field(ge=0, le=600)] = 0.0
    max_connections: Annotated[int, Field(ge=1)] | None = None


class WeightedService(StrictModel):
    """One service of a route that is split between services by weight.

    :param service: name of the service.
    :param weight: its share of the requests, relative to the other services.
    """

    service: _Name
    weight: Annotated[float, Field(gt=0, le=1_000_000)]


class CallerLimits(StrictModel):
    """Limits on the size of callers' requests and on the time they take.

    :param max_header_bytes: maximum size of the request line and the headers.
    :param max_body_bytes: maximum size of a request's body.
    :param header_timeout_s: time from the first byte of a request to the end
        of its headers.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    max_header_bytes: Annotated[int, Field(ge=256, le=1 << 20)] = 16_384
    max_body_bytes: Annotated[int, Field(ge=0, le=1 << 30)] = 1 << 26
    header_timeout_s: Annotated[float, Field(gt=0, le=600)] = 3.0
    idle_timeout_s: Annotated[float, Field(gt=0, le=3600)] = 15.0


class Route(StrictModel):
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

    path: Annotated[str, Field(pattern=r'^/[^?#\s]*$', max_length=512)]
    service: _Name | Literal[''] = ''
    rank: _Name
    methods: tuple[Annotated[str, Field(pattern='^[A-Z]+$')], ...] = ()
    idempotent: bool | None = None
    deadline_s: _Deadline | None = None
    host: Annotated[str, Field(pattern=r'^[a-z0-9.-]*$', max_length=253)] = ''
    backends: tuple[WeightedService, ...] = ()
    max_attempts: Annotated[int, Field(ge=1, le=100)] | None = None
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


class Configuration(StrictModel):
    """A complete configuration, submitted as one version.

    Usage::

        >>> from ragwortstand import Configuration, Rank, Route, Service
        >>> configuration = Configuration(
        ...     ranks=[Rank(name='urgent', guaranteed_share=0.5)],
        ...     services=[Service(name='consult')],
        ...     routes=[Route(path='/', service='consult', rank='urgent')],
        ... )
        >>> configuration.faults()
        ()

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
        return json.dumps(
            self.model_dump(mode='json'),
            sort_keys=True,
            separators=(',', ':'),
            ensure_ascii=False,
        )

    def digest(self) -> Digest:
        """Return the SHA-256 of the canonical JSON, in hexadecimal."""
        return digest_of(self.to_json().encode())

    def faults(self) -> tuple[Fault, ...]:
        """Return conflicts between fields, such as unknown names.

        The result is empty if there are none.
        """
        try:
            configuration = msgspec.convert(
                self, models.Configuration, from_attributes=True
            )
        except msgspec.ValidationError as error:
            return (Fault('$', str(error)),)
        return configuration.faults()

    def print(self, stream: TextIO | None = None) -> None:
        """Print the canonical JSON, as ``ragwortctl submit`` reads it.

        :param stream: where to print; standard output by default.
        :raises ConfigurationError: if the configuration has faults.
        """
        faults = self.faults()
        if faults:
            raise ConfigurationError(faults)
        (stream or sys.stdout).write(self.to_json())
