"""Settings files that change while sidecar processes run."""

import json
import signal
import unittest

import anyio

from ragwortstand.exceptions import SettingsError
from ragwortstand.http_server import CallerRequest, HttpServer
from ragwortstand.metrics import Metrics
from ragwortstand.models import CallerLimits
from ragwortstand.platform.settings import load_node_settings
from ragwortstand.platform.store import StoreClient, StoreVersions
from ragwortstand.verdicts import Answered
from tests.fakes import ListLog
from tests.platform_fleet import Fleet, Host, running_fleet
from tests.servers import running_http
from tests.store_standin import StoreStandin
from tests.test_platform_configuration import row_of
from tests.test_platform_path import wait_until_serving

_SERVICES = ['huvo', 'huvo', 'kafi']
# The time in which a changed file is read, and one for calls under way.
_RELOAD_S = 2.5
# Polls that the store has begun to answer at the earlier address have ended.
_POLL_S = 1.5
_APPLY_LIMIT_S = 2.0


async def _refuse(request: CallerRequest) -> Answered:
    return Answered(503, (), b'')


def _change(host: Host, **changes: object) -> None:
    document = json.loads(host.settings.read_text())
    host.settings.write_text(json.dumps({**document, **changes}))


class StoreAddressTests(unittest.IsolatedAsyncioTestCase):
    """The store moves to another address, and keeps its rows."""

    async def _move_store(self, fleet: Fleet, signalled: list[Host]) -> None:
        earlier = fleet.store_server
        assert earlier is not None
        _, address = await fleet.add_store_address()
        for host in fleet.hosts:
            _change(host, provider={'address': address})
        for host in signalled:
            host.process.send_signal(signal.SIGHUP)
        await anyio.sleep(_RELOAD_S)
        earlier.handle_request = _refuse
        await anyio.sleep(_POLL_S)

    async def _check_new_version(self, fleet: Fleet) -> None:
        moved = row_of(9).replace(b'/lepu/"', b'/moved/"')
        fleet.store.put('op', 'config', moved)
        with anyio.fail_after(_APPLY_LIMIT_S):
            for host in fleet.hosts:
                await self._until_served(fleet, host)

    async def _until_served(self, fleet: Fleet, host: Host) -> None:
        while True:
            found = await fleet.ask(host, '/moved/x', 'm')
            if found is not None and found.status == 200:
                return
            await anyio.sleep(0.02)

    # Guards against CONFIG: daemons went on to read the store at the address
    # that they were started with, and read no version any more.
    async def test_versions_are_read_at_the_new_address(self) -> None:
        async with running_fleet(_SERVICES, row_of(7)) as fleet:
            await wait_until_serving(fleet, fleet.hosts[0])
            await self._move_store(fleet, fleet.hosts[:2])
            await self._check_new_version(fleet)

    async def test_without_a_signal(self) -> None:
        async with running_fleet(_SERVICES, row_of(7)) as fleet:
            await wait_until_serving(fleet, fleet.hosts[0])
            await self._move_store(fleet, [])
            await self._check_new_version(fleet)

    async def test_address_that_is_none_changes_nothing(self) -> None:
        async with running_fleet(_SERVICES, row_of(7)) as fleet:
            await wait_until_serving(fleet, fleet.hosts[0])
            for host in fleet.hosts:
                _change(host, provider={'address': 'nowhere'})
                with self.assertRaises(SettingsError):
                    load_node_settings(str(host.settings)).sidecar()
                host.process.send_signal(signal.SIGHUP)
            await anyio.sleep(0.5)
            await self._check_new_version(fleet)

    # The heartbeats are further apart than the time after which the server
    # counted as gone before the change.
    async def test_interval_of_heartbeats(self) -> None:
        async with running_fleet(['huvo', 'huvo'], row_of(7)) as fleet:
            await wait_until_served(fleet)
            for host in fleet.hosts:
                _change(host, heartbeatMs=50)
            await anyio.sleep(_RELOAD_S)
            states = {
                line['state']
                for host in fleet.hosts
                for line in _lines(host)
                if line['message_type'] == 'ragwort:backend-server'
            }
            self.assertIn('down', states)


class MovedClientTests(unittest.IsolatedAsyncioTestCase):
    """A client whose store gets another address between its calls."""

    async def test_position_of_the_feed_is_not_kept(self) -> None:
        first, second = StoreStandin(), StoreStandin()
        for number in range(30):
            first.put('other', str(number), b'')
        first.put('op', 'config', row_of(7))
        second.put('op', 'config', row_of(9))
        servers = [
            HttpServer(store.answer, CallerLimits, ListLog())
            for store in (first, second)
        ]
        async with (
            running_http(servers[0]) as first_port,
            running_http(servers[1]) as second_port,
        ):
            client = StoreClient(
                f'127.0.0.1:{first_port}', Metrics(), ListLog()
            )
            versions = StoreVersions(client, lambda reach: None, ListLog())
            await versions.wait(is_reader=True)
            record = await versions.head()
            self.assertEqual(record and record.version, 7)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(versions.wait, True)
                await anyio.sleep(0.2)
                self.assertFalse(client.move(f'127.0.0.1:{first_port}'))
                self.assertTrue(client.move(f'127.0.0.1:{second_port}'))
                versions.restart()
            record = await versions.head()
            self.assertEqual(record and record.version, 9)
            client.close()


def _lines(host: Host) -> list[dict[str, str]]:
    text = host.settings.with_suffix('.log').read_text()
    return [json.loads(line) for line in text.splitlines() if line]


async def wait_until_served(fleet: Fleet) -> None:
    """Wait until both servers have run a request."""
    with anyio.fail_after(10):
        for host in fleet.hosts:
            while not host.backend_server.seen:
                await fleet.ask(host, '/lepu/2f', 'first')
