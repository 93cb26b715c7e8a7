"""Tests of requests run on the local backend server, over loopback."""

import contextlib
import time
import unittest

import anyio
from anyio.abc import SocketStream

from ragwortstand.backend_servers import (
    Announcement,
    BackendServer,
    BackendState,
)
from ragwortstand.backend_servers.connections import Endpoint
from ragwortstand.backend_servers.crash_record import CrashReport
from ragwortstand.calls import Call
from ragwortstand.ids import Fingerprint, RequestId, ServiceName, Version
from ragwortstand.models import Rank, Service
from ragwortstand.settings import parse_settings
from ragwortstand.verdicts import Cause, Refused, Unknown
from tests.fakes import ListLog
from tests.servers import OK, answering, running_server

_SETTINGS = parse_settings(
    '{"cluster":"c","host":"h","region":"r","availability_zone":"z",'
    '"admin":{"token":"0123456789abcdef"},'
    '"limits":{"max_answer_bytes":100},'
    '"platform":{"url":"http://127.0.0.1:1","region":"r"}}',
)

_LATE_S = 0.3


async def _close_without_response(stream: SocketStream) -> None:
    """Receive a request and close the connection without a response."""
    async with stream:
        with contextlib.suppress(anyio.EndOfStream):
            await stream.receive()


async def _hang(stream: SocketStream) -> None:
    """Receive a request and never respond."""
    async with stream:
        await stream.receive()
        await anyio.sleep_forever()


async def _answer_late(stream: SocketStream) -> None:
    """Receive requests and send each response after a delay."""
    async with stream:
        with contextlib.suppress(anyio.EndOfStream):
            while await stream.receive():
                await anyio.sleep(_LATE_S)
                await stream.send(OK)


def _call(target: str = '/a', timeout_s: float = 2.0) -> Call:
    return Call(
        request_id=RequestId('r'),
        method='GET',
        target=target,
        headers=(),
        body=b'',
        service=Service(name='consult'),
        rank=Rank(name='urgent'),
        is_idempotent=True,
        deadline_s=anyio.current_time() + timeout_s,
        version=Version(1),
    )


