"""ragwortstand.backend_servers.dialect: HTTP conventions of servers."""

from typing import Protocol

from ragwortstand.backend_servers.connections import WireRequest
from ragwortstand.backend_servers.in_band_signals import (
    InBandSignals,
    SignalHeaders,
)
from ragwortstand.calls import Call
from ragwortstand.verdicts import Answered, Header, Outcome


class BackendDialect(Protocol):
    """Builds requests to a backend server and interprets its responses."""

    def request(self, call: Call, instance: str, now_s: float) -> WireRequest:
        """Return a call as it is sent to the backend server.

        :param call: the request.
        :param instance: the backend server that is intended to run it.
        :param now_s: present time.
        """

    def echo(self, call: Call) -> Header | None:
        """Return the header that the response must repeat, None for none.

        :param call: the request.
        """

    def outcome(self, call: Call, answered: Answered) -> Outcome:
        """Return the outcome that a response reports for the request.

        :param call: the request.
        :param answered: the backend server's whole response.
        """

    def signals(self, answered: Answered) -> InBandSignals | None:
        """Return what a response says of the backend server.

        :param answered: the backend server's whole response.
        :returns: None if the response says nothing of the server that the
            request was meant for.
        """


_NO_ECHO: Header | None = None
_SIGNAL_HEADERS = SignalHeaders(b'ragwort-rate-limit', b'ragwort-leaving')


class RagwortDialect:
    """Uses the product's own headers; each response counts as run."""

    def request(self, call: Call, instance: str, now_s: float) -> WireRequest:
        """Return a call as it is sent to the backend server.

        The headers carry the time until the deadline, the rank and the
        attempt, so that the backend server can pass them on with the calls
        that it makes itself.
        """
        return wire_request(call, now_s)

    def echo(self, call: Call) -> Header | None:
        """Return None: servers need not repeat anything."""
        return _NO_ECHO

    def outcome(self, call: Call, answered: Answered) -> Outcome:
        """Return the response itself."""
        return answered

    def signals(self, answered: Answered) -> InBandSignals | None:
        """Return what a response says of the backend server."""
        return _SIGNAL_HEADERS.read(answered.headers)


def wire_request(call: Call, now_s: float) -> WireRequest:
    """Return a call with the product's own headers.

    :param call: the request.
    :param now_s: present time.
    """
    remaining_ms = int(call.remaining_s(now_s) * 1000)
    extra = (
        (b'ragwort-timeout-ms', b'%d' % max(1, remaining_ms)),
        (b'ragwort-request-id', call.request_id.encode()),
        (b'ragwort-attempt', b'%d' % call.attempt),
        (b'ragwort-rank', call.rank.name.encode()),
    )
    return WireRequest(
        call.method, call.target, call.headers + extra, call.body
    )
