"""A backend server that has left is not used again."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from msgspec.structs import replace

from ragwortstand.backend_servers import Announcement, BackendState
from ragwortstand.backend_servers.connections import Endpoint
from ragwortstand.backend_servers.crash_record import CrashReport
from ragwortstand.ids import ServiceName
from ragwortstand.peers.members import Members
from ragwortstand.published_server import PublishedServer
from tests.fakes import SIDECAR_SETTINGS, member, sidecar_server
from tests.forwarded import new_call
from tests.test_in_band_signals import announcement


def _announcement(**changes) -> Announcement:
    return announcement(Endpoint('10.1.0.41', 8628), **changes)


class ConcurrentCallsTests(unittest.IsolatedAsyncioTestCase):
    """Announcements and departures that are handled at the same time."""

    def setUp(self) -> None:
        """Create a server whose crashes are reported to peers slowly."""
        self.server = sidecar_server()
        self.reported = anyio.Event()
        self.server.crash_detector.on_crash = self._report

    async def _report(self, report: CrashReport) -> None:
        await self.reported.wait()

    async def _lose_a_connection(self) -> None:
        detector = self.server.crash_detector
        call = new_call('r', 5.0)
        with detector.in_flight.track(call, is_suspect=False):
            await detector.cause_of_lost_connection(
                call, detector.in_flight, _accept
            )

    async def _during_announcement_of_restart(
        self, action: Callable[[], Awaitable[None]]
    ) -> None:
        await self.server.announce(_announcement(), 0)
        await self._lose_a_connection()
        async with anyio.create_task_group() as tasks:
            restarted = _announcement(boot=2000)
            tasks.start_soon(self.server.announce, restarted, 1)
            await anyio.wait_all_tasks_blocked()
            await action()
            self.reported.set()

    # A departure that came while peers were told of a crash was overwritten by
    # the announcement before it.
    async def test_departure_while_a_crash_is_reported(self) -> None:
        async def depart() -> None:
            self.server.depart('i-1', 2000)

        await self._during_announcement_of_restart(depart)
        self.assertIs(self.server.state, BackendState.DRAINING)

    async def test_later_announcement_while_a_crash_is_reported(self) -> None:
        async def announce() -> None:
            later = _announcement(boot=2000, sequence=2, is_draining=True)
            await self.server.announce(later, 1)

        await self._during_announcement_of_restart(announce)
        self.assertIs(self.server.state, BackendState.DRAINING)


class PublishedDepartureTests(unittest.IsolatedAsyncioTestCase):
    """What peers keep for a daemon that restarts."""

    def setUp(self) -> None:
        """Create a daemon that has just been restarted."""
        self.server = sidecar_server()
        own = replace(member('h', service=None), boot=2)
        self.members = Members(own, SIDECAR_SETTINGS.membership, 0)
        self.published = PublishedServer(self.server, self.members)
        self.server.on_change = self._publish

    def _publish(self) -> None:
        self.published.publish(accepts_work=True)

    def _restore(self, departed: tuple[str, int], boot: int = 1) -> None:
        entry = replace(member('h'), boot=boot, departed=departed)
        self.published.restore(entry, 0)

    async def _announce(self, **changes) -> BackendState:
        await self.server.announce(_announcement(**changes), 0)
        return self.server.state

    # Peers were not told of a departure that changed no state, so that it was
    # unknown again after the next restart of the daemon.
    async def test_of_a_server_that_is_not_known(self) -> None:
        self.server.depart('i-1', 5000)
        self.assertEqual(self.members.own.departed, ('i-1', 5000))

    # A departure that peers returned after a restart was ignored if the daemon
    # had heard of another one in the meantime.
    async def test_restored_after_another_departure(self) -> None:
        self.server.depart('i-2', 5000)
        self._restore(('i-1', 1000))
        self.assertIs(await self._announce(), BackendState.ABSENT)
        self.assertEqual(self.members.own.departed, ('i-2', 5000))

    async def test_restored_after_the_announcement(self) -> None:
        self.assertIs(await self._announce(), BackendState.READY)
        self._restore(('i-1', 1000))
        self.assertIs(self.server.state, BackendState.DRAINING)
        self.assertFalse(self.members.own.is_ready)

    # Peers went on to send work for the service of the server before.
    async def test_server_of_another_service_at_once(self) -> None:
        await self._announce()
        later = ServiceName('t')
        await self._announce(instance='i-2', boot=2000, service=later, slots=2)
        self.assertEqual(self.members.own.service, later)
        self.assertEqual(self.members.own.slots, 2)

    async def test_restored_departure_of_an_earlier_boot(self) -> None:
        self._restore(('i-1', 900))
        self.assertIs(await self._announce(), BackendState.READY)

    async def test_entries_of_the_present_process_are_ignored(self) -> None:
        self._restore(('i-1', 1000), boot=2)
        self.assertIs(await self._announce(), BackendState.READY)


async def _accept() -> bool:
    return True
