"""ragwortstand.peers.request_decoder: decodes and checks requests."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from ragwortstand.events import Event, EventLog
from ragwortstand.ids import HostId
from ragwortstand.metrics import Metrics
from ragwortstand.peers.messages import (
    Envelope,
    Refusal,
    Reply,
    Request,
    decode_envelope,
)

Handler: TypeAlias = Callable[[HostId, Request], Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class RequestDecoder:
    """Decodes requests of other daemons and refuses invalid ones.

    :param cluster: name of the cluster; requests of others are refused.
    :param metrics: counts refused messages.
    :param log: event log for refused messages.
    """

    cluster: str
    metrics: Metrics
    log: EventLog

    def decode(self, wire: bytes) -> Envelope | Refusal:
        """Return the decoded request, or the refusal to send as its reply.

        :param wire: the encoded envelope.
        """
        try:
            envelope = decode_envelope(wire)
        except msgspec.DecodeError as error:
            return self.refuse('malformed', f'malformed message: {error}')
        if envelope.cluster != self.cluster:
            problem = f'request from other cluster {envelope.cluster!r}'
            return self.refuse('cluster', problem)
        return envelope

    def refuse(self, cause: str, problem: str) -> Refusal:
        """Count and log a refused message, and return the refusal.

        :param cause: label of the counter.
        :param problem: description of the problem with the message.
        """
        self.metrics.peer_errors.labels(cause).inc()
        self.log.emit(Event.PEER_MESSAGE_REFUSED, problem=problem)
        return Refusal(problem)
