"""ragwortstand.platform.headers: maps the platform's headers and statuses.

On the platform, a status tells whether a request has run: 503 and 429 mean
that it has not run and never will; 502 and 504 mean that it may have run.
"""

import random
from types import MappingProxyType

from ragwortstand.backend_servers.connections import WireRequest, end_to_end
from ragwortstand.backend_servers.in_band_signals import (
    InBandSignals,
    SignalHeaders,
)
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
# Signature that a backend server puts on its response.
STAMP = b'x-ragwortstand-server-stamp'
# Set where a backend server did not run a request.
NOT_RUN = b'x-ragwortstand-not-run'
# Requests a second that a backend server takes from all hosts, while it is in
# need; `1` from one that is about to stop.
SIGNALS = SignalHeaders(b'server-limit', b'server-leaving')

_HOST = b'host'
_CONNECTION = b'connection'
# Headers that the daemon sets; it drops those that a caller sent.
_DAEMON_HEADERS = frozenset((DEADLINE_MS, CALLER, EXPECT_INSTANCE))
# Subtracted from the remaining time that a backend server is given, so that
# its time-out response arrives before the time-out of this daemon.
_RESPONSE_MARGIN_MS = 10
# Upper bound of the random addition to a retry-after time, as a share of it;
# callers that are refused together must not retry together.
_RETRY_AFTER_JITTER = 0.3
_STATUS_BY_CAUSE = MappingProxyType(
    {
        Cause.NO_ROUTE: 404,
        Cause.BAD_REQUEST: 400,
        Cause.BODY_TOO_LARGE: 413,
    },
)
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502
_MISDIRECTED_REQUEST = 421


class PlatformCallerDialect:
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
        added = (CALLER, self.service.encode())
        return ParsedRequest(
            request_id=request_id,
            host=host.partition(':')[0],
            path=request.target.partition('?')[0],
            budget_s=_parse_budget_s(headers.get(DEADLINE_MS)),
            headers=(*_forwarded_headers(request.headers, headers), added),
        )

    def render(self, outcome: Outcome, request_id: str) -> Answered:
        """Return the response to a caller for an outcome."""
        if isinstance(outcome, Answered):
            return outcome
        headers: list[Header] = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode('latin-1')))
        if isinstance(outcome, Unknown):
            is_timeout = outcome.cause is Cause.DEADLINE
            return Answered(
                _GATEWAY_TIMEOUT if is_timeout else _BAD_GATEWAY,
                tuple(headers),
                b'',
            )
        status = _STATUS_BY_CAUSE.get(outcome.cause, _SERVICE_UNAVAILABLE)
        if status == _SERVICE_UNAVAILABLE:
            jitter = self._rng.uniform(1, 1 + _RETRY_AFTER_JITTER)
            retry_after = f'{outcome.retry_after_s * jitter:.3f}'
            headers.append((b'retry-after', retry_after.encode()))
        return Answered(status, tuple(headers), b'')


class PlatformBackendDialect:
    """Builds requests to backend servers and interprets their responses."""

    def request(self, call: Call, instance: str, now_s: float) -> WireRequest:
        """Return the request that is sent to an instance for a call."""
        remaining_ms = int(call.remaining_s(now_s) * 1000) - _RESPONSE_MARGIN_MS
        added: Headers = (
            (DEADLINE_MS, b'%d' % max(1, remaining_ms)),
            (EXPECT_INSTANCE, instance.encode()),
        )
        headers = dict(call.headers)
        return WireRequest(
            call.method,
            call.target,
            call.headers + added,
            call.body,
            host=headers.get(_HOST),
            echo=self.echo(call),
        )

    def echo(self, call: Call) -> Header:
        """Return the id of a call, which its response repeats.

        The response to a call without an id has none.
        """
        return (REQUEST_ID, dict(call.headers).get(REQUEST_ID, b''))

    def outcome(self, call: Call, answered: Answered) -> Outcome:
        """Return the outcome of a call from its response."""
        names = {name for name, _ in answered.headers}
        if answered.status == _MISDIRECTED_REQUEST:
            return Refused(Cause.NO_BACKEND_SERVER)
        if NOT_RUN in names:
            return Refused(Cause.REJECTED, _REJECTED_RETRY_S)
        is_success = 200 <= answered.status < 300
        if is_success and STAMP not in names:
            return Unknown(Cause.WRONG_ANSWER)
        return answered

    def signals(self, answered: Answered) -> InBandSignals | None:
        """Return what a response says of the backend server.

        The absence of a limit counts only in a signed response; others may
        come from something before the server.
        """
        if answered.status == _MISDIRECTED_REQUEST:
            return None
        is_signed = any(name == STAMP for name, _ in answered.headers)
        if not is_signed and not SIGNALS.occur_in(answered.headers):
            return None
        return SIGNALS.read(answered.headers)


# A backend server rejects requests while it is full or failing; its daemon
# may send the next request after this time.
_REJECTED_RETRY_S = 0.02


def _parse_budget_s(text: bytes | None) -> float | None:
    try:
        budget_s = float(text or b'') / 1000
    except ValueError:
        return None
    return budget_s if budget_s > 0 else None


def _forwarded_headers(
    headers: Headers, by_name: dict[bytes, bytes]
) -> Headers:
    """Return the headers that are forwarded, with `host` at the end."""
    connection_options = by_name.get(_CONNECTION, b'').lower().split(b',')
    dropped = _DAEMON_HEADERS | {name.strip() for name in connection_options}
    kept = [pair for pair in end_to_end(headers) if pair[0] not in dropped]
    host = by_name.get(_HOST)
    if host is not None:
        kept.append((_HOST, host))
    return tuple(kept)
