"""ragwortstand.backend_servers.httptools_client: HTTP client over httptools.

httptools, the parser that uvicorn uses, works directly on a transport.
"""

import asyncio
from typing import cast

import anyio
import httptools

from ragwortstand.backend_servers.connections import (
    HOP_BY_HOP,
    Endpoint,
    WireRequest,
    end_to_end,
)
from ragwortstand.backend_servers.response_buffer import ResponseBuffer
from ragwortstand.backend_servers.response_memory import ResponseMemoryBudget
from ragwortstand.exceptions import AnswerTooLargeError, BackendServerError
from ragwortstand.sockets import KeepaliveSettings, enable_keepalive
from ragwortstand.verdicts import Answered, Header, Verdict

CONNECT_TIMEOUT_S = 1.0
# Requests that a connection remembers; a server repeats recent responses.
_MAX_CARRIED = 256
_MALFORMED = (httptools.HttpParserError, httptools.HttpParserUpgrade)
# Headers that define where the body of a response ends.
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
# Statuses whose responses have no body (RFC 9110, section 6.4.1).
_STATUSES_WITHOUT_BODY = frozenset((204, 304))


# Time that sent bytes may stay unacknowledged; the backend server is on the
# same host, so a live connection acknowledges within milliseconds.
_KEEPALIVE = KeepaliveSettings(idle_s=1, probes=3, unacknowledged_ms=400)


