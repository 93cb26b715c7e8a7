"""ragwortstand.peers.crash_notifications: reports crash suspects to peers."""

from collections.abc import Callable

import anyio

from ragwortstand import clock
from ragwortstand.backend_servers.crash_record import CrashRecord, CrashReport
from ragwortstand.ids import Fingerprint, HostId, ServiceName
from ragwortstand.peers.forwarding import Forwarder
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    CrashCounts,
    CrashSuspects,
    Member,
    MemberState,
    SuspectCleared,
)
from ragwortstand.rendezvous import ranked
from ragwortstand.storage.shared_row import SharedRow

# Time to wait for the reply to a message: several round trips between regions.
_NOTIFY_TIMEOUT_S = 0.5
_TELL_INTERVAL_S = 0.5
# Members that tell others of earlier crashes, so that a daemon that starts
# gets them from several.
_TELLER_COUNT = 3


class CrashNotifier:
    """Notifies the daemons whose backend servers offer the same service.

    Daemons that have started, or could not be reached, after a crash are told
    of all crashes later.

    :param members: the member list.
    :param forwarder: sends the messages.
    :param record: the crashes that this daemon knows.
    :param row: keeps the quarantined requests in the store.
    :param service: returns the service of this host's backend server.
    """

    def __init__(
        self,
        members: Members,
        forwarder: Forwarder,
        record: CrashRecord,
        row: SharedRow,
        service: Callable[[], ServiceName | None],
    ) -> None:
        """Create a notifier that has told nobody yet."""
        self._members = members
        self._forwarder = forwarder
        self._record = record
        self._row = row
        self._service = service
        # Boots of the daemons that know all crashes that this one knows.
        self._told: dict[HostId, int] = {}
        self._missed: set[HostId] = set()

    async def run(self) -> None:
        """Tell daemons of crashes that they have missed, until cancelled."""
        while True:
            await anyio.sleep(_TELL_INTERVAL_S)
            await self.tell()

    async def tell(self) -> None:
        """Tell daemons of all crashes that they may not know."""
        counts = self._record.counts(clock.now_s())
        if not counts:
            self._missed.clear()
            return
        peers = self._peers()
        for member in peers:
            if member.state is not MemberState.ALIVE:
                self._told.pop(member.host, None)
        is_teller = self._is_teller(peers)
        message = CrashCounts(counts)
        async with anyio.create_task_group() as notifications:
            for member in peers:
                if self._lacks_crashes(member, is_teller=is_teller):
                    notifications.start_soon(self._tell_member, member, message)

    def on_counts(self, message: CrashCounts) -> None:
        """Record what another daemon knows of crashes."""
        if self._record.merge(message.counts, clock.now_s()):
            self._told.clear()

    async def on_crash(self, report: CrashReport) -> None:
        """Notify the daemons that may run the suspects next.

        What is quarantined has been written when this returns, or the time for
        it is up.
        """
        message = CrashSuspects(report.counted, report.others)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._notify_peers, message)
            with anyio.move_on_after(_NOTIFY_TIMEOUT_S):
                await self._row.flush()

    async def on_clear(self, fingerprint: Fingerprint) -> None:
        """Notify them that a suspect has run without a crash."""
        await self._notify_peers(SuspectCleared(fingerprint))

    def _peers(self) -> list[Member]:
        service = self._service()
        return [
            member
            for member in self._members.peers()
            if member.service == service
        ]

    def _is_teller(self, peers: list[Member]) -> bool:
        own = self._members.own
        alive = [
            member.host
            for member in (own, *peers)
            if member.state is MemberState.ALIVE
        ]
        order = ranked('crash-teller', alive)
        return own.host in order[:_TELLER_COUNT]

    def _lacks_crashes(self, member: Member, *, is_teller: bool) -> bool:
        if member.host in self._missed:
            return True
        return is_teller and self._told.get(member.host) != member.boot

    async def _tell_member(self, member: Member, message: CrashCounts) -> None:
        if await self._forwarder.notify(member, message, _NOTIFY_TIMEOUT_S):
            self._told[member.host] = member.boot
            self._missed.discard(member.host)

    async def _notify_peers(
        self, message: CrashSuspects | SuspectCleared
    ) -> None:
        async with anyio.create_task_group() as notifications:
            for member in self._peers():
                notifications.start_soon(self._notify, member, message)

    async def _notify(
        self, member: Member, message: CrashSuspects | SuspectCleared
    ) -> None:
        if await self._forwarder.notify(member, message, _NOTIFY_TIMEOUT_S):
            return
        if isinstance(message, CrashSuspects):
            self._missed.add(member.host)
