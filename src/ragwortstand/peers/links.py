"""ragwortstand.peers.links: connections to other daemons.

Each daemon answers on one `Rep0` socket and asks each peer over one `Req0`
socket; contexts let many requests share it. The automatic resending of
`Req0` is off: a request is sent once, so a lost connection leaves the verdict
"may have run" and never a second delivery.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import cast

import anyio
import pynng

from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PeerError
from ragwortstand.ids import HostId, PeerAddress
from ragwortstand.metrics import Metrics
from ragwortstand.peers.messages import (
    Ping,
    Reply,
    Request,
)
from ragwortstand.peers.operations import within
from ragwortstand.peers.questions import Questions
from ragwortstand.verdicts import Verdict

MAX_OVERHEAD_BYTES = 4 * 1024 * 1024
#: Time to have a request sent, on a connection that may have to be opened:
#: many round trips between regions.
CONNECT_TIMEOUT_S = 0.5
_MAX_IDLE_LINKS = 64
_SILENCE_S = 1.0
_NO_RESEND = -1
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1000


class Link:
    """Requests to one peer.

    :param address: where the peer listens.
    :param max_message_bytes: limit of a reply.
    :param connect_timeout_s: time to have a request sent.
    """

    def __init__(
        self,
        address: PeerAddress,
        max_message_bytes: int,
        connect_timeout_s: float,
    ) -> None:
        """Start to dial in the background."""
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self.outstanding = 0
        self.last_used_s = 0.0
        self.last_heard_s = 0.0
        self._max_message_bytes = max_message_bytes
        self._socket = self._dial()

    async def send_request(self, wire: bytes, timeout_s: float) -> bytes:
        """Send a request and return the reply.

        :param wire: the encoded request.
        :param timeout_s: time to wait for the reply.
        :raises PeerError: when there is no reply in time.
        """
        socket = self._socket
        self.last_used_s = anyio.current_time()
        if not self.outstanding:
            self.last_heard_s = self.last_used_s
        self.outstanding += 1
        try:
            return await self._ask(socket, wire, timeout_s)
        finally:
            self.outstanding -= 1

    def reset(self) -> None:
        """Drop the connection and dial a new one."""
        self._socket.close()
        self._socket = self._dial()

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    async def _ask(
        self,
        socket: pynng.Req0,
        wire: bytes,
        timeout_s: float,
    ) -> bytes:
        with _context(socket) as context:
            send_s = min(timeout_s, self._connect_timeout_s)
            await within(send_s, context.asend(wire), Verdict.NOT_RUN)
            reply = await within(
                timeout_s, context.arecv(), Verdict.MAY_HAVE_RUN
            )
        self.last_heard_s = anyio.current_time()
        return cast(bytes, reply)

    def _dial(self) -> pynng.Req0:
        socket = pynng.Req0(
            resend_time=_NO_RESEND,
            recv_max_size=self._max_message_bytes,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        socket.dial(self.address, block=False)
        return socket


class Links:
    """Links to all peers that were asked lately.

    Usage::

        >>> links = Links(cluster, host, metrics, log, limit, scope_of)
        >>> reply = await links.ask(address, Ping(version), timeout_s=0.4)

    :param cluster: name of the cluster.
    :param host: this daemon's host.
    :param metrics: counts control bytes.
    :param log: tells of links that are reset.
    :param max_message_bytes: limit of a message.
    :param scope_of: names the scope of an address: zone, region or regional.
    :param connect_timeout_s: time to have a request sent.
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
    ) -> None:
        """Start without links."""
        self._connect_timeout_s = connect_timeout_s
        self._questions = Questions(cluster, host, metrics, scope_of)
        self._log = log
        self._max_message_bytes = max_message_bytes
        self._links: dict[PeerAddress, Link] = {}

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Send a request to a peer and return its reply.

        :param address: where the peer listens.
        :param request: the request.
        :param timeout_s: time to wait for the reply.
        :raises PeerError: when there is no usable reply in time.
        """
        link = self._links.get(address) or self._open(address)
        wire = self._questions.encode(address, request)
        answer = await link.send_request(wire, timeout_s)
        return self._questions.decode(address, answer)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def close_link(self, address: PeerAddress) -> None:
        """Close the link to a peer that departed."""
        link = self._links.get(address)
        if link and not link.outstanding:
            self._links.pop(address).close()

    async def watch(self, ping: Ping) -> None:
        """Find silent links that requests wait on, and reset them.

        :param ping: the probe to send over a silent link.
        """
        now_s = anyio.current_time()
        async with anyio.create_task_group() as checks:
            for link in tuple(self._links.values()):
                silent_s = now_s - link.last_heard_s
                if link.outstanding and silent_s > _SILENCE_S:
                    checks.start_soon(self._check, link, ping)

    async def _check(self, link: Link, ping: Ping) -> None:
        wire = self._questions.encode(link.address, ping)
        try:
            await link.send_request(wire, _SILENCE_S)
        except PeerError:
            self._log.emit(Event.LINK_RESET, peer=link.address)
            link.reset()

    def _open(self, address: PeerAddress) -> Link:
        if len(self._links) >= _MAX_IDLE_LINKS:
            self._close_oldest()
        try:
            link = Link(
                address, self._max_message_bytes, self._connect_timeout_s
            )
        except pynng.NNGException as error:
            raise PeerError(str(error), Verdict.NOT_RUN) from error
        self._links[address] = link
        return link

    def _close_oldest(self) -> None:
        idle = [link for link in self._links.values() if not link.outstanding]
        if idle:
            oldest = min(idle, key=lambda link: link.last_used_s)
            self._links.pop(oldest.address).close()


@contextlib.contextmanager
def _context(socket: pynng.Req0) -> Iterator[pynng.Context]:
    try:
        context = socket.new_context()
    except pynng.NNGException as error:
        raise PeerError(str(error), Verdict.NOT_RUN) from error
    try:
        yield context
    finally:
        with contextlib.suppress(pynng.NNGException):
            context.close()
