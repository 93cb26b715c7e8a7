"""ragwortstand.backend_servers.connections: HTTP connections and a pool."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from ragwortstand.exceptions import BackendServerError
from ragwortstand.verdicts import Answered, Header, Headers, Verdict

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Address of a backend server."""

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class WireRequest:
    """A request as it is sent over a connection.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: end-to-end headers, names in lower case.
    :param body: the whole body.
    :param host: value of the host header; None means the server's address.
    :param echo: header that the response to this request must repeat; a
        response with another value belongs to another request. With an empty
        value, responses that have the header belong to other requests.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    host: bytes | None = None
    echo: Header | None = None


class HttpConnection(Protocol):
    """A connection that carries one exchange at a time."""

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may follow."""

    def has_carried(self, echo: Header) -> bool:
        """Return whether a recent request had this header to be repeated.

        The response to it may come once more.
        """

    async def exchange(self, request: WireRequest) -> Answered:
        """Send a request and return the whole response."""

    def close(self) -> None:
        """Close the connection at once."""


Connect = Callable[[Endpoint, int], Awaitable[HttpConnection]]


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without those for a single connection."""
    return tuple(pair for pair in headers if pair[0] not in HOP_BY_HOP)


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: HttpConnection
    since_s: float


class ConnectionPool:
    """Pool of a limited number of connections to one backend server.

    :param connect: opens a connection.
    :param endpoint: address of the server.
    :param limit: connections that may be in use concurrently.
    :param max_answer_bytes: limit of a response's body.
    """

    def __init__(
        self,
        connect: Connect,
        endpoint: Endpoint,
        limit: int,
        max_answer_bytes: int,
    ) -> None:
        """Create an empty pool."""
        self._connect = connect
        self._endpoint = endpoint
        self._limit = limit
        self._max_answer_bytes = max_answer_bytes
        self._idle: deque[_IdleConnection] = deque()
        self.in_use = 0

    async def acquire(
        self,
        max_idle_s: float,
        now_s: float,
        echo: Header | None = None,
    ) -> HttpConnection:
        """Return a connection for one exchange.

        :param max_idle_s: idle time up to which a connection is reused.
        :param now_s: present time.
        :param echo: header that the response must repeat; connections that
            have carried a request with it are not reused.
        :raises BackendServerError: when no connection can be opened.
        """
        idle_connection = self._take_idle(max_idle_s, now_s, echo)
        if idle_connection:
            self.in_use += 1
            return idle_connection
        if self.in_use >= self._limit:
            problem = f'all {self._limit} connections are in use'
            raise BackendServerError(problem, Verdict.NOT_RUN)
        self.in_use += 1
        try:
            return await self._connect(self._endpoint, self._max_answer_bytes)
        except BaseException:
            self.in_use -= 1
            raise

    def release(self, connection: HttpConnection, now_s: float) -> None:
        """Return a connection to the pool after an exchange.

        :param connection: the connection.
        :param now_s: present time.
        """
        self.in_use -= 1
        if connection.is_reusable:
            self._idle.append(_IdleConnection(connection, now_s))
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().connection.close()

    def _take_idle(
        self, max_idle_s: float, now_s: float, echo: Header | None
    ) -> HttpConnection | None:
        unsuitable: list[_IdleConnection] = []
        found = None
        while self._idle and found is None:
            idle = self._idle.pop()
            is_fresh = now_s - idle.since_s <= max_idle_s
            if not is_fresh or not idle.connection.is_reusable:
                idle.connection.close()
            elif echo and idle.connection.has_carried(echo):
                unsuitable.append(idle)
            else:
                found = idle.connection
        self._idle.extend(reversed(unsuitable))
        return found
