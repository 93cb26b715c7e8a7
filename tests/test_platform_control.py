"""Tests of heartbeats, deregistration and readiness, without a network."""

import json
import unittest

from ragwortstand.backend_servers import (
    Announcement,
    BackendServer,
    BackendState,
)
from ragwortstand.backend_servers.latency_objective_admission import (
    LatencyObjectiveAdmission,
)
from ragwortstand.events import Event
from ragwortstand.exceptions import PlatformError
from ragwortstand.http_server import CallerRequest
from ragwortstand.platform.control import ControlApi, ReadyApi
from ragwortstand.verdicts import Verdict
from tests.fakes import SIDECAR_SETTINGS, ListLog

_ADDRESS = '10.1.0.41:8628'
_NOW_UNIX_MS = 5000
_HEARTBEAT = {
    'service': 'huvo',
    'address': _ADDRESS,
    'zone': 'dfw-a',
    'version': 'v1',
    'capacity': 12,
    'state': 'ready',
    'coldLeftMs': 500,
    'seq': 4,
    'born': 1000,
}


class _Receiver:
    """Records announcements and forwards them to a backend server."""

    def __init__(self) -> None:
        self.log = ListLog()
        self.server = BackendServer(
            SIDECAR_SETTINGS, self.log, admission=LatencyObjectiveAdmission()
        )
        self.announcements: list[Announcement] = []
        self.results: list[bool] = []
        self.now_s = 0.0
        self.is_starting = False

    async def announce(self, announcement: Announcement) -> None:
        if self.is_starting:
            raise PlatformError('not known yet', Verdict.NOT_RUN)
        self.announcements.append(announcement)
        self.results.append(
            await self.server.announce(announcement, self.now_s)
        )

    async def depart(
        self, instance: str, boot: int, *, is_upper_bound: bool
    ) -> None:
        self.server.depart(instance, boot, is_upper_bound=is_upper_bound)


