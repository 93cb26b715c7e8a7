"""ragwortstand.platform.control: serves readiness, metrics and heartbeats."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeAlias

import msgspec

from ragwortstand.backend_servers import Announcement
from ragwortstand.events import Event, EventLog
from ragwortstand.http_server import CallerRequest
from ragwortstand.ids import ServiceName
from ragwortstand.verdicts import Answered

_READY_PATH = '/api/ready'
_INSTANCES = '/api/instances/'
_HEARTBEAT = '/heartbeat'
_DEREGISTER = '/deregister'
_MAX_ID = 200
_JSON: tuple[tuple[bytes, bytes], ...] = (
    (b'content-type', b'application/json'),
)


_Step: TypeAlias = Callable[[str, bytes], Awaitable[None]]


class _Heartbeat(msgspec.Struct, frozen=True, rename='camel'):
    service: str
    address: str
    # Requests that the backend server runs concurrently; it queues the rest.
    capacity: int
    state: str
    # Increases with each call of one boot.
    seq: int
    # Start of the backend server in Unix milliseconds, which identifies its
    # boot; increases with each boot.
    born: int = 0
    # Time until the backend server is no longer slow from its cold start.
    cold_left_ms: float = 0.0


class _Leaving(msgspec.Struct, frozen=True):
    born: int = 0


class Announced(Protocol):
    """Receives announcements and departures of backend servers."""

    async def announce(self, announcement: Announcement) -> None:
        """Process an announcement of a backend server."""

    async def depart(self, instance: str, boot: int) -> None:
        """Process the deregistration of one boot of a backend server."""


class ReadyApi:
    """Serves the platform's readiness checks and the metrics.

    :param is_ready: returns whether callers may send requests to this host.
    :param metrics: returns the metrics as text.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: Callable[[], bytes],
    ) -> None:
        """Create the API over its two sources."""
        self._is_ready = is_ready
        self._metrics = metrics

    async def answer(self, request: CallerRequest) -> Answered:
        """Return the readiness (200 or 503) or the metrics; else 404."""
        if request.target == _READY_PATH:
            return Answered(200 if self._is_ready() else 503, (), b'')
        if request.target == '/metrics':
            return Answered(200, (), self._metrics())
        return Answered(404, (), b'')


class ControlApi:
    """Handles heartbeats and deregistrations of the local backend server.

    :param announced: receives the decoded announcements and departures.
    :param address: ``host:port`` of the backend server on this host.
    :param log: logs invalid calls.
    """

    def __init__(
        self,
        announced: Announced,
        address: str,
        log: EventLog,
    ) -> None:
        """Create the API for the backend server at an address."""
        self._announced = announced
        self.address = address
        self._log = log

    async def answer(self, request: CallerRequest) -> Answered:
        """Handle a call of the backend server: 200, 400 or 404."""
        path = request.target.partition('?')[0]
        instance, step = _split(path)
        if request.method != 'POST' or not instance:
            return Answered(404, (), b'')
        steps: dict[str, _Step] = {
            _HEARTBEAT: self._heartbeat,
            _DEREGISTER: self._deregister,
        }
        if step not in steps:
            return Answered(404, (), b'')
        try:
            await steps[step](instance, request.body)
        except (msgspec.DecodeError, ValueError) as error:
            self._log.emit(
                Event.ANNOUNCEMENT_REFUSED,
                instance=instance,
                problem=str(error),
            )
            return Answered(400, _JSON, b'{}')
        return Answered(200, _JSON, b'{}')

    async def _heartbeat(self, instance: str, body: bytes) -> None:
        beat = msgspec.json.decode(body, type=_Heartbeat)
        if beat.state not in {'ready', 'draining'}:
            raise ValueError(f'unknown state {beat.state!r}')
        if beat.address != self.address:
            raise ValueError(f'{beat.address} is not the configured address')
        address, _, port = beat.address.rpartition(':')
        if beat.capacity < 1 or not beat.service:
            raise ValueError('no service or no capacity')
        await self._announced.announce(
            Announcement(
                instance=instance,
                service=ServiceName(beat.service),
                address=address,
                port=int(port),
                slots=beat.capacity,
                connections=beat.capacity,
                is_draining=beat.state == 'draining',
                boot=beat.born,
                sequence=beat.seq,
                cold_s=max(0.0, beat.cold_left_ms / 1000),
            ),
        )

    async def _deregister(self, instance: str, body: bytes) -> None:
        leaving = msgspec.json.decode(body or b'{}', type=_Leaving)
        await self._announced.depart(instance, leaving.born)


def _split(path: str) -> tuple[str, str]:
    """Return the instance and the action in a path; empty where invalid."""
    if not path.startswith(_INSTANCES):
        return '', ''
    instance, slash, step = path[len(_INSTANCES) :].partition('/')
    if len(instance) > _MAX_ID:
        return '', ''
    return instance, slash + step
