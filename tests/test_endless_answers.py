"""Tests of endless data in place of a response, over loopback."""

import random
import tracemalloc
import unittest
from collections.abc import Collection, Sequence
from types import MappingProxyType
from typing import cast

import anyio
import msgspec

from ragwortstand import clock
from ragwortstand.backend_servers import Announcement, BackendServer
from ragwortstand.backend_servers.connections import Endpoint, WireRequest
from ragwortstand.backend_servers.dialect import RagwortDialect
from ragwortstand.backend_servers.httpcore_client import HttpcoreConnection
from ragwortstand.backend_servers.response_buffer import (
    MAX_HEAD_BYTES,
    ResponseBuffer,
)
from ragwortstand.backend_servers.response_memory import ResponseMemoryBudget
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.responses import render
from ragwortstand.calls import Call
from ragwortstand.events import Event
from ragwortstand.exceptions import PlatformError
from ragwortstand.ids import HostId, RequestId, ServiceName, Version
from ragwortstand.metrics import Metrics
from ragwortstand.models import Rank, Service
from ragwortstand.peers.forwarding import AttemptResult
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member
from ragwortstand.peers.retries import (
    BudgetedRetries,
    NaiveRetries,
    RetryPolicy,
)
from ragwortstand.peers.shared_budget import RetryBudget, SharedBudgetRetries
from ragwortstand.platform.headers import PlatformCallerDialect
from ragwortstand.platform.store import StoreClient
from ragwortstand.settings import PlatformSettings, parse_settings
from ragwortstand.storage.client import PlatformClient
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Unknown,
    Verdict,
)
from tests.fakes import ListLog, member
from tests.floods import Flood, flooding
from tests.servers import answering, running_server

_MEBIBYTE = 1024 * 1024
_TIMEOUT_S = 0.3
# Bytes that may be sent before the connection is closed: the limits, one read,
# and the buffers of both sockets.
_CLOSED_WITHIN_BYTES = 8 * _MEBIBYTE
_OK = b'HTTP/1.1 200 OK\r\n'
_ECHO = b'x-request: '
_CHUNKED = _OK + b'transfer-encoding: chunked\r\n\r\n'
_LONG_TEXT = b'x' * 65_536
_EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n' * 1000
_OTHER_RESPONSE = _OK + _ECHO + b'other\r\ncontent-length: 1\r\n\r\nb'
_OTHER_EMPTY_RESPONSE = _OK + _ECHO + b'other\r\ncontent-length: 0\r\n\r\n'
_HEADS = MappingProxyType(
    {
        'nothing but line ends': (b'', b'\r\n' * 30_000),
        'status line': (b'HTTP/1.1 200 ', _LONG_TEXT),
        'header name': (_OK, _LONG_TEXT),
        'header value': (b'%bx-a: ' % _OK, _LONG_TEXT),
        'headers': (_OK, b'x-a: b\r\n' * 8000),
        'long headers': (_OK, b'x-a: %b\r\n' % _LONG_TEXT),
        'informational answers': (b'', _EARLY_HINTS),
    },
)
_FRAMING = MappingProxyType(
    {
        'chunk extension': (_CHUNKED + b'1;', _LONG_TEXT),
        'chunk extensions': (_CHUNKED, b'1;a=%b\r\nx\r\n' % _LONG_TEXT),
        'zeros of a chunk size': (_CHUNKED, b'0' * 65_536),
        'trailers': (_CHUNKED + b'0\r\n', b'x-a: b\r\n' * 8000),
        'trailer value': (_CHUNKED + b'0\r\nx-a: ', _LONG_TEXT),
    },
)
_OTHER_RESPONSES = MappingProxyType(
    {
        'other answers': (b'', _OTHER_RESPONSE * 1000),
        'other answers without a body': (b'', _OTHER_EMPTY_RESPONSE * 1000),
    },
)
_BODIES = MappingProxyType(
    {
        'announced': (_OK + b'content-length: 99999999999\r\n\r\n', _LONG_TEXT),
        'until the end': (_OK + b'\r\n', _LONG_TEXT),
        'chunks': (_CHUNKED, b'10000\r\n%b\r\n' % _LONG_TEXT),
        'one chunk': (_CHUNKED + b'ffffffff\r\n', _LONG_TEXT),
    },
)


