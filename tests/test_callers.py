"""Tests of the ASGI application for callers, of overload and of responses."""

import unittest
from typing import Any

import anyio

from ragwortstand.backend_servers.dialect import wire_request
from ragwortstand.callers.asgi_app import CallerApplication
from ragwortstand.callers.overload import OverloadGuard
from ragwortstand.callers.responses import render
from ragwortstand.calls import Call
from ragwortstand.ids import RequestId, Version
from ragwortstand.metrics import Metrics
from ragwortstand.models import Rank
from ragwortstand.settings import LimitSettings
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)
from ragwortstand.versions import Snapshot
from tests.fakes import MESH, ListLog

_SNAPSHOT = Snapshot(Version(3), MESH, b'')


class _FakeDispatcher:
    """Records calls and returns a configured outcome."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.outcome: Outcome = Answered(200, (), b'yes')
        self.duration_s = 0.0
        self.error: Exception | None = None

    async def dispatch(self, call: Call) -> Outcome:
        """Return the outcome after `duration_s`."""
        self.calls.append(call)
        await anyio.sleep(self.duration_s)
        if self.error:
            raise self.error
        return self.outcome


class _Exchange:
    """One ASGI request; the caller may disconnect after a delay."""

    def __init__(self, body: bytes, leave_after_s: float | None) -> None:
        self._messages: list[dict[str, Any]] = [
            {'type': 'http.request', 'body': body, 'more_body': False},
        ]
        self._leave_after_s = leave_after_s
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b''

    async def receive(self) -> dict[str, Any]:
        """Return the next message."""
        if self._messages:
            return self._messages.pop(0)
        if self._leave_after_s is None:
            await anyio.sleep_forever()
        await anyio.sleep(self._leave_after_s or 0)
        return {'type': 'http.disconnect'}

    async def send(self, message: dict[str, Any]) -> None:
        """Record the response."""
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers = dict(message['headers'])
        else:
            self.body += message['body']

    @property
    def cause(self) -> str:
        """Return the cause in the response's headers."""
        return self.headers.get(b'ragwort-cause', b'').decode()