class BackendServerTest(unittest.IsolatedAsyncioTestCase):
    """Outcomes are accurate; crashes differ from lost connections."""

    def setUp(self) -> None:
        """Create a runner without an announced backend server."""
        self.server = BackendServer(_SETTINGS, ListLog())
        self.reported: list[CrashReport] = []
        self.server.crash_detector.on_crash = self._record_report

    async def test_response(self) -> None:
        """A request gets its response, and its slot is freed."""
        async with running_server(answering(OK)) as endpoint:
            await self._announce(endpoint)
            outcome = await self.server.run(_call())
        self.assertEqual(outcome.status, 200)  # type: ignore[union-attr]
        self.assertEqual(self.server.load(anyio.current_time()).in_use, 0)

    async def test_unavailable_server_refuses(self) -> None:
        """Absent, draining and silent backend servers get no requests."""
        down = Refused(Cause.BACKEND_SERVER_DOWN)
        self.assertEqual(await self.server.run(_call()), down)
        await self._announce(Endpoint('127.0.0.1', 1), is_draining=True)
        leaving = Refused(Cause.LEAVING)
        self.assertEqual(await self.server.run(_call()), leaving)
        await self._announce(Endpoint('127.0.0.1', 1))
        self.server.expire(anyio.current_time() + 6)
        self.assertIs(self.server.state, BackendState.DOWN)

    async def test_connection_refused(self) -> None:
        """A request whose connection is refused has not run."""
        await self._announce(Endpoint('127.0.0.1', 1))
        outcome = await self.server.run(_call())
        self.assertEqual(outcome, Refused(Cause.BACKEND_SERVER_DOWN))
        self.assertIs(self.server.state, BackendState.DOWN)

    async def test_deadline(self) -> None:
        """Past its deadline a sent request is unknown, a queued one not run."""
        async with running_server(_hang) as endpoint:
            await self._announce(endpoint, slots=1)
            outcomes: list[object] = []

            async def run(timeout_s: float) -> None:
                outcome = await self.server.run(_call(timeout_s=timeout_s))
                outcomes.append(outcome)

            async with anyio.create_task_group() as calls:
                calls.start_soon(run, 0.4)
                await anyio.sleep(0.05)
                calls.start_soon(run, 0.2)
        waited, ran = outcomes
        self.assertEqual(waited, Refused(Cause.DEADLINE))
        self.assertEqual(ran, Unknown(Cause.DEADLINE))

    async def test_nothing_is_sent_after_the_deadline(self) -> None:
        """A daemon that was paused does not send what its caller gave up."""

        async def pause() -> None:
            time.sleep(0.3)  # noqa: ASYNC251

        async with running_server(answering(OK)) as endpoint:
            await self._announce(endpoint)
            await self.server.run(_call())
            call = _call(timeout_s=0.2)
            outcome = await self.server.run(call, pause)
        self.assertEqual(outcome, Refused(Cause.DEADLINE))
        self.assertFalse(call.is_dispatched)

    async def test_oversized_response(self) -> None:
        """A response over the limit is no refusal, as the request ran."""
        large = b'HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n'
        script = answering(large + b'x' * 101)
        async with running_server(script) as endpoint:
            await self._announce(endpoint)
            outcome = await self.server.run(_call())
        self.assertEqual(outcome, Unknown(Cause.ANSWER_TOO_LARGE))

    async def test_crash_is_reported_before_the_response(self) -> None:
        """A lost connection to a server that no longer listens is a crash."""
        outcomes: list[object] = []

        async def run() -> None:
            outcomes.append(await self.server.run(_call()))

        async with (
            anyio.create_task_group() as calls,
            running_server(_hang) as endpoint,
        ):
            await self._announce(endpoint)
            calls.start_soon(run)
            await anyio.sleep(0.1)
        self.assertEqual(outcomes, [Unknown(Cause.CRASHED)])
        report = CrashReport((_call().fingerprint,))
        self.assertEqual(self.reported, [report])

    async def test_lost_connection_is_no_crash(self) -> None:
        """A server that still accepts connections has not crashed."""
        async with running_server(_close_without_response) as endpoint:
            await self._announce(endpoint)
            outcome = await self.server.run(_call())
        self.assertEqual(outcome, Unknown(Cause.CONNECTION_LOST))
        self.assertEqual(self.reported, [])

    async def test_completed_suspect_is_cleared_on_all_hosts(self) -> None:
        """A suspect that completes is cleared, and other hosts are notified."""
        cleared: list[Fingerprint] = []

        async def record_clear(fingerprint: Fingerprint) -> None:
            cleared.append(fingerprint)

        self.server.crash_detector.on_clear = record_clear
        now_s = anyio.current_time()
        report = CrashReport((_call().fingerprint,))
        self.server.crash_detector.record.add(report, now_s)
        async with running_server(answering(OK, OK)) as endpoint:
            await self._announce(endpoint)
            for _ in range(2):
                await self.server.run(_call())
        self.assertEqual(cleared, [_call().fingerprint])

    async def test_fast_restarts_are_crashes(self) -> None:
        """Losses before a restart are a crash; two crashes quarantine."""
        async with running_server(_close_without_response) as endpoint:
            await self._announce(endpoint, instance='1')
            for instance in '23':
                await self.server.run(_call('/poison'))
                await self._announce(endpoint, instance=instance)
            refused = await self.server.run(_call('/poison'))
            other = await self.server.run(_call('/other'))
        self.assertEqual(len(self.reported), 2)
        self.assertEqual(refused, Refused(Cause.QUARANTINED, 600))
        self.assertEqual(other, Unknown(Cause.CONNECTION_LOST))

    # A popular request was in flight in the crash that made it a suspect, and
    # other copies of it in the next one, 12 ms later: it was quarantined.
    async def test_crash_counts_against_the_suspect_that_runs(self) -> None:
        popular, poison = _call('/popular'), _call('/poison')
        record = self.server.crash_detector.record
        both = CrashReport((popular.fingerprint, poison.fingerprint))
        async with (
            anyio.create_task_group() as calls,
            running_server(_hang) as endpoint,
        ):
            await self._announce(endpoint)
            calls.start_soon(self.server.run, popular)
            await anyio.sleep(0.1)
            record.add(both, anyio.current_time())
            calls.start_soon(self.server.run, poison)
            await anyio.sleep(0.1)
        report = CrashReport((poison.fingerprint,), (popular.fingerprint,))
        self.assertEqual(self.reported, [report])
        now_s = anyio.current_time()
        self.assertTrue(record.is_quarantined(poison.fingerprint, now_s))
        self.assertFalse(record.is_quarantined(popular.fingerprint, now_s))

    async def test_cleared_requests_run_at_the_same_time(self) -> None:
        """They waited for each other only while they were suspects."""
        now_s = anyio.current_time()
        report = CrashReport((_call().fingerprint,))
        self.server.crash_detector.record.add(report, now_s)
        async with running_server(_answer_late) as endpoint:
            await self._announce(endpoint)
            with anyio.fail_after(4 * _LATE_S):
                await self._run_at_once(5)

    async def _run_at_once(self, count: int) -> None:
        async with anyio.create_task_group() as calls:
            for _ in range(count):
                calls.start_soon(self.server.run, _call())

    async def _announce(
        self,
        endpoint: Endpoint,
        *,
        instance: str = '1',
        slots: int = 5,
        is_draining: bool = False,
    ) -> None:
        announcement = Announcement(
            instance=instance,
            service=ServiceName('consult'),
            address=endpoint.address,
            port=endpoint.port,
            slots=slots,
            connections=5,
            is_draining=is_draining,
        )
        await self.server.announce(announcement, anyio.current_time())

    async def _record_report(self, report: CrashReport) -> None:
        self.reported.append(report)
