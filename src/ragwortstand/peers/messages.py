"""ragwortstand.peers.messages: messages between daemons.

Each request has one reply; both are encoded with MessagePack. Size limits are
set on the sockets.
"""

import enum
from typing import TypeAlias

import msgspec

from ragwortstand.backend_servers.crash_record import CrashCount
from ragwortstand.backend_servers.rate_limiter import ServerRateLimit
from ragwortstand.decoding import decode_with
from ragwortstand.ids import (
    DecodedPeerAddress,
    Digest,
    Fingerprint,
    HostId,
    RegionName,
    RequestId,
    ServiceName,
    Version,
    ZoneName,
)
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Headers,
    Outcome,
    Refused,
    Unknown,
)


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; fields are encoded by position."""


class MemberState(enum.IntEnum):
    """State of a member; within an incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Entry of a daemon in the member list.

    :param host: unique host name.
    :param peer_address: address that it listens on for other daemons.
    :param region: its region.
    :param zone: its availability zone.
    :param incarnation: increased by the member itself to refute a state or to
        publish a change of its entry.
    :param state: last known state.
    :param service: service of the backend server on its host, if any.
    :param slots: slots of that backend server.
    :param is_ready: whether that backend server accepts work.
    :param boot: random number of the daemon's process; 0 if it has none.
    :param store_reach: how well the daemon reaches the platform's store.
    :param departed: backend server that left last, and its boot; a daemon
        that restarts receives it from the others.
    :param rate_limit: about the limit of that backend server, if it names one.
    """

    host: HostId
    peer_address: DecodedPeerAddress
    region: RegionName
    zone: ZoneName
    incarnation: int
    state: MemberState = MemberState.ALIVE
    service: ServiceName | None = None
    slots: int = 0
    is_ready: bool = False
    boot: int = 0
    store_reach: int = 0
    departed: tuple[str, int] | None = None
    rate_limit: ServerRateLimit | None = None


class Ping(_Message, frozen=True):
    """Probe with member updates and the sender's version.

    :param version: version that the sender holds.
    :param outage_age_s: seconds since the store last failed for any daemon,
        as far as the sender knows; None for never.
    :param members_digest: digest of the sender's member list.
    :param news: recent member updates.
    :param outage_began_age_s: seconds since that outage began.
    """

    version: Version
    outage_age_s: float | None
    members_digest: int
    news: tuple[Member, ...] = ()
    outage_began_age_s: float | None = None


class Pong(_Message, frozen=True):
    """Reply to a probe; fields as in `Ping`."""

    version: Version
    outage_age_s: float | None
    members_digest: int
    news: tuple[Member, ...] = ()
    outage_began_age_s: float | None = None


class IndirectPing(_Message, frozen=True):
    """Request to probe a third daemon.

    :param host: the daemon to probe.
    """

    host: HostId


class IndirectPong(_Message, frozen=True):
    """Reply to an indirect probe.

    :param is_alive: whether the third daemon replied.
    """

    is_alive: bool


class Join(_Message, frozen=True):
    """Request for the member list.

    :param member: the daemon that sends the request.
    :param is_newcomer: whether it has no list of its own yet; others can do
        without the list and repeat the request if lists still differ later.
    """

    member: Member
    is_newcomer: bool = True


class MemberList(_Message, frozen=True):
    """Reply to `Join`: all members that the sender knows.

    :param members: members in any state.
    :param version: version that the sender holds.
    :param outage_age_s: as in `Ping`.
    :param outage_began_age_s: as in `Ping`.
    """

    members: tuple[Member, ...]
    version: Version
    outage_age_s: float | None = None
    outage_began_age_s: float | None = None


class OfferVersion(_Message, frozen=True):
    """Notification of a version that the sender holds."""

    version: Version


class Done(_Message, frozen=True):
    """Reply without content."""


class FetchVersion(_Message, frozen=True):
    """Request for the content of a version.

    :param version: the requested version; a newer one may be returned.
    :param held: version that the sender holds, as a possible base of a delta.
    """

    version: Version
    held: Version


class VersionContent(_Message, frozen=True):
    """Content of a version.

    :param version: the version.
    :param digest: digest of the whole content.
    :param base: version whose content is the zstd dictionary; 0 for none.
    :param payload: zstd frame.
    """

    version: Version
    digest: Digest
    base: Version
    payload: bytes


class NotHeld(_Message, frozen=True):
    """Reply to `FetchVersion` when the sender does not hold the version."""


class AskApplied(_Message, frozen=True):
    """Request for the version in force."""


class Applied(_Message, frozen=True):
    """Reply to `AskApplied`.

    :param version: version in force; 0 means none.
    """

    version: Version


class AskReader(_Message, frozen=True):
    """Asks a reader whether the store responds to it; see `StoreAnswer`."""


class ReadStore(_Message, frozen=True):
    """Request to read the store, which does not respond to the sender."""


class Work(_Message, frozen=True):
    """A caller's request, forwarded to the daemon that is to run it.

    :param request_id: id of the request.
    :param remaining_s: time until its deadline.
    :param key: the caller's idempotency key, or empty.
    :param goal_s: time until the latency objective of the request, when the
        response loses most of its value.
    :param boot: boot number of the process that the work is for; resent work
        does not run in another process.
    :param is_resent: whether the work may have arrived before.
    :param sent_at_s: when it was sent, on the boot-time clock of the sender's
        host; 0 from daemons that do not say it.
    :param finish_in_s: time in which it must finish, as the sender exits then;
        None while the sender does not stop.
    """

    request_id: RequestId
    method: str
    target: str
    headers: Headers
    body: bytes
    service: str
    rank: str
    is_idempotent: bool
    remaining_s: float
    version: Version
    attempt: int
    key: str = ''
    goal_s: float | None = None
    boot: int = 0
    is_resent: bool = False
    sent_at_s: float = 0.0
    finish_in_s: float | None = None


class WorkDone(_Message, frozen=True):
    """The outcome of forwarded work and the load of its backend server.

    :param status: HTTP status; 0 when there is no response.
    :param cause: why there is no response, or empty.
    :param may_have_run: whether the request may have run.
    :param retry_after_s: delay before a retry after a refusal.
    :param busy: slots in use and requests queued, per slot.
    """

    status: int
    headers: Headers
    body: bytes
    cause: str
    may_have_run: bool
    retry_after_s: float
    busy: float


class CancelWork(_Message, frozen=True):
    """Request to cancel work whose caller has disconnected.

    :param request_id: id of the request.
    """

    request_id: RequestId


class LimitWork(_Message, frozen=True):
    """Request to refuse work that would not finish before the sender exits.

    Only work that waits is refused; work that runs continues.

    :param request_ids: ids of the requests.
    :param finish_in_s: time in which they must finish.
    """

    request_ids: tuple[RequestId, ...]
    finish_in_s: float


class AskStore(_Message, frozen=True):
    """Request to check whether the receiver reaches the platform's store."""


