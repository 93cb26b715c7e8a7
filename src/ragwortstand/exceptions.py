"""ragwortstand.exceptions: the errors that the package raises."""

from collections.abc import Sequence
from dataclasses import dataclass

from ragwortstand.verdicts import Verdict


@dataclass(frozen=True, slots=True)
class Fault:
    """One reason why a document was refused.

    :param path: JSON path of the faulty field, such as ``$.routes[0].service``.
    :param problem: what is wrong and which values are legal.
    """

    path: str
    problem: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f'{self.path}: {self.problem}'


class RagwortstandError(Exception):
    """Base class of all errors of this package."""


class FaultyDocumentError(RagwortstandError):
    """A document has faults; `faults` lists all of them.

    :param faults: the faults, in the order of the document.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Store the faults and use them as the message."""
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class ConfigurationError(FaultyDocumentError):
    """A configuration has faults."""


class SettingsError(FaultyDocumentError):
    """A settings file has faults."""


class PlatformError(RagwortstandError):
    """A call to the table service or the object store failed.

    :param problem: what happened.
    :param verdict: whether the operation may have taken effect.
    """

    def __init__(self, problem: str, verdict: Verdict) -> None:
        """Store the verdict with the message."""
        super().__init__(problem)
        self.verdict = verdict


class PeerError(RagwortstandError):
    """A daemon did not reply to a message.

    :param problem: what happened.
    :param verdict: whether the daemon may have processed the message.
    """

    def __init__(self, problem: str, verdict: Verdict) -> None:
        """Store the verdict with the message."""
        super().__init__(problem)
        self.verdict = verdict


class PeerGoneError(PeerError):
    """The process of a daemon has ended: nothing listens at its address.

    :param problem: what happened.
    """

    def __init__(self, problem: str) -> None:
        """Use the verdict NOT_RUN, as nothing was processed."""
        super().__init__(problem, Verdict.NOT_RUN)


class BackendServerError(RagwortstandError):
    """An exchange with a backend server failed.

    :param problem: what happened.
    :param verdict: whether the backend server may have run the request.
    """

    def __init__(self, problem: str, verdict: Verdict) -> None:
        """Store the verdict with the message."""
        super().__init__(problem)
        self.verdict = verdict


class AnswerTooLargeError(BackendServerError):
    """The body of a response exceeds the limit of the settings."""

    def __init__(self) -> None:
        """Use the verdict MAY_HAVE_RUN: it ran, but has no response."""
        problem = 'response body exceeds the size limit'
        super().__init__(problem, Verdict.MAY_HAVE_RUN)


class EndlessAnswerError(BackendServerError):
    """Bytes outside of a response body exceed the limit.

    They are headers, framing, or data that is received instead of a response.
    """

    def __init__(self) -> None:
        """Use the verdict MAY_HAVE_RUN, as nothing tells whether it ran."""
        problem = 'bytes outside of a response body exceed the size limit'
        super().__init__(problem, Verdict.MAY_HAVE_RUN)


class RequestTooLargeError(RagwortstandError):
    """The body of a request exceeds the limit of the settings."""


class CallerGoneError(RagwortstandError):
    """The caller closed its connection before its request was complete."""
