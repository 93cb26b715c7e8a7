"""Large responses between daemons over a slow link.

The link passes 5.5 Mbit/s, as those of the slowest hosts do. A link that is
busy with large responses must not be taken for a dead one.
"""

import asyncio
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import TypeVar

import anyio

from ragwortstand import clock
from ragwortstand.events import Event
from ragwortstand.exceptions import PeerError
from ragwortstand.ids import HostId, PeerAddress
from ragwortstand.metrics import Metrics
from ragwortstand.peers.messages import Reply, Request, Work, work_done
from ragwortstand.peers.stream_listener import StreamListener
from ragwortstand.tools.model import run_in_virtual_time
from ragwortstand.verdicts import Answered
from tests.fakes import ListLog
from tests.forwarded import new_work
from tests.slow_link import SimulatedLinks, SlowLink

_Result = TypeVar('_Result')
_RATE_BYTES_S = 5_500_000 / 8
_BUDGET_S = 2.2
_SMALL_BYTES = 1000
_SMALL_AT_S = (0.1, 0.4, 0.7, 1.0)
# Time for a small response beside large ones: a quarter of the objective of
# 0.9 s that a download has there.
_SMALL_WITHIN_S = 0.225
_ADDRESS = PeerAddress('tcp://b:1')
_LIMIT_BYTES = 4 * 1024 * 1024


async def _answer(sender: HostId, request: Request) -> Reply:
    """Respond to work with as many bytes as its target says."""
    assert isinstance(request, Work)
    body = bytes(int(request.target.strip('/')))
    return work_done(Answered(200, (), body), 0)


class _Caller:
    """A daemon that sends requests over the slow link."""

    def __init__(self, listener: StreamListener, slow_link: SlowLink) -> None:
        self.log = ListLog()
        self.links = SimulatedLinks(
            'c',
            HostId('a'),
            Metrics(),
            self.log,
            _LIMIT_BYTES,
            lambda address: 'zone',
        )
        self.links.use(listener, _answer, slow_link)
        self.failures: list[str] = []
        self.small_taken_s: list[float] = []
        self.large_taken_s: list[float] = []

    async def send(self, size_bytes: int, at_s: float = 0) -> None:
        """Send one request after a delay and record its outcome."""
        await anyio.sleep(at_s)
        started_s = clock.now_s()
        name = f'{size_bytes} bytes at {at_s} s'
        work = new_work(name, is_idempotent=True, target=f'/{size_bytes}')
        try:
            await self.links.send_request(_ADDRESS, work, _BUDGET_S)
        except PeerError as error:
            self.failures.append(f'{name}: {error}')
            return
        is_small = size_bytes == _SMALL_BYTES
        taken_s = self.small_taken_s if is_small else self.large_taken_s
        taken_s.append(clock.now_s() - started_s)


@asynccontextmanager
async def _callers(number: int) -> AsyncIterator[list[_Caller]]:
    """Yield daemons that share the slow link of one other daemon."""
    listener = StreamListener('c', _LIMIT_BYTES, Metrics(), ListLog())
    slow_link = SlowLink(_RATE_BYTES_S)
    callers = [_Caller(listener, slow_link) for _ in range(number)]
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.links.run)
            await caller.send(_SMALL_BYTES)
            caller.small_taken_s.clear()
        yield callers
        for caller in callers:
            caller.links.close()
        tasks.cancel_scope.cancel()


def _play_with_one(play: Callable[[_Caller], Awaitable[_Result]]) -> _Result:
    """Return the result of a scenario with one daemon."""

    async def run() -> _Result:
        async with _callers(1) as callers:
            return await play(callers[0])

    return run_in_virtual_time(run)


class BusyLinkTests(unittest.TestCase):
    """Small requests beside large responses on one connection."""

    def test_one_very_large(self) -> None:
        self._check(540_000)

    def test_two_very_large(self) -> None:
        self._check(540_000, 540_000)

    def test_three_large(self) -> None:
        self._check(270_000, 270_000, 270_000)

    def test_eight_of_mean_size(self) -> None:
        self._check(*[90_000] * 8)

    def test_response_that_nobody_waits_for_leaves_the_link(self) -> None:
        """What remains of a response that was given up is not sent."""

        async def play(caller: _Caller) -> float:
            with anyio.move_on_after(0.1):
                await caller.send(4_000_000)
            started_s = clock.now_s()
            await caller.send(90_000)
            self.assertEqual(caller.failures, [])
            return clock.now_s() - started_s

        self.assertLess(_play_with_one(play), 0.4)

    def _check(self, *sizes_bytes: int) -> None:
        async def play(caller: _Caller) -> _Caller:
            async with anyio.create_task_group() as tasks:
                for size_bytes in sizes_bytes:
                    tasks.start_soon(caller.send, size_bytes)
                for at_s in _SMALL_AT_S:
                    tasks.start_soon(caller.send, _SMALL_BYTES, at_s)
            return caller

        caller = _play_with_one(play)
        self.assertEqual(caller.failures, [])
        self.assertNotIn(Event.LINK_RESET, caller.log.events)
        self.assertNotIn(Event.LINK_SILENT, caller.log.events)
        self.assertLess(max(caller.small_taken_s), _SMALL_WITHIN_S)


class SharedLinkTests(unittest.TestCase):
    """Many daemons fetch large responses from one host at once."""

    def test_no_daemon_takes_the_host_for_dead(self) -> None:
        async def load(caller: _Caller) -> None:
            async with anyio.create_task_group() as tasks:
                for size_bytes, at_s in (
                    (90_000, 0),
                    (90_000, 0),
                    (_SMALL_BYTES, 0.3),
                    (_SMALL_BYTES, 0.6),
                ):
                    tasks.start_soon(caller.send, size_bytes, at_s)

        async def play() -> list[_Caller]:
            async with _callers(8) as callers:
                await asyncio.gather(*[load(caller) for caller in callers])
                return callers

        for caller in run_in_virtual_time(play):
            self.assertEqual(caller.failures, [])
            self.assertNotIn(Event.LINK_RESET, caller.log.events)
            self.assertLess(max(caller.small_taken_s), _SMALL_WITHIN_S)
