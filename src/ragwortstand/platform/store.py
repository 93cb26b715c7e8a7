"""ragwortstand.platform.store: accesses rows of the platform's store."""

import base64
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar
from urllib.parse import urlencode

import anyio
import msgspec

from ragwortstand import clock
from ragwortstand.backend_servers.connections import (
    ConnectionPool,
    Endpoint,
    WireRequest,
)
from ragwortstand.backend_servers.httptools_client import HttptoolsConnection
from ragwortstand.decoding import decode_json
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import (
    BackendServerError,
    ConfigurationError,
    PlatformError,
)
from ragwortstand.ids import Digest, SubmissionId, Version
from ragwortstand.metrics import Metrics
from ragwortstand.models import digest_of
from ragwortstand.platform.configuration import RowDecoder, decode_version
from ragwortstand.storage import VersionRecord
from ragwortstand.storage.table import (
    Row,
    Transaction,
    TransactionResult,
)
from ragwortstand.verdicts import Answered, Verdict

#: Table of the rows that the sidecars write.
TABLE = 'ragwortstand'
_OPERATOR_TABLE = 'op'
_CONFIGURATION_KEY = 'config'
# A call takes 4 ms, and up to a hundred times that while the store is slow.
_TIMEOUT_S = 1.0
# Maximum duration of a long poll of the feed, and time by which its response
# may be late while the store is slow. Their sum bounds the time until a store
# that is silent is noticed.
_FEED_WAIT_S = 0.8
_OVERDUE_S = 0.4
# Time for a read that other daemons may do instead.
_SHORT_TIMEOUT_S = 0.4
# Pause after changes, so that changes in quick succession are read together.
_FEED_PAUSE_S = 0.1
# Interval between two checks of a daemon that doesn't poll the feed, and
# pause after a poll that failed.
_IDLE_INTERVAL_S = 0.3
# Time after a failed poll for which a daemon leaves reading to others.
_FAILURE_BACKOFF_S = 5.0
# Calls to a store in the same region take less than this time.
_SAME_REGION_S = 0.015
# A store that is slow for a while stays in its region for this many calls.
_RECENT_CALLS = 16
# A daemon that starts reads the version, the members and two rows of its own,
# and writes its entry, at the same time.
_MAX_CONNECTIONS = 8
# Fits a transaction of 1 MB in base64 with the list around it.
_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_IDLE_REUSE_S = 10.0
# Length of the faults of a refused version in a log line.
_MAX_LOGGED_PROBLEM = 500
_HISTORY_GONE = 410
# Counts how often the store has returned from a copy, in all its responses. Row
# versions of different eras can't be compared: they are given out again.
_ERA = b'store-era'
_CONDITION_FAILED = 412

_Response = TypeVar('_Response')


class _StoreRow(msgspec.Struct, frozen=True):
    key: str
    # Base64; missing where the row was removed.
    value: str = ''
    # Store version of the transaction that wrote the row.
    ver: int = 0
    deleted: bool = False

    def content(self) -> bytes:
        """Return the decoded value.

        :raises ValueError: when the value is not base64.
        """
        return base64.b64decode(self.value)

    def text(self) -> str:
        """Return the decoded value as text; empty when it is not base64.

        Readers refuse and log an empty value, as it is no JSON.
        """
        try:
            return self.content().decode('utf-8', 'replace')
        except ValueError:
            return ''


class _RowsResponse(msgspec.Struct, frozen=True, rename='camel'):
    rows: list[_StoreRow]
    # Latest store version.
    ver: int
    has_more: bool = False


class ReadResult(NamedTuple, Generic[_Response]):
    """Result of a read.

    :param document: the decoded response; None where the store does not have
        the requested history.
    :param era: era of the store that responded; 0 if it does not say.
    """

    document: _Response | None
    era: int


class StorePosition(NamedTuple):
    """Position in the history of the store.

    :param era: era of the store.
    :param version: store version; comparable within its era only.
    """

    era: int
    version: int


