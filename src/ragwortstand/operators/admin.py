"""ragwortstand.operators.admin: serves the admin API over HTTP."""

import hmac
import time
from collections.abc import Awaitable, Callable
from types import MappingProxyType

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ragwortstand import api
from ragwortstand.backend_servers import Announcement, BackendServer
from ragwortstand.decoding import decode_json
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import Fault, PlatformError
from ragwortstand.ids import SubmissionId, Version
from ragwortstand.metrics import Metrics
from ragwortstand.operators.documents import (
    CheckReport,
    ErrorReport,
    FaultReport,
    HistoryReport,
    StatusReport,
    SubmissionReport,
)
from ragwortstand.operators.fleet_reporter import FleetReporter
from ragwortstand.settings import AdminSettings
from ragwortstand.storage.version_store import (
    Accepted,
    Conflict,
    Faulty,
    Submission,
    SubmissionOutcome,
    Unavailable,
    VersionStore,
)
from ragwortstand.versions import VersionGate

_DEFAULT_HISTORY_LIMIT = 20
_MAX_HISTORY_LIMIT = 200
_LOOPBACK_PREFIX = '127.'
_SUBMISSION_STATUS = MappingProxyType(
    {
        Accepted: 200,
        Faulty: 422,
        Conflict: 409,
        Unavailable: 503,
    },
)

Endpoint = Callable[[Request], Awaitable[Response]]


