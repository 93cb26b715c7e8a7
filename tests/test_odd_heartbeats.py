"""Heartbeats of other writers before and after a server leaves."""

import json
import random
import unittest

from ragwortstand.backend_servers import BackendState
from ragwortstand.backend_servers.announcements import identity_of
from tests.platform_fleet import Fleet, Host, running_fleet
from tests.test_announcements_of_others import _SNAPSHOT
from tests.test_platform_configuration import row_of
from tests.test_platform_control import _HEARTBEAT, _Base

_OWN = {**_HEARTBEAT, 'service': 's'}
_MISSING = ('service', 'address', 'zone', 'version', 'capacity', 'state')
_TYPES: tuple[object, ...] = (None, True, [], {}, 'x')
_LEAVINGS = ('draining', 'deregister', 'deregister without a boot')
_SEEDS = 60


def _without(name: str) -> dict[str, object]:
    return {key: value for key, value in _OWN.items() if key != name}


def _invalid_kinds() -> list[dict[str, object]]:
    """Return heartbeats that name no server, with a high sequence number."""
    kinds = [_without(name) for name in (*_MISSING, 'coldLeftMs')]
    kinds.extend(
        {**_OWN, name: value}
        for name in _OWN
        for value in _TYPES
        if not (name in {'service', 'zone', 'version'} and value == 'x')
    )
    kinds.append({**_OWN, 'state': 'asleep'})
    kinds.append({**_OWN, 'address': '10.9.9.9:1'})
    for kind in kinds:
        if kind.get('seq') == _OWN['seq']:
            kind['seq'] = 5000
    return [*kinds, _without('seq')]


def _ignored_kinds() -> list[dict[str, object]]:
    """Return heartbeats that can be read and are not the server's."""
    high = {**_OWN, 'seq': 5000}
    return [
        high,
        {**high, 'service': 'unknown'},
        {**high, 'service': 't'},
        {**high, 'born': 10},
        {**high, 'capacity': 1},
        {key: value for key, value in high.items() if key != 'born'},
    ]


class _LeavingTestCase(_Base):
    """A server that announces itself and leaves."""

    def setUp(self) -> None:
        """Apply a configuration with the services `s` and `t`."""
        super().setUp()
        self.receiver.server.configure(_SNAPSHOT)
        self.sequence: int = 3

    async def _send(
        self, kind: dict[str, object], instance: str = 'i-1'
    ) -> int:
        path = f'/api/instances/{instance}/heartbeat'
        return await self._post(path, json.dumps(kind).encode())

    async def _send_own(self, **changes: object) -> int:
        self.sequence += 1
        self.receiver.now_s += 0.1
        return await self._send({**_OWN, 'seq': self.sequence, **changes})

    async def _leave(self, way: str) -> int:
        if way == 'draining':
            return await self._send_own(state='draining')
        has_boot = way == 'deregister'
        return await self._deregister(
            body=b'{"born": 1000}' if has_boot else b''
        )

    def _is_used(self) -> bool:
        """Return whether requests would reach the server."""
        server = self.receiver.server
        announcement = server.announcement
        return (
            server.state is BackendState.READY
            and announcement is not None
            and identity_of(announcement) == ('i-1', 1000)
        )


class OddHeartbeatTests(_LeavingTestCase):
    """One odd heartbeat, before or after a leaving."""

    async def test_invalid_ones_are_refused(self) -> None:
        await self._send_own()
        for kind in _invalid_kinds():
            for state in ('ready', 'draining'):
                odd = {**kind, 'state': state} if 'state' in kind else kind
                if kind.get('state') != _OWN['state']:
                    odd = kind
                with self.subTest(kind=odd):
                    self.assertEqual(await self._send(odd), 400)
        self.assertTrue(self._is_used())

    # Guards against DRAIN: a heartbeat of another writer made the server's own
    # look outdated, and a leaving that was confirmed was forgotten.
    async def test_leaving_after_any_odd_one_is_final(self) -> None:
        for way in _LEAVINGS:
            for kind in (*_invalid_kinds(), *_ignored_kinds()):
                self.setUp()
                await self._send_own()
                await self._send(kind)
                with self.subTest(way=way, kind=kind):
                    self.assertEqual(await self._leave(way), 200)
                    self.assertFalse(self._is_used())
                    await self._send(kind)
                    await self._send_own()
                    self.assertFalse(self._is_used())

    # A leaving that is not believed must not be confirmed.
    async def test_draining_that_is_ignored_is_refused(self) -> None:
        await self._send_own()
        for changes in ({'service': 'unknown'}, {'service': 't'}, {'born': 0}):
            odd = {**_OWN, 'seq': 5000, 'state': 'draining', **changes}
            with self.subTest(changes=changes):
                self.assertFalse(await self._is_confirmed(odd))
                self.assertTrue(self._is_used())

    async def _is_confirmed(self, kind: dict[str, object]) -> bool:
        count = len(self.receiver.results)
        await self._send(kind)
        return self.receiver.results[count:] == [True]

    async def test_server_that_another_one_hides_leaves_for_good(self) -> None:
        await self._send_own()
        await self._send({**_OWN, 'born': 2000, 'seq': 1}, 'i-9')
        self.assertEqual(await self._send_own(state='draining'), 200)
        self.receiver.now_s += 60
        await self._send_own()
        self.assertFalse(self._is_used())

    # After a high count the server's own heartbeats were ignored for good.
    async def test_server_is_used_again_after_a_high_count(self) -> None:
        await self._send_own()
        await self._send({**_OWN, 'seq': 5000, 'capacity': 1})
        for _ in range(3):
            await self._send_own()
        found = self.receiver.server.announcement
        self.assertEqual(found and found.slots, _OWN['capacity'])
        self.assertTrue(self._is_used())

    async def test_server_without_a_start_leaves_for_good(self) -> None:
        own = _without('born')
        await self._send(own)
        await self._send({**own, 'seq': 5, 'state': 'draining'})
        await self._send({**own, 'seq': 6})
        self.assertIs(self._state, BackendState.DRAINING)


