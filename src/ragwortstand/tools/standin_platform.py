"""ragwortstand.tools.standin_platform: stand-in for the platform.

Rows and objects are kept in memory. `POST /faults` injects faults.
"""

import time
from collections.abc import Awaitable, Callable
from urllib.parse import unquote

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ragwortstand.storage.table import Row, Transaction, TransactionResult


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that the stand-in injects.

    :param is_out: refuse all calls with 503.
    :param is_silent: accept all calls and never respond.
    :param delay_s: delay before each call takes effect.
    :param lose_answers: number of writes that take effect without a response.
    :param max_reads_per_s: more reads are refused with 503; 0 means no limit.
    :param max_writes_per_s: more writes are refused with 503; 0 means no
        limit.
    """

    is_out: bool = False
    is_silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    max_reads_per_s: int = 0
    max_writes_per_s: int = 0


class Tally(msgspec.Struct):
    """Counts of calls since the start.

    :param reads: accepted reads.
    :param writes: accepted writes.
    :param refused: calls that were refused because of a fault or a limit.
    :param peak_reads_per_s: highest number of reads in one second.
    :param peak_writes_per_s: highest number of writes in one second.
    """

    reads: int = 0
    writes: int = 0
    refused: int = 0
    peak_reads_per_s: int = 0
    peak_writes_per_s: int = 0


class RateMeter:
    """Counts calls in the current second."""

    def __init__(self) -> None:
        """Create a meter with a count of zero."""
        self._second = 0
        self.count = 0

    def add(self, now_s: float) -> int:
        """Count one call and return the number of calls in this second.

        :param now_s: current monotonic time in seconds.
        """
        if int(now_s) != self._second:
            self._second = int(now_s)
            self.count = 0
        self.count += 1
        return self.count


class Table:
    """In-memory rows with revisions and conditional transactions."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._rows: dict[str, Row] = {}
        self._revision = 0

    def get(self, key: str) -> Row | None:
        """Return a row, or None if the key does not exist."""
        return self._rows.get(key)

    def scan(self, prefix: str, limit: int) -> list[Row]:
        """Return up to a limit of rows with a key prefix, sorted by key."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys[:limit]]

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply all writes if all conditions hold, otherwise none."""
        failed = tuple(
            condition.key
            for condition in transaction.conditions
            if self._revision_of(condition.key) != condition.revision
        )
        if failed:
            return TransactionResult(committed=False, failed=failed)
        self._revision += 1
        for write in transaction.writes:
            if write.content is None:
                self._rows.pop(write.key, None)
            else:
                row = Row(write.key, self._revision, write.content)
                self._rows[write.key] = row
        return TransactionResult(committed=True)

    def _revision_of(self, key: str) -> int:
        row = self._rows.get(key)
        return row.revision if row else 0


class PlatformStandin:
    """The platform; `app` is its ASGI application."""

    def __init__(self) -> None:
        """Create a platform without rows, objects and faults."""
        self._table = Table()
        self._objects: dict[str, bytes] = {}
        self._faults = Faults()
        self._responses_to_lose = 0
        self._reads = RateMeter()
        self._writes = RateMeter()
        self._tally = Tally()
        self.app = Starlette(
            routes=[
                Route('/table/row/{key:path}', self._limit_reads(self._get)),
                Route('/table/scan', self._limit_reads(self._scan)),
                Route(
                    '/table/transact',
                    self._limit_writes(self._transact),
                    methods=['POST'],
                ),
                Route(
                    '/objects/{key:path}',
                    self._limit_writes(self._put_object),
                    methods=['PUT'],
                ),
                Route(
                    '/objects/{key:path}', self._limit_reads(self._get_object)
                ),
                Route('/faults', self._set_faults, methods=['POST']),
                Route('/tally', self._get_tally),
            ],
        )

    def _limit_reads(self, endpoint: '_Endpoint') -> '_Endpoint':
        async def limited(request: Request) -> Response:
            rate = self._reads.add(time.monotonic())
            limit = self._faults.max_reads_per_s
            tally = self._tally
            tally.peak_reads_per_s = max(tally.peak_reads_per_s, rate)
            refusal = await self._failure_response(bool(limit) and rate > limit)
            if refusal:
                return refusal
            tally.reads += 1
            return await endpoint(request)

        return limited

    def _limit_writes(self, endpoint: '_Endpoint') -> '_Endpoint':
        async def limited(request: Request) -> Response:
            rate = self._writes.add(time.monotonic())
            limit = self._faults.max_writes_per_s
            tally = self._tally
            tally.peak_writes_per_s = max(tally.peak_writes_per_s, rate)
            refusal = await self._failure_response(bool(limit) and rate > limit)
            if refusal:
                return refusal
            tally.writes += 1
            response = await endpoint(request)
            if self._responses_to_lose:
                self._responses_to_lose -= 1
                await anyio.sleep_forever()
            return response

        return limited

    async def _failure_response(self, is_over_limit: bool) -> Response | None:
        if self._faults.is_silent:
            await anyio.sleep_forever()
        await anyio.sleep(self._faults.delay_s)
        if self._faults.is_out or is_over_limit:
            self._tally.refused += 1
            return Response(status_code=503)
        return None

    async def _get(self, request: Request) -> Response:
        row = self._table.get(unquote(request.path_params['key']))
        return _json_response(row) if row else Response(status_code=404)

    async def _scan(self, request: Request) -> Response:
        prefix = request.query_params['prefix']
        limit = int(request.query_params['limit'])
        return _json_response(self._table.scan(prefix, limit))

    async def _transact(self, request: Request) -> Response:
        transaction = msgspec.json.decode(
            await request.body(), type=Transaction
        )
        return _json_response(self._table.transact(transaction))

    async def _get_object(self, request: Request) -> Response:
        content = self._objects.get(request.path_params['key'])
        if content is None:
            return Response(status_code=404)
        return Response(content)

    async def _put_object(self, request: Request) -> Response:
        self._objects[request.path_params['key']] = await request.body()
        return Response(status_code=200)

    async def _set_faults(self, request: Request) -> Response:
        self._faults = msgspec.json.decode(await request.body(), type=Faults)
        self._responses_to_lose = self._faults.lose_answers
        return _json_response(self._faults)

    async def _get_tally(self, request: Request) -> Response:
        return _json_response(self._tally)


_Endpoint = Callable[[Request], Awaitable[Response]]


def _json_response(document: object) -> Response:
    content = msgspec.json.encode(document)
    return Response(content, media_type='application/json')
