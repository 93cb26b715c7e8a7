"""ragwortstand.peers.handlers: replies to the requests of other daemons."""

import anyio

from ragwortstand.backend_servers.crash_record import CrashRecord
from ragwortstand.ids import HostId
from ragwortstand.peers.distribution import Distributor
from ragwortstand.peers.forwarding import ForwardedWork
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    Applied,
    AskApplied,
    AskStore,
    CancelWork,
    CrashSuspects,
    Done,
    FetchVersion,
    IndirectPing,
    Join,
    OfferVersion,
    Ping,
    Reply,
    Request,
    SuspectCleared,
    Work,
)
from ragwortstand.peers.store_watch import StoreWatch


class PeerHandlers:
    """Dispatches each request to the part that answers it.

    :param gossip: answers probes and newcomers.
    :param distributor: answers about versions.
    :param forwarded: runs forwarded requests.
    :param store_watch: tries the store for other daemons.
    :param members: the list of members.
    :param crash_record: counts crashes by request.
    """

    def __init__(
        self,
        gossip: Gossip,
        distributor: Distributor,
        forwarded: ForwardedWork,
        store_watch: StoreWatch,
        members: Members,
        crash_record: CrashRecord,
    ) -> None:
        """Keep the parts."""
        self._gossip = gossip
        self._distributor = distributor
        self._forwarded = forwarded
        self._store_watch = store_watch
        self._members = members
        self._crash_record = crash_record

    async def handle(self, sender: HostId, request: Request) -> Reply:
        """Return the reply to a request.

        :param sender: the host that asks.
        :param request: what it asks.
        """
        match request:
            case Work():
                return await self._forwarded.run(request)
            case CancelWork():
                return self._forwarded.cancel(request)
            case CrashSuspects():
                now_s = anyio.current_time()
                self._crash_record.add(request.fingerprints, now_s)
                return Done()
            case SuspectCleared():
                self._crash_record.clear(request.fingerprint)
                return Done()
            case _:
                return await self._handle_control(sender, request)

    async def _handle_control(
        self,
        sender: HostId,
        request: Request,
    ) -> Reply:
        match request:
            case Ping():
                return self._gossip.on_ping(sender, request)
            case IndirectPing():
                return await self._gossip.on_indirect_ping(request)
            case Join():
                return self._gossip.on_join(request)
            case FetchVersion():
                return self._distributor.on_fetch(request)
            case AskApplied():
                return Applied(self._distributor.version_in_force)
            case AskStore():
                return await self._store_watch.on_ask()
            case OfferVersion():
                self._on_offer(sender, request)
                return Done()
        raise TypeError(f'no handler for {type(request).__name__}')

    def _on_offer(self, sender: HostId, request: OfferVersion) -> None:
        member = self._members.get(sender)
        if member:
            self._distributor.heard(request.version, member.peer_address)
