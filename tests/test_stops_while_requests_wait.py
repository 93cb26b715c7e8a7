"""Planned stops of sidecar processes while requests wait for a slot."""

import json
import random
import unittest
from collections import Counter
from collections.abc import Iterable
from functools import partial

import anyio

from ragwortstand.backend_servers.connections import WireRequest
from tests.platform_fleet import (
    REQUEST_ID,
    Fleet,
    Host,
    SimulatedBackendServer,
    running_fleet,
)
from tests.test_platform_configuration import row_of

_GRACE_S = 3.0
_WORK_S = 0.3
_SLOTS = 2
# The two servers run 13 requests a second.
_INTERVAL_S = 0.03
_LOAD_BEFORE_S = 2.5
_SERVICES = ['huvo', 'huvo', 'kafi', 'kafi']
_BUDGET_MS = b'10000'
_SEEDS = (1, 2, 3)
_KINDS = {'/once/': 'non_idempotent', '/often/': 'idempotent'}


def _row() -> bytes:
    """Return a configuration whose requests may wait for seconds."""
    row = json.loads(row_of(7))
    row['routes']['rows'] = [
        [prefix, 'jepu.example', prefix, kind, 8000, 5000, 0, None, 2, service]
        for prefix, kind, service in (
            *((prefix, kind, 'huvo') for prefix, kind in _KINDS.items()),
            ('/other/', 'idempotent', 'kafi'),
        )
    ]
    return json.dumps(row).encode()


class _Load:
    """Callers on several hosts that send more than the servers can run."""

    def __init__(
        self,
        fleet: Fleet,
        callers: list[Host],
        interval_s: float = _INTERVAL_S,
    ) -> None:
        self.fleet = fleet
        self.callers = callers
        self.interval_s = interval_s
        self.statuses: Counter[int | None] = Counter()
        self.is_over = False

    async def send(self, caller: Host, path: str, name: str) -> int | None:
        headers = (
            (REQUEST_ID, name.encode()),
            (b'x-ragwortstand-deadline-ms', _BUDGET_MS),
        )
        request = WireRequest('GET', path, headers, b'', b'jepu.example')
        found = await self.fleet.call(caller, 'outbound', request, 12.0)
        return found.status if found else None

    async def run(self) -> None:
        """Send requests of both kinds on each host in turn."""
        number = 0
        async with anyio.create_task_group() as requests:
            while not self.is_over:
                number += 1
                caller = self.callers[number % len(self.callers)]
                path = list(_KINDS)[number // len(self.callers) % 2]
                requests.start_soon(self._count, caller, path, f'r{number}')
                await anyio.sleep(self.interval_s)

    async def _count(self, caller: Host, path: str, name: str) -> None:
        self.statuses[await self.send(caller, path, name)] += 1


async def _until_exit(host: Host, grace_s: float = _GRACE_S) -> None:
    with anyio.fail_after(grace_s + 2):
        while host.process.poll() is None:  # noqa: ASYNC110
            await anyio.sleep(0.02)


async def _until_ok(load: _Load, caller: Host, path: str) -> None:
    while await load.send(caller, path, 'first') != 200:  # noqa: ASYNC110
        await anyio.sleep(0.05)


async def _stop(host: Host, at_s: float, grace_s: float = _GRACE_S) -> None:
    await anyio.sleep(at_s)
    host.stop()
    await _until_exit(host, grace_s)
    assert host.process.returncode == 0


async def _stop_all(
    fleet: Fleet, stops: Iterable[tuple[float, int]], grace_s: float = _GRACE_S
) -> None:
    async with anyio.create_task_group() as stopping:
        for at_s, number in stops:
            stopping.start_soon(_stop, fleet.hosts[number], at_s, grace_s)


class WaitingRequestTests(unittest.IsolatedAsyncioTestCase):
    """Stops at any host on the way of a request."""

    async def _play(
        self, callers: list[int], *stops: tuple[float, int]
    ) -> None:
        """Stop daemons under load; each request must get a true response.

        :param callers: hosts that requests come in at.
        :param stops: time after the first stop, and host, of each.
        """
        new_server = partial(
            SimulatedBackendServer, slots=_SLOTS, delay_s=_WORK_S
        )
        async with running_fleet(
            _SERVICES, _row(), _GRACE_S, new_server
        ) as fleet:
            load = _Load(fleet, [fleet.hosts[number] for number in callers])
            await self._until_serving(load)
            before = fleet.lost
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load.run)
                await anyio.sleep(_LOAD_BEFORE_S)
                await _stop_all(fleet, stops)
                load.is_over = True
            self.assertEqual(fleet.lost - before, 0, load.statuses)
            found = set(load.statuses) - {200, 503, None}
            self.assertEqual(found, set(), load.statuses)
            self.assertGreater(load.statuses[200], 20)
            self.assertGreater(load.statuses[503], 0)

    async def _until_serving(self, load: _Load) -> None:
        paths = [
            (caller, path)
            for caller in load.callers
            for path in (*_KINDS, '/other/')
        ]
        with anyio.fail_after(10):
            for caller, path in paths:
                await _until_ok(load, caller, path)

    # Guards against requests that waited at another daemon for a slot and were
    # closed without a response when the daemon of their caller exited.
    async def test_daemon_of_the_callers(self) -> None:
        await self._play([2, 3], (0.0, 2))

    # The same where the requests wait beside the daemon that stops.
    async def test_daemon_of_the_callers_and_of_a_server(self) -> None:
        await self._play([0, 2], (0.0, 0))

    # Guards against 502 for requests that waited at a daemon that exited.
    async def test_daemon_beside_a_server(self) -> None:
        await self._play([2, 3], (0.0, 0))

    async def test_several_one_after_the_other(self) -> None:
        await self._play([2, 3], (0.0, 0), (0.4, 2), (1.3, 3))

    # Guards against responses that were ready and were never sent, as a
    # request before them on the connection waited until the exit.
    async def test_responses_behind_a_request_that_waits(self) -> None:
        new_server = partial(
            SimulatedBackendServer, slots=_SLOTS, delay_s=_WORK_S
        )
        async with running_fleet(
            _SERVICES, _row(), _GRACE_S, new_server
        ) as fleet:
            caller = fleet.hosts[3]
            load = _Load(fleet, [fleet.hosts[2]])
            await self._until_serving(load)
            await self._until_serving(_Load(fleet, [caller]))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load.run)
                await anyio.sleep(_LOAD_BEFORE_S)
                tasks.start_soon(_stop, caller, 0.1)
                received = await self._send_pipelined(
                    caller, '/often/a', '/other/b', '/once/c', '/other/d'
                )
                load.is_over = True
            statuses = [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]
            self.assertEqual(len(statuses), 4, received)
            self.assertLessEqual(set(statuses), {b'200', b'503'})
            self.assertEqual((statuses[1], statuses[3]), (b'200', b'200'))

    async def _send_pipelined(self, caller: Host, *paths: str) -> bytes:
        """Return all responses on a connection that the daemon closes."""
        stream = await anyio.connect_tcp(
            caller.address, caller.ports['outbound']
        )
        received = b''
        async with stream:
            for path in paths:
                text = (
                    f'GET {path} HTTP/1.1\r\nhost: jepu.example\r\n'
                    f'x-ragwortstand-request-id: p{path[-1]}\r\n'
                    f'x-ragwortstand-deadline-ms: 10000\r\n\r\n'
                )
                await stream.send(text.encode())
            try:
                while True:
                    received += await stream.receive()
            except anyio.EndOfStream:
                return received


