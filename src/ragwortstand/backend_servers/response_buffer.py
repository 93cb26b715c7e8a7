"""ragwortstand.backend_servers.response_buffer: incoming response data."""

from dataclasses import dataclass, field

from ragwortstand.exceptions import (
    AnswerTooLargeError,
    BackendServerError,
    EndlessAnswerError,
)
from ragwortstand.verdicts import Header

#: Size of all heads and trailers that are read for one request.
MAX_HEAD_BYTES = 65_536
# Bytes between the name and the value of a header, and after it.
_HEADER_FRAMING_BYTES = 4
# Size of a chunk in hexadecimal, a short extension, and the line ends.
_CHUNK_FRAMING_BYTES = 32


@dataclass(slots=True)
class ResponseBuffer:
    """What has come in for one request.

    Informational answers and answers to other requests may come before the
    one that is due. They count as well, so that all of it is bounded.

    :param max_body_bytes: limit of the bodies.
    :param is_head: whether the request is HEAD, whose answer has no body.
    :param echo: header that the answer must repeat.
    :param headers: headers of the answer that is being read.
    :param body: what has come of its body.
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

    def begin_response(self) -> None:
        """Start an answer."""
        if self.headers:
            self.headers = []
        if self.body:
            self.body = bytearray()

    def add_chunk(self) -> None:
        """Leave the framing of a chunk out of account."""
        self.overhead_bytes -= _CHUNK_FRAMING_BYTES

    def add_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(data)
        self.overhead_bytes -= len(data)
        if self._body_bytes <= self.max_body_bytes:
            self.body += data

    def limit_error(self) -> BackendServerError | None:
        """Return the error when the answer that is whole is over a limit.

        Bytes that came with it may belong to what follows, so that headers
        are counted one by one.
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
        """Return the error when an answer that goes on is over a limit.

        What short chunks leave over of their framing is not kept for later.
        """
        self.overhead_bytes = max(0, self.overhead_bytes)
        if self._body_bytes > self.max_body_bytes:
            return AnswerTooLargeError()
        if self.overhead_bytes > MAX_HEAD_BYTES:
            return EndlessAnswerError()
        return None
