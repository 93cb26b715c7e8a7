"""Simulates the store of the users' platform after its documentation.

It has rows with conditional writes, a feed whose history can be lost, and
faults: refused calls, missing responses before or after the write, and delayed
or malformed responses.
"""

import base64
import enum
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import anyio
import msgspec

from ragwortstand.http_server import CallerRequest
from ragwortstand.verdicts import Answered

_FOREVER_S = 30.0
_FEED_POLL_S = 0.01


Place = tuple[str, str, str]
Change = tuple[int, Place, bytes | None]


class StoreFault(enum.Enum):
    """A fault of one call."""

    BUSY = 'busy'
    MANY = 'many'
    SILENT = 'silent'
    LOST_BEFORE = 'lost-before'
    LOST_AFTER = 'lost-after'
    LATE = 'late'
    GARBLED = 'garbled'


@dataclass
class StoreStandin:
    """The simulated store, whose HTTP handler is `answer`.

    :ivar faults: faults of the next calls, one each; None for no fault.
    :ivar calls: paths of the calls so far.
    """

    faults: deque[StoreFault | None] = field(default_factory=deque)
    calls: list[str] = field(default_factory=list)
    late_s: float = 0.05
    is_history_lost: bool = False

    def __post_init__(self) -> None:
        """Create an empty store."""
        self.version = 0
        self.rows: dict[Place, tuple[bytes, int]] = {}
        self.changes: list[Change] = []

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write a row as another client and return its version."""
        self.version += 1
        place = (table, '', key)
        self.rows[place] = (content, self.version)
        self.changes.append((self.version, place, content))
        return self.version

    async def answer(self, request: CallerRequest) -> Answered:
        """Handle one call."""
        parts = urlsplit(request.target)
        self.calls.append(parts.path)
        fault = self.faults.popleft() if self.faults else None
        if fault is StoreFault.BUSY:
            return Answered(503, (), b'')
        if fault is StoreFault.MANY:
            return Answered(429, (), b'')
        if fault in {StoreFault.SILENT, StoreFault.LOST_BEFORE}:
            await anyio.sleep(_FOREVER_S)
        if fault is StoreFault.GARBLED:
            return Answered(200, (), b'{"rows": [{"key"')
        if fault is StoreFault.LATE:
            await anyio.sleep(self.late_s)
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        answered = await self._dispatch(parts.path, query, request.body)
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
            held = self.rows.get(_place(condition), (b'', 0))[1]
            if held != condition['ver']:
                return _json(412, {'rows': []})
        self.version += 1
        for put in document['puts']:
            content = base64.b64decode(put['value'])
            self.rows[_place(put)] = (content, self.version)
            self.changes.append((self.version, _place(put), content))
        for gone in document['remove']:
            self.rows.pop(_place(gone), None)
            self.changes.append((self.version, _place(gone), None))
        return _json(200, {'ver': self.version, 'nowMs': 1})

    def _get(self, query: dict[str, str]) -> Answered:
        start, end = query.get('from', ''), query.get('to', '\x7f')
        limit = int(query.get('limit', 500))
        found = [
            _row(place, content, version)
            for place, (content, version) in sorted(self.rows.items())
            if place[0] == query['table'] and start <= place[2] < end
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
        with anyio.move_on_after(int(query['waitMs']) / 1000):
            while not self._changed(query['table'], after):  # noqa: ASYNC110
                await anyio.sleep(_FEED_POLL_S)
        return _json(
            200,
            {
                'rows': self._changed(query['table'], after),
                'ver': self.version,
                'nowMs': 1,
            },
        )

    def _changed(self, table: str, after: int) -> list[dict]:
        found = []
        for version, place, content in self.changes:
            if version <= after or place[0] != table:
                continue
            if content is None:
                row = {**_named(place), 'ver': version, 'deleted': True}
            else:
                row = _row(place, content, version)
            found.append(row)
        return found


def _place(entry: dict) -> tuple[str, str, str]:
    return entry['table'], entry['part'], entry['key']


def _named(place: tuple[str, str, str]) -> dict:
    return dict(zip(('table', 'part', 'key'), place, strict=True))


def _row(place: tuple[str, str, str], content: bytes, version: int) -> dict:
    value = base64.b64encode(content).decode()
    return {**_named(place), 'value': value, 'ver': version}


def _json(status: int, document: dict) -> Answered:
    return Answered(status, (), msgspec.json.encode(document))