class RandomStopTests(unittest.IsolatedAsyncioTestCase):
    """Drawn grace periods, loads, hosts, and stops that overlap."""

    async def play(self, seed: int) -> None:
        """Stop up to three of four daemons under load; lose no request."""
        rng = random.Random(seed)
        grace_s = rng.choice((2.0, 3.0, 4.5, 6.0))
        work_s = grace_s * rng.uniform(0.02, 0.25)
        slots = rng.randrange(1, 5)
        interval_s = work_s / (2 * slots) / rng.uniform(0.8, 3.0)
        callers = rng.sample(range(4), rng.randrange(1, 5))
        stops = [
            (rng.uniform(0, grace_s), number)
            for number in rng.sample(range(4), rng.randrange(1, 4))
        ]
        new_server = partial(
            SimulatedBackendServer, slots=slots, delay_s=work_s
        )
        async with running_fleet(
            _SERVICES, _row(), grace_s, new_server
        ) as fleet:
            hosts = [fleet.hosts[number] for number in callers]
            load = _Load(fleet, hosts, max(interval_s, 0.01))
            for host in hosts:
                await _until_ok(load, host, '/once/')
            before = fleet.lost
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load.run)
                await anyio.sleep(_LOAD_BEFORE_S)
                await _stop_all(fleet, stops, grace_s)
                load.is_over = True
            story = (seed, grace_s, work_s, slots, callers, stops)
            self.assertEqual(fleet.lost - before, 0, (story, load.statuses))
            found = set(load.statuses) - {200, 503, None}
            self.assertEqual(found, set(), (story, load.statuses))

    async def test_no_request_is_lost(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                await self.play(seed)
