"""ragwortstand.peers.handlers: dispatches requests of other daemons."""

import anyio

from ragwortstand.backend_servers.crash_record import CrashRecord, CrashReport
from ragwortstand.ids import HostId
from ragwortstand.peers.crash_notifications import CrashNotifier
from ragwortstand.peers.distribution import Distributor
from ragwortstand.peers.forwarding import ForwardedWork
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    Applied,
    AskApplied,
    AskReader,
    AskStore,
    CancelWork,
    CrashCounts,
    CrashSuspects,
    Done,
    FetchVersion,
    IndirectPing,
    Join,
    LimitWork,
    OfferVersion,
    Ping,
    ReadStore,
    Reply,
    Request,
    SuspectCleared,
    Work,
)
from ragwortstand.peers.store_outage import StoreOutageDetector
from ragwortstand.peers.store_watch import StoreWatch


class PeerHandlers:
    """Dispatches each request to the component that handles it.

    :param gossip: handles probes and requests to join.
    :param distributor: handles requests about versions.
    :param forwarded: runs forwarded requests.
    :param store_watch: answers whether the store responds to this daemon.
    :param outage_detector: probes the store for other daemons.
    :param members: the member list.
    :param crash_record: counts crashes by request.
    :param crash_notifier: handles what other daemons know of crashes.
    """

    def __init__(
        self,
        gossip: Gossip,
        distributor: Distributor,
        forwarded: ForwardedWork,
        store_watch: StoreWatch,
        outage_detector: StoreOutageDetector,
        members: Members,
        crash_record: CrashRecord,
        crash_notifier: CrashNotifier,
    ) -> None:
        """Create a dispatcher for some components."""
        self._gossip = gossip
        self._distributor = distributor
        self._forwarded = forwarded
        self._store_watch = store_watch
        self._outage_detector = outage_detector
        self._members = members
        self._crash_record = crash_record
        self._crash_notifier = crash_notifier

    async def handle(self, sender: HostId, request: Request) -> Reply:
        """Return the reply to a request.

        :param sender: host of the daemon that sent the request.
        :param request: the request.
        :raises TypeError: when there is no handler for the request.
        """
        match request:
            case Work():
                return await self._forwarded.run(request)
            case CancelWork():
                return self._forwarded.cancel(request)
            case LimitWork():
                return self._forwarded.limit(request)
            case CrashSuspects():
                now_s = anyio.current_time()
                report = CrashReport(request.fingerprints, request.others)
                self._crash_record.add(report, now_s)
                return Done()
            case CrashCounts():
                self._crash_notifier.on_counts(request)
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
            case OfferVersion():
                self._on_offer(sender, request)
                return Done()
            case _:
                return await self._handle_store_request(request)

    async def _handle_store_request(self, request: Request) -> Reply:
        match request:
            case AskStore():
                return await self._outage_detector.on_ask_store()
            case AskReader():
                return self._store_watch.on_ask_reader()
            case ReadStore():
                return self._store_watch.on_read_store()
        raise TypeError(f'no handler for {type(request).__name__}')

    def _on_offer(self, sender: HostId, request: OfferVersion) -> None:
        member = self._members.get(sender)
        if member:
            self._distributor.on_peer_version(
                request.version, member.peer_address
            )
