"""ragwortstand.calls: a request with its route, deadline and attempts."""

import math
from dataclasses import dataclass, field

import xxhash

from ragwortstand.ids import Fingerprint, IdempotencyKey, RequestId, Version
from ragwortstand.models import Rank, Service
from ragwortstand.verdicts import Headers


@dataclass(slots=True)
class FinishLimit:
    """When a request must have finished, as a daemon on its path exits.

    The request shares it with its place in a queue, so that a stop that begins
    while it waits applies to it.

    :param finish_by_s: time of the exit on this process's clock.
    """

    finish_by_s: float = math.inf

    def lower(self, finish_by_s: float) -> None:
        """Apply an exit unless an earlier one is known."""
        self.finish_by_s = min(self.finish_by_s, finish_by_s)


@dataclass(slots=True)
class Call:
    """A request with the route, deadline and version that apply to it.

    :param request_id: id in logs and in requests to backend servers.
    :param method: HTTP method in upper case.
    :param target: path and query.
    :param headers: end-to-end headers, names in lower case.
    :param body: the whole body.
    :param service: service that runs it.
    :param rank: rank of the request.
    :param is_idempotent: whether it may be sent again once it may have run.
    :param deadline_s: time when it is given up, on this process's clock.
    :param version: version of the configuration that it was matched with.
    :param key: the caller's idempotency key.
    :param goal_s: latency objective: the time on this process's clock after
        which the response loses most of its value; None if there is none.
    :param max_attempts: maximum number of backend servers that it is sent
        to; None leaves it to the retry policy.
    :param sends: number of backend servers that it was sent to.
    :param redirects: refusals of daemons that left a suspect to another one.
    :param began_at_s: when the caller's request was read.
    :param attempt: 1 for the first attempt.
    :param is_dispatched: whether the first byte may have reached a backend
        server.
    :param is_suspect: whether it was in flight when a backend server crashed.
    :param limit: when it must have finished because a daemon exits.
    """

    request_id: RequestId
    method: str
    target: str
    headers: Headers
    body: bytes
    service: Service
    rank: Rank
    is_idempotent: bool
    deadline_s: float
    version: Version
    key: IdempotencyKey | None = None
    goal_s: float | None = None
    max_attempts: int | None = None
    sends: int = 0
    redirects: int = 0
    began_at_s: float = 0.0
    attempt: int = 1
    is_dispatched: bool = False
    is_suspect: bool = False
    limit: FinishLimit = field(default_factory=FinishLimit)
    _fingerprint: Fingerprint | None = field(default=None, repr=False)

    @property
    def fingerprint(self) -> Fingerprint:
        """Return a hash that is the same for each repetition of the request."""
        if self._fingerprint is None:
            hasher = xxhash.xxh3_128(self.method.encode())
            hasher.update(self.target.encode())
            hasher.update(self.body)
            self._fingerprint = Fingerprint(hasher.hexdigest())
        return self._fingerprint

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the deadline, at least 0."""
        return max(0.0, self.deadline_s - now_s)
