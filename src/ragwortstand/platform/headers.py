"""ragwortstand.platform.headers: maps the platform's headers and statuses.

On the platform, a status tells whether a request has run: 503 and 429 mean
that it has not run and never will; 502 and 504 mean that it may have run.
"""

import random
from types import MappingProxyType

from ragwortstand.backend_servers.connections import WireRequest, end_to_end
from ragwortstand.callers.proxy import ParsedRequest
from ragwortstand.calls import Call
from ragwortstand.http_server import CallerRequest
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Header,
    Headers,
    Outcome,
    Refused,
    Unknown,
)

REQUEST_ID = b'x-ragwortstand-request-id'
# Time that the sender of a request waits for the response.
DEADLINE_MS = b'x-ragwortstand-deadline-ms'
# Service of the host that a request originates from.
CALLER = b'x-ragwortstand-caller'
# Instance that a request is meant for; any other refuses it.
EXPECT_INSTANCE = b'x-ragwortstand-expect-instance'
# Signature of a backend server, in each of its responses.
STAMP = b'x-ragwortstand-server-stamp'
# Set where a backend server did not run a request.
NOT_RUN = b'x-ragwortstand-not-run'

_HOST = b'host'
_CONNECTION = b'connection'
# Headers that the daemon sets; it drops those that a caller sent.
_OWN_HEADERS = frozenset((DEADLINE_MS, CALLER, EXPECT_INSTANCE))
# Subtracted from the remaining time that a backend server is given, so that
# its time-out response arrives before the time-out of this daemon.
_ANSWER_MARGIN_MS = 10
# Upper bound of the random addition to a retry-after time, as a share of it;
# callers that are refused together must not retry together.
_RETURN_SPREAD = 0.3
_STATUS = MappingProxyType(
    {
        Cause.NO_ROUTE: 404,
        Cause.BAD_REQUEST: 400,
        Cause.BODY_TOO_LARGE: 413,
    },
)
_REFUSED = 503
_LATE = 504
_FAILED = 502
_ANOTHER_INSTANCE = 421


class PlatformCallers:
    """Parses requests of callers and renders the responses to them.

    :param service: service of the backend server on this host.
    :param rng: source of randomness.
    """

    def __init__(self, service: str, rng: random.Random) -> None:
        """Create the adapter for the callers on this host."""
        self.service = service
        self._rng = rng

    def read(self, request: CallerRequest) -> ParsedRequest | Refused:
        """Return the routing fields and the forwarded headers."""
        headers = dict(request.headers)
        request_id = headers.get(REQUEST_ID, b'').decode('latin-1')
        host = headers.get(_HOST, b'').decode('latin-1').lower()
        own = (CALLER, self.service.encode())
        return ParsedRequest(
            request_id=request_id,
            host=host.partition(':')[0],
            path=request.target.partition('?')[0],
            budget_s=_budget_s(headers.get(DEADLINE_MS)),
            headers=(*_passed_on(request.headers, headers), own),
        )

    def render(self, outcome: Outcome, request_id: str) -> Answered:
        """Return the response to a caller for an outcome."""
        if isinstance(outcome, Answered):
            return outcome
        headers: list[Header] = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode('latin-1')))
        if isinstance(outcome, Unknown):
            is_late = outcome.cause is Cause.DEADLINE
            return Answered(_LATE if is_late else _FAILED, tuple(headers), b'')
        status = _STATUS.get(outcome.cause, _REFUSED)
        if status == _REFUSED:
            spread = self._rng.uniform(1, 1 + _RETURN_SPREAD)
            retry_after = f'{outcome.retry_after_s * spread:.3f}'
            headers.append((b'retry-after', retry_after.encode()))
        return Answered(status, tuple(headers), b'')


class PlatformBackendServers:
    """Builds requests to backend servers and interprets their responses."""

    def request(self, call: Call, instance: str, now_s: float) -> WireRequest:
        """Return the request that is sent to an instance for a call."""
        left_ms = int(call.remaining_s(now_s) * 1000) - _ANSWER_MARGIN_MS
        own: Headers = (
            (DEADLINE_MS, b'%d' % max(1, left_ms)),
            (EXPECT_INSTANCE, instance.encode()),
        )
        headers = dict(call.headers)
        echo = headers.get(REQUEST_ID)
        return WireRequest(
            call.method,
            call.target,
            call.headers + own,
            call.body,
            host=headers.get(_HOST),
            echo=(REQUEST_ID, echo) if echo else None,
        )

    def outcome(self, call: Call, answered: Answered) -> Outcome:
        """Return the outcome of a call from its response."""
        names = {name for name, _ in answered.headers}
        if answered.status == _ANOTHER_INSTANCE:
            return Refused(Cause.NO_BACKEND_SERVER)
        if NOT_RUN in names:
            return Refused(Cause.REJECTED, _REJECTED_RETRY_S)
        is_success = 200 <= answered.status < 300
        if is_success and STAMP not in names:
            return Unknown(Cause.WRONG_ANSWER)
        return answered


# A backend server rejects requests while it is full or failing; its daemon
# may send the next request after this time.
_REJECTED_RETRY_S = 0.02


def _budget_s(text: bytes | None) -> float | None:
    try:
        budget_s = float(text or b'') / 1000
    except ValueError:
        return None
    return budget_s if budget_s > 0 else None


def _passed_on(headers: Headers, by_name: dict[bytes, bytes]) -> Headers:
    """Return the headers that are forwarded, with `host` at the end."""
    listed = by_name.get(_CONNECTION, b'').lower().split(b',')
    left_out = _OWN_HEADERS | {name.strip() for name in listed}
    kept = [pair for pair in end_to_end(headers) if pair[0] not in left_out]
    host = by_name.get(_HOST)
    if host is not None:
        kept.append((_HOST, host))
    return tuple(kept)
