"""ragwortstand.peers.crash_notifications: reports crash suspects to peers."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ragwortstand.backend_servers.crash_record import CrashReport
from ragwortstand.ids import Fingerprint, ServiceName
from ragwortstand.peers.forwarding import Forwarder
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import CrashSuspects, SuspectCleared

# Time to wait for the reply to a message: several round trips between regions.
_NOTIFY_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class CrashNotifier:
    """Notifies the daemons whose backend servers offer the same service.

    :param members: the member list.
    :param forwarder: sends the messages.
    :param service: returns the service of this host's backend server.
    """

    members: Members
    forwarder: Forwarder
    service: Callable[[], ServiceName | None]

    async def on_crash(self, report: CrashReport) -> None:
        """Notify the daemons that may run the suspects next."""
        await self._notify_peers(CrashSuspects(report.counted, report.others))

    async def on_clear(self, fingerprint: Fingerprint) -> None:
        """Notify them that a suspect has run without a crash."""
        await self._notify_peers(SuspectCleared(fingerprint))

    async def _notify_peers(
        self, message: CrashSuspects | SuspectCleared
    ) -> None:
        service = self.service()
        async with anyio.create_task_group() as notifications:
            for member in self.members.peers():
                if member.service == service:
                    notifications.start_soon(
                        self.forwarder.notify,
                        member,
                        message,
                        _NOTIFY_TIMEOUT_S,
                    )
