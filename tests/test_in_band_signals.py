"""Tests of what responses say of their backend server."""

import unittest

import anyio
from anyio.abc import SocketStream

from ragwortstand.backend_servers import (
    Announcement,
    BackendServer,
    BackendState,
)
from ragwortstand.backend_servers.connections import Endpoint
from ragwortstand.backend_servers.dialect import RagwortDialect
from ragwortstand.backend_servers.in_band_signals import InBandSignals
from ragwortstand.backend_servers.latency_objective_admission import (
    LatencyObjectiveAdmission,
)
from ragwortstand.events import Event
from ragwortstand.ids import ServiceName
from ragwortstand.metrics import Metrics
from ragwortstand.platform.headers import (
    NOT_RUN,
    STAMP,
    PlatformBackendDialect,
)
from ragwortstand.verdicts import Answered, Cause, Refused
from tests.fakes import SIDECAR_SETTINGS, ListLog, sidecar_server
from tests.forwarded import new_call
from tests.servers import answering, running_server

_SIGNED = (STAMP, b's')
_LIMIT = b'server-limit'
_LEAVING = (b'server-leaving', b'1')


def _signals(*headers: tuple[bytes, bytes], status: int = 200):
    answered = Answered(status, headers, b'')
    return PlatformBackendDialect().signals(answered)


def response(*lines: bytes) -> bytes:
    """Return a signed response with some more header lines."""
    head = (b'HTTP/1.1 200 OK', b'content-length: 0', STAMP + b': s', *lines)
    return b'\r\n'.join((*head, b'', b''))


def announcement(endpoint: Endpoint, **changes) -> Announcement:
    """Return the announcement of a server with four slots."""
    fields = {
        'instance': 'i-1',
        'service': ServiceName('s'),
        'address': endpoint.address,
        'port': endpoint.port,
        'slots': 4,
        'connections': 40,
        'boot': 1000,
    }
    return Announcement(**{**fields, **changes})


class PlatformHeaderTests(unittest.TestCase):
    """Signals in the headers of the users' platform."""

    def test_limit(self) -> None:
        for text, limit_per_s in ((b'29.2', 29.2), (b'0', 0.0), (b'100', 100)):
            found = _signals(_SIGNED, (_LIMIT, text))
            self.assertEqual(found, InBandSignals(limit_per_s))

    def test_lowest_of_several_limits(self) -> None:
        found = _signals(_SIGNED, (_LIMIT, b'9'), (_LIMIT, b'7.5'))
        self.assertEqual(found, InBandSignals(7.5))

    def test_unreadable_limits_have_a_problem(self) -> None:
        for text in (
            b'',
            b'many',
            b'-1',
            b'nan',
            b'inf',
            b'1_0',
            b'1e3',
            b'9' * 400,
        ):
            found = _signals(_SIGNED, (_LIMIT, text))
            assert found is not None
            self.assertIn('is no rate', found.problem)

    def test_no_limit_in_a_signed_response(self) -> None:
        self.assertEqual(_signals(_SIGNED), InBandSignals())

    def test_leaving(self) -> None:
        found = _signals(_SIGNED, _LEAVING)
        self.assertEqual(found, InBandSignals(is_leaving=True))

    def test_rejections_may_carry_signals(self) -> None:
        rejected = (NOT_RUN, b'1')
        found = _signals(rejected, (_LIMIT, b'3'), status=503)
        self.assertEqual(found, InBandSignals(3.0))

    def test_responses_that_say_nothing_of_the_server(self) -> None:
        self.assertIsNone(_signals(status=502))
        self.assertIsNone(_signals((NOT_RUN, b'1'), status=503))
        self.assertIsNone(_signals((_LIMIT, b'3'), status=421))


