"""ragwortstand.tools.model.plans: what a model plays, and what it finds."""

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
    :param service: what it offers.
    :param slots: requests that it runs at once.
    :param speed: work done in a second, relative to the nominal.
    """

    host: str
    zone: str
    region: str
    service: str
    slots: int = 13
    speed: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    :param rank: its rank, with the target.
    :param service: who runs it.
    :param work_s: mean time on a nominal server.
    :param spread: part of the mean by which work varies to either side.
    :param calls: kinds that each run calls, one after the other.
    :param is_idempotent: whether it may be repeated.
    :param deadline_s: how long its caller waits.
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
    """Requests of one kind that come from the callers of one zone.

    :param kind: the kind.
    :param zone: availability zone of the callers.
    :param rate_per_s: requests a second.
    :param from_s: first second.
    :param until_s: last second.
    :param max_retries: how often a caller retries after a refusal.
    """

    kind: RequestKind
    zone: str
    rate_per_s: float
    from_s: float = 0.0
    until_s: float = 10.0
    max_retries: int = 2


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with some backend servers for a time.

    :param hosts: on which hosts.
    :param from_s: first second.
    :param until_s: last second.
    :param slowdown: how many times as long work takes.
    :param rejected_share: part of the requests that are rejected at once.
    """

    hosts: frozenset[str]
    from_s: float
    until_s: float
    slowdown: float = 1.0
    rejected_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Policy:
    """The deciding parts of all daemons.

    :param name: how reports call it.
    :param admission: makes the queue of a backend server.
    :param choice: makes the choice among servers.
    :param retries: makes the retry policy; it gets the number of daemons.
    """

    name: str
    admission: Callable[[], Admission]
    choice: Callable[[Locality, Callable[[float], Load], random.Random], Choice]
    retries: Callable[[int], RetryPolicy]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load pattern to play.

    :param servers: the backend servers.
    :param streams: the load.
    :param faults: what goes wrong.
    """

    servers: tuple[Server, ...]
    streams: tuple[Stream, ...]
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestResult:
    """One request of a caller and its end.

    :param rank: name of its rank.
    :param zone: availability zone of the caller.
    :param began_at_s: when the caller asked first.
    :param taken_s: time to the last answer.
    :param is_served: whether it has a success.
    :param is_in_goal: whether it came within the target of its rank.
    :param refused_after_s: time to the first refusal; infinite without one.
    """

    rank: str
    zone: str
    began_at_s: float
    taken_s: float
    is_served: bool
    is_in_goal: bool
    refused_after_s: float = math.inf
