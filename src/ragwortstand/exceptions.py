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
    """Root of all errors of this package."""


class FaultyDocumentError(RagwortstandError):
    """A document has faults; all of them are listed.

    :param faults: the faults, in the order of the document.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Keep the faults and print them as the message."""
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class ConfigurationError(FaultyDocumentError):
    """A configuration has faults."""


class SettingsError(FaultyDocumentError):
    """A settings file has faults."""


class PlatformError(RagwortstandError):
    """The table service or the object store did not answer as needed.

    :param problem: what happened.
    :param verdict: whether the operation may have taken effect.
    """

    def __init__(self, problem: str, verdict: Verdict) -> None:
        """Keep the verdict beside the message."""
        super().__init__(problem)
        self.verdict = verdict


class PeerError(RagwortstandError):
    """A daemon did not answer a message.

    :param problem: what happened.
    :param verdict: whether the daemon may have processed the message.
    """

    def __init__(self, problem: str, verdict: Verdict) -> None:
        """Keep the verdict beside the message."""
        super().__init__(problem)
        self.verdict = verdict


class PeerGoneError(PeerError):
    """The process of a daemon has ended: nothing listens at its address.

    :param problem: what happened.
    """

    def __init__(self, problem: str) -> None:
        """Nothing was processed."""
        super().__init__(problem, Verdict.NOT_RUN)


class BackendServerError(RagwortstandError):
    """An exchange with a backend server failed.

    :param problem: what happened.
    :param verdict: whether the backend server may have run the request.
    """

    def __init__(self, problem: str, verdict: Verdict) -> None:
        """Keep the verdict beside the message."""
        super().__init__(problem)
        self.verdict = verdict


class AnswerTooLargeError(BackendServerError):
    """The body of an answer exceeds the limit of the settings."""

    def __init__(self) -> None:
        """Leave open what the request did; it ran, and has no answer."""
        problem = 'answer exceeds the limit'
        super().__init__(problem, Verdict.MAY_HAVE_RUN)


class EndlessAnswerError(BackendServerError):
    """What came instead of an answer, or around it, exceeds the limit."""

    def __init__(self) -> None:
        """Leave open what the request did."""
        problem = 'bytes without an answer exceed the limit'
        super().__init__(problem, Verdict.MAY_HAVE_RUN)


class RequestTooLargeError(RagwortstandError):
    """The body of a request exceeds the limit of the settings."""


class CallerGoneError(RagwortstandError):
    """The caller closed its connection before its request was complete."""
