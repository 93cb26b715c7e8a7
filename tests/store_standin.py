"""Simulates the store of the users' platform after its documentation.

It has rows with conditional writes, a feed whose history can be lost, returns
from a copy that lacks the last writes, and faults: refused calls, missing
responses before or after the write, and delayed or malformed responses.
"""

import base64
import enum
from collections import deque
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs, urlsplit

import anyio
import msgspec

from ragwortstand.http_server import CallerRequest
from ragwortstand.verdicts import Answered

_FOREVER_S = 30.0
_FEED_POLL_S = 0.01


RowKey = tuple[str, str, str]
Change = tuple[int, RowKey, bytes | None]


class StoreFault(enum.Enum):
    """A fault of one call."""

    BUSY = 'busy'
    TOO_MANY_REQUESTS = 'many'
    SILENT = 'silent'
    LOST_BEFORE = 'lost-before'
    LOST_AFTER = 'lost-after'
    DELAYED = 'late'
    MALFORMED = 'garbled'


@dataclass
class StoreStandin:
    """The simulated store, whose HTTP handler is `answer`.

    :ivar faults: faults of the next calls, one each; None for no fault.
    :ivar calls: paths of the calls so far.
    :ivar page_rows: maximum number of rows in a response.
    :ivar era: increased by each return from a copy; in all responses.
    """

    faults: deque[StoreFault | None] = field(default_factory=deque)
    calls: list[str] = field(default_factory=list)
    late_s: float = 0.05
    page_rows: int = 500
    is_history_lost: bool = False
    era: int = 1

    def __post_init__(self) -> None:
        """Create an empty store."""
        self.version = 0
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self.changes: list[Change] = []

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write a row as another client and return its version."""
        self.version += 1
        row_key = (table, '', key)
        self.rows[row_key] = (content, self.version)
        self.changes.append((self.version, row_key, content))
        return self.version

    def restore(self, version: int) -> None:
        """Return from the copy of an earlier version; later writes are lost."""
        kept = [change for change in self.changes if change[0] <= version]
        self.rows.clear()
        for number, row_key, content in kept:
            if content is None:
                self.rows.pop(row_key, None)
            else:
                self.rows[row_key] = (content, number)
        self.changes = kept
        self.version = version
        self.era += 1

    async def answer(self, request: CallerRequest) -> Answered:
        """Handle one call."""
        parts = urlsplit(request.target)
        self.calls.append(parts.path)
        fault = self.faults.popleft() if self.faults else None
        if fault is StoreFault.BUSY:
            return Answered(503, (), b'')
        if fault is StoreFault.TOO_MANY_REQUESTS:
            return Answered(429, (), b'')
        if fault in {StoreFault.SILENT, StoreFault.LOST_BEFORE}:
            await anyio.sleep(_FOREVER_S)
        if fault is StoreFault.MALFORMED:
            return Answered(200, (), b'{"rows": [{"key"')
        if fault is StoreFault.DELAYED:
            await anyio.sleep(self.late_s)
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        era = self.era
        answered = await self._dispatch(parts.path, query, request.body)
        if era != self.era:
            answered = Answered(503, (), b'')
        era_header = (b'store-era', b'%d' % self.era)
        answered = replace(answered, headers=(era_header,))
        if fault is StoreFault.LOST_AFTER:
            await anyio.sleep(_FOREVER_S)
        return answered

    async def _dispatch(
        self, path: str, query: dict[str, str], body: bytes
    ) -> Answered:
        match path:
            case '/api/rows-tx':
                return self._transact(msgspec.json.decode(body))
            case '/api/rows-get':
                return self._get(query)
            case '/api/rows-feed':
                return await self._feed(query)
        return Answered(404, (), b'')

    def _transact(self, document: dict) -> Answered:
        for condition in document['expectRev']:
            current_version = self.rows.get(_row_key(condition), (b'', 0))[1]
            if current_version != condition['ver']:
                return _json(412, {'rows': []})
        self.version += 1
        for put in document['puts']:
            content = base64.b64decode(put['value'])
            self.rows[_row_key(put)] = (content, self.version)
            self.changes.append((self.version, _row_key(put), content))
        for removed in document['remove']:
            self.rows.pop(_row_key(removed), None)
            self.changes.append((self.version, _row_key(removed), None))
        return _json(200, {'ver': self.version, 'nowMs': 1})

    def _get(self, query: dict[str, str]) -> Answered:
        start, end = query.get('from', ''), query.get('to', '\x7f')
        limit = min(int(query.get('limit', 500)), self.page_rows)
        found = [
            _row(row_key, content, version)
            for row_key, (content, version) in sorted(self.rows.items())
            if row_key[0] == query['table'] and start <= row_key[2] < end
        ]
        return _json(
            200,
            {
                'rows': found[:limit],
                'hasMore': len(found) > limit,
                'ver': self.version,
                'nowMs': 1,
            },
        )

    async def _feed(self, query: dict[str, str]) -> Answered:
        if self.is_history_lost:
            self.is_history_lost = False
            return _json(410, {})
        after = int(query['after'])
        if after > self.version:
            return _json(410, {})
        with anyio.move_on_after(int(query['waitMs']) / 1000):
            while not self._rows_since(query['table'], after):  # noqa: ASYNC110
                await anyio.sleep(_FEED_POLL_S)
        return _json(
            200,
            {
                'rows': self._rows_since(query['table'], after),
                'ver': self.version,
                'nowMs': 1,
            },
        )

    def _rows_since(self, table: str, after: int) -> list[dict]:
        found = []
        for version, row_key, content in self.changes:
            if version <= after or row_key[0] != table:
                continue
            if content is None:
                row = {**_key_fields(row_key), 'ver': version, 'deleted': True}
            else:
                row = _row(row_key, content, version)
            found.append(row)
        return found


def _row_key(entry: dict) -> tuple[str, str, str]:
    return entry['table'], entry['part'], entry['key']


def _key_fields(row_key: tuple[str, str, str]) -> dict:
    return dict(zip(('table', 'part', 'key'), row_key, strict=True))


def _row(row_key: tuple[str, str, str], content: bytes, version: int) -> dict:
    value = base64.b64encode(content).decode()
    return {**_key_fields(row_key), 'value': value, 'ver': version}


def _json(status: int, document: dict) -> Answered:
    return Answered(status, (), msgspec.json.encode(document))