class StoreClient:
    """Calls the store's HTTP API, each call with a time-out.

    When a call fails, its connection and all idle ones are closed, and the
    next call opens a new one. A read that may have run is repeated once, on a
    new connection.

    :param address: ``host:port`` of the store.
    :param metrics: counts the calls.
    :param log: logs when the store becomes unreachable and reachable again.
    :ivar on_restored: called when the store has returned from a copy, which
        lacks its last writes.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Create the pool; connections are opened on first use."""
        self._host = address.encode()
        self._pool = _new_pool(address)
        self.metrics = metrics
        self._log = log
        self.is_reachable = True
        self._era = 0
        self.on_restored: Callable[[], None] = _do_nothing
        self._recent_calls_s: deque[float] = deque(maxlen=_RECENT_CALLS)

    @property
    def fastest_call_s(self) -> float:
        """Return the duration of the fastest recent call, or infinity."""
        return min(self._recent_calls_s, default=math.inf)

    def move(self, address: str) -> bool:
        """Send further calls to another address of the store.

        Calls that wait for a response keep their connections.

        :param address: ``host:port`` of the store.
        :returns: whether the address is another one.
        """
        if self._host == address.encode():
            return False
        self._pool.close()
        self._pool = _new_pool(address)
        self._host = address.encode()
        self._recent_calls_s.clear()
        return True

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    async def read(
        self,
        path: str,
        query: dict[str, str | int],
        response_type: type[_Response],
        timeout_s: float = _TIMEOUT_S,
        *,
        is_repeated: bool = True,
    ) -> ReadResult[_Response]:
        """Return the decoded response of a read.

        :param path: path of the call.
        :param query: its parameters.
        :param response_type: type of the response.
        :param timeout_s: time to wait for the response.
        :param is_repeated: whether the read is repeated on a new connection
            where it got no response.
        :raises PlatformError: when there is no valid response.
        """
        target = f'{path}?{urlencode(query)}'
        try:
            answered = await self._send('GET', target, b'', timeout_s)
        except PlatformError as error:
            if error.verdict is Verdict.NOT_RUN or not is_repeated:
                raise
            answered = await self._send('GET', target, b'', timeout_s)
        if answered.status == _HISTORY_GONE:
            self._record_success('GET')
            return ReadResult(None, self._record_era(answered))
        self._check_status(answered, path)
        try:
            document = decode_json(answered.body, response_type)
        except msgspec.DecodeError as error:
            problem = f'{path} returned unreadable data: {error}'
            raise self._handle_failure(problem, Verdict.MAY_HAVE_RUN) from error
        self._record_success('GET')
        return ReadResult(document, self._record_era(answered))

    async def write(self, path: str, document: object) -> bool:
        """Run a transaction; return whether its conditions held.

        :param path: path of the call.
        :param document: the transaction.
        :raises PlatformError: when there is no valid response.
        """
        body = msgspec.json.encode(document)
        answered = await self._send('POST', path, body, _TIMEOUT_S)
        is_committed = answered.status != _CONDITION_FAILED
        if is_committed:
            self._check_status(answered, path)
        self._record_success('POST')
        self._record_era(answered)
        return is_committed

    async def _send(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
    ) -> Answered:
        headers = ((b'content-type', b'application/json'),) if body else ()
        request = WireRequest(method, target, headers, body, self._host)
        started_s = clock.now_s()
        try:
            with anyio.fail_after(timeout_s):
                answered = await self._exchange(request, started_s)
        except TimeoutError as error:
            problem = f'no response in {timeout_s:g} s'
            raise self._handle_failure(problem, Verdict.MAY_HAVE_RUN) from error
        except BackendServerError as error:
            raise self._handle_failure(str(error), error.verdict) from error
        if timeout_s <= _TIMEOUT_S:
            # A long poll of the feed says nothing of the store's distance.
            self._recent_calls_s.append(clock.now_s() - started_s)
        return answered

    async def _exchange(self, request: WireRequest, now_s: float) -> Answered:
        pool = self._pool
        connection = await pool.acquire(_IDLE_REUSE_S, now_s)
        try:
            return await connection.exchange(request)
        finally:
            pool.release(connection, clock.now_s())
            if pool is not self._pool:
                pool.close()

    def _check_status(self, answered: Answered, path: str) -> None:
        if answered.status != 200:
            problem = f'{path} returned status {answered.status}'
            raise self._handle_failure(problem, Verdict.NOT_RUN)

    def _record_era(self, answered: Answered) -> int:
        """Return the era of a response, and log it when it has risen."""
        text = dict(answered.headers).get(_ERA, b'')
        era = int(text) if text.isdigit() else 0
        if era > self._era:
            if self._era:
                self._log.emit(
                    Event.STORE_RESTORED, era=era, previous_era=self._era
                )
                self.on_restored()
            self._era = era
        return era

    def _record_success(self, method: str) -> None:
        self.metrics.platform_calls.labels(method, 'ok').inc()
        if not self.is_reachable:
            self._log.emit(Event.PLATFORM_BACK)
        self.is_reachable = True

    def _handle_failure(self, problem: str, verdict: Verdict) -> PlatformError:
        self.metrics.platform_calls.labels('any', 'failed').inc()
        if self.is_reachable:
            self._log.emit(Event.PLATFORM_OUTAGE, problem=problem)
        self.is_reachable = False
        self._pool.close()
        return PlatformError(problem, verdict)


