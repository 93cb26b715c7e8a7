"""ragwortstand.backend_servers.httpcore_client: baseline HTTP client."""

import asyncio

import httpcore

from ragwortstand.backend_servers.connections import (
    Endpoint,
    WireRequest,
    end_to_end,
)
from ragwortstand.backend_servers.httptools_client import CONNECT_TIMEOUT_S
from ragwortstand.exceptions import (
    AnswerTooLargeError,
    BackendServerError,
)
from ragwortstand.verdicts import Answered, Header, Verdict


class HttpcoreConnection:
    """HTTP/1.1 connection over httpcore, the baseline for comparisons.

    :param connection: the connection of httpcore.
    :param endpoint: address of the server.
    :param max_answer_bytes: limit of a response's body.
    """

    def __init__(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        endpoint: Endpoint,
        max_answer_bytes: int,
    ) -> None:
        """Wrap an open connection."""
        self._connection = connection
        self._url = f'http://{endpoint.address}:{endpoint.port}'
        self._max_answer_bytes = max_answer_bytes
        self._is_closed = False

    @classmethod
    async def connect(
        cls,
        endpoint: Endpoint,
        max_answer_bytes: int,
    ) -> 'HttpcoreConnection':
        """Open a connection.

        :raises BackendServerError: when the server does not accept the
            connection in time.
        """
        origin = httpcore.Origin(
            b'http', endpoint.address.encode(), endpoint.port
        )
        try:
            stream = await httpcore.AnyIOBackend().connect_tcp(
                endpoint.address, endpoint.port, timeout=CONNECT_TIMEOUT_S
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise BackendServerError(str(error), Verdict.NOT_RUN) from error
        connection = httpcore.AsyncHTTP11Connection(origin, stream)
        return cls(connection, endpoint, max_answer_bytes)

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may follow."""
        if self._is_closed or self._connection.is_closed():
            return False
        return not self._connection.has_expired()

    def has_carried(self, echo: Header) -> bool:
        """Return False, as this client does not match responses."""
        return False

    async def exchange(self, request: WireRequest) -> Answered:
        """Send a request and return the whole response.

        :raises BackendServerError: when the connection ends early.
        """
        try:
            return await self._read_response(request)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            problem = str(error)
            verdict = Verdict.MAY_HAVE_RUN
            raise BackendServerError(problem, verdict) from error

    def close(self) -> None:
        """Close the connection as soon as the event loop allows."""
        self._is_closed = True
        closing = asyncio.ensure_future(self._connection.aclose())
        closing.add_done_callback(_ignore_failure)

    async def _read_response(self, request: WireRequest) -> Answered:
        async with self._connection.stream(
            request.method,
            self._url + request.target,
            headers=list(end_to_end(request.headers)),
            content=request.body,
        ) as response:
            body = await read_body(response, self._max_answer_bytes)
        headers = tuple((name.lower(), text) for name, text in response.headers)
        return Answered(response.status, end_to_end(headers), body)


async def read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    :param response: a response whose body has not been read.
    :param max_bytes: limit of the body.
    :raises AnswerTooLargeError: as soon as the body exceeds the limit.
    """
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if len(body) > max_bytes:
            raise AnswerTooLargeError
    return bytes(body)


def _ignore_failure(closing: 'asyncio.Future[None]') -> None:
    if not closing.cancelled():
        closing.exception()
