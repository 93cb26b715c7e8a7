"""ragwortstand.backend_servers.reading: what is read for one request."""

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
class Reading:
    """What has come in for one request.

    Informational answers and answers to other requests may come before the
    one that is due. They count as well, so that all of it is bounded.

    :param max_body_bytes: limit of the bodies.
    :param is_head: whether the request is HEAD, whose answer has no body.
    :param echo: header that the answer must repeat.
    :param headers: headers of the answer that is being read.
    :param body: what has come of its body.
    :param is_until_end: whether its body ends with the connection.
    :param is_doubtful: whether an answer to another request has come.
    """

    max_body_bytes: int
    is_head: bool = False
    echo: Header | None = None
    headers: list[Header] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    is_until_end: bool = False
    is_doubtful: bool = False
    _other_bytes: int = 0
    _header_bytes: int = 0
    _body_bytes: int = 0

    def begin(self) -> None:
        """Start an answer."""
        self.headers = []
        self.body = bytearray()

    def add_bytes(self, size_bytes: int) -> None:
        """Count bytes as they come from the connection."""
        self._other_bytes += size_bytes

    def add_header(self, name: bytes, text: bytes) -> None:
        """Collect a header or trailer."""
        self._header_bytes += len(name) + len(text) + _HEADER_FRAMING_BYTES
        if self._header_bytes <= MAX_HEAD_BYTES:
            self.headers.append((name.lower(), text))

    def add_chunk(self) -> None:
        """Leave the framing of a chunk out of account."""
        self._other_bytes -= _CHUNK_FRAMING_BYTES

    def add_part(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(part)
        self._other_bytes -= len(part)
        if self._body_bytes <= self.max_body_bytes:
            self.body += part

    def excess(self) -> BackendServerError | None:
        """Return the error when headers or bodies are over their limit."""
        if self._body_bytes > self.max_body_bytes:
            return AnswerTooLargeError()
        if self._header_bytes > MAX_HEAD_BYTES:
            return EndlessAnswerError()
        return None

    def incoming_excess(self) -> BackendServerError | None:
        """Return the error when an answer that goes on is over a limit.

        Parts of a head, and bytes that are neither header nor body, show only
        in what came from the connection. What short chunks leave over is not
        kept for later.
        """
        self._other_bytes = max(0, self._other_bytes)
        if self._other_bytes > MAX_HEAD_BYTES:
            return self.excess() or EndlessAnswerError()
        return self.excess()
