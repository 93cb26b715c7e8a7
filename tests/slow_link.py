"""A simulated link between daemons that passes few bytes a second one way."""

import asyncio
from collections import deque

from ragwortstand.ids import PeerAddress
from ragwortstand.peers.frames import FrameProtocol
from ragwortstand.peers.request_decoder import Handler
from ragwortstand.peers.stream_listener import (
    StreamListener,
    _ServerConnection,
)
from ragwortstand.peers.streams import StreamLinks, _ClientConnection

_CHUNK_BYTES = 1400
_DELAY_S = 0.001


class SlowLink:
    """Carries the bytes of a host's connections, first in, first out.

    :param rate_bytes_s: bytes per second; None for no limit.
    :param window_bytes: bytes of one connection that are on the way at once.
    """

    def __init__(
        self, rate_bytes_s: float | None, window_bytes: int = 65_536
    ) -> None:
        """Create a link without connections."""
        self._rate_bytes_s = rate_bytes_s
        self.window_bytes = window_bytes
        self._free_at_s = 0.0

    def carry(self, transport: 'LinkTransport', data: bytes) -> None:
        """Deliver some bytes when the link has passed them."""
        loop = asyncio.get_running_loop()
        self._free_at_s = max(self._free_at_s, loop.time())
        if self._rate_bytes_s:
            self._free_at_s += len(data) / self._rate_bytes_s
        loop.call_at(self._free_at_s + _DELAY_S, transport.deliver, data)


class LinkTransport(asyncio.Transport):
    """One end of a simulated connection.

    :param link: carries what is written here.
    """

    def __init__(self, link: SlowLink) -> None:
        """Create an end that is not connected yet."""
        super().__init__()
        self._link = link
        self._unsent: deque[bytes] = deque()
        self._unsent_bytes = 0
        self._carried_bytes = 0
        self._high_bytes = 65_536
        self._is_closing = False
        self._is_paused = False
        self.own: asyncio.Protocol | None = None
        self.peer: LinkTransport | None = None

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Store the size from which the protocol is paused."""
        self._high_bytes = high

    def get_write_buffer_size(self) -> int:
        """Return how many bytes the link has not taken."""
        return self._unsent_bytes

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self._is_closing

    def write(self, data) -> None:
        """Queue bytes for the link."""
        for start in range(0, len(data), _CHUNK_BYTES):
            self._unsent.append(bytes(data[start : start + _CHUNK_BYTES]))
        self._unsent_bytes += len(data)
        self._send()
        if self._unsent_bytes > self._high_bytes and not self._is_paused:
            self._is_paused = True
            assert self.own
            self.own.pause_writing()

    def deliver(self, data: bytes) -> None:
        """Pass bytes to the other end, and give the next ones to the link."""
        self._carried_bytes -= len(data)
        if self.peer and self.peer.own and not self.peer.is_closing():
            self.peer.own.data_received(data)
        self._send()
        if self._is_paused and not self._unsent_bytes:
            self._is_paused = False
            assert self.own
            self.own.resume_writing()

    def close(self) -> None:
        """Close both ends at once."""
        self.abort()

    def abort(self) -> None:
        """Close both ends at once."""
        for end in (self, self.peer):
            if end and end.own and not end.is_closing():
                end._is_closing = True
                loop = asyncio.get_running_loop()
                loop.call_soon(end.own.connection_lost, None)

    def _send(self) -> None:
        window_bytes = self._link.window_bytes
        while self._unsent and self._carried_bytes < window_bytes:
            data = self._unsent.popleft()
            self._unsent_bytes -= len(data)
            self._carried_bytes += len(data)
            self._link.carry(self, data)


def connect(
    ends: tuple[FrameProtocol, FrameProtocol],
    links: tuple[SlowLink, SlowLink],
) -> None:
    """Connect two protocols over a simulated link.

    :param ends: the protocols.
    :param links: carries the bytes that each of them sends.
    """
    first, second = (LinkTransport(link) for link in links)
    first.peer = second
    second.peer = first
    first.own = ends[0]
    second.own = ends[1]
    first.own.connection_made(first)
    second.own.connection_made(second)


class SimulatedLinks(StreamLinks):
    """Links to one daemon whose replies come over a slow link."""

    def use(
        self, listener: StreamListener, handler: Handler, slow_link: SlowLink
    ) -> None:
        """Set the daemon that all links lead to.

        :param listener: the daemon.
        :param handler: returns its reply to a request.
        :param slow_link: carries its replies.
        """
        self._target = (listener, handler, slow_link)

    async def _dial(self, address: PeerAddress, timeout_s: float):
        listener, handler, slow_link = self._target
        client = _ClientConnection(self._max_message_bytes, self._scheduler)
        server = _ServerConnection(listener, handler)
        connect((client, server), (SlowLink(None), slow_link))
        return client
