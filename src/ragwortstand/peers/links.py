"""ragwortstand.peers.links: links to other daemons over pynng.

Each daemon receives requests on one `Rep0` socket and sends requests to each
peer over one `Req0` socket; contexts let many requests share it. The automatic
resending of `Req0` is disabled: a request is sent once, so that a lost
connection leads to the verdict "may have run" and never to a second delivery.
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
from ragwortstand.peers.pynng_operations import await_operation
from ragwortstand.peers.request_codec import RequestCodec
from ragwortstand.verdicts import Verdict

MAX_OVERHEAD_BYTES = 4 * 1024 * 1024
#: Time to send a request, including the time to open a connection: many round
#: trips between regions.
CONNECT_TIMEOUT_S = 0.5
_MAX_IDLE_LINKS = 64
_SILENCE_TIMEOUT_S = 1.0
_NO_RESEND = -1
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1000


class Link:
    """A link to one peer that carries many concurrent requests.

    :param address: address that the peer listens on.
    :param max_message_bytes: size limit of a reply.
    :param connect_timeout_s: time to connect and send a request.
    """

    def __init__(
        self,
        address: PeerAddress,
        max_message_bytes: int,
        connect_timeout_s: float,
    ) -> None:
        """Dial the peer in the background."""
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self.outstanding = 0
        self.last_used_s = 0.0
        self.last_received_s = 0.0
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
            self.last_received_s = self.last_used_s
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
            await await_operation(send_s, context.asend(wire), Verdict.NOT_RUN)
            reply = await await_operation(
                timeout_s, context.arecv(), Verdict.MAY_HAVE_RUN
            )
        self.last_received_s = anyio.current_time()
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
    """Links to all peers that requests were sent to recently.

    Usage::

        >>> links = Links(cluster, host, metrics, log, limit, scope_of)
        >>> reply = await links.send_request(address, Ping(version), 0.4)

    :param cluster: name of the cluster.
    :param host: this daemon's host.
    :param metrics: counts control bytes.
    :param log: event log for links that are reset.
    :param max_message_bytes: size limit of a message.
    :param scope_of: returns the scope of an address: zone, region or regional.
    :param connect_timeout_s: time to connect and send a request.
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
        """Create an object without any links."""
        self._connect_timeout_s = connect_timeout_s
        self._codec = RequestCodec(cluster, host, metrics, scope_of)
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

        :param address: address that the peer listens on.
        :param request: the request.
        :param timeout_s: time to wait for the reply.
        :raises PeerError: when there is no usable reply in time.
        """
        link = self._links.get(address) or self._open(address)
        wire = self._codec.encode(address, request)
        encoded_reply = await link.send_request(wire, timeout_s)
        return self._codec.decode(address, encoded_reply)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def close_link(self, address: PeerAddress) -> None:
        """Close the link to a departed peer unless a request is pending."""
        link = self._links.get(address)
        if link and not link.outstanding:
            self._links.pop(address).close()

    async def watch(self, ping: Ping) -> None:
        """Probe silent links with pending requests; reset those that fail.

        :param ping: the probe to send over a silent link.
        """
        now_s = anyio.current_time()
        async with anyio.create_task_group() as checks:
            for link in tuple(self._links.values()):
                silent_s = now_s - link.last_received_s
                if link.outstanding and silent_s > _SILENCE_TIMEOUT_S:
                    checks.start_soon(self._probe, link, ping)

    async def _probe(self, link: Link, ping: Ping) -> None:
        wire = self._codec.encode(link.address, ping)
        try:
            await link.send_request(wire, _SILENCE_TIMEOUT_S)
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