class _Dialect(RagwortDialect):
    """Adds a header that each response must repeat."""

    def request(self, call: Call, instance: str, now_s: float) -> WireRequest:
        wire = super().request(call, instance, now_s)
        return WireRequest(
            wire.method,
            wire.target,
            wire.headers,
            wire.body,
            echo=(b'x-request', b'own'),
        )


def _call(timeout_s: float = 3.0, *, is_idempotent: bool = True) -> Call:
    return Call(
        request_id=RequestId('r'),
        method='GET',
        target='/a',
        headers=(),
        body=b'',
        service=Service(name='consult'),
        rank=Rank(name='urgent'),
        is_idempotent=is_idempotent,
        deadline_s=clock.now_s() + timeout_s,
        version=Version(1),
    )


class _Fixture:
    """The daemon's runner for one backend server, with its log."""

    def __init__(self, **limits: int) -> None:
        document = {
            'cluster': 'c',
            'host': 'h',
            'region': 'r',
            'availability_zone': 'z',
            'admin': {'token': '0123456789abcdef'},
            'limits': {'max_answer_bytes': _MEBIBYTE, **limits},
            'platform': {'url': 'http://127.0.0.1:1', 'region': 'r'},
        }
        settings = parse_settings(msgspec.json.encode(document))
        self.log = ListLog()
        self.settings = settings
        self.server = BackendServer(settings, self.log)

    async def announce(self, endpoint: Endpoint, slots: int = 1) -> None:
        await self.server.announce(
            Announcement(
                instance='1',
                service=ServiceName('consult'),
                address=endpoint.address,
                port=endpoint.port,
                slots=slots,
                connections=slots,
            ),
            clock.now_s(),
        )

    @property
    def in_use(self) -> int:
        return self.server.load(clock.now_s()).in_use

    def declined(self) -> list[object]:
        """Return the causes of the declined requests in the log."""
        lines = zip(self.log.events, self.log.lines, strict=True)
        return [
            fields['cause']
            for event, fields in lines
            if event is Event.DECLINED
        ]


class _FloodCase(unittest.IsolatedAsyncioTestCase):
    """Checks common to all kinds of endless data."""

    async def check(self, flood: Flood, cause: Cause) -> None:
        """Check outcome, connection, slot, log and the next request."""
        fixture = _Fixture()
        self.replace_server(fixture)
        async with flooding(flood) as endpoint:
            await fixture.announce(endpoint)
            outcome = await fixture.server.run(_call())
            self.assertEqual(outcome, Unknown(cause))
            self.assertEqual(fixture.in_use, 0)
            self.assertEqual(fixture.declined(), [cause.value])
            await self.check_next(fixture)
            await _wait_for_close(flood)
        self.assertEqual(flood.closed_by_peer, 1)
        self.assertLess(flood.sent_bytes, _CLOSED_WITHIN_BYTES)

    def replace_server(self, fixture: _Fixture) -> None:
        """Leave the fixture as it is."""

    async def check_next(self, fixture: _Fixture) -> None:
        """Check that the next request is served."""
        following = await fixture.server.run(_call())
        self.assertEqual(_status(following), 200)


def _status(outcome: Outcome) -> int:
    return outcome.status if isinstance(outcome, Answered) else 0


async def _wait_for_close(flood: Flood) -> None:
    """Wait at most 1 s until the connection has been closed."""
    with anyio.move_on_after(1):
        await flood.has_closed.wait()