class FrontTest(unittest.IsolatedAsyncioTestCase):
    """Every request gets a response with the right verdict."""

    def setUp(self) -> None:
        """Create an application with a configuration in force."""
        self.snapshot: Snapshot | None = _SNAPSHOT
        self.dispatcher = _FakeDispatcher()
        self.application = CallerApplication(
            lambda: self.snapshot,
            self.dispatcher,  # type: ignore[arg-type]
            OverloadGuard(),
            LimitSettings(max_request_bytes=100),
            Metrics(),
            ListLog(),
        )

    async def test_response_of_backend_server(self) -> None:
        """A backend server's response gets verdict and version headers."""
        exchange = await self._send('/slips/a')
        self.assertEqual((exchange.status, exchange.body), (200, b'yes'))
        self.assertEqual(exchange.headers[b'ragwort-verdict'], b'ran')
        self.assertEqual(exchange.headers[b'ragwort-version'], b'3')

    async def test_refusals(self) -> None:
        """Each kind of invalid request is refused with its own cause."""
        cases = {
            'no-route': {'path': '/none'},
            'body-too-large': {'body': b'x' * 101},
            'bad-request': {'headers': ((b'ragwort-timeout-ms', b'soon'),)},
        }
        for cause, arguments in cases.items():
            exchange = await self._send(**{'path': '/slips', **arguments})
            self.assertEqual(exchange.cause, cause)
            self.assertEqual(exchange.headers[b'ragwort-verdict'], b'not-run')
        self.assertEqual(self.dispatcher.calls, [])

    async def test_more_malformed_headers(self) -> None:
        """Malformed timeouts, keys, lengths and ranks are refused."""
        for name, text in (
            (b'ragwort-timeout-ms', b'-5'),
            (b'idempotency-key', b''),
            (b'idempotency-key', b'k' * 300),
            (b'idempotency-key', b'\xff'),
            (b'content-length', b'many'),
            (b'ragwort-rank', b'\xff'),
        ):
            exchange = await self._send('/slips', headers=((name, text),))
            self.assertEqual(exchange.cause, 'bad-request', name)

    async def test_not_ready(self) -> None:
        """Requests are refused while there is no configuration."""
        self.snapshot = None
        exchange = await self._send('/slips')
        self.assertEqual(exchange.cause, 'no-configuration')

    async def test_leaving(self) -> None:
        """A daemon that stops refuses at once and sends `Retry-After`."""
        self.application.is_leaving = True
        exchange = await self._send('/slips')
        self.assertEqual(exchange.cause, 'leaving')
        self.assertIn(b'retry-after', exchange.headers)

    async def test_too_many_in_flight(self) -> None:
        """Requests above the limit are refused, not queued."""
        limits = LimitSettings(max_in_flight=1)
        self.application._limits = limits  # noqa: WPS437
        self.dispatcher.duration_s = 0.2
        exchanges: list[_Exchange] = []

        async def send() -> None:
            exchanges.append(await self._send('/slips'))

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(send)
        causes = sorted(exchange.cause for exchange in exchanges)
        self.assertEqual(causes, ['', 'overloaded', 'overloaded'])

    async def test_rank_may_be_lowered_only(self) -> None:
        """A caller may request a less urgent rank, never a higher one."""
        await self._send('/slips', headers=((b'ragwort-rank', b'bulk'),))
        await self._send('/exports', headers=((b'ragwort-rank', b'urgent'),))
        await self._send('/slips', headers=((b'ragwort-rank', b'unknown'),))
        ranks = [call.rank.name for call in self.dispatcher.calls]
        self.assertEqual(ranks, ['bulk', 'bulk', 'urgent'])

    async def test_caller_gone_cancels(self) -> None:
        """A request whose caller disconnects is cancelled within a second."""
        self.dispatcher.duration_s = 30
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.application.watch)
            with anyio.fail_after(2):
                await self._send('/slips', leave_after_s=0.2)
            tasks.cancel_scope.cancel()
        self.assertEqual(self.application.in_flight, 0)

    async def test_internal_error_may_have_run(self) -> None:
        """After an internal error the request may have run."""
        self.dispatcher.error = RuntimeError('bug')
        exchange = await self._send('/slips')
        self.assertEqual(exchange.status, 500)
        self.assertEqual(exchange.headers[b'ragwort-verdict'], b'may-have-run')

    async def test_deadline_is_forwarded(self) -> None:
        """The backend server receives the remaining time and the rank."""
        headers = ((b'ragwort-timeout-ms', b'1500'),)
        await self._send('/slips', headers=headers)
        call = self.dispatcher.calls[0]
        wire = wire_request(call, call.deadline_s - 0.7)
        sent = dict(wire.headers)
        self.assertAlmostEqual(int(sent[b'ragwort-timeout-ms']), 700, delta=1)
        self.assertEqual(sent[b'ragwort-rank'], b'urgent')

    async def _send(
        self,
        path: str,
        body: bytes = b'',
        headers: tuple[tuple[bytes, bytes], ...] = (),
        leave_after_s: float | None = None,
    ) -> _Exchange:
        exchange = _Exchange(body, leave_after_s)
        scope = {
            'method': 'GET',
            'path': path,
            'raw_path': path.encode(),
            'query_string': b'',
            'headers': list(headers),
        }
        await self.application(scope, exchange.receive, exchange.send)
        return exchange


