"""ragwortstand.tools.model.plans: inputs and results of the fleet model."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from ragwortstand.backend_servers.admission import Admission, Load
from ragwortstand.models import Rank
from ragwortstand.peers.choice import Choice, Locality
from ragwortstand.peers.retries import RetryPolicy


@dataclass(frozen=True, slots=True)
class Server:
    """A backend server and the daemon beside it.

    :param host: name of the host.
    :param zone: its availability zone.
    :param region: its region.
    :param service: name of the service that it offers.
    :param slots: requests that it runs concurrently.
    :param speed: work per second, relative to a nominal server.
    """

    host: str
    zone: str
    region: str
    service: str
    slots: int = 13
    speed: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Rank, work and calls of one kind of request.

    :param rank: its rank, which holds the latency target.
    :param service: name of the service that runs it.
    :param work_s: mean service time on a nominal server.
    :param spread: largest deviation from the mean, as a share of the mean.
    :param calls: kinds of the requests that each run sends in sequence.
    :param is_idempotent: whether it may run more than once.
    :param deadline_s: time that its caller waits for a response.
    """

    rank: Rank
    service: str
    work_s: float
    spread: float = 0.3
    calls: tuple['RequestKind', ...] = ()
    is_idempotent: bool = True
    deadline_s: float = 1.5


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind from the callers of one availability zone.

    :param kind: the kind of request.
    :param zone: availability zone of the callers.
    :param rate_per_s: mean number of requests a second.
    :param from_s: start within the run.
    :param until_s: end within the run.
    :param max_retries: retries of a refused caller, each after about the time
        that the refusal names.
    """

    kind: RequestKind
    zone: str
    rate_per_s: float
    from_s: float = 0.0
    until_s: float = 10.0
    max_retries: int = 2


@dataclass(frozen=True, slots=True)
class Fault:
    """Slow, rejecting or limited backend servers during part of a run.

    :param hosts: hosts of the affected servers.
    :param from_s: start within the run.
    :param until_s: end within the run.
    :param slowdown: factor on the service time.
    :param rejected_share: share of the requests that are rejected immediately.
    :param rate_limit_per_s: requests per second that each server names as its
        limit; None for no limit.
    """

    hosts: frozenset[str]
    from_s: float
    until_s: float
    slowdown: float = 1.0
    rejected_share: float = 0.0
    rate_limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Policy:
    """The policy classes that all daemons use.

    :param name: name in reports.
    :param admission: creates the admission of a backend server.
    :param choice: creates the choice among backend servers.
    :param retries: creates the retry policy, given the number of daemons.
    """

    name: str
    admission: Callable[[], Admission]
    choice: Callable[[Locality, Callable[[float], Load], random.Random], Choice]
    retries: Callable[[int], RetryPolicy]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet, its load and its faults.

    :param servers: the backend servers.
    :param streams: the requests that callers send.
    :param faults: faults of backend servers.
    """

    servers: tuple[Server, ...]
    streams: tuple[Stream, ...]
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Outcome of one request of a caller, with its retries.

    :param rank: name of its rank.
    :param zone: availability zone of the caller.
    :param began_at_s: when the caller first sent it.
    :param taken_s: time until the last outcome.
    :param is_served: whether it got a successful response.
    :param is_in_goal: whether it was served within the target of its rank.
    :param refused_after_s: time until the first refusal; infinite without
        one.
    """

    rank: str
    zone: str
    began_at_s: float
    taken_s: float
    is_served: bool
    is_in_goal: bool
    refused_after_s: float = math.inf