class HttptoolsConnection(asyncio.Protocol):
    """HTTP/1.1 connection over the httptools parser.

    :param endpoint: address of the server.
    :param max_answer_bytes: limit of a response's body.
    :param memory_budget: bounds the responses of all connections together;
        None bounds each by its own limit alone.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        max_answer_bytes: int,
        memory_budget: ResponseMemoryBudget | None = None,
    ) -> None:
        """Create a connection that is not open yet."""
        self._host = f'{endpoint.address}:{endpoint.port}'.encode()
        self._max_answer_bytes = max_answer_bytes
        self._memory_budget = memory_budget or ResponseMemoryBudget(
            max_answer_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[Answered] | None = None
        # Recent values to be repeated, the oldest first.
        self._carried: dict[bytes, None] = {}
        self._reset(None)

    @classmethod
    async def connect(
        cls,
        endpoint: Endpoint,
        max_answer_bytes: int,
        memory_budget: ResponseMemoryBudget | None = None,
    ) -> 'HttptoolsConnection':
        """Open a connection.

        :raises BackendServerError: when the server does not accept the
            connection in time.
        """
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: cls(endpoint, max_answer_bytes, memory_budget),
                    endpoint.address,
                    endpoint.port,
                )
        except OSError as error:
            raise BackendServerError(str(error), Verdict.NOT_RUN) from error
        return connection

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may follow."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def has_carried(self, echo: Header) -> bool:
        """Return whether a recent request had this header to be repeated."""
        return echo[1] in self._carried

    async def exchange(self, request: WireRequest) -> Answered:
        """Send a request and return the whole response.

        :raises BackendServerError: when the connection ends early, or when
            the data received is no response to the request.
        """
        if self._transport is None or self._transport.is_closing():
            raise BackendServerError('connection is closed', Verdict.NOT_RUN)
        self._reset(request)
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(_encode(request, self._host))
        try:
            return await self._response
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._clear_exchange()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open transport and monitor its connection."""
        self._transport = cast(asyncio.Transport, transport)
        enable_keepalive(transport.get_extra_info('socket'), _KEEPALIVE)

    def eof_received(self) -> None:
        """Complete a response whose body ends with the connection."""
        if self._buffer.is_close_delimited:
            self.on_message_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._transport = None
        self._fail(f'connection lost: {exc}')

    def data_received(self, data: bytes) -> None:
        """Feed the parser, or close the connection if no request is pending.

        Unsolicited data may be the response to an earlier request.
        """
        response = self._response
        if response is None or response.done():
            self.close()
            return
        self._buffer.overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except _MALFORMED as error:
            self._fail(f'malformed response: {error}')
            self.close()
            return
        if not response.done():
            self._abort_if_over_limit(self._buffer.partial_limit_error())
            self._memory_budget.set_size(self, len(self._buffer.body))

    def on_message_begin(self) -> None:
        """Start a response; close the connection if no request is pending."""
        self._buffer.begin_response()
        if self._response is None or self._response.done():
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._buffer.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Complete the response to HEAD, or determine how the body ends."""
        buffer = self._buffer
        status = self._parser.get_status_code()
        if buffer.is_head and status >= 200:
            self.on_message_complete()
            self.close()
            return
        names = {name for name, _ in buffer.headers}
        has_body = status >= 200 and status not in _STATUSES_WITHOUT_BODY
        buffer.is_close_delimited = has_body and not names & _FRAMING_HEADERS

    def on_chunk_header(self) -> None:
        """Subtract the framing of a chunk from the overhead."""
        self._buffer.add_chunk()

    def on_body(self, body: bytes) -> None:
        """Add data to the body."""
        self._buffer.add_body(body)

    def drop_response(self) -> None:
        """Drop the response, as all responses together exceed the budget."""
        self._buffer.begin_response()
        self._abort_if_over_limit(AnswerTooLargeError())

    def on_message_complete(self) -> None:
        """Deliver the response, unless it belongs to another request."""
        if self._parser.get_status_code() < 200:
            return
        buffer = self._buffer
        self._abort_if_over_limit(buffer.limit_error())
        echoes = buffer.echoes
        if echoes == buffer.expected_echoes:
            self._deliver_response()
        elif len(echoes) == 1:
            buffer.has_unmatched_response = True
        else:
            self._fail(f'response identifies {len(echoes)} requests')
            self.close()

    def _reset(self, request: WireRequest | None) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = ResponseBuffer(self._max_answer_bytes)
        if request:
            self._buffer.is_head = request.method == 'HEAD'
            self._buffer.echo = request.echo
            self._record_carried(request.echo)

    def _record_carried(self, echo: Header | None) -> None:
        if echo is None or not echo[1]:
            return
        self._carried[echo[1]] = None
        if len(self._carried) > _MAX_CARRIED:
            self._carried.pop(next(iter(self._carried)))

    def _clear_exchange(self) -> None:
        """Release the state of an exchange that has ended."""
        self._response = None
        self._memory_budget.release(self)
        self._buffer.begin_response()

    def _abort_if_over_limit(
        self, limit_error: BackendServerError | None
    ) -> None:
        """Fail the exchange and close the connection if a limit is exceeded."""
        if limit_error:
            self._fail_with(limit_error)
            self.close()

    def _deliver_response(self) -> None:
        buffer = self._buffer
        if self._response is None or self._response.done():
            return
        answered = Answered(
            self._parser.get_status_code(),
            end_to_end(tuple(buffer.headers)),
            bytes(buffer.body),
        )
        self._response.set_result(answered)
        if (
            buffer.has_unmatched_response
            or not self._parser.should_keep_alive()
        ):
            self.close()

    def _fail(self, problem: str) -> None:
        self._fail_with(BackendServerError(problem, Verdict.MAY_HAVE_RUN))

    def _fail_with(self, error: BackendServerError) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)


def _encode(request: WireRequest, host: bytes) -> bytes:
    size = len(request.body)
    host = request.host or host
    lines = [
        f'{request.method} {request.target} HTTP/1.1\r\n'.encode('latin-1'),
        b'host: %b\r\ncontent-length: %d\r\n' % (host, size),
    ]
    lines.extend(
        b'%b: %b\r\n' % pair
        for pair in request.headers
        if pair[0] not in HOP_BY_HOP
    )
    lines.append(b'\r\n')
    lines.append(request.body)
    return b''.join(lines)