class StoreAnswer(_Message, frozen=True):
    """Reply to `AskStore`.

    :param is_reachable: whether the store has just responded.
    """

    is_reachable: bool


class CrashSuspects(_Message, frozen=True):
    """Notification of requests in flight when a backend server crashed.

    :param fingerprints: requests that the crash is counted against.
    :param others: requests that become suspects at most.
    """

    fingerprints: tuple[Fingerprint, ...]
    others: tuple[Fingerprint, ...] = ()


class CrashCounts(_Message, frozen=True):
    """Crashes that the sender knows, for a daemon that may have missed them.

    :param counts: the requests that were in flight.
    """

    counts: tuple[CrashCount, ...]


class SuspectCleared(_Message, frozen=True):
    """Notification that a suspect has completed without a crash."""

    fingerprint: Fingerprint


class Refusal(_Message, frozen=True):
    """Reply to a message that was not processed.

    :param problem: why it was not processed.
    """

    problem: str


Request: TypeAlias = (
    Ping
    | IndirectPing
    | Join
    | OfferVersion
    | FetchVersion
    | AskApplied
    | AskStore
    | AskReader
    | ReadStore
    | Work
    | CancelWork
    | LimitWork
    | CrashSuspects
    | CrashCounts
    | SuspectCleared
)
Reply: TypeAlias = (
    Pong
    | IndirectPong
    | MemberList
    | Done
    | VersionContent
    | NotHeld
    | Applied
    | StoreAnswer
    | WorkDone
    | Refusal
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A request and its sender.

    :param cluster: name of the sender's cluster.
    :param sender: the sender's host.
    :param request: the request.
    """

    cluster: str
    sender: HostId
    request: Request


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


def encode(message: Envelope | Reply) -> bytes:
    """Return the bytes of an envelope or a reply."""
    return _encoder.encode(message)


def decode_envelope(wire: bytes) -> Envelope:
    """Decode an envelope.

    :raises msgspec.DecodeError: when the bytes are not an encoded envelope.
    """
    return decode_with(_envelope_decoder.decode, wire)


def decode_reply(wire: bytes) -> Reply:
    """Decode a reply.

    :raises msgspec.DecodeError: when the bytes are not an encoded reply.
    """
    return decode_with(_reply_decoder.decode, wire)


def work_done(outcome: Outcome, busy: float) -> WorkDone:
    """Return the message that reports an outcome.

    :param outcome: outcome of the work.
    :param busy: slots in use and requests queued, per slot.
    """
    match outcome:
        case Answered():
            return WorkDone(
                outcome.status,
                outcome.headers,
                outcome.body,
                cause='',
                may_have_run=True,
                retry_after_s=0,
                busy=busy,
            )
        case Refused():
            retry_after_s = outcome.retry_after_s
            cause = outcome.cause.value
            return WorkDone(0, (), b'', cause, False, retry_after_s, busy)
        case Unknown():
            return WorkDone(0, (), b'', outcome.cause.value, True, 0, busy)


def outcome_of(message: WorkDone) -> Outcome:
    """Return the outcome that a message reports."""
    if message.status:
        return Answered(message.status, message.headers, message.body)
    cause = Cause(message.cause)
    if message.may_have_run:
        return Unknown(cause)
    return Refused(cause, message.retry_after_s)
