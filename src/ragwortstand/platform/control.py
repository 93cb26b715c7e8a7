"""ragwortstand.platform.control: serves readiness, metrics and heartbeats."""

import time
from collections.abc import Awaitable, Callable
from typing import Annotated, Literal, Protocol, TypeAlias

import msgspec

from ragwortstand.backend_servers import Announcement
from ragwortstand.backend_servers.announcements import (
    MAX_COLD_START_S,
    MAX_PLACES,
)
from ragwortstand.decoding import Count, DialledPort, decode_json
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PlatformError
from ragwortstand.http_server import CallerRequest
from ragwortstand.ids import ServiceName
from ragwortstand.verdicts import Answered

_READY_PATH = '/api/ready'
_INSTANCES_PREFIX = '/api/instances/'
_HEARTBEAT_ACTION = '/heartbeat'
_DEREGISTER_ACTION = '/deregister'
_MAX_INSTANCE_ID_LENGTH = 200
# Clocks of hosts differ by seconds; a start later than this is none.
_MAX_CLOCK_OFFSET_MS = 3_600_000
# Calls of one boot: at most one in this time, far more often than servers call,
# and some for clocks that differ.
_MIN_CALL_INTERVAL_MS = 10
_SPARE_CALLS = 100_000
_NANOSECONDS_PER_MS = 1_000_000
_JSON_HEADERS: tuple[tuple[bytes, bytes], ...] = (
    (b'content-type', b'application/json'),
)


_Handler: TypeAlias = Callable[[str, bytes], Awaitable[None]]


def _unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // _NANOSECONDS_PER_MS


class _Heartbeat(msgspec.Struct, frozen=True, rename='camel'):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    # Version of the backend server's software.
    version: str
    # Requests that the backend server runs concurrently; it queues the rest.
    capacity: Annotated[int, msgspec.Meta(ge=1, le=MAX_PLACES)]
    state: Literal['ready', 'draining']
    # Increases with each call of one boot.
    seq: Count
    # Time until the backend server is no longer slow from its cold start.
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_START_S * 1000)]
    # Start of the backend server in Unix milliseconds, which identifies its
    # boot; increases with each boot.
    born: Count = 0


class _Deregistration(msgspec.Struct, frozen=True):
    # None in calls without a body, which do not say which boot deregisters.
    born: Count | None = None


class AnnouncementReceiver(Protocol):
    """Receives announcements and departures of backend servers."""

    async def announce(self, announcement: Announcement) -> None:
        """Process an announcement of a backend server.

        :raises PlatformError: when it can't be processed yet.
        :raises ValueError: when it says that a server drains, and is ignored.
        """

    async def depart(
        self, instance: str, boot: int, *, is_upper_bound: bool
    ) -> None:
        """Process the deregistration of a backend server.

        All its boots up to the given one are leaving or have ended, and send
        no more announcements. It is an upper bound where the call names none.
        """


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

    :param receiver: receives the decoded announcements and departures.
    :param address: ``host:port`` of the backend server on this host.
    :param log: logs invalid calls.
    :param unix_ms: returns the time of day in Unix milliseconds.
    """

    def __init__(
        self,
        receiver: AnnouncementReceiver,
        address: str,
        log: EventLog,
        unix_ms: Callable[[], int] = _unix_ms,
    ) -> None:
        """Create the API for the backend server at an address."""
        self._receiver = receiver
        self.address = address
        self._log = log
        self._unix_ms = unix_ms

    async def answer(self, request: CallerRequest) -> Answered:
        """Handle a call of the backend server.

        :returns: status 200, 400, 404, or 503 if it can't be handled yet.
        """
        path = request.target.partition('?')[0]
        instance, action = _parse_path(path)
        if request.method != 'POST' or not instance:
            return Answered(404, (), b'')
        handlers: dict[str, _Handler] = {
            _HEARTBEAT_ACTION: self._handle_heartbeat,
            _DEREGISTER_ACTION: self._handle_deregistration,
        }
        if action not in handlers:
            return Answered(404, (), b'')
        try:
            await handlers[action](instance, request.body)
        except (msgspec.DecodeError, ValueError) as error:
            self._log.emit(
                Event.ANNOUNCEMENT_REFUSED,
                instance=instance,
                problem=str(error),
            )
            return Answered(400, _JSON_HEADERS, b'{}')
        except PlatformError as error:
            self._log.emit(
                Event.ANNOUNCEMENT_REFUSED,
                instance=instance,
                problem=str(error),
            )
            return Answered(503, _JSON_HEADERS, b'{}')
        return Answered(200, _JSON_HEADERS, b'{}')

    async def _handle_heartbeat(self, instance: str, body: bytes) -> None:
        heartbeat = decode_json(body, _Heartbeat)
        if heartbeat.address != self.address:
            raise ValueError(
                f'{heartbeat.address} is not the configured address'
            )
        address, port = _parse_address(heartbeat.address)
        age_ms = _checked_age_ms(heartbeat.born, self._unix_ms())
        max_calls = _SPARE_CALLS + age_ms // _MIN_CALL_INTERVAL_MS
        if heartbeat.seq > max_calls:
            raise ValueError(f'seq {heartbeat.seq} is too large for its start')
        await self._receiver.announce(
            Announcement(
                instance=instance,
                service=ServiceName(heartbeat.service),
                address=address,
                port=port,
                slots=heartbeat.capacity,
                connections=heartbeat.capacity,
                is_draining=heartbeat.state == 'draining',
                boot=heartbeat.born,
                sequence=heartbeat.seq,
                cold_s=max(0.0, heartbeat.cold_left_ms / 1000),
            ),
        )

    async def _handle_deregistration(self, instance: str, body: bytes) -> None:
        deregistration = decode_json(body or b'{}', _Deregistration)
        born = deregistration.born
        if born is not None:
            _checked_age_ms(born, self._unix_ms())
        # Boots are numbered by the time of their start. One that starts after
        # this call is a new backend server under the same id.
        await self._receiver.depart(
            instance,
            self._unix_ms() if born is None else born,
            is_upper_bound=born is None,
        )


def _checked_age_ms(born: int, now_unix_ms: int) -> int:
    """Return the time since the start of a server, 0 with clocks that differ.

    A start that is far too late would make all later heartbeats outdated.

    :param born: the start in Unix milliseconds.
    :param now_unix_ms: present time of day.
    :raises ValueError: when the start is in the future.
    """
    if born > now_unix_ms + _MAX_CLOCK_OFFSET_MS:
        raise ValueError(f'born {born} is in the future')
    return max(0, now_unix_ms - born)


def _parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    :param text: ``host:port``.
    :raises ValueError: when it names no host, or no port to connect to.
    """
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError(f'{text!r} is not host:port')
    return host, msgspec.convert(port, DialledPort, strict=False)


def _parse_path(path: str) -> tuple[str, str]:
    """Return the instance and the action in a path; empty where invalid."""
    if not path.startswith(_INSTANCES_PREFIX):
        return '', ''
    instance, slash, action = path[len(_INSTANCES_PREFIX) :].partition('/')
    if len(instance) > _MAX_INSTANCE_ID_LENGTH:
        return '', ''
    return instance, slash + action
