"""ragwortstand.peers.crash_news: word of requests that crash servers."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ragwortstand.ids import Fingerprint, ServiceName
from ragwortstand.peers.forwarding import Forwarder
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import CrashSuspects, SuspectCleared

# Time for the receipt of a message: several round trips between regions.
_TELL_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class CrashNews:
    """Tells the daemons whose backend servers offer the same service.

    :param members: the list of members.
    :param forwarder: carries the messages.
    :param service: returns the service of this host's backend server.
    """

    members: Members
    forwarder: Forwarder
    service: Callable[[], ServiceName | None]

    async def on_crash(self, suspects: tuple[Fingerprint, ...]) -> None:
        """Tell the daemons that could run the suspects next."""
        await self._tell(CrashSuspects(suspects))

    async def on_clear(self, fingerprint: Fingerprint) -> None:
        """Tell them of a suspect that has run without a crash."""
        await self._tell(SuspectCleared(fingerprint))

    async def _tell(self, message: CrashSuspects | SuspectCleared) -> None:
        service = self.service()
        async with anyio.create_task_group() as tellers:
            for member in self.members.peers():
                if member.service == service:
                    tellers.start_soon(
                        self.forwarder.tell, member, message, _TELL_TIMEOUT_S
                    )
