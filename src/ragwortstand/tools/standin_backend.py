"""ragwortstand.tools.standin_backend: stand-in for a backend server.

It waits for the service time of each request and writes a journal of the
requests that it ran, by which the audit counts lost and duplicate runs. The
body of a response is derived from the request, so that callers can verify it.
"""

import enum
import hashlib
import os
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, TextIO, cast

import anyio
import httpcore
import msgspec

from ragwortstand.backend_servers import Announcement

_ANNOUNCE_INTERVAL_S = 0.5
_ANNOUNCE_TIMEOUT_S = 1.0

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class JournalEntry(enum.Enum):
    """Kinds of journal lines."""

    STARTED = 'started'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    SHED = 'shed'


class JournalLine(msgspec.Struct, frozen=True):
    """One line of the journal.

    :param entry: value of a `JournalEntry`.
    :param unix_s: time of the entry, seconds since 1970.
    :param server: name of the backend server.
    :param tag: id that the caller gave the request.
    :param request: id that the daemon gave the request.
    :param rank: rank in the daemon's request headers.
    """

    entry: str
    unix_s: float
    server: str
    tag: str
    request: str
    rank: str


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Behaviour of the stand-in; all fields can be changed while it runs.

    :param service_time_s: mean time to run a request.
    :param spread: service times vary around the mean by up to this share.
    :param slots: requests that run concurrently; more are shed with 503.
    :param connections: announced limit of connections.
    :param is_draining: whether it announces that it is draining.
    :param cold_s: duration of the cold start, during which it is slow.
    :param cold_factor: factor on service times during the cold start.
    :param health_lag_s: delay until its announcements report draining.
    """

    service_time_s: float = 0.02
    spread: float = 0.5
    slots: int = 15
    connections: int = 130
    is_draining: bool = False
    cold_s: float = 0.0
    cold_factor: float = 3.0
    health_lag_s: float = 0.0


def response_body(tag: str, body: bytes, size_bytes: int = 64) -> bytes:
    """Return the body of the stand-in's response to a request.

    :param tag: id that the caller gave the request.
    :param body: body of the request.
    :param size_bytes: size of the response's body.
    """
    digest = hashlib.sha256(f'{tag}\0'.encode() + body).hexdigest()
    repeats = size_bytes // len(digest) + 1
    return (digest * repeats)[:size_bytes].encode()


class BackendServerStandin:
    """A backend server as an ASGI application.

    A request with the header `standin-crash` kills the process.

    :param name: name in the journal.
    :param service: service that it announces.
    :param behaviour: initial behaviour.
    :param journal: text stream to which journal lines are written.
    :param seed: seed of the service times.
    :param mesh_url: URL of its daemon for callers, used for nested calls.
    """

    def __init__(
        self,
        name: str,
        service: str,
        behaviour: Behaviour,
        journal: TextIO,
        seed: int = 0,
        mesh_url: str = '',
    ) -> None:
        """Create a server without requests in flight."""
        self._mesh_url = mesh_url
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)
        self._name = name
        self._service = service
        self._journal = journal
        self._rng = random.Random(seed)
        self._started_s = time.monotonic()
        self._draining_since_s: float | None = None
        self.behaviour = behaviour
        self.in_flight = 0
        self.peak_in_flight = 0

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one HTTP request."""
        headers = dict(scope['headers'])
        body = await _read_body(receive)
        if scope['path'] == '/standin/behaviour':
            self._set_behaviour(body)
            await _respond(send, 200, msgspec.json.encode(self.behaviour))
        elif scope['path'] == '/standin/peak':
            await _respond(send, 200, b'%d' % self.peak_in_flight)
        else:
            await self._run_request(headers, body, receive, send)

    async def announce(self, url: str, address: str, port: int) -> None:
        """Announce this server to its daemon until cancelled.

        :param url: URL to which announcements are posted.
        :param address: IP address to announce.
        :param port: TCP port to announce.
        """
        timeouts = dict.fromkeys(
            ('connect', 'read', 'write', 'pool'), _ANNOUNCE_TIMEOUT_S
        )
        instance = f'{os.getpid()}-{time.time():.6f}'
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                body = msgspec.json.encode(
                    self._announcement(instance, address, port)
                )
                try:
                    await pool.request(
                        'POST',
                        url,
                        content=body,
                        extensions={'timeout': timeouts},
                    )
                except (httpcore.NetworkError, httpcore.TimeoutException):
                    await anyio.sleep(_ANNOUNCE_INTERVAL_S / 2)
                await anyio.sleep(_ANNOUNCE_INTERVAL_S)

    def _announcement(
        self,
        instance: str,
        address: str,
        port: int,
    ) -> Announcement:
        behaviour = self.behaviour
        is_draining = False
        if self._draining_since_s is not None:
            lag_s = time.monotonic() - self._draining_since_s
            is_draining = lag_s >= behaviour.health_lag_s
        return Announcement(
            instance=instance,
            service=self._service,  # type: ignore[arg-type]
            address=address,
            port=port,
            slots=behaviour.slots,
            connections=behaviour.connections,
            is_draining=is_draining,
        )

    def _set_behaviour(self, body: bytes) -> None:
        if body:
            self.behaviour = msgspec.json.decode(body, type=Behaviour)
        is_draining = self.behaviour.is_draining
        if is_draining and self._draining_since_s is None:
            self._draining_since_s = time.monotonic()
        if not is_draining:
            self._draining_since_s = None

    async def _run_request(
        self,
        headers: dict[bytes, bytes],
        body: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        if b'standin-crash' in headers:
            self._write_journal_line(JournalEntry.STARTED, headers)
            os._exit(70)
        if self.in_flight >= self.behaviour.slots:
            self._write_journal_line(JournalEntry.SHED, headers)
            await _respond(send, 503, b'shed')
            return
        self._write_journal_line(JournalEntry.STARTED, headers)
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        try:
            is_finished = await _wait_service_time(
                self._service_time_s(headers), receive
            )
        finally:
            self.in_flight -= 1
        if not is_finished:
            self._write_journal_line(JournalEntry.CANCELLED, headers)
            return
        if not await self._make_nested_call(headers):
            self._write_journal_line(JournalEntry.FINISHED, headers)
            await _respond(send, 502, b'a deeper call failed')
            return
        self._write_journal_line(JournalEntry.FINISHED, headers)
        tag = headers.get(b'standin-tag', b'').decode()
        size = int(headers.get(b'standin-size', b'64'))
        await _respond(send, 200, response_body(tag, body, size))

    async def _make_nested_call(self, headers: dict[bytes, bytes]) -> bool:
        """Make a nested call through the mesh; return whether it succeeded.

        The header `standin-deeper` lists the paths of the nested calls, one a
        level; the call passes on all but the first. Without paths, no call is
        made.
        """
        path, _, next_paths = headers.get(b'standin-deeper', b'').partition(
            b','
        )
        if not path:
            return True
        forwarded_names = (
            b'ragwort-timeout-ms',
            b'ragwort-rank',
            b'standin-tag',
        )
        response = await self._pool.request(
            'GET',
            f'{self._mesh_url}{path.decode()}',
            headers=[
                (b'standin-deeper', next_paths),
                *((name, headers[name]) for name in forwarded_names),
            ],
        )
        return response.status == 200

    def _service_time_s(self, headers: dict[bytes, bytes]) -> float:
        behaviour = self.behaviour
        requested_ms = headers.get(b'standin-service-ms')
        mean_s = (
            int(requested_ms) / 1000
            if requested_ms
            else behaviour.service_time_s
        )
        if time.monotonic() - self._started_s < behaviour.cold_s:
            mean_s *= behaviour.cold_factor
        spread = behaviour.spread
        return mean_s * self._rng.uniform(1 - spread, 1 + spread)

    def _write_journal_line(
        self, entry: JournalEntry, headers: dict[bytes, bytes]
    ) -> None:
        line = JournalLine(
            entry=entry.value,
            unix_s=time.time(),
            server=self._name,
            tag=headers.get(b'standin-tag', b'').decode(),
            request=headers.get(b'ragwort-request-id', b'').decode(),
            rank=headers.get(b'ragwort-rank', b'').decode(),
        )
        self._journal.write(f'{msgspec.json.encode(line).decode()}\n')
        self._journal.flush()


async def _wait_service_time(duration_s: float, receive: Receive) -> bool:
    """Wait for the service time; return whether the caller stayed connected."""
    if duration_s <= 0:
        return True
    disconnected = anyio.Event()

    async def wait_for_disconnect() -> None:
        message = await receive()
        if message['type'] == 'http.disconnect':
            disconnected.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait_for_disconnect)
        with anyio.move_on_after(duration_s):
            await disconnected.wait()
        tasks.cancel_scope.cancel()
    return not disconnected.is_set()


async def _read_body(receive: Receive) -> bytes:
    body = b''
    while True:
        message = await receive()
        body += cast(bytes, message.get('body', b''))
        if not message.get('more_body', False):
            return body


async def _respond(send: Send, status: int, body: bytes) -> None:
    size = (b'content-length', b'%d' % len(body))
    start = {'type': 'http.response.start', 'status': status}
    await send({**start, 'headers': [size]})
    await send({'type': 'http.response.body', 'body': body})
