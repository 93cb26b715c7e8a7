"""ragwortstand.peers.request_codec: encodes requests and decodes replies."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

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
    decode_reply,
    encode,
)
from ragwortstand.verdicts import Verdict


@dataclass(frozen=True, slots=True)
class RequestCodec:
    """Encodes requests, decodes replies and counts the bytes of both.

    :param cluster: name of the cluster.
    :param host: this daemon's host.
    :param metrics: counts control bytes, which exclude forwarded work.
    :param scope_of: returns the scope of an address: zone, region or regional.
    """

    cluster: str
    host: HostId
    metrics: Metrics
    scope_of: Callable[[PeerAddress], str]

    def encode(self, address: PeerAddress, request: Request) -> bytes:
        """Return an encoded request in its envelope.

        :param address: address of the peer that it is sent to.
        :param request: the request.
        """
        wire = encode(Envelope(self.cluster, self.host, request))
        self._count(address, request, len(wire), 'sent')
        return wire

    def decode(self, address: PeerAddress, encoded_reply: bytes) -> Reply:
        """Return the decoded reply.

        :param address: address of the peer that sent it.
        :param encoded_reply: the reply as received.
        :raises PeerError: when it is malformed or refuses the request.
        """
        try:
            reply = decode_reply(encoded_reply)
        except msgspec.DecodeError as error:
            problem = f'malformed reply: {error}'
            raise PeerError(problem, Verdict.MAY_HAVE_RUN) from error
        self._count(address, reply, len(encoded_reply), 'received')
        if isinstance(reply, Refusal):
            raise PeerError(reply.problem, Verdict.NOT_RUN)
        return reply

    def _count(
        self,
        address: PeerAddress,
        message: Request | Reply,
        size_bytes: int,
        direction: str,
    ) -> None:
        if isinstance(message, Work | WorkDone):
            return
        counter = self.metrics.control_bytes.labels(
            self.scope_of(address), direction, type(message).__name__
        )
        counter.inc(size_bytes)
