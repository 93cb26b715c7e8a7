"""ragwortstand.verdicts: outcomes of a request and whether it may have run."""

import enum
from dataclasses import dataclass
from typing import ClassVar, TypeAlias

Header: TypeAlias = tuple[bytes, bytes]
Headers: TypeAlias = tuple[Header, ...]

# Statuses from this one on report a server error (RFC 9110, section 15.6).
_SERVER_ERROR = 500


class Verdict(enum.Enum):
    """Whether a request may have run on a backend server."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class Cause(enum.Enum):
    """Why a request has no response from a backend server."""

    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    NO_BACKEND_SERVER = 'no-backend-server'
    BACKEND_SERVER_DOWN = 'backend-server-down'
    OVERLOADED = 'overloaded'
    RATE_LIMITED = 'rate-limited'
    DEADLINE = 'deadline'
    LEAVING = 'leaving'
    SENDER_LEAVING = 'sender-leaving'
    CONNECTION_LOST = 'connection-lost'
    PEER_UNREACHABLE = 'peer-unreachable'
    CRASHED = 'crashed'
    QUARANTINED = 'quarantined'
    SUSPECT = 'suspect'
    CALLER_GONE = 'caller-gone'
    ALREADY_CLAIMED = 'already-claimed'
    NOT_OWNER = 'not-home'
    CLAIM_UNAVAILABLE = 'claim-unavailable'
    ANSWER_TOO_LARGE = 'answer-too-large'
    INTERNAL = 'internal-error'
    REJECTED = 'rejected'
    WRONG_ANSWER = 'wrong-answer'
    ENDLESS_ANSWER = 'endless-answer'


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server's complete response.

    :param status: HTTP status.
    :param headers: headers of the response, names in lower case.
    :param body: the whole body.
    """

    status: int
    headers: Headers
    body: bytes
    verdict: ClassVar[Verdict] = Verdict.RAN

    @property
    def has_failed(self) -> bool:
        """Return whether the status reports a server error."""
        return self.status >= _SERVER_ERROR


@dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run.

    :param cause: why it was refused.
    :param retry_after_s: time after which a retry may succeed, in seconds.
    """

    cause: Cause
    retry_after_s: float = 1.0
    verdict: ClassVar[Verdict] = Verdict.NOT_RUN


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, but there is no response.

    :param cause: why there is no response.
    """

    cause: Cause
    verdict: ClassVar[Verdict] = Verdict.MAY_HAVE_RUN


Outcome: TypeAlias = Answered | Refused | Unknown