class StoreTable:
    """Implements the table service with rows of the store.

    :param client: calls the store.
    """

    def __init__(self, client: StoreClient) -> None:
        """Create a table that calls the store on each use."""
        self._client = client

    async def get(self, key: str) -> Row | None:
        """Return a row, or None where there is none."""
        rows = await self._read_rows(key, f'{key}\0', 1)
        return rows[0] if rows else None

    async def scan(self, prefix: str, limit: int = 500) -> tuple[Row, ...]:
        """Return the rows whose key starts with a prefix, sorted by key."""
        return await self._read_rows(prefix, f'{prefix}\x7f', limit)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Write rows atomically where all conditions hold."""
        conditions = [
            {**_row_key(condition.key), 'ver': condition.revision}
            for condition in transaction.conditions
        ]
        puts = [
            {
                **_row_key(write.key),
                'value': base64.b64encode(write.content.encode()).decode(),
            }
            for write in transaction.writes
            if write.content is not None
        ]
        removed = [
            _row_key(write.key)
            for write in transaction.writes
            if write.content is None
        ]
        is_committed = await self._client.write(
            '/api/rows-tx',
            {'expectRev': conditions, 'puts': puts, 'remove': removed},
        )
        return TransactionResult(is_committed)

    async def _read_rows(
        self, start: str, end: str, limit: int
    ) -> tuple[Row, ...]:
        rows: list[Row] = []
        has_more = True
        while has_more and len(rows) < limit:
            query: dict[str, str | int] = {
                'table': TABLE,
                'part': '',
                'from': start,
                'to': end,
                'limit': limit - len(rows),
            }
            response, _ = await self._client.read(
                '/api/rows-get', query, _RowsResponse
            )
            if response is None or not response.rows:
                break
            rows.extend(
                Row(row.key, row.ver, row.text()) for row in response.rows
            )
            start = f'{rows[-1].key}\0'
            has_more = response.has_more
        return tuple(rows)


class StoreVersions:
    """Reads the versions of the configuration from the operator's row.

    A poll of the feed returns a new version with its content, so `head` and
    `content` need no call after it. The feed is followed only from the position
    of the last poll; after a failure and in a new era of the store, the row is
    read first.

    :param client: calls the store.
    :param on_reach: called with the store's reach: 0 for unreachable, 1 for a
        store in another region, 2 for one in the same region.
    :param log: logs rows that can't be decoded.
    :ivar on_overdue: called when a poll of the feed has failed, or its response
        is overdue.
    """

    def __init__(
        self,
        client: StoreClient,
        on_reach: Callable[[int], None],
        log: EventLog,
    ) -> None:
        """Create a reader without a cached version."""
        self._client = client
        self._log = log
        self._decoder = RowDecoder()
        self._record: VersionRecord | None = None
        self._content = b''
        self._position: StorePosition | None = None
        self._skips_read = False
        self._failed_at_s = -math.inf
        self._refused_since_unix_s = 0.0
        self._responded_at_s = -math.inf
        self.on_reach = on_reach
        self.on_overdue: Callable[[], None] = _do_nothing

    def restart(self) -> None:
        """Read the row before the feed is followed again."""
        self._position = None
        self._skips_read = False

    async def head(self) -> VersionRecord | None:
        """Return the latest accepted version, None where there is none.

        :raises PlatformError: when the store can't be read.
        """
        if self._skips_read:
            self._skips_read = False
            return self._record
        await self._read_row()
        return self._record

    async def read_head(self) -> VersionRecord | None:
        """Return the latest accepted version by a read of its own.

        :raises PlatformError: when the store does not respond soon.
        """
        try:
            await self._read_row(_SHORT_TIMEOUT_S)
        except PlatformError:
            self._record_failure()
            raise
        return self._record

    def is_reading(self, now_s: float) -> bool:
        """Return whether the store has responded to the last poll in time.

        :param now_s: present time.
        """
        longest_s = _FEED_PAUSE_S + _FEED_WAIT_S + _OVERDUE_S
        return now_s - self._responded_at_s < longest_s

    async def content(self, digest: Digest) -> bytes | None:
        """Return the content of a version, None where it is not cached."""
        return self._content if self.is_cached(digest) else None

    def is_cached(self, digest: Digest) -> bool:
        """Return whether `content` returns a version without a call."""
        return self._record is not None and self._record.digest == digest

    async def wait(self, is_reader: bool) -> None:
        """Wait until `head` may return another version.

        :param is_reader: whether this daemon polls the store's feed.
        """
        self._skips_read = True
        if not is_reader:
            self._position = None
            self._report_recovery(clock.now_s())
            await anyio.sleep(_IDLE_INTERVAL_S)
            return
        try:
            await self._poll_feed_or_row()
        except PlatformError:
            # The client has logged the reason.
            self._record_failure()
            await anyio.sleep(_IDLE_INTERVAL_S)

    def _record_failure(self) -> None:
        """Leave reading to others for a while."""
        self._failed_at_s = clock.now_s()
        self._position = None
        self.on_reach(0)

    def _report_recovery(self, now_s: float) -> None:
        """Report the reach again some time after a failed poll.

        The report offers this daemon as a reader of the store again.
        """
        if now_s - self._failed_at_s > _FAILURE_BACKOFF_S:
            self._report_reach()

    def _report_reach(self) -> None:
        if self._client.fastest_call_s < math.inf:
            self.on_reach(
                2 if self._client.fastest_call_s < _SAME_REGION_S else 1
            )

    async def _poll_feed_or_row(self) -> None:
        """Poll the feed, and read the row where it is not known or overdue.

        A response may be overdue because the connection has gone silent.
        """
        position = self._position
        if position is None:
            await self._read_row(_SHORT_TIMEOUT_S)
            return
        try:
            await self._poll_feed(position)
        except PlatformError as error:
            self.on_overdue()
            if error.verdict is Verdict.NOT_RUN:
                raise
            # On a new connection, as the client has closed the others.
            await self._read_row(_SHORT_TIMEOUT_S, is_repeated=False)

    async def _poll_feed(self, position: StorePosition) -> None:
        query: dict[str, str | int] = {
            'table': _OPERATOR_TABLE,
            'after': position.version,
            'waitMs': int(_FEED_WAIT_S * 1000),
        }
        response, era = await self._client.read(
            '/api/rows-feed',
            query,
            _RowsResponse,
            _FEED_WAIT_S + _OVERDUE_S,
            is_repeated=False,
        )
        is_restarted = self._position is not position
        if response is None or era != position.era or is_restarted:
            # The position is of a history that the store may not have.
            await self._read_row()
            await anyio.sleep(_FEED_PAUSE_S)
            return
        self._apply_rows(response, era)
        self._report_reach()
        if response.rows:
            await anyio.sleep(_FEED_PAUSE_S)

    async def _read_row(
        self, timeout_s: float = _TIMEOUT_S, *, is_repeated: bool = True
    ) -> None:
        query: dict[str, str | int] = {
            'table': _OPERATOR_TABLE,
            'part': '',
            'from': _CONFIGURATION_KEY,
            'to': f'{_CONFIGURATION_KEY}\0',
        }
        response, era = await self._client.read(
            '/api/rows-get',
            query,
            _RowsResponse,
            timeout_s,
            is_repeated=is_repeated,
        )
        if response is not None:
            self._apply_rows(response, era)
        self._report_reach()

    def _apply_rows(self, response: _RowsResponse, era: int) -> None:
        self._responded_at_s = clock.now_s()
        self._position = StorePosition(era, response.ver)
        for row in response.rows:
            if row.key == _CONFIGURATION_KEY and not row.deleted:
                self._apply_row(row)

    def _apply_row(self, row: _StoreRow) -> None:
        try:
            version, mesh = self._decoder.decode(row.content())
        except (ConfigurationError, ValueError) as error:
            self._record_refusal(row, str(error), time.time())
            return
        self._set_refused_since(0)
        if self._record and version <= self._record.version:
            return
        self._content = mesh.to_json().encode()
        self._record = VersionRecord(
            version=Version(version),
            digest=digest_of(self._content),
            submission=SubmissionId(''),
            author='operator',
            accepted_unix_s=0.0,
        )

    def _record_refusal(
        self, row: _StoreRow, problem: str, now_unix_s: float
    ) -> None:
        """Report that the latest accepted version can't be put in force.

        :param row: the row.
        :param problem: its faults, each with its path.
        :param now_unix_s: current time of day.
        """
        self._set_refused_since(self._refused_since_unix_s or now_unix_s)
        self._client.metrics.versions_refused.labels('unreadable').inc()
        self._log.emit(
            Event.VERSION_REFUSED,
            row_version=row.ver,
            version=_version_of(row),
            cause='unreadable',
            problem=problem[:_MAX_LOGGED_PROBLEM],
            since_unix_s=round(self._refused_since_unix_s, 3),
        )

    def _set_refused_since(self, since_unix_s: float) -> None:
        self._refused_since_unix_s = since_unix_s
        self._client.metrics.version_refused_since_s.set(since_unix_s)


def _new_pool(address: str) -> ConnectionPool:
    host, _, port = address.rpartition(':')
    return ConnectionPool(
        HttptoolsConnection.connect,
        Endpoint(host, int(port)),
        _MAX_CONNECTIONS,
        _MAX_RESPONSE_BYTES,
    )


def _do_nothing() -> None:
    """Ignore an event of the store."""


def _version_of(row: _StoreRow) -> Version | None:
    try:
        return decode_version(row.content())
    except ValueError:
        return None


def _row_key(key: str) -> dict[str, str]:
    return {'table': TABLE, 'part': '', 'key': key}