class EndlessHeadTests(_FloodCase):
    """An endless head fails the exchange; the request may have run."""

    async def test_heads(self) -> None:
        for name, (head, piece) in _HEADS.items():
            with self.subTest(name):
                flood = Flood(head, piece)
                await self.check(flood, Cause.ENDLESS_ANSWER)


class EndlessFramingTests(_FloodCase):
    """Endless chunk framing and endless trailers fail the exchange."""

    async def test_framing(self) -> None:
        for name, (head, piece) in _FRAMING.items():
            with self.subTest(name):
                flood = Flood(head, piece)
                await self.check(flood, Cause.ENDLESS_ANSWER)

    async def test_small_chunks_do_not_raise_trailer_limit(self) -> None:
        """Many short chunks do not raise the limit of the trailer."""
        chunks = b'1\r\nx\r\n' * 500_000
        flood = Flood(b'%b%b0\r\nx-a: ' % (_CHUNKED, chunks), _LONG_TEXT)
        await self.check(flood, Cause.ENDLESS_ANSWER)


class OtherResponsesTests(_FloodCase):
    """Endless responses to other requests fail the exchange."""

    def replace_server(self, fixture: _Fixture) -> None:
        fixture.server = BackendServer(
            fixture.settings, fixture.log, _Dialect()
        )

    async def check_next(self, fixture: _Fixture) -> None:
        """Check that a response without the echo header is not accepted."""
        following = await fixture.server.run(_call())
        self.assertEqual(following, Unknown(Cause.CONNECTION_LOST))

    async def test_other_responses(self) -> None:
        for name, (head, piece) in _OTHER_RESPONSES.items():
            with self.subTest(name):
                flood = Flood(head, piece)
                await self.check(flood, Cause.ENDLESS_ANSWER)


class EndlessBodyTests(_FloodCase):
    """An endless body is a response over the limit."""

    async def test_bodies(self) -> None:
        for name, (head, piece) in _BODIES.items():
            with self.subTest(name):
                flood = Flood(head, piece)
                await self.check(flood, Cause.ANSWER_TOO_LARGE)


class WithinLimitsTests(unittest.IsolatedAsyncioTestCase):
    """Whole responses within the limits are returned, however split."""

    async def test_many_small_chunks(self) -> None:
        size = 20_000
        wire = _CHUNKED + b'1\r\nx\r\n' * size + b'0\r\n\r\n'
        answered = await self._answered(wire)
        self.assertEqual(answered.body, b'x' * size)

    async def test_chunks_with_extensions(self) -> None:
        size = 5000
        piece = b'1;name=value\r\nx\r\n'
        answered = await self._answered(_CHUNKED + piece * size + b'0\r\n\r\n')
        self.assertEqual(answered.body, b'x' * size)

    async def test_large_head(self) -> None:
        text = b'x' * (MAX_HEAD_BYTES - 100)
        answered = await self._answered(
            b'%bx-a: %b\r\ncontent-length: 0\r\n\r\n' % (_OK, text)
        )
        self.assertEqual(answered.headers, ((b'x-a', text),))

    async def test_whole_head_over_the_limit(self) -> None:
        text = b'x' * MAX_HEAD_BYTES
        wire = b'%bx-a: %b\r\ncontent-length: 0\r\n\r\n' % (_OK, text)
        outcome = await self._run_with(wire)
        self.assertEqual(outcome, Unknown(Cause.ENDLESS_ANSWER))

    async def test_consecutive_responses(self) -> None:
        """Data of earlier exchanges does not count."""
        text = b'x' * (MAX_HEAD_BYTES - 100)
        wire = b'%bx-a: %b\r\ncontent-length: 0\r\n\r\n' % (_OK, text)
        fixture = _Fixture()
        async with running_server(answering(wire, wire)) as endpoint:
            await fixture.announce(endpoint)
            for _ in range(2):
                outcome = await fixture.server.run(_call())
                self.assertEqual(_status(outcome), 200)

    async def _answered(self, wire: bytes) -> Answered:
        """Return the response that these bytes encode."""
        outcome = await self._run_with(wire)
        self.assertEqual(_status(outcome), 200)
        return cast(Answered, outcome)

    async def _run_with(self, wire: bytes) -> Outcome:
        fixture = _Fixture()
        async with running_server(answering(wire)) as endpoint:
            await fixture.announce(endpoint)
            return await fixture.server.run(_call())