class RandomOrderTests(_LeavingTestCase):
    """Odd and delayed heartbeats in any order and number."""

    async def _play(self, rng: random.Random) -> None:
        odd = (*_invalid_kinds(), *_ignored_kinds())
        leaves_after = rng.randrange(1, 40)
        sent: list[dict[str, object]] = []
        has_left = False
        for step in range(80):
            self.receiver.now_s += rng.uniform(0, 0.4)
            self.receiver.server.expire(self.receiver.now_s)
            if step == leaves_after:
                way = rng.choice(_LEAVINGS)
                self.assertEqual(await self._leave(way), 200)
                has_left = True
                continue
            kind = rng.choice(('odd', 'odd', 'late', 'own', 'own', 'own'))
            if kind == 'odd':
                await self._send(rng.choice(odd))
            elif kind == 'late' and sent:
                await self._send(rng.choice(sent))
            else:
                sent.append({**_OWN, 'seq': self.sequence + 1})
                await self._send_own()
            self.assertFalse(has_left and self._is_used())

    async def test_leaving_is_final_in_any_order(self) -> None:
        for seed in range(_SEEDS):
            self.setUp()
            with self.subTest(seed=seed):
                await self._play(random.Random(seed))


class ProcessTests(unittest.IsolatedAsyncioTestCase):
    """The same with real daemons, for each way to leave."""

    async def _say_odd(self, fleet: Fleet, host: Host) -> None:
        """Send a heartbeat without `coldLeftMs`, and one that is complete."""
        odd = {'state': 'ready', 'seq': 5000}
        await fleet.heartbeat(host, leave_out='coldLeftMs', **odd)
        await fleet.heartbeat(host, **odd)

    async def _leave(self, fleet: Fleet, host: Host, way: str) -> None:
        if way == 'draining':
            host.backend_server.state = 'draining'
            answered = await fleet.heartbeat(host)
        else:
            host.backend_server.state = 'gone'
            answered = await fleet.deregister(host, b'{"born": 1000}')
        self.assertEqual(answered and answered.status, 200)

    # Guards against requests that reach a server after its leaving was
    # confirmed, as another writer's heartbeat had a higher sequence number.
    async def test_server_gets_nothing_once_it_is_confirmed(self) -> None:
        for way in ('draining', 'deregister'):
            async with running_fleet(['huvo', 'huvo'], row_of(7)) as fleet:
                leaving, other = fleet.hosts
                await self._until_served(fleet, leaving)
                await self._say_odd(fleet, leaving)
                await self._leave(fleet, leaving, way)
                before = len(leaving.backend_server.seen)
                await self._say_odd(fleet, leaving)
                for number in range(120):
                    host = fleet.hosts[number % 2]
                    await fleet.ask(host, '/lepu/2f', f'd{number}')
                with self.subTest(way=way):
                    self.assertEqual(len(leaving.backend_server.seen), before)
                    self.assertGreater(len(other.backend_server.seen), 60)

    async def test_leaving_that_is_ignored_is_not_confirmed(self) -> None:
        async with running_fleet(['huvo', 'kafi'], row_of(7)) as fleet:
            host = fleet.hosts[0]
            await self._until_served(fleet, host)
            for changes in ({'service': 'kafi'}, {'born': 0}):
                answered = await fleet.heartbeat(
                    host, state='draining', **changes
                )
                with self.subTest(changes=changes):
                    self.assertEqual(answered and answered.status, 400)
            before = len(host.backend_server.seen)
            await fleet.ask(host, '/lepu/2f', 'next')
            self.assertEqual(len(host.backend_server.seen), before + 1)

    async def _until_served(self, fleet: Fleet, host: Host) -> None:
        while not host.backend_server.seen:
            await fleet.ask(host, '/lepu/2f', 'first')