class OwnHeaderTests(unittest.TestCase):
    """Signals in the product's own headers."""

    def test_limit_and_leaving(self) -> None:
        headers = ((b'ragwort-rate-limit', b'5'), (b'ragwort-leaving', b'1'))
        found = RagwortDialect().signals(Answered(200, headers, b''))
        self.assertEqual(found, InBandSignals(5.0, is_leaving=True))


class ObservabilityTests(unittest.IsolatedAsyncioTestCase):
    """Log lines and metrics tell a limit and how far it is kept."""

    async def test_log_and_metrics_show_a_limit_and_its_end(self) -> None:
        log, metrics = ListLog(), Metrics()
        server = BackendServer(
            SIDECAR_SETTINGS,
            log,
            PlatformBackendDialect(),
            LatencyObjectiveAdmission(),
            metrics=metrics,
        )
        named = response(b'server-limit: 1000')
        script = answering(named, named, response())
        async with running_server(script) as endpoint:
            await server.announce(announcement(endpoint), anyio.current_time())
            for number in range(2):
                await anyio.sleep(0.01)
                await server.run(new_call(f'a{number}', 2.0))
            rendered = metrics.render()
            self.assertIn(b'per_second 1000.0', rendered)
            await anyio.sleep(0.01)
            await server.run(new_call('b', 2.0))
        limits = [
            line['rate_limit_per_s']
            for event, line in zip(log.events, log.lines, strict=True)
            if event is Event.SERVER_SIGNALS
        ]
        self.assertEqual(limits, [1000.0, None])
        instances = {
            line['instance']
            for event, line in zip(log.events, log.lines, strict=True)
            if event is Event.SERVER_SIGNALS
        }
        self.assertEqual(instances, {'i-1'})
        rendered = metrics.render()
        self.assertIn(b'ragwort_backend_requests_total 3.0', rendered)
        self.assertIn(b'per_second -1.0', rendered)


class LeavingTests(unittest.IsolatedAsyncioTestCase):
    """A server says in its responses that it is about to stop."""

    def setUp(self) -> None:
        """Create the daemon's part for one server."""
        self.changes: list[BackendState] = []
        self.server = sidecar_server()
        self.server.on_change = lambda: self.changes.append(self.server.state)

    async def test_no_request_is_sent_after_such_a_response(self) -> None:
        """Guards against sending work to a server that has said it leaves."""
        script = answering(response(b'server-leaving: 1'), response())
        async with running_server(script) as endpoint:
            await self._announce(endpoint)
            answered = await self.server.run(new_call('a', 2.0))
            refused = await self.server.run(new_call('b', 2.0))
        self.assertIsInstance(answered, Answered)
        self.assertEqual(refused, Refused(Cause.LEAVING))
        self.assertIs(self.changes[-1], BackendState.DRAINING)
        self.assertEqual(self.server.last_departed, ('i-1', 1000))

    async def test_later_announcement_does_not_bring_it_back(self) -> None:
        script = answering(response(b'server-leaving: 1'))
        async with running_server(script) as endpoint:
            await self._announce(endpoint)
            await self.server.run(new_call('a', 2.0))
            await self._announce(endpoint, sequence=9)
        self.assertIs(self.server.state, BackendState.DRAINING)

    async def test_late_response_of_the_last_boot_concerns_no_other(
        self,
    ) -> None:
        """Guards against taking out the server that has the address now."""

        async def respond_late(stream: SocketStream) -> None:
            await stream.receive()
            await self._announce(endpoint, instance='i-2', boot=2000)
            await stream.send(
                response(b'server-leaving: 1', b'server-limit: 1')
            )

        async with running_server(respond_late) as endpoint:
            await self._announce(endpoint)
            await self.server.run(new_call('a', 2.0))
        self.assertIs(self.server.state, BackendState.READY)
        self.assertIsNone(self.server.rate_limit)

    async def _announce(self, endpoint: Endpoint, **changes) -> None:
        await self.server.announce(
            announcement(endpoint, **changes), anyio.current_time()
        )
