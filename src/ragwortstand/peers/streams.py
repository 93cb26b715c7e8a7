"""ragwortstand.peers.streams: links to other daemons over plain streams.

One connection for each peer and direction carries many requests at once.
While requests wait for long, beats tell whether the link still carries
anything: no more work is sent over a silent one, and then it is reset.
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
from ragwortstand.peers.frames import FrameKind, Frames
from ragwortstand.peers.messages import (
    Reply,
    Request,
    Work,
)
from ragwortstand.peers.questions import Questions
from ragwortstand.verdicts import Verdict

#: Time to open a connection: several round trips of 24 ms between regions. A
#: lost first packet is repeated after 1 s only, which no request waits for.
CONNECT_TIMEOUT_S = 0.25
# A peer that does not accept is not dialled again for this long, so that
# requests are refused at once and go elsewhere. Work that it may have is asked
# for at once.
_REDIAL_PAUSE_S = 0.3
# Time that a request has waited after which a beat asks for a sign of life; the
# peer answers it at once, whatever its backend server does.
_BEAT_AFTER_S = 0.2
# Time without an answer to a beat after which no more work is sent over the
# link: beyond a retransmission timeout of TCP (0.2 s) and a round trip between
# regions, so that a single lost packet does not count.
_SILENT_AFTER_S = 0.3
# The same after which the link is reset: several retransmissions.
_DEAD_AFTER_S = 0.8
# Between two looks at all links: half of the shortest time above.
_WATCH_S = 0.1


class _Waiting(NamedTuple):
    """A request whose reply is awaited."""

    reply: 'asyncio.Future[bytes]'
    asked_at_s: float


class _Dialled(Frames):
    """The asking end of a connection."""

    def __init__(self, max_frame_bytes: int) -> None:
        super().__init__(max_frame_bytes)
        self.waiting: dict[int, _Waiting] = {}
        self.is_lost = False
        self._number = 0
        self._beat_at_s: float | None = None

    async def send_request(self, wire: bytes, timeout_s: float) -> bytes:
        if self.is_lost:
            raise PeerError('link lost', Verdict.NOT_RUN)
        self._number += 1
        number = self._number
        loop = asyncio.get_running_loop()
        reply = loop.create_future()
        self.waiting[number] = _Waiting(reply, clock.now_s())
        timer = loop.call_later(timeout_s, _expire, reply, timeout_s)
        try:
            self.send(FrameKind.REQUEST, number, wire)
            return cast(bytes, await reply)
        finally:
            timer.cancel()
            self.waiting.pop(number, None)

    def silent_s(self, now_s: float) -> float:
        """Return how long a beat has been without an answer.

        :param now_s: present time.
        """
        return 0.0 if self._beat_at_s is None else now_s - self._beat_at_s

    def on_frame(self, kind: int, number: int, body: bytes) -> None:
        if kind == FrameKind.BEAT_REPLY:
            self._beat_at_s = None
            return
        waiting = self.waiting.get(number)
        if kind == FrameKind.REPLY and waiting and not waiting.reply.done():
            waiting.reply.set_result(body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self._beat_at_s = None
        error = PeerError(f'link lost: {exc}', Verdict.MAY_HAVE_RUN)
        for waiting in self.waiting.values():
            if not waiting.reply.done():
                waiting.reply.set_exception(error)

    def check(self, now_s: float) -> None:
        """Send a beat when a request has waited for long.

        Replies to earlier requests tell nothing, as a cut may hold up one
        direction only; a beat comes after all that was sent before it.

        :param now_s: present time.
        """
        if self.is_lost or self._beat_at_s is not None or not self.waiting:
            return
        oldest = next(iter(self.waiting.values()))
        if now_s - oldest.asked_at_s >= _BEAT_AFTER_S:
            self._beat_at_s = now_s
            self.send(FrameKind.BEAT, 0)


class StreamLinks:
    """Links to all peers that were asked.

    Usage::

        >>> links = StreamLinks(cluster, host, metrics, log, limit, scope_of)
        >>> reply = await links.ask(address, Ping(version), timeout_s=0.4)

    :param cluster: name of the cluster.
    :param host: this daemon's host.
    :param metrics: counts control bytes.
    :param log: tells of links that are reset.
    :param max_message_bytes: limit of a message.
    :param scope_of: names the scope of an address: zone, region or regional.
    :param connect_timeout_s: time to open a connection.
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
        self._dialled: dict[PeerAddress, _Dialled] = {}
        self._dialling: dict[PeerAddress, anyio.Lock] = {}
        self._silent: set[PeerAddress] = set()
        self._refused_until_s: dict[PeerAddress, float] = {}

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
        :raises PeerError: when there is no usable reply in time. Work is not
            sent over a link that is silent.
        """
        link = await self._link(
            address,
            min(timeout_s, self._connect_timeout_s),
            is_resent=isinstance(request, Work) and request.is_resent,
        )
        if isinstance(request, Work) and address in self._silent:
            raise PeerError('link is silent', Verdict.NOT_RUN)
        wire = self._questions.encode(address, request)
        answer = await link.send_request(wire, timeout_s)
        return self._questions.decode(address, answer)

    async def run(self) -> None:
        """Watch for links that have gone silent, until cancelled."""
        while True:
            await anyio.sleep(_WATCH_S)
            now_s = clock.now_s()
            for address, link in tuple(self._dialled.items()):
                link.check(now_s)
                self._judge(address, link.silent_s(now_s))

    def close_link(self, address: PeerAddress) -> None:
        """Close the link to a peer that departed."""
        link = self._dialled.get(address)
        if link and not link.waiting:
            self._drop(address)

    def close(self) -> None:
        """Close all links."""
        for address in tuple(self._dialled):
            self._drop(address)

    def _judge(self, address: PeerAddress, silent_s: float) -> None:
        """Act on the time for which a link has been silent."""
        if silent_s > _DEAD_AFTER_S:
            self._log.emit(Event.LINK_RESET, peer=address, silent_s=silent_s)
            self._drop(address)
        elif silent_s > _SILENT_AFTER_S and address not in self._silent:
            self._silent.add(address)
            self._log.emit(Event.LINK_SILENT, peer=address, silent_s=silent_s)
        elif not silent_s and address in self._silent:
            self._silent.discard(address)
            self._log.emit(Event.LINK_BACK, peer=address)

    async def _link(
        self,
        address: PeerAddress,
        timeout_s: float,
        *,
        is_resent: bool,
    ) -> _Dialled:
        lock = self._dialling.setdefault(address, anyio.Lock())
        async with lock:
            link = self._dialled.get(address)
            if link and not link.is_lost:
                return link
            refused_until_s = self._refused_until_s.get(address, 0)
            if not is_resent and clock.now_s() < refused_until_s:
                raise PeerError('peer did not accept', Verdict.NOT_RUN)
            try:
                link = await self._dial(address, timeout_s)
            except OSError as error:
                until_s = clock.now_s() + _REDIAL_PAUSE_S
                self._refused_until_s[address] = until_s
                if isinstance(error, ConnectionRefusedError):
                    raise PeerGoneError(str(error)) from error
                raise PeerError(str(error), Verdict.NOT_RUN) from error
            self._dialled[address] = link
            return link

    async def _dial(self, address: PeerAddress, timeout_s: float) -> _Dialled:
        host, _, port = address.rpartition('/')[2].partition(':')
        loop = asyncio.get_running_loop()
        with anyio.fail_after(timeout_s):
            _, link = await loop.create_connection(
                lambda: _Dialled(self._max_message_bytes), host, int(port)
            )
        return link

    def _drop(self, address: PeerAddress) -> None:
        link = self._dialled.pop(address, None)
        self._silent.discard(address)
        if link:
            link.abort()


def _expire(reply: 'asyncio.Future[bytes]', timeout_s: float) -> None:
    if not reply.done():
        problem = f'no answer in {timeout_s:g} s'
        reply.set_exception(PeerError(problem, Verdict.MAY_HAVE_RUN))
