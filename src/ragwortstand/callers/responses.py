"""ragwortstand.callers.responses: converts outcomes to HTTP responses."""

import math
from types import MappingProxyType

import msgspec

from ragwortstand.ids import RequestId, Version
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Header,
    Outcome,
    Refused,
    Unknown,
)

_STATUS_BY_CAUSE = MappingProxyType(
    {
        Cause.NO_ROUTE: 404,
        Cause.BAD_REQUEST: 400,
        Cause.BODY_TOO_LARGE: 413,
        Cause.DEADLINE: 504,
        Cause.CONNECTION_LOST: 502,
        Cause.PEER_UNREACHABLE: 502,
        Cause.CRASHED: 502,
        Cause.ANSWER_TOO_LARGE: 502,
        Cause.ENDLESS_ANSWER: 502,
        Cause.QUARANTINED: 422,
        Cause.ALREADY_CLAIMED: 409,
        Cause.INTERNAL: 500,
    },
)
_DEFAULT_STATUS = 503
_PERMANENT_CAUSES = frozenset(
    (Cause.NO_ROUTE, Cause.BAD_REQUEST, Cause.BODY_TOO_LARGE),
)


class Problem(msgspec.Struct, frozen=True):
    """JSON body of a response that does not come from a backend server.

    :param verdict: whether the request may have run.
    :param cause: why there is no response from a backend server.
    :param request: id of the request.
    """

    verdict: str
    cause: str
    request: str


def render(
    outcome: Outcome,
    request_id: RequestId,
    version: Version,
) -> Answered:
    """Return the HTTP response for an outcome.

    Each response has a verdict header. A refusal that a retry may get past
    also has `Retry-After` in whole seconds and `ragwort-retry-after-ms`.

    :param outcome: outcome of the request.
    :param request_id: id of the request.
    :param version: version of the configuration that routed it.
    """
    headers: list[Header] = [
        (b'ragwort-verdict', outcome.verdict.value.encode()),
        (b'ragwort-request-id', request_id.encode()),
        (b'ragwort-version', b'%d' % version),
    ]
    if isinstance(outcome, Answered):
        return Answered(
            outcome.status, (*outcome.headers, *headers), outcome.body
        )
    headers.append((b'ragwort-cause', outcome.cause.value.encode()))
    headers.append((b'content-type', b'application/json'))
    if isinstance(outcome, Refused):
        headers.extend(_retry_after_headers(outcome))
    status = _STATUS_BY_CAUSE.get(outcome.cause, _DEFAULT_STATUS)
    return Answered(status, tuple(headers), _problem_body(outcome, request_id))


def _retry_after_headers(outcome: Refused) -> tuple[Header, ...]:
    if outcome.cause in _PERMANENT_CAUSES:
        return ()
    wait_s = outcome.retry_after_s
    return (
        (b'retry-after', b'%d' % math.ceil(wait_s)),
        (b'ragwort-retry-after-ms', b'%d' % math.ceil(wait_s * 1000)),
    )


def _problem_body(outcome: Refused | Unknown, request_id: RequestId) -> bytes:
    problem = Problem(outcome.verdict.value, outcome.cause.value, request_id)
    return msgspec.json.encode(problem)
