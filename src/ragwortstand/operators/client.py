"""ragwortstand.operators.client: HTTP client of the admin API."""

import time
from collections.abc import Iterator, Sequence
from typing import TypeVar
from urllib.parse import urlencode

import httpcore
import msgspec

from ragwortstand.exceptions import RagwortstandError
from ragwortstand.ids import SubmissionId, Version
from ragwortstand.operators.documents import (
    AppliedReport,
    CheckReport,
    ErrorReport,
    HistoryReport,
    MembersReport,
    StatusReport,
    SubmissionReport,
)
from ragwortstand.verdicts import Verdict

_Document = TypeVar('_Document')
_READ_WRITE_TIMEOUT_S = 30.0
_CONNECT_TIMEOUT_S = 2.0
_MAX_ROUNDS = 3
_RETRY_DELAY_S = 0.3


class AdminError(RagwortstandError):
    """A daemon refused an operator's request.

    :param problem: the daemon's error message.
    :param status: HTTP status of the response.
    """

    def __init__(self, problem: str, status: int) -> None:
        """Store the status with the message."""
        super().__init__(problem)
        self.status = status


class AdminUnreachableError(RagwortstandError):
    """No daemon responded.

    :param problem: the error of the last attempt.
    :param verdict: whether the request may have taken effect.
    """

    def __init__(self, problem: str, verdict: Verdict) -> None:
        """Store the verdict with the message."""
        super().__init__(problem)
        self.verdict = verdict


class AdminClient:
    """Sends each request to the first daemon that responds.

    Usage::

        >>> with AdminClient(['http://127.0.0.1:7002'], token) as client:
        ...     client.status().version

    :param urls: base URLs of admin APIs, in the order of attempts.
    :param token: bearer token.
    """

    def __init__(self, urls: Sequence[str], token: str) -> None:
        """Create a connection pool; connections are opened on first use."""
        self._urls = tuple(url.rstrip('/') for url in urls)
        self._headers = [(b'authorization', f'Bearer {token}'.encode())]
        self._pool = httpcore.ConnectionPool()

    def __enter__(self) -> 'AdminClient':
        """Return the client itself."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close all connections."""
        self._pool.close()

    def check(self, content: bytes) -> CheckReport:
        """Return the faults of a configuration."""
        return self._request_document('POST', '/v1/check', CheckReport, content)

    def submit(
        self,
        content: bytes,
        submission: SubmissionId,
        base: Version,
        author: str,
    ) -> SubmissionReport:
        """Submit a configuration; the call is idempotent.

        :param content: JSON text.
        :param submission: id of the submission, the same in all retries.
        :param base: version that the configuration is based on.
        :param author: who submits it.
        """
        query = {'submission': submission, 'base': base, 'author': author}
        path = f'/v1/submit?{urlencode(query)}'
        return self._request_document('POST', path, SubmissionReport, content)

    def status(self) -> StatusReport:
        """Return the state of the daemon that responds."""
        return self._request_document('GET', '/v1/status', StatusReport)

    def applied(self, version: Version | None = None) -> AppliedReport:
        """Return on which daemons a version is in force."""
        query = '' if version is None else f'?version={version}'
        return self._request_document(
            'GET', f'/v1/applied{query}', AppliedReport
        )

    def history(self, limit: int) -> HistoryReport:
        """Return the newest accepted versions, newest first."""
        return self._request_document(
            'GET', f'/v1/history?limit={limit}', HistoryReport
        )

    def content(self, version: Version) -> bytes:
        """Return the canonical JSON of an accepted version."""
        return self._request_content(f'/v1/versions/{version}')

    def members(self) -> MembersReport:
        """Return the member list of the daemon that responds."""
        return self._request_document('GET', '/v1/members', MembersReport)

    def drain(self) -> StatusReport:
        """Make the first daemon that responds refuse new requests."""
        return self._request_document('POST', '/v1/drain', StatusReport)

    def metrics(self) -> str:
        """Return the metrics of the daemon that responds."""
        return self._request_content('/metrics').decode()

    def _request_content(self, path: str) -> bytes:
        """Return the content of a successful response.

        :raises AdminError: with any other status, such as that of a page which
            something between here and the daemon has sent.
        """
        response = self._request_with_retries('GET', path)
        if response.status != 200:
            raise AdminError(f'{path} has no content', response.status)
        return response.content

    def _request_document(
        self,
        method: str,
        path: str,
        document_type: type[_Document],
        body: bytes = b'',
    ) -> _Document:
        response = self._request_with_retries(method, path, body)
        try:
            return msgspec.json.decode(response.content, type=document_type)
        except msgspec.DecodeError as error:
            problem = f'{path} returned an unreadable document: {error}'
            raise AdminError(problem, response.status) from error

    def _request_with_retries(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> httpcore.Response:
        verdict = Verdict.NOT_RUN
        problem = 'no admin URL is configured'
        for url in self._attempt_urls():
            try:
                response = self._request(method, url + path, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                problem = f'{url}: {error}'
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                problem = f'{url}: {error!r}'
                verdict = Verdict.MAY_HAVE_RUN
            else:
                return _raise_for_error(response)
        raise AdminUnreachableError(problem, verdict)

    def _attempt_urls(self) -> Iterator[str]:
        for round_number in range(_MAX_ROUNDS):
            if round_number:
                time.sleep(_RETRY_DELAY_S)
            yield from self._urls

    def _request(
        self,
        method: str,
        url: str,
        body: bytes,
    ) -> httpcore.Response:
        timeouts = {
            'connect': _CONNECT_TIMEOUT_S,
            'read': _READ_WRITE_TIMEOUT_S,
            'write': _READ_WRITE_TIMEOUT_S,
        }
        return self._pool.request(
            method,
            url,
            headers=self._headers,
            content=body,
            extensions={'timeout': timeouts},
        )


def _raise_for_error(response: httpcore.Response) -> httpcore.Response:
    """Return the response unless it is an error report.

    With another status than 200 it may also be a `SubmissionReport`.

    :raises AdminError: the daemon refused the request.
    """
    if response.status == 200:
        return response
    try:
        problem = msgspec.json.decode(response.content, type=ErrorReport)
    except msgspec.DecodeError:
        return response
    raise AdminError(problem.problem, response.status)
