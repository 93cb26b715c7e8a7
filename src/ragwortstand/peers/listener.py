"""ragwortstand.peers.listener: replies to requests over pynng."""

import contextlib
from collections.abc import Callable

import anyio
import pynng
from anyio.abc import TaskGroup

from ragwortstand.events import EventLog
from ragwortstand.exceptions import PeerError
from ragwortstand.ids import HostId, PeerAddress
from ragwortstand.metrics import Metrics
from ragwortstand.peers.messages import (
    Envelope,
    Refusal,
    Reply,
    Request,
    Work,
    WorkDone,
    encode,
)
from ragwortstand.peers.pynng_operations import await_operation
from ragwortstand.peers.request_decoder import Handler, RequestDecoder
from ragwortstand.verdicts import Verdict

_SPARE_RECEIVERS = 4
_SEND_TIMEOUT_S = 5.0


class Listener:
    """Replies to requests on a `Rep0` socket with one task for each request.

    There is always a spare receiver, so that probes get a reply however much
    work is in progress.

    :param address: address to listen on, ``tcp://host:port``.
    :param cluster: name of the cluster; requests of others are refused.
    :param max_message_bytes: size limit of a request.
    :param metrics: counts control bytes and refused messages.
    :param log: event log for refused messages.
    """

    def __init__(
        self,
        address: str,
        cluster: str,
        max_message_bytes: int,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Open the socket; requests are queued until `serve` runs."""
        self._decoder = RequestDecoder(cluster, metrics, log)
        self._metrics = metrics
        self._socket = pynng.Rep0(recv_max_size=max_message_bytes)
        listener = self._socket.listen(address)
        self.address = PeerAddress(f'tcp://{listener.local_address}')
        self._idle_receivers = 0
        self.scope_of_host: Callable[[HostId], str] = _unknown_scope

    async def serve(self, handler: Handler) -> None:
        """Reply to requests until cancelled.

        :param handler: returns the reply to a request.
        """
        try:
            async with anyio.create_task_group() as receivers:
                receivers.start_soon(self._receive, receivers, handler)
        finally:
            self._socket.close()

    async def _receive(
        self,
        receivers: TaskGroup,
        handler: Handler,
    ) -> None:
        with contextlib.closing(self._socket.new_context()) as context:
            while self._idle_receivers < _SPARE_RECEIVERS:
                self._idle_receivers += 1
                try:
                    wire: bytes = await context.arecv()
                except pynng.Closed:
                    return
                finally:
                    self._idle_receivers -= 1
                if not self._idle_receivers:
                    receivers.start_soon(self._receive, receivers, handler)
                reply = await self._reply(wire, handler)
                await _send(context, encode(reply))

    async def _reply(self, wire: bytes, handler: Handler) -> Reply:
        envelope = self._decoder.decode(wire)
        if isinstance(envelope, Refusal):
            return envelope
        self._count(envelope, envelope.request, len(wire), 'received')
        try:
            reply = await handler(envelope.sender, envelope.request)
        except Exception as error:
            return self._decoder.refuse('internal', repr(error))
        if not isinstance(reply, WorkDone):
            self._count(envelope, reply, len(encode(reply)), 'sent')
        return reply

    def _count(
        self,
        envelope: Envelope,
        message: Request | Reply,
        size_bytes: int,
        direction: str,
    ) -> None:
        if isinstance(message, Work):
            return
        scope = self.scope_of_host(envelope.sender)
        counter = self._metrics.control_bytes.labels(
            scope, direction, type(message).__name__
        )
        counter.inc(size_bytes)


def _unknown_scope(host: HostId) -> str:
    return 'unknown'


async def _send(context: pynng.Context, wire: bytes) -> None:
    """Send a reply; drop it if the requester no longer waits."""
    with contextlib.suppress(PeerError):
        await await_operation(
            _SEND_TIMEOUT_S, context.asend(wire), Verdict.NOT_RUN
        )
