"""Responses to callers' requests when their daemon exits."""

import asyncio
import random
import unittest
from typing import cast

import anyio

from ragwortstand import clock
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.proxy import Proxy
from ragwortstand.callers.weighted_targets import WeightedTargetSelector
from ragwortstand.calls import Call
from ragwortstand.events import Event
from ragwortstand.http_server import CallerRequest, HttpServer
from ragwortstand.ids import Version
from ragwortstand.metrics import Metrics
from ragwortstand.models import CallerLimits
from ragwortstand.platform.headers import PlatformCallerDialect
from ragwortstand.verdicts import Answered, Cause, Outcome, Refused
from ragwortstand.versions import Snapshot
from tests.fakes import MESH, ListLog
from tests.servers import running_http

_REROUTED_IN_S = 2.0


class _Dispatcher:
    """Runs requests by the last part of their path."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    async def dispatch(self, call: Call) -> Outcome:
        self.calls.append(call)
        name = call.target.rpartition('/')[2]
        if name == 'ready':
            return Answered(200, (), b'body')
        if name == 'refused':
            return Refused(Cause.SENDER_LEAVING)
        call.is_dispatched = name == 'running'
        call.sends = int(name == 'repeated')
        with anyio.CancelScope(deadline=clock.now_s() + 30):
            await anyio.Event().wait()
        raise AssertionError


class ExitTests(unittest.IsolatedAsyncioTestCase):
    """Requests with and without a slot shortly before the exit."""

    def setUp(self) -> None:
        """Create a proxy behind a server for callers."""
        self.dispatcher = _Dispatcher()
        self.log = ListLog()
        self.proxy = Proxy(
            lambda: Snapshot(Version(1), MESH, b''),
            cast(Dispatcher, self.dispatcher),
            PlatformCallerDialect('s', random.Random(1)),
            WeightedTargetSelector(random.Random(1)),
            Metrics(),
            self.log,
        )

    async def _answer(self, name: str) -> Answered:
        headers = ((b'host', b'h'), (b'x-ragwortstand-request-id', b'r'))
        return await self.proxy.answer(
            CallerRequest('GET', f'/slips/{name}', headers, b'', clock.now_s())
        )

    async def _exit_while(self, *names: str) -> list[Answered]:
        """Return the responses to requests that the exit ends."""
        tasks = [asyncio.create_task(self._answer(name)) for name in names]
        await anyio.sleep(0.01)
        self.proxy.end_all()
        return await asyncio.gather(*tasks)

    # Guards against connections that are closed without a response.
    async def test_each_request_gets_a_true_response(self) -> None:
        found = await self._exit_while('waiting', 'running', 'repeated')
        self.assertEqual([one.status for one in found], [503, 502, 502])
        self.assertNotIn(Event.ABANDONED, self.log.events)

    async def test_exit_applies_to_requests_in_flight_and_later(self) -> None:
        exit_s = clock.now_s() + 5
        tasks = [asyncio.create_task(self._answer('waiting'))]
        await anyio.sleep(0.01)
        self.proxy.set_exit(exit_s, exit_s)
        tasks.append(asyncio.create_task(self._answer('waiting')))
        await anyio.sleep(0.01)
        limits = [call.limit.finish_by_s for call in self.dispatcher.calls]
        self.assertEqual(limits, [exit_s, exit_s])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Callers that come back to the daemon before they are routed elsewhere
    # would be refused again, until they give up.
    async def test_refusals_name_the_time_until_callers_are_rerouted(
        self,
    ) -> None:
        now_s = clock.now_s()
        self.proxy.set_exit(now_s + 5, now_s + _REROUTED_IN_S)
        answered = await self._answer('refused')
        self.assertEqual(answered.status, 503)
        delay_s = float(dict(answered.headers)[b'retry-after'])
        self.assertGreater(delay_s, _REROUTED_IN_S * 0.9)
        self.assertLess(delay_s, _REROUTED_IN_S * 1.5)

    # Guards against responses that were ready and were not sent, as one before
    # them on the connection was not.
    async def test_responses_behind_others_are_sent(self) -> None:
        server = HttpServer(self.proxy.answer, CallerLimits, self.log)
        async with running_http(server) as port:
            stream = await anyio.connect_tcp('127.0.0.1', port)
            async with stream:
                for name in ('waiting', 'ready', 'running', 'ready'):
                    line = f'GET /slips/{name} HTTP/1.1\r\n'
                    await stream.send(line.encode() + b'host: h\r\n\r\n')
                await anyio.sleep(0.05)
                server.close_idle()
                self.proxy.end_all()
                received = b''
                while b'close' not in received:
                    received += await stream.receive()
        statuses = [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]
        self.assertEqual(statuses, [b'503', b'200', b'502', b'200'])