class _Base(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        """Create the API before any heartbeat."""
        self.receiver = _Receiver()
        self.server_log = self.receiver.log
        self.log = ListLog()
        self.unix_ms = _NOW_UNIX_MS
        self.api = ControlApi(
            self.receiver, _ADDRESS, self.log, lambda: self.unix_ms
        )

    async def _heartbeat(self, instance: str = 'i-1', **changes) -> int:
        return await self._post(
            f'/api/instances/{instance}/heartbeat',
            json.dumps({**_HEARTBEAT, **changes}).encode(),
        )

    async def _deregister(
        self, instance: str = 'i-1', body: bytes = b''
    ) -> int:
        path = f'/api/instances/{instance}/deregister'
        return await self._post(path, body)

    async def _post(self, path: str, body: bytes) -> int:
        request = CallerRequest('POST', path, (), body, 0.0)
        return (await self.api.answer(request)).status

    @property
    def _state(self) -> BackendState:
        return self.receiver.server.state


class HeartbeatTests(_Base):
    """Valid and invalid heartbeats."""

    async def test_becomes_an_announcement(self) -> None:
        self.assertEqual(await self._heartbeat(), 200)
        found = self.receiver.announcements[0]
        self.assertEqual((found.address, found.port), ('10.1.0.41', 8628))
        self.assertEqual(found.slots, 12)
        self.assertEqual((found.boot, found.sequence), (1000, 4))
        self.assertEqual(found.cold_s, 0.5)
        self.assertIs(self._state, BackendState.READY)

    async def test_heartbeat_that_cannot_be_handled_yet(self) -> None:
        self.receiver.is_starting = True
        self.assertEqual(await self._heartbeat(), 503)
        self.assertEqual(self.log.events, [Event.ANNOUNCEMENT_REFUSED])
        self.receiver.is_starting = False
        self.assertEqual(await self._heartbeat(), 200)

    async def test_invalid_heartbeats_are_refused(self) -> None:
        await self._heartbeat()
        for changes in (
            {'state': 'confused'},
            {'capacity': 'many'},
            {'capacity': 0},
            {'service': 5},
            {'service': ''},
            {'seq': None},
            {'born': 'today'},
            {'address': '10.9.9.9:1'},
            {'address': 'here'},
            {'capacity': 10**30},
            {'seq': 10**30},
            {'seq': -1},
            {'born': 10**40},
            {'born': -1},
            {'coldLeftMs': 1e308},
            {'zone': 5},
            {'version': None},
        ):
            self.assertEqual(await self._heartbeat('i-2', **changes), 400)
        self.assertEqual(len(self.receiver.announcements), 1)
        self.assertIs(self._state, BackendState.READY)
        self.assertEqual(self.log.events.count(Event.ANNOUNCEMENT_REFUSED), 17)

    # Nested input was answered with 500 instead of being refused.
    async def test_nested_calls_are_refused(self) -> None:
        nested = b'[' * 50_000 + b']' * 50_000
        whole = json.dumps(_HEARTBEAT).encode()
        for body in (nested, whole[:-1] + b',"more":' + nested + b'}'):
            path = '/api/instances/i-1/heartbeat'
            self.assertEqual(await self._post(path, body), 400)
            self.assertEqual(await self._deregister(body=body), 400)
        self.assertIs(self._state, BackendState.ABSENT)

    # One such heartbeat made all later ones of the server look outdated.
    async def test_start_and_count_that_cannot_be(self) -> None:
        self.unix_ms = 1_700_000_000_000
        started = self.unix_ms - 60_000
        await self._heartbeat(born=started)
        for changes in (
            {'born': self.unix_ms + 86_400_000},
            {'born': 2**62},
            {'born': started, 'seq': 10**9},
        ):
            self.assertEqual(await self._heartbeat(**changes), 400)
        later = b'{"born": 4611686018427387904}'
        self.assertEqual(await self._deregister(body=later), 400)
        await self._heartbeat(born=started, seq=5)
        found = self.receiver.server.announcement
        self.assertEqual(found and found.sequence, 5)

    async def test_clocks_that_differ_by_seconds(self) -> None:
        born = _NOW_UNIX_MS + 10_000
        self.assertEqual(await self._heartbeat(born=born, seq=9000), 200)

    async def test_port_out_of_range_in_the_settings(self) -> None:
        for address in ('10.1.0.41:99999', '10.1.0.41:0', ':8628', 'here'):
            self.api.address = address
            self.assertEqual(await self._heartbeat(address=address), 400)

    async def test_unknown_calls(self) -> None:
        for path in ('/api/instances/', '/api/instances/i-1/dance', '/x'):
            self.assertEqual(await self._post(path, b'{}'), 404)


class OrderTests(_Base):
    """Heartbeats that are delayed or of an earlier boot."""

    async def test_delayed_heartbeat_of_one_boot_changes_nothing(self) -> None:
        await self._heartbeat(seq=9, state='draining')
        await self._heartbeat(seq=8)
        self.assertIs(self._state, BackendState.DRAINING)

    async def test_draining_boot_does_not_come_back(self) -> None:
        await self._heartbeat(seq=9, state='draining')
        await self._heartbeat(seq=10)
        self.assertIs(self._state, BackendState.DRAINING)

    async def test_earlier_boot_changes_nothing(self) -> None:
        await self._heartbeat('i-2', born=2000)
        await self._heartbeat('i-1', born=1000, seq=99, service='kafi')
        self.assertEqual(self.receiver.server.service, 'huvo')

    async def test_new_boot_under_the_old_id(self) -> None:
        await self._heartbeat(seq=9, state='draining')
        await self._heartbeat(born=2000, seq=1)
        self.assertIs(self._state, BackendState.READY)

    async def test_address_taken_by_another_service(self) -> None:
        await self._heartbeat()
        await self._heartbeat('i-2', born=2000, seq=1, service='kafi')
        self.assertEqual(self.receiver.server.service, 'kafi')


class DeregistrationTests(_Base):
    """Deregistration without draining first."""

    async def test_takes_effect_at_once_and_is_final(self) -> None:
        await self._heartbeat()
        self.assertEqual(await self._deregister(), 200)
        self.assertIs(self._state, BackendState.DRAINING)
        await self._heartbeat(seq=50)
        self.assertIs(self._state, BackendState.DRAINING)

    async def test_of_an_earlier_boot_does_not_affect_the_new_one(self) -> None:
        await self._heartbeat(born=2000)
        await self._deregister(body=b'{"born": 1000}')
        self.assertIs(self._state, BackendState.READY)

    async def test_before_any_heartbeat(self) -> None:
        await self._deregister(body=b'{"born": 1000}')
        await self._heartbeat()
        self.assertIs(self._state, BackendState.ABSENT)

    # A restarted daemon used a server again that had left before its first
    # heartbeat to it, once an older heartbeat arrived.
    async def test_before_any_heartbeat_without_a_boot(self) -> None:
        await self._deregister()
        await self._heartbeat()
        self.assertIs(self._state, BackendState.ABSENT)

    # The same, with a heartbeat of an earlier boot under the same id.
    async def test_of_a_boot_that_is_not_known_yet(self) -> None:
        await self._heartbeat(born=1000)
        await self._deregister()
        await self._heartbeat(born=2000, seq=3)
        self.assertIs(self._state, BackendState.DRAINING)

    async def test_new_boot_after_a_departure_without_a_boot(self) -> None:
        await self._deregister()
        await self._heartbeat(born=_NOW_UNIX_MS + 1, seq=1)
        self.assertIs(self._state, BackendState.READY)

    async def test_clock_behind_the_start_of_the_server(self) -> None:
        await self._heartbeat()
        self.unix_ms = 500
        await self._deregister()
        await self._heartbeat(seq=5)
        self.assertIs(self._state, BackendState.DRAINING)

    async def test_unreadable(self) -> None:
        await self._heartbeat()
        self.assertEqual(await self._deregister(body=b'{'), 400)
        self.assertIs(self._state, BackendState.READY)

    async def test_a_restarted_daemon_receives_it_from_its_peers(self) -> None:
        await self._heartbeat(seq=9, state='draining')
        departed = self.receiver.server.last_departed
        assert departed is not None
        again = _Receiver()
        again.server.depart(*departed)
        api = ControlApi(again, _ADDRESS, self.log)
        body = json.dumps({**_HEARTBEAT, 'seq': 8}).encode()
        path = '/api/instances/i-1/heartbeat'
        await api.answer(CallerRequest('POST', path, (), body, 0.0))
        self.assertIs(again.server.state, BackendState.ABSENT)


class LogTests(_Base):
    """Lines by which a departure that had no effect can be told."""

    async def test_departure_of_an_unknown_server(self) -> None:
        await self._deregister()
        self.assertEqual(self.server_log.events, [Event.DEPARTURE])
        line = self.server_log.lines[0]
        self.assertEqual(
            (line['instance'], line['boot']), ('i-1', _NOW_UNIX_MS)
        )
        self.assertEqual(line['present_instance'], '')

    async def test_departure_of_the_present_server(self) -> None:
        await self._heartbeat()
        await self._deregister()
        departure, change = self.server_log.lines[-2:]
        self.assertEqual(departure['present_sequence'], 4)
        self.assertEqual(departure['present_state'], 'ready')
        self.assertEqual((change['state'], change['boot']), ('draining', 1000))


class ReadyTests(unittest.IsolatedAsyncioTestCase):
    """Readiness and metrics."""

    async def test_follows_the_sidecar(self) -> None:
        states = iter((True, False))
        api = ReadyApi(lambda: next(states), lambda: b'metrics')
        request = CallerRequest('GET', '/api/ready', (), b'', 0.0)
        self.assertEqual((await api.answer(request)).status, 200)
        self.assertEqual((await api.answer(request)).status, 503)

    async def test_metrics(self) -> None:
        api = ReadyApi(lambda: True, lambda: b'metrics')
        request = CallerRequest('GET', '/metrics', (), b'', 0.0)
        self.assertEqual((await api.answer(request)).body, b'metrics')
