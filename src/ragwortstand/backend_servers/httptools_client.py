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
from ragwortstand.backend_servers.response_buffer import Reading
from ragwortstand.backend_servers.response_memory import AnswerMemory
from ragwortstand.exceptions import AnswerTooLargeError, BackendServerError
from ragwortstand.sockets import Vigilance, watch_connection
from ragwortstand.verdicts import Answered, Verdict

CONNECT_TIMEOUT_S = 1.0
_MALFORMED = (httptools.HttpParserError, httptools.HttpParserUpgrade)
# Headers that tell where the body of an answer ends.
_FRAMING = frozenset((b'content-length', b'transfer-encoding'))
# Statuses whose answers have no body (RFC 9110, section 6.4.1).
_WITHOUT_BODY = frozenset((204, 304))


# Time that sent bytes may stay unacknowledged; the backend server is on the
# same host, so a live connection acknowledges within milliseconds.
_VIGILANCE = Vigilance(idle_s=1, probes=3, unacknowledged_ms=400)


class HttptoolsConnection(asyncio.Protocol):
    """HTTP/1.1 connection over the httptools parser.

    :param endpoint: address of the server.
    :param max_answer_bytes: limit of an answer's body.
    :param memory: bounds the answers of all connections; None leaves it to
        the limit of each.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        max_answer_bytes: int,
        memory: AnswerMemory | None = None,
    ) -> None:
        """Prepare a connection that is not open yet."""
        self._host = f'{endpoint.address}:{endpoint.port}'.encode()
        self._max_answer_bytes = max_answer_bytes
        self._memory = memory or AnswerMemory(max_answer_bytes)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Answered] | None = None
        self._reset(None)

    @classmethod
    async def connect(
        cls,
        endpoint: Endpoint,
        max_answer_bytes: int,
        memory: AnswerMemory | None = None,
    ) -> 'HttptoolsConnection':
        """Open a connection.

        :raises BackendServerError: when the server does not accept in time.
        """
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: cls(endpoint, max_answer_bytes, memory),
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

    async def exchange(self, request: WireRequest) -> Answered:
        """Send a request and return the whole answer.

        :raises BackendServerError: when the connection ends early, or sends
            what is no answer to the request.
        """
        if self._transport is None or self._transport.is_closing():
            raise BackendServerError('connection is closed', Verdict.NOT_RUN)
        self._reset(request)
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(_encode(request, self._host))
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._forget()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the open transport."""
        self._transport = cast(asyncio.Transport, transport)
        watch_connection(transport.get_extra_info('socket'), _VIGILANCE)

    def eof_received(self) -> None:
        """End an answer whose body lasts until the connection ends."""
        if self._reading.is_until_end:
            self.on_message_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that was under way."""
        self._transport = None
        self._fail(f'connection lost: {exc}')

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that no request asked for end the connection.

        Such bytes may be an answer to an earlier request.
        """
        answer = self._answer
        if answer is None or answer.done():
            self.close()
            return
        self._reading.other_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except _MALFORMED as error:
            self._fail(f'malformed answer: {error}')
            self.close()
            return
        if not answer.done():
            self._check(self._reading.incoming_excess())
            self._memory.hold(self, len(self._reading.body))

    def on_message_begin(self) -> None:
        """Start an answer; one too many ends the connection."""
        self._reading.begin()
        if self._answer is None or self._answer.done():
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._reading.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """End the answer to HEAD, which has no body."""
        reading = self._reading
        status = self._parser.get_status_code()
        if reading.is_head and status >= 200:
            self.on_message_complete()
            self.close()
            return
        names = {name for name, _ in reading.headers}
        has_body = status >= 200 and status not in _WITHOUT_BODY
        reading.is_until_end = has_body and not names & _FRAMING

    def on_chunk_header(self) -> None:
        """Count a chunk."""
        self._reading.add_chunk()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._reading.add_part(body)

    def drop(self) -> None:
        """Give up an answer that takes too much room beside the others."""
        self._reading.begin()
        self._check(AnswerTooLargeError())

    def on_message_complete(self) -> None:
        """Deliver the answer, unless it belongs to another request."""
        if self._parser.get_status_code() < 200:
            return
        reading = self._reading
        self._check(reading.excess())
        echo = reading.echo
        if echo and echo not in reading.headers:
            reading.is_doubtful = True
            if echo[0] not in dict(reading.headers):
                self._fail('answer does not name its request')
                self.close()
            return
        self._finish()

    def _reset(self, request: WireRequest | None) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._reading = Reading(self._max_answer_bytes)
        if request:
            self._reading.is_head = request.method == 'HEAD'
            self._reading.echo = request.echo

    def _forget(self) -> None:
        """Keep nothing of an exchange that has ended."""
        self._answer = None
        self._memory.release(self)
        self._reading.begin()

    def _check(self, excess: BackendServerError | None) -> None:
        """End an exchange that reads more than is allowed."""
        if excess:
            self._end(excess)
            self.close()

    def _finish(self) -> None:
        reading = self._reading
        if self._answer is None or self._answer.done():
            return
        answered = Answered(
            self._parser.get_status_code(),
            end_to_end(tuple(reading.headers)),
            bytes(reading.body),
        )
        self._answer.set_result(answered)
        if reading.is_doubtful or not self._parser.should_keep_alive():
            self.close()

    def _fail(self, problem: str) -> None:
        self._end(BackendServerError(problem, Verdict.MAY_HAVE_RUN))

    def _end(self, error: BackendServerError) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)


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
