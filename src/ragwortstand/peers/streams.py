"""ragwortstand.peers.streams: links to other daemons over plain TCP.

One connection for each peer and direction carries many concurrent requests.
While a request waits long for its reply, heartbeats check whether the link
still works. Work is not sent over a link whose heartbeat has no reply for a
while; after a longer time the link is reset.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

import anyio

from ragwortstand import clock
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PeerError, PeerGoneError
from ragwortstand.ids import HostId, PeerAddress
from ragwortstand.metrics import Metrics
from ragwortstand.peers.frames import FrameKind, FrameProtocol
from ragwortstand.peers.messages import (
    Reply,
    Request,
    Work,
)
from ragwortstand.peers.pieces import PieceScheduler
from ragwortstand.peers.request_codec import RequestCodec
from ragwortstand.verdicts import Verdict

#: Time to open a connection: several round trips of 24 ms between regions. TCP
#: retransmits a lost first packet after 1 s only; no request waits that long.
CONNECT_TIMEOUT_S = 0.25
# A peer that does not accept a connection is not dialled again for this long,
# so that requests fail at once and are sent elsewhere. Resent work, which the
# peer may have received, dials at once.
_REDIAL_PAUSE_S = 0.3
# A heartbeat is sent when a request has waited this long; the peer replies at
# once, whatever its backend server does.
_HEARTBEAT_AFTER_S = 0.2
# No more work is sent over a link when a heartbeat has no reply for this long:
# longer than a retransmission timeout of TCP (0.2 s) and a round trip between
# regions, so that a single lost packet has no effect.
_SILENT_AFTER_S = 0.3
# A link without a reply to a heartbeat for this long is reset: several
# retransmissions.
_RESET_AFTER_S = 0.8
# Interval of checks of all links: half of the shortest time above.
_CHECK_INTERVAL_S = 0.1


class _PendingRequest(NamedTuple):
    """A sent request without a reply yet."""

    reply: 'asyncio.Future[bytes]'
    sent_at_s: float


class _ClientConnection(FrameProtocol):
    """The end of a connection that sends requests."""

    def __init__(
        self, max_frame_bytes: int, scheduler: PieceScheduler | None = None
    ) -> None:
        super().__init__(max_frame_bytes, scheduler)
        self.pending: dict[int, _PendingRequest] = {}
        self.is_lost = False
        self._number = 0
        self._heartbeat_at_s: float | None = None
        self._piece_at_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.send(FrameKind.HELLO, 0)

    async def send_request(self, wire: bytes, timeout_s: float) -> bytes:
        if self.is_lost:
            raise PeerError('link lost', Verdict.NOT_RUN)
        self._number += 1
        number = self._number
        loop = asyncio.get_running_loop()
        reply = loop.create_future()
        self.pending[number] = _PendingRequest(reply, clock.now_s())
        timer = loop.call_later(timeout_s, _fail_on_timeout, reply, timeout_s)
        try:
            self.send_message(number, wire)
            return cast(bytes, await reply)
        finally:
            timer.cancel()
            self._end_request(number, reply)

    def silent_s(self, now_s: float) -> float:
        """Return how long a heartbeat has been without a reply.

        The pieces of a large reply show that the link works; the reply to the
        heartbeat waits behind some of them.

        :param now_s: current time.
        """
        if self._heartbeat_at_s is None:
            return 0.0
        return now_s - max(self._heartbeat_at_s, self._piece_at_s)

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        if kind == FrameKind.BEAT_REPLY:
            self._heartbeat_at_s = None
            return
        pending = self.pending.get(number)
        if kind == FrameKind.REPLY and pending and not pending.reply.done():
            pending.reply.set_result(body)

    def on_piece(self, number: int) -> None:
        self._piece_at_s = clock.now_s()
        if number not in self.pending:
            # The request was given up while its reply was on the way.
            self.drop_message(number)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.is_lost = True
        self._heartbeat_at_s = None
        error = PeerError(f'link lost: {exc}', Verdict.MAY_HAVE_RUN)
        for pending in self.pending.values():
            if not pending.reply.done():
                pending.reply.set_exception(error)

    def send_heartbeat_if_due(self, now_s: float) -> None:
        """Send a heartbeat when a request has waited too long.

        Replies to earlier requests prove nothing, as a network failure may
        block one direction only. A heartbeat is delivered after everything
        that was sent before it, so its reply shows that requests arrive.

        :param now_s: current time.
        """
        if self.is_lost or self._heartbeat_at_s is not None or not self.pending:
            return
        oldest = next(iter(self.pending.values()))
        if now_s - oldest.sent_at_s >= _HEARTBEAT_AFTER_S:
            self._heartbeat_at_s = now_s
            self.send(FrameKind.BEAT, 0)

    def _end_request(self, number: int, reply: 'asyncio.Future[bytes]') -> None:
        """Let neither side send more of a request that got no reply."""
        self.pending.pop(number, None)
        if reply.done() and not reply.cancelled() and not reply.exception():
            return
        self.drop_message(number)
        if self.accepts_pieces:
            self.send(FrameKind.DROP, number)


class StreamLinks:
    """Links to all peers that requests were sent to.

    Usage::

        >>> links = StreamLinks(cluster, host, metrics, log, limit, scope_of)
        >>> reply = await links.send_request(address, Ping(version), 0.4)

    :param cluster: name of the cluster.
    :param host: this daemon's host.
    :param metrics: counts control bytes.
    :param log: event log for links that are silent, working again or reset.
    :param max_message_bytes: size limit of a message.
    :param scope_of: returns the scope of an address: zone, region or regional.
    :param connect_timeout_s: time to open a connection.
    :param scheduler: sends large requests; shared with the listener.
    """

    def __init__(
        self,
        cluster: str,
        host: HostId,
        metrics: Metrics,
        log: EventLog,
        max_message_bytes: int,
        scope_of: Callable[[PeerAddress], str],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        scheduler: PieceScheduler | None = None,
    ) -> None:
        """Create an object without any links."""
        self._scheduler = scheduler or PieceScheduler()
        self._connect_timeout_s = connect_timeout_s
        self._codec = RequestCodec(cluster, host, metrics, scope_of)
        self._log = log
        self._max_message_bytes = max_message_bytes
        self._connections: dict[PeerAddress, _ClientConnection] = {}
        self._dial_locks: dict[PeerAddress, anyio.Lock] = {}
        self._silent_peers: set[PeerAddress] = set()
        self._no_dial_until_s: dict[PeerAddress, float] = {}

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Send a request to a peer and return its reply.

        :param address: address that the peer listens on.
        :param request: the request.
        :param timeout_s: time to wait for the reply.
        :raises PeerError: when there is no usable reply in time, or when work
            would be sent over a link that is silent.
        """
        link = await self._get_or_open_link(
            address,
            min(timeout_s, self._connect_timeout_s),
            is_resent=isinstance(request, Work) and request.is_resent,
        )
        if isinstance(request, Work) and address in self._silent_peers:
            raise PeerError(
                'no reply to heartbeat, work not sent', Verdict.NOT_RUN
            )
        wire = self._codec.encode(address, request)
        encoded_reply = await link.send_request(wire, timeout_s)
        return self._codec.decode(address, encoded_reply)

    async def run(self) -> None:
        """Check all links for silence at intervals, until cancelled."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            now_s = clock.now_s()
            for address, link in tuple(self._connections.items()):
                link.send_heartbeat_if_due(now_s)
                self._update_link_state(address, link.silent_s(now_s))

    def close_link(self, address: PeerAddress) -> None:
        """Close the link to a departed peer unless a request is pending."""
        link = self._connections.get(address)
        if link and not link.pending:
            self._drop(address)
        if not link or not link.pending:
            self._no_dial_until_s.pop(address, None)
            self._forget_lock(address)

    def close(self) -> None:
        """Close all links."""
        for address in tuple(self._connections):
            self._drop(address)

    def _forget_lock(self, address: PeerAddress) -> None:
        lock = self._dial_locks.get(address)
        if lock and not lock.statistics().locked:
            self._dial_locks.pop(address)

    def _update_link_state(self, address: PeerAddress, silent_s: float) -> None:
        """Mark a link as silent or working, or reset it.

        :param address: address of the peer.
        :param silent_s: how long a heartbeat has been without a reply.
        """
        if silent_s > _RESET_AFTER_S:
            self._log.emit(Event.LINK_RESET, peer=address, silent_s=silent_s)
            self._drop(address)
        elif silent_s > _SILENT_AFTER_S and address not in self._silent_peers:
            self._silent_peers.add(address)
            self._log.emit(Event.LINK_SILENT, peer=address, silent_s=silent_s)
        elif not silent_s and address in self._silent_peers:
            self._silent_peers.discard(address)
            self._log.emit(Event.LINK_BACK, peer=address)

    async def _get_or_open_link(
        self,
        address: PeerAddress,
        timeout_s: float,
        *,
        is_resent: bool,
    ) -> _ClientConnection:
        link = self._connections.get(address)
        if link and not link.is_lost:
            return link
        try:
            with anyio.fail_after(timeout_s):
                return await self._open_link(address, timeout_s, is_resent)
        except TimeoutError as error:
            problem = f'no connection within {timeout_s:g} s'
            raise PeerError(problem, Verdict.NOT_RUN) from error

    async def _open_link(
        self, address: PeerAddress, timeout_s: float, is_resent: bool
    ) -> _ClientConnection:
        """Dial a peer, or wait for the request that dials it already."""
        lock = self._dial_locks.setdefault(address, anyio.Lock())
        async with lock:
            link = self._connections.get(address)
            if link and not link.is_lost:
                return link
            no_dial_until_s = self._no_dial_until_s.get(address, 0)
            if not is_resent and clock.now_s() < no_dial_until_s:
                raise PeerError(
                    'peer did not accept a connection recently', Verdict.NOT_RUN
                )
            try:
                link = await self._dial(address, timeout_s)
            except (OSError, ValueError, OverflowError) as error:
                # The latter two are raised for invalid hosts and ports.
                until_s = clock.now_s() + _REDIAL_PAUSE_S
                self._no_dial_until_s[address] = until_s
                if isinstance(error, ConnectionRefusedError):
                    raise PeerGoneError(str(error)) from error
                raise PeerError(str(error), Verdict.NOT_RUN) from error
            self._connections[address] = link
            return link

    async def _dial(
        self, address: PeerAddress, timeout_s: float
    ) -> _ClientConnection:
        host, _, port = address.rpartition('/')[2].partition(':')
        loop = asyncio.get_running_loop()
        with anyio.fail_after(timeout_s):
            _, link = await loop.create_connection(
                lambda: _ClientConnection(
                    self._max_message_bytes, self._scheduler
                ),
                host,
                int(port),
            )
        return link

    def _drop(self, address: PeerAddress) -> None:
        link = self._connections.pop(address, None)
        self._silent_peers.discard(address)
        if link:
            link.abort()


def _fail_on_timeout(reply: 'asyncio.Future[bytes]', timeout_s: float) -> None:
    if not reply.done():
        problem = f'no reply within {timeout_s:g} s'
        reply.set_exception(PeerError(problem, Verdict.MAY_HAVE_RUN))