class SmallPartsTests(unittest.TestCase):
    """A body takes the memory of its bytes, however small its parts."""

    def test_response_in_parts_of_two_bytes(self) -> None:
        buffer = ResponseBuffer(_MEBIBYTE)
        tracemalloc.start()
        try:
            for number in range(_MEBIBYTE // 2):
                buffer.add_body(number.to_bytes(3, 'big')[1:])
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertIsNone(buffer.limit_error())
        self.assertLess(held_bytes, 2 * _MEBIBYTE)


class _FakeReader:
    """Records whether its response was dropped."""

    def __init__(self) -> None:
        self.is_dropped = False

    def drop_response(self) -> None:
        self.is_dropped = True


class MemoryTests(unittest.IsolatedAsyncioTestCase):
    """All responses being received share one memory budget."""

    def test_largest_response_is_dropped(self) -> None:
        memory_budget = ResponseMemoryBudget(100)
        small, endless = _FakeReader(), _FakeReader()
        memory_budget.set_size(small, 40)
        for size_bytes in (20, 40, 60):
            memory_budget.set_size(endless, size_bytes)
        self.assertFalse(endless.is_dropped)
        memory_budget.set_size(small, 41)
        self.assertTrue(endless.is_dropped)
        self.assertFalse(small.is_dropped)
        self.assertEqual(memory_budget.total_bytes, 41)

    def test_released_responses_do_not_count(self) -> None:
        memory_budget = ResponseMemoryBudget(100)
        for reader in (_FakeReader(), _FakeReader(), _FakeReader()):
            memory_budget.set_size(reader, 90)
            memory_budget.release(reader)
            self.assertFalse(reader.is_dropped)
        self.assertEqual(memory_budget.total_bytes, 0)

    async def test_endless_responses_share_the_budget(self) -> None:
        """Responses below their own limits are bounded in total."""
        flood = Flood(_CHUNKED, b'10000\r\n%b\r\n' % _LONG_TEXT, floods=4)
        fixture = _Fixture(
            max_answer_bytes=256 * _MEBIBYTE,
            max_reading_bytes=4 * _MEBIBYTE,
        )
        outcomes: list[Outcome] = []

        async def run() -> None:
            outcomes.append(await fixture.server.run(_call()))

        async with flooding(flood) as endpoint:
            await fixture.announce(endpoint, slots=4)
            async with anyio.create_task_group() as calls:
                for _ in range(4):
                    calls.start_soon(run)
            following = await fixture.server.run(_call())
            await _wait_for_close(flood)
        expected = [Unknown(Cause.ANSWER_TOO_LARGE)] * 4
        self.assertEqual(outcomes, expected)
        self.assertEqual(_status(following), 200)
        self.assertEqual(fixture.in_use, 0)
        self.assertEqual(flood.closed_by_peer, 4)
        self.assertLess(flood.sent_bytes, 4 * _CLOSED_WITHIN_BYTES)

    async def test_complete_responses_are_released(self) -> None:
        size = 3 * _MEBIBYTE
        wire = b'%bcontent-length: %d\r\n\r\n' % (_OK, size) + b'x' * size
        fixture = _Fixture(
            max_answer_bytes=size, max_reading_bytes=4 * _MEBIBYTE
        )
        async with running_server(answering(wire, wire)) as endpoint:
            await fixture.announce(endpoint)
            for _ in range(2):
                outcome = await fixture.server.run(_call())
                self.assertEqual(_status(outcome), 200)


class HttpcoreTests(_FloodCase):
    """The baseline client also fails on endless bodies and heads."""

    def replace_server(self, fixture: _Fixture) -> None:
        fixture.server = BackendServer(
            fixture.settings, fixture.log, connect=HttpcoreConnection.connect
        )

    async def test_bodies(self) -> None:
        for name, (head, piece) in _BODIES.items():
            with self.subTest(name):
                flood = Flood(head, piece)
                await self.check(flood, Cause.ANSWER_TOO_LARGE)

    async def test_heads(self) -> None:
        for name in ('header name', 'header value', 'headers'):
            with self.subTest(name):
                flood = Flood(*_HEADS[name])
                await self.check(flood, Cause.CONNECTION_LOST)


class TrickleTests(unittest.IsolatedAsyncioTestCase):
    """A slow endless response ends at the request's deadline."""

    async def test_trickle(self) -> None:
        for head, piece in (
            (_OK, b'x-a: b\r\n'),
            (_CHUNKED, b'1\r\nx\r\n'),
            (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        ):
            with self.subTest(piece):
                await self._check(Flood(head, piece, pause_s=0.02))

    async def _check(self, flood: Flood) -> None:
        fixture = _Fixture()
        async with flooding(flood) as endpoint:
            await fixture.announce(endpoint)
            began_s = clock.now_s()
            outcome = await fixture.server.run(_call(0.3))
            self.assertLess(clock.now_s() - began_s, 0.5)
            self.assertEqual(outcome, Unknown(Cause.DEADLINE))
            self.assertEqual(fixture.declined(), ['deadline'])
            following = await fixture.server.run(_call())
            self.assertEqual(_status(following), 200)
            await _wait_for_close(flood)
        self.assertEqual(flood.closed_by_peer, 1)


class RepeatTests(unittest.TestCase):
    """A request that may have run is repeated only if idempotent."""

    def test_only_idempotent_requests_are_repeated(self) -> None:
        policies: tuple[RetryPolicy, ...] = (
            BudgetedRetries(),
            NaiveRetries(),
            SharedBudgetRetries(RetryBudget(), lambda: 1),
        )
        outcome = Unknown(Cause.ENDLESS_ANSWER)
        for policy in policies:
            for is_idempotent in (True, False):
                call = _call(is_idempotent=is_idempotent)
                is_repeated = policy.allows(call, outcome, clock.now_s())
                self.assertIs(is_repeated, is_idempotent, policy)

    def test_callers_get_bad_gateway(self) -> None:
        outcome = Unknown(Cause.ENDLESS_ANSWER)
        response = render(outcome, RequestId('r'), Version(1))
        platform = PlatformCallerDialect('consult', random.Random(1))
        self.assertEqual(response.status, 502)
        self.assertEqual(platform.render(outcome, 'r').status, 502)


class _FirstByName:
    """Chooses the first untried member in the order of host names."""

    def choose(
        self,
        members: Sequence[Member],
        rank: Rank,
        tried: Collection[HostId],
        now_s: float,
    ) -> Member | None:
        found = sorted(one.host for one in members if one.host not in tried)
        by_host = {one.host: one for one in members}
        return by_host[found[0]] if found else None

    def record_start(self, *args: object) -> None:
        """Do nothing."""

    def record_outcome(self, *args: object) -> None:
        """Do nothing."""

    def record_size(self, *args: object) -> None:
        """Do nothing."""


class _FakeForwarder:
    """Returns a response in place of each other host."""

    def __init__(self) -> None:
        self.hosts: list[str] = []

    async def forward(self, call: Call, peer: Member) -> AttemptResult:
        self.hosts.append(peer.host)
        return AttemptResult(Answered(200, (), b'body'), 0)


class RetryOnAnotherHostTests(unittest.IsolatedAsyncioTestCase):
    """An idempotent request is retried on another host after a flood."""

    async def test_idempotent_request_is_answered_elsewhere(self) -> None:
        outcome, tried = await self._dispatch(is_idempotent=True)
        self.assertEqual(_status(outcome), 200)
        self.assertEqual(sorted(tried), ['flooded', 'good'])

    async def test_other_request_is_not_sent_again(self) -> None:
        outcome, tried = await self._dispatch(is_idempotent=False)
        self.assertEqual(outcome, Unknown(Cause.ENDLESS_ANSWER))
        self.assertEqual(tried, ['flooded'])

    async def _dispatch(
        self,
        *,
        is_idempotent: bool,
    ) -> tuple[Outcome, list[str]]:
        """Dispatch a request whose local server sends endless data."""
        fixture = _Fixture()
        forwarder = _FakeForwarder()
        members = Members(
            member('flooded'), fixture.settings.membership, clock.now_s()
        )
        members.merge((member('good', zone='a2'),), clock.now_s())
        dispatcher = Dispatcher(
            members,
            _FirstByName(),  # type: ignore[arg-type]
            SharedBudgetRetries(RetryBudget(), lambda: 2),
            KeyOwners(members, 1),
            fixture.server,
            fixture.server.load,
            forwarder,  # type: ignore[arg-type]
            Metrics(),
            fixture.log,
        )
        async with flooding(Flood(_OK, _LONG_TEXT)) as endpoint:
            await fixture.announce(endpoint)
            outcome = await dispatcher.dispatch(
                _call(is_idempotent=is_idempotent)
            )
        return outcome, ['flooded', *forwarder.hosts]


class StoreTests(unittest.IsolatedAsyncioTestCase):
    """The clients of both stores end a call in time and can call again."""

    async def test_store_of_the_users_platform(self) -> None:
        for kinds in (_HEADS, _FRAMING, _BODIES):
            for name, (head, piece) in kinds.items():
                with self.subTest(name):
                    await self._check_store(Flood(head, piece))

    async def test_platform(self) -> None:
        for name, (head, piece) in _BODIES.items():
            with self.subTest(name):
                await self._check_platform(Flood(head, piece, floods=2))

    async def test_trickle(self) -> None:
        """Each part arrives in time, but the whole call does not."""
        head, piece = _CHUNKED, b'1\r\nx\r\n'
        await self._check_platform(Flood(head, piece, floods=2, pause_s=0.05))
        await self._check_store(Flood(head, piece, floods=2, pause_s=0.05))

    async def _check_store(self, flood: Flood) -> None:
        """Check that a write without a response may have run."""
        log = ListLog()
        async with flooding(flood) as endpoint:
            address = f'{endpoint.address}:{endpoint.port}'
            client = StoreClient(address, Metrics(), log)
            began_s = clock.now_s()
            with self.assertRaises(PlatformError) as caught:
                await client.write('/api/rows-tx', {})
            await _wait_for_close(flood)
            client.close()
        self._check(flood, caught.exception, log, began_s)

    async def _check_platform(self, flood: Flood) -> None:
        """Check that a read and its retry fail in time; the next succeeds."""
        log = ListLog()
        async with flooding(flood) as endpoint:
            settings = PlatformSettings(
                url=f'http://{endpoint.address}:{endpoint.port}',
                region='r',
                timeout_s=_TIMEOUT_S,
            )
            client = PlatformClient(settings, Metrics(), log)
            began_s = clock.now_s()
            with self.assertRaises(PlatformError) as caught:
                with anyio.fail_after(3):
                    await client.get_object('a')
            await _wait_for_close(flood)
            self._check(flood, caught.exception, log, began_s)
            self.assertEqual(await client.get_object('a'), b'body')
            await client.close()

    def _check(
        self,
        flood: Flood,
        error: PlatformError,
        log: ListLog,
        began_s: float,
    ) -> None:
        self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(log.events, [Event.PLATFORM_OUTAGE])
        self.assertLess(clock.now_s() - began_s, 3)
        self.assertGreater(flood.closed_by_peer, 0)
        self.assertLess(flood.sent_bytes, 4 * _CLOSED_WITHIN_BYTES)
