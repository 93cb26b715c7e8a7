"""A backend server names the requests per second that it takes from all."""

import unittest

import anyio

from ragwortstand import clock
from tests.platform_fleet import (
    Fleet,
    SimulatedBackendServer,
    running_fleet,
)
from tests.rate_limits import allowed_in_window, most_in_window
from tests.test_platform_configuration import row_of
from tests.test_platform_path import wait_until_serving

_LIMIT_PER_S = 20.0
_PATH = '/lepu/2f'
_SERVICES = ['huvo', 'huvo', 'kafi']
_RATE_PER_S = 100
_LOAD_S = 6.0
# Time in which peers hear of a limit.
_PUBLISHING_S = 3.0
# Requests of hosts that have heard of the limit for this time are counted.
_NOTICE_S = 0.5
_KNOWN_WITHIN_S = 10.0


async def _send_load(fleet: Fleet) -> list[int]:
    """Send requests to all hosts in turn; return the statuses."""
    statuses: list[int] = []

    async def ask(number: int) -> None:
        host = fleet.hosts[number % len(fleet.hosts)]
        answered = await fleet.ask(host, _PATH, f'l{number}')
        statuses.append(answered.status if answered else 0)

    async with anyio.create_task_group() as tasks:
        for number in range(int(_RATE_PER_S * _LOAD_S)):
            tasks.start_soon(ask, number)
            await anyio.sleep(1 / _RATE_PER_S)
    return statuses


async def _wait_until_known(fleet: Fleet, instance: str) -> None:
    """Send requests to each host until one reaches a backend server."""
    with anyio.fail_after(_KNOWN_WITHIN_S):
        for host in fleet.hosts:
            body = b''
            while body != instance.encode():
                answered = await fleet.ask(host, _PATH, f'k{clock.now_s()}')
                body = answered.body if answered else b''


class FleetTests(unittest.IsolatedAsyncioTestCase):
    """Requests of all hosts to a server with a limit."""

    async def test_requests_of_all_hosts_together_keep_to_the_limit(
        self,
    ) -> None:
        """Guards against sending a server all that it could run."""
        async with running_fleet(_SERVICES, row_of(7)) as fleet:
            await wait_until_serving(fleet, fleet.hosts[0])
            limited = fleet.hosts[0].backend_server
            limited.signals = ((b'server-limit', b'%g' % _LIMIT_PER_S),)
            named_at_s = clock.now_s()
            # A host that knows no other server of the service has to refuse.
            await _wait_until_known(fleet, 'i-2')
            statuses = await _send_load(fleet)
        self._assert_limit_is_kept(limited, _LIMIT_PER_S, named_at_s)
        self.assertEqual(set(statuses), {200})

    async def test_daemon_that_restarts_knows_the_limit(self) -> None:
        """Guards against a burst from other hosts after each restart.

        The server responds late, so that its responses do not tell in time.
        """
        limit_per_s = 0.5
        async with running_fleet(_SERVICES, row_of(7)) as fleet:
            limited = fleet.hosts[0].backend_server
            limited.slots = 13
            limited.signals = ((b'server-limit', b'%g' % limit_per_s),)
            await fleet.heartbeat(fleet.hosts[0])
            await wait_until_serving(fleet, fleet.hosts[1])
            while not limited.seen:
                await fleet.ask(fleet.hosts[0], _PATH, 'first')
            limited.delay_s = 1.5
            await anyio.sleep(_PUBLISHING_S)
            restarted_at_s = clock.now_s()
            fleet.hosts[0].restart()
            await _send_load(fleet)
        self._assert_limit_is_kept(limited, limit_per_s, restarted_at_s)

    def _assert_limit_is_kept(
        self,
        server: SimulatedBackendServer,
        limit_per_s: float,
        named_at_s: float,
    ) -> None:
        arrivals_s = [
            request.arrived_at_s
            for request in server.seen
            if request.arrived_at_s > named_at_s + _NOTICE_S
        ]
        allowed = allowed_in_window(limit_per_s)
        self.assertLessEqual(most_in_window(arrivals_s), allowed)
