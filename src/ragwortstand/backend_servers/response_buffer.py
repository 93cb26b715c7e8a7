"""ragwortstand.backend_servers.response_buffer: incoming response data."""

from dataclasses import dataclass, field

from ragwortstand.exceptions import (
    AnswerTooLargeError,
    BackendServerError,
    EndlessAnswerError,
)
from ragwortstand.verdicts import Header

#: Limit of all heads and trailers that are received for one request.
MAX_HEAD_BYTES = 65_536
# Bytes between the name and the value of a header, and after the value.
_HEADER_FRAMING_BYTES = 4
# Allowance for the size of a chunk in hexadecimal, a short extension, and the
# line ends.
_CHUNK_FRAMING_BYTES = 32


@dataclass(slots=True)
class ResponseBuffer:
    """Data received for one request.

    Informational responses and responses to other requests may precede the
    expected one. They count as well, so that the total is bounded.

    :param max_body_bytes: limit of all bodies together.
    :param is_head: whether the request is HEAD, whose response has no body.
    :param echo: header that the response must repeat; as in `WireRequest`.
    :param headers: headers of the response that is being received.
    :param body: the part of its body received so far.
    :param is_close_delimited: whether its body ends with the connection.
    :param has_unmatched_response: whether a response to another request has
        been received.
    :param overhead_bytes: bytes received that are neither body nor the framing
        of a short chunk.
    """

    max_body_bytes: int
    is_head: bool = False
    echo: Header | None = None
    headers: list[Header] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    is_close_delimited: bool = False
    has_unmatched_response: bool = False
    overhead_bytes: int = 0
    _body_bytes: int = 0

    @property
    def echoes(self) -> frozenset[bytes]:
        """Return the requests that the response identifies, by its headers."""
        if self.echo is None:
            return frozenset()
        expected_name = self.echo[0]
        return frozenset(
            text for name, text in self.headers if name == expected_name
        )

    @property
    def expected_echoes(self) -> frozenset[bytes]:
        """Return what the response to the request identifies."""
        if self.echo is None or not self.echo[1]:
            return frozenset()
        return frozenset((self.echo[1],))

    def begin_response(self) -> None:
        """Start a response."""
        if self.headers:
            self.headers = []
        if self.body:
            self.body = bytearray()

    def add_chunk(self) -> None:
        """Subtract the framing of a chunk from the overhead."""
        self.overhead_bytes -= _CHUNK_FRAMING_BYTES

    def add_body(self, data: bytes) -> None:
        """Add data to the body."""
        self._body_bytes += len(data)
        self.overhead_bytes -= len(data)
        if self._body_bytes <= self.max_body_bytes:
            self.body += data

    def limit_error(self) -> BackendServerError | None:
        """Return an error if the complete response exceeds a limit.

        Bytes received with it may belong to the next response, so that its
        headers are counted one by one.
        """
        if self._body_bytes > self.max_body_bytes:
            return AnswerTooLargeError()
        if self.overhead_bytes <= MAX_HEAD_BYTES:
            return None
        header_bytes = sum(
            len(name) + len(text) + _HEADER_FRAMING_BYTES
            for name, text in self.headers
        )
        return EndlessAnswerError() if header_bytes > MAX_HEAD_BYTES else None

    def partial_limit_error(self) -> BackendServerError | None:
        """Return an error if an incomplete response exceeds a limit.

        Framing bytes that short chunks do not use are not carried over.
        """
        self.overhead_bytes = max(0, self.overhead_bytes)
        if self._body_bytes > self.max_body_bytes:
            return AnswerTooLargeError()
        if self.overhead_bytes > MAX_HEAD_BYTES:
            return EndlessAnswerError()
        return None
