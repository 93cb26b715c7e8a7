"""ragwortstand.storage.client: HTTP client of the platform."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import anyio
import httpcore
import msgspec

from ragwortstand.backend_servers.httpcore_client import read_body
from ragwortstand.decoding import decode_json
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import AnswerTooLargeError, PlatformError
from ragwortstand.metrics import Metrics
from ragwortstand.models import MAX_CONFIGURATION_BYTES
from ragwortstand.settings import PlatformSettings
from ragwortstand.storage.table import (
    Row,
    Transaction,
    TransactionResult,
)
from ragwortstand.verdicts import Verdict

_Document = TypeVar('_Document')
_MAX_CONNECTIONS = 4
# The time limit applies to connecting and to the response separately.
_TIMED_PHASES = 2
# Configurations are the largest objects; the rows of one scan are small.
_MAX_RESPONSE_BYTES = 2 * MAX_CONFIGURATION_BYTES
_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_RESPONSE_ERRORS = (
    AnswerTooLargeError,
    TimeoutError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    content: bytes


class PlatformClient:
    """Client of the table service and the object store over HTTP.

    A call that times out closes all connections, as one that stopped
    responding is seldom the only one; the next call opens a new one.

    :param settings: address and time limit of the platform.
    :param metrics: counts calls and bytes.
    :param log: logs when the platform becomes unreachable and reachable.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Create the connection pool; connections are opened on first use."""
        self._url = settings.url.rstrip('/')
        self._metrics = metrics
        self._log = log
        self._timeouts = {
            name: settings.timeout_s
            for name in ('connect', 'read', 'write', 'pool')
        }
        self._pool = self._new_pool()
        self.is_reachable = True
        self.on_failure: Callable[[float], None] = _ignore

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, key: str) -> Row | None:
        """Return a row, None if there is none."""
        response = await self._call('read', 'GET', f'/table/row/{quote(key)}')
        if response.status == 404:
            return None
        return _decode(response, Row)

    async def scan(self, prefix: str, limit: int = 1000) -> tuple[Row, ...]:
        """Return the rows whose key starts with a prefix, sorted by key."""
        path = f'/table/scan?prefix={quote(prefix, safe="")}&limit={limit}'
        response = await self._call('read', 'GET', path)
        return _decode(response, tuple[Row, ...])

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction."""
        body = msgspec.json.encode(transaction)
        response = await self._call('write', 'POST', '/table/transact', body)
        return _decode(response, TransactionResult)

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, None if there is none."""
        response = await self._call('read', 'GET', f'/objects/{quote(key)}')
        return None if response.status == 404 else response.content

    async def put_object(self, key: str, content: bytes) -> None:
        """Write an object."""
        await self._call('write', 'PUT', f'/objects/{quote(key)}', content)

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> _Response:
        """Call the platform.

        A read whose response is lost is retried once, on a new connection.
        """
        try:
            return await self._call_once(kind, method, path, body)
        except PlatformError as error:
            if kind == 'write' or error.verdict is Verdict.NOT_RUN:
                raise
        return await self._call_once(kind, method, path, body)

    async def _call_once(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes,
    ) -> _Response:
        pool = self._pool
        try:
            with anyio.fail_after(self._timeouts['read'] * _TIMED_PHASES):
                response = await self._send_request(pool, method, path, body)
        except _CONNECT_ERRORS as error:
            raise self._record_failure(
                kind, repr(error), Verdict.NOT_RUN
            ) from error
        except _RESPONSE_ERRORS as error:
            await self._replace_pool(pool)
            verdict = Verdict.MAY_HAVE_RUN
            raise self._record_failure(kind, repr(error), verdict) from error
        if response.status not in {200, 404}:
            problem = f'{method} {path} returned status {response.status}'
            raise self._record_failure(kind, problem, Verdict.NOT_RUN)
        self._record_success(kind)
        self._count_bytes(len(path) + len(body), len(response.content))
        return response

    async def _send_request(
        self,
        pool: httpcore.AsyncConnectionPool,
        method: str,
        path: str,
        body: bytes,
    ) -> _Response:
        async with pool.stream(
            method,
            self._url + path,
            content=body,
            extensions={'timeout': self._timeouts},
        ) as response:
            content = await read_body(response, _MAX_RESPONSE_BYTES)
        return _Response(response.status, content)

    async def _replace_pool(self, pool: httpcore.AsyncConnectionPool) -> None:
        """Replace a pool whose other connections may not respond either."""
        if pool is self._pool:
            self._pool = self._new_pool()
            await pool.aclose()

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=self._timeouts['read'] * 2,
        )

    def _record_failure(
        self,
        kind: str,
        problem: str,
        verdict: Verdict,
    ) -> PlatformError:
        self._metrics.platform_calls.labels(kind, 'failed').inc()
        if self.is_reachable:
            self._log.emit(Event.PLATFORM_OUTAGE, problem=problem)
        self.is_reachable = False
        self.on_failure(anyio.current_time())
        return PlatformError(problem, verdict)

    def _count_bytes(self, sent_bytes: int, received_bytes: int) -> None:
        counter = self._metrics.platform_bytes
        counter.labels('sent').inc(sent_bytes)
        counter.labels('received').inc(received_bytes)

    def _record_success(self, kind: str) -> None:
        self._metrics.platform_calls.labels(kind, 'ok').inc()
        if not self.is_reachable:
            self._log.emit(Event.PLATFORM_BACK)
        self.is_reachable = True


def _decode(response: _Response, document_type: type[_Document]) -> _Document:
    try:
        return decode_json(response.content, document_type)
    except msgspec.DecodeError as error:
        raise PlatformError(str(error), Verdict.MAY_HAVE_RUN) from error


def _ignore(at_s: float) -> None:
    """Do nothing when a call fails."""