class OverloadGuardTest(unittest.TestCase):
    """While the event loop lags, admissions are shared by rank."""

    def test_everything_is_admitted_without_lag(self) -> None:
        """Without lag no rank is refused."""
        guard = self._guard()
        self.assertTrue(all(guard.admits('bulk') for _ in range(1000)))

    def test_flooding_rank_is_limited_to_its_share(self) -> None:
        """During lag the rank that floods is refused, and only that one."""
        for flooding, other in (('bulk', 'urgent'), ('urgent', 'bulk')):
            guard = self._guard()
            for _ in range(500):
                guard.admits(flooding)
            guard.record_lag(0.2)
            self.assertFalse(guard.admits(flooding))
            self.assertTrue(guard.admits(other))

    def test_ranks_that_do_not_flood_are_never_refused(self) -> None:
        """A flood that is refused for long causes no refusals elsewhere.

        As the flooding rank is refused, the other ranks' shares of the
        admissions rise above their guarantees.
        """
        guard = OverloadGuard()
        shares = {'urgent': 0.4, 'middle': 0.3, 'bulk': 0.2}
        guard.configure(
            Rank(name=name, guaranteed_share=share)
            for name, share in shares.items()
        )
        rates = {'bulk': 54, 'middle': 6, 'urgent': 10}
        refused = dict.fromkeys(rates, 0)
        for _ in range(40):
            guard.record_lag(0.2)
            for rank, rate in rates.items():
                refused[rank] += sum(
                    not guard.admits(rank) for _ in range(rate)
                )
        self.assertGreater(refused.pop('bulk'), 0)
        self.assertEqual(refused, {'middle': 0, 'urgent': 0})

    def test_steady_load_of_one_rank_is_never_refused(self) -> None:
        """A host without processor time is no reason to refuse requests.

        The loop stands still for up to 0.6 s while 50 requests per second of
        one rank arrive, as many as before.
        """
        guard = self._guard()
        for lag_s in (0.0,) * 30 + (0.6, 0.0, 0.3, 0.6, 0.6, 0.1) * 10:
            arrivals = round(50 * (0.1 + lag_s))
            admitted = [guard.admits('urgent') for _ in range(arrivals)]
            self.assertTrue(all(admitted), lag_s)
            guard.record_lag(lag_s)

    def test_few_requests_of_another_rank_refuse_none(self) -> None:
        """A rank is not limited by how little the other ranks ask for."""
        guard = self._guard()
        for tick in range(100):
            guard.record_lag(0.2 if tick > 30 else 0.0)
            if tick % 10 == 0:
                self.assertTrue(guard.admits('bulk'))
            self.assertTrue(all(guard.admits('urgent') for _ in range(5)))

    def test_flooding_rank_gets_what_others_leave(self) -> None:
        """During a flood the daemon works, and other ranks are served.

        The daemon has time for 250 requests per second and usually gets 200.
        """
        guard = self._guard()
        for _ in range(300):
            guard.record_lag(0.0)
            self.assertTrue(all(guard.admits('bulk') for _ in range(20)))
        admitted = 0
        elapsed_s = 0.0
        backlog_s = 0.0
        while elapsed_s < 20:
            interval_s = 0.1 + backlog_s
            arrivals = round(1200 * interval_s)
            taken = sum(guard.admits('bulk') for _ in range(arrivals))
            self.assertTrue(guard.admits('urgent'))
            admitted += taken
            elapsed_s += interval_s
            backlog_s = max(0.0, backlog_s + (taken + 1) / 250 - interval_s)
            guard.record_lag(backlog_s)
            self.assertLess(backlog_s, 1)
        self.assertGreater(admitted, 200 * elapsed_s * 0.8)

    def test_recovers_within_a_second(self) -> None:
        """Once the lag is gone everything is admitted at once."""
        guard = self._guard()
        guard.record_lag(0.2)
        guard.record_lag(0.0)
        self.assertTrue(all(guard.admits('bulk') for _ in range(100)))

    def _guard(self) -> OverloadGuard:
        guard = OverloadGuard()
        guard.configure(MESH.ranks)
        return guard


class ResponsesTest(unittest.TestCase):
    """Conversion of outcomes to HTTP responses."""

    def test_every_cause_has_a_response(self) -> None:
        """Each cause has a response with its verdict, refused or unknown."""
        for cause in Cause:
            outcomes: tuple[Outcome, ...] = (Refused(cause), Unknown(cause))
            for outcome in outcomes:
                answered = render(outcome, RequestId('r'), Version(1))
                headers = dict(answered.headers)
                self.assertGreaterEqual(answered.status, 400)
                self.assertEqual(
                    headers[b'ragwort-cause'].decode(), cause.value
                )
                verdict = Verdict(headers[b'ragwort-verdict'].decode())
                self.assertIs(verdict, outcome.verdict)

    def test_retry_delay(self) -> None:
        """A refusal has its retry delay in whole seconds and in ms."""
        outcome = Refused(Cause.OVERLOADED, 1.25)
        headers = dict(render(outcome, RequestId('r'), Version(1)).headers)
        self.assertEqual(headers[b'retry-after'], b'2')
        self.assertEqual(headers[b'ragwort-retry-after-ms'], b'1250')