class Admin:
    """The admin API, with its ASGI application in `app`.

    :param settings: the bearer token, and the address of this host.
    :param version_store: commits and reads versions.
    :param backend_server: the backend server on this host.
    :param gate: holds the version in force.
    :param metrics: metrics of the daemon.
    :param log: event log for the outcomes of submissions.
    :param fleet: reports on all daemons and applies accepted versions.
    :param drain: makes the daemon refuse new requests.
    :param is_platform_reachable: returns whether the last call to the platform
        succeeded.
    """

    def __init__(
        self,
        settings: AdminSettings,
        version_store: VersionStore,
        backend_server: BackendServer,
        gate: VersionGate,
        metrics: Metrics,
        log: EventLog,
        fleet: FleetReporter,
        drain: Callable[[], None],
        is_platform_reachable: Callable[[], bool],
    ) -> None:
        """Create the ASGI application."""
        self._authorization = f'Bearer {settings.token}'.encode()
        self._address = settings.address
        self._version_store = version_store
        self._backend_server = backend_server
        self._gate = gate
        self._metrics = metrics
        self._log = log
        self._fleet = fleet
        self._drain = drain
        self._is_platform_reachable = is_platform_reachable
        self.app = Starlette(routes=self._routes())

    def _routes(self) -> list[Route]:
        authenticated: dict[tuple[str, str], Endpoint] = {
            ('POST', '/v1/check'): self._check,
            ('POST', '/v1/submit'): self._submit,
            ('GET', '/v1/status'): self._status,
            ('GET', '/v1/applied'): self._applied,
            ('GET', '/v1/history'): self._history,
            ('GET', '/v1/versions/{version:int}'): self._version,
            ('GET', '/v1/members'): self._members,
            ('POST', '/v1/drain'): self._start_drain,
            ('GET', '/metrics'): self._render_metrics,
        }
        routes = [
            Route(path, self._authenticated(endpoint), methods=[method])
            for (method, path), endpoint in authenticated.items()
        ]
        announce = Route('/v1/announce', self._announce, methods=['POST'])
        return [*routes, announce]

    def _authenticated(self, endpoint: Endpoint) -> Endpoint:
        async def authenticated(request: Request) -> Response:
            credentials = request.headers.get('authorization', '').encode()
            if not hmac.compare_digest(credentials, self._authorization):
                return _error_response(401, 'a valid bearer token is required')
            try:
                return await endpoint(request)
            except PlatformError as error:
                return _error_response(503, f'platform: {error}')
            except ValueError as error:
                return _error_response(400, str(error))

        return authenticated

    async def _check(self, request: Request) -> Response:
        faults = api.check(await request.body())
        return _json_response(CheckReport(_fault_reports(faults)))

    async def _submit(self, request: Request) -> Response:
        query = request.query_params
        base = query.get('base')
        submission = Submission(
            content=await request.body(),
            submission=SubmissionId(
                _require_submission_id(query.get('submission'))
            ),
            base=None if base is None else Version(int(base)),
            author=query.get('author', ''),
        )
        outcome = await self._version_store.submit(submission, time.time())
        if isinstance(outcome, Accepted):
            self._fleet.apply_accepted(outcome.record, submission.content)
        self._log_outcome(outcome, submission)
        status = _SUBMISSION_STATUS[type(outcome)]
        return _json_response(_submission_report(outcome), status)

    async def _status(self, request: Request) -> Response:
        snapshot = self._gate.snapshot
        return _json_response(
            StatusReport(
                host=self._fleet.own_host,
                version=self._gate.version,
                digest=snapshot.digest if snapshot else '',
                is_ready=self._fleet.is_ready,
                backend_server=self._backend_server.state.value,
                in_flight=self._backend_server.in_flight,
                is_platform_reachable=self._is_platform_reachable(),
            ),
        )

    async def _applied(self, request: Request) -> Response:
        requested = request.query_params.get('version')
        version = Version(int(requested)) if requested else self._gate.version
        return _json_response(await self._fleet.applied(version))

    async def _history(self, request: Request) -> Response:
        requested = int(
            request.query_params.get('limit', _DEFAULT_HISTORY_LIMIT)
        )
        limit = max(1, min(requested, _MAX_HISTORY_LIMIT))
        return _json_response(
            HistoryReport(await self._version_store.history(limit))
        )

    async def _version(self, request: Request) -> Response:
        version = Version(request.path_params['version'])
        record = await self._version_store.version(version)
        content = None
        if record:
            content = await self._version_store.content(record.digest)
        if content is None:
            return _error_response(404, f'version {version} does not exist')
        return Response(content, media_type='application/json')

    async def _members(self, request: Request) -> Response:
        return _json_response(self._fleet.members())

    async def _start_drain(self, request: Request) -> Response:
        self._drain()
        return await self._status(request)

    async def _render_metrics(self, request: Request) -> Response:
        return Response(self._metrics.render(), media_type='text/plain')

    async def _announce(self, request: Request) -> Response:
        if not self._is_same_host(request):
            return _error_response(
                403, 'announcements are only accepted from the same host'
            )
        try:
            announcement = decode_json(await request.body(), Announcement)
        except msgspec.DecodeError as error:
            return _error_response(400, f'malformed announcement: {error}')
        await self._backend_server.announce(announcement, anyio.current_time())
        return Response(status_code=204)

    def _is_same_host(self, request: Request) -> bool:
        address = request.client.host if request.client else ''
        return address == self._address or address.startswith(_LOOPBACK_PREFIX)

    def _log_outcome(
        self,
        outcome: SubmissionOutcome,
        submission: Submission,
    ) -> None:
        event = Event.SUBMISSION_REFUSED
        version = None
        if isinstance(outcome, Accepted):
            event = Event.ACCEPTED
            version = outcome.record.version
        self._log.emit(
            event,
            submission=submission.submission,
            author=submission.author,
            outcome=type(outcome).__name__.lower(),
            version=version,
        )


def _json_response(document: msgspec.Struct, status: int = 200) -> Response:
    content = msgspec.json.encode(document)
    return Response(content, status, media_type='application/json')


def _error_response(status: int, problem: str) -> Response:
    return _json_response(ErrorReport(problem), status)


def _require_submission_id(text: str | None) -> str:
    if not text:
        raise ValueError('the query parameter submission is missing')
    return text


def _fault_reports(faults: tuple[Fault, ...]) -> tuple[FaultReport, ...]:
    return tuple(FaultReport(fault.path, fault.problem) for fault in faults)


def _submission_report(outcome: SubmissionOutcome) -> SubmissionReport:
    match outcome:
        case Accepted():
            return SubmissionReport('accepted', outcome.record)
        case Faulty():
            faults = _fault_reports(outcome.faults)
            return SubmissionReport('faulty', faults=faults)
        case Conflict():
            return SubmissionReport('conflict', outcome.winner)
        case Unavailable():
            return SubmissionReport(
                'unavailable',
                problem=outcome.problem,
                verdict=outcome.verdict.value,
            )
