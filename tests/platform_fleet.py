"""Sidecar processes on loopback with a simulated store and backend servers."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ragwortstand.backend_servers.connections import Endpoint, WireRequest
from ragwortstand.backend_servers.httptools_client import HttptoolsConnection
from ragwortstand.exceptions import BackendServerError
from ragwortstand.http_server import CallerRequest, HttpServer
from ragwortstand.models import CallerLimits
from ragwortstand.sockets import bind, port_of
from ragwortstand.verdicts import Answered, Headers, Verdict
from tests.fakes import ListLog
from tests.store_standin import StoreStandin

_ROOT = pathlib.Path(__file__).parent.parent
_START_LIMIT_S = 20.0
_POLL_S = 0.05
_HEARTBEAT_S = 0.5
_MAX_ANSWER_BYTES = 1 << 20
_GRACE_S = 6.0
# Loopback addresses of this test process. All sidecars serve their metrics on
# the same port, so the sidecars of concurrent runs can't share an address.
_NETWORK = f'127.{1 + os.getpid() // 256 % 250}.{os.getpid() % 256}'
STAMP = b'x-ragwortstand-server-stamp'
REQUEST_ID = b'x-ragwortstand-request-id'


@dataclass
class SimulatedBackendServer:
    """A backend server that records its requests.

    :ivar delay_s: how long each request takes.
    :ivar slots: requests that it runs concurrently.
    :ivar seen: requests that it ran.
    :ivar signals: headers that it adds to each response.
    """

    instance: str
    service: str
    delay_s: float = 0.005
    slots: int = 4
    seen: list[CallerRequest] = field(default_factory=list)
    port: int = 0
    sequence: int = 0
    state: str = 'ready'
    signals: Headers = ()

    async def listen(self, address: str, tasks: TaskGroup) -> int:
        """Serve requests at an address; return the port."""
        return await _serve(self.answer, address, tasks)

    async def answer(self, request: CallerRequest) -> Answered:
        """Run a request; refuse one for another instance."""
        headers = dict(request.headers)
        expected = headers.get(b'x-ragwortstand-expect-instance', b'').decode()
        if expected and expected != self.instance:
            return Answered(421, (), b'')
        self.seen.append(request)
        await anyio.sleep(self.delay_s)
        own = (STAMP, self.instance.encode())
        echo = (REQUEST_ID, headers.get(REQUEST_ID, b''))
        headers_sent = (own, echo, *self.signals)
        return Answered(200, headers_sent, self.instance.encode())


@dataclass
class Host:
    """A host: a sidecar process and its backend server."""

    address: str
    zone: str
    region: str
    backend_server: SimulatedBackendServer
    settings: pathlib.Path
    process: subprocess.Popen[bytes]
    ports: dict[str, int]

    def stop(self) -> None:
        """Send SIGTERM to the sidecar."""
        self.process.send_signal(signal.SIGTERM)

    def restart(self) -> None:
        """Kill the sidecar and start it again."""
        self.process.kill()
        self.process.wait()
        self.process = _start_sidecar(self.settings)


@dataclass
class Fleet:
    """All hosts and the store.

    :ivar lost: number of requests that were sent but got no response.
    """

    store: StoreStandin
    lost: int = 0
    hosts: list[Host] = field(default_factory=list)
    store_server: HttpServer | None = None
    tasks: TaskGroup | None = None

    async def call(
        self,
        host: Host,
        port: str,
        request: WireRequest,
        timeout_s: float = 5.0,
    ) -> Answered | None:
        """Send a request to a port of a host; None without a response."""
        endpoint = Endpoint(host.address, host.ports[port])
        with anyio.move_on_after(timeout_s):
            try:
                connection = await HttptoolsConnection.connect(
                    endpoint, _MAX_ANSWER_BYTES
                )
                answered = await connection.exchange(request)
            except BackendServerError as error:
                self.lost += error.verdict is Verdict.MAY_HAVE_RUN
                return None
            connection.close()
            return answered
        self.lost += 1
        return None

    async def ask(
        self,
        host: Host,
        path: str,
        request_id: str,
        name: bytes = b'jepu.example',
    ) -> Answered | None:
        """Send a request as a caller on the host."""
        headers = (
            (REQUEST_ID, request_id.encode()),
            (b'x-ragwortstand-deadline-ms', b'2000'),
        )
        return await self.call(
            host, 'outbound', WireRequest('GET', path, headers, b'', name)
        )

    async def add_store_address(self) -> tuple[HttpServer, str]:
        """Serve the store at another address, too; return both."""
        assert self.tasks is not None
        server, port = await _start_store(self.store, self.tasks)
        return server, f'127.0.0.1:{port}'

    def restart_all(self) -> None:
        """Kill all sidecars at the same time and start them again."""
        for host in self.hosts:
            host.process.kill()
        for host in self.hosts:
            host.process.wait()
        for host in self.hosts:
            host.process = _start_sidecar(host.settings)

    async def deregister(self, host: Host, body: bytes) -> Answered | None:
        """Deregister a host's backend server."""
        path = f'/api/instances/{host.backend_server.instance}/deregister'
        return await self.call(
            host, 'control', WireRequest('POST', path, (), body)
        )

    async def heartbeat(
        self, host: Host, leave_out: str = '', **changes: object
    ) -> Answered | None:
        """Send a heartbeat of a host's backend server.

        :param leave_out: name of a field to leave out.
        :param changes: fields to send with other values.
        """
        backend_server = host.backend_server
        backend_server.sequence += 1
        body = {
            'service': backend_server.service,
            'address': f'{host.address}:{backend_server.port}',
            'zone': host.zone,
            'version': 'v1',
            'capacity': backend_server.slots,
            'state': backend_server.state,
            'coldLeftMs': 0,
            'seq': backend_server.sequence,
            'born': 1000,
            **changes,
        }
        body.pop(leave_out, None)
        path = f'/api/instances/{backend_server.instance}/heartbeat'
        text = json.dumps(body).encode()
        return await self.call(
            host, 'control', WireRequest('POST', path, (), text)
        )

    async def is_ready(self, host: Host) -> bool:
        """Return whether a host reports that it is ready."""
        request = WireRequest('GET', '/api/ready', (), b'')
        answered = await self.call(host, 'ready', request)
        return answered is not None and answered.status == 200


def free_ports(count: int) -> list[int]:
    """Return unused ports that the operating system assigned."""
    listeners = [bind('127.0.0.1', 0) for _ in range(count)]
    ports = [port_of(listener) for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


@asynccontextmanager
async def running_fleet(
    services: list[str],
    configuration: bytes,
    grace_s: float = _GRACE_S,
    new_server: Callable[..., SimulatedBackendServer] = SimulatedBackendServer,
) -> AsyncIterator[Fleet]:
    """Run one host for each service, and wait until all are ready.

    :param services: service of the backend server of each host.
    :param configuration: value of the operator's row.
    :param grace_s: time between a signal to stop and the exit.
    :param new_server: creates the backend servers.
    """
    store = StoreStandin()
    store.put('op', 'config', configuration)
    names = ('inbound', 'outbound', 'ready', 'control')
    fleet = Fleet(store)
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            store_server, store_port = await _start_store(store, tasks)
            fleet.store_server = store_server
            fleet.tasks = tasks
            ports = dict(zip(names, free_ports(len(names)), strict=True))
            for number, service in enumerate(services, start=1):
                host = await _start_host(
                    pathlib.Path(folder),
                    number,
                    new_server(f'i-{number}', service),
                    grace_s,
                    ports,
                    store_port,
                    tasks,
                )
                fleet.hosts.append(host)
            try:
                await _until_ready(fleet)
                tasks.start_soon(_send_heartbeats, fleet)
                yield fleet
            finally:
                for host in fleet.hosts:
                    host.process.kill()
                    host.process.wait()
                tasks.cancel_scope.cancel()


async def _start_store(store, tasks) -> tuple[HttpServer, int]:
    server = HttpServer(store.answer, CallerLimits, ListLog())
    return server, await _start_server(server, '127.0.0.1', tasks)


async def _serve(answer, address: str, tasks) -> int:
    server = HttpServer(answer, CallerLimits, ListLog())
    return await _start_server(server, address, tasks)


async def _start_server(server: HttpServer, address: str, tasks) -> int:
    listener = bind(address, 0)
    listener.listen()
    tasks.start_soon(server.serve, listener)
    return port_of(listener)


async def _start_host(
    folder, number, backend_server, grace_s, ports, store_port, tasks
):
    address = f'{_NETWORK}.{number + 1}'
    zone, region = f'zone-{number % 2}', 'region'
    backend_server.port = await backend_server.listen(address, tasks)
    settings = folder / f'{number}.json'
    settings.write_text(
        json.dumps(
            {
                'nodeName': f'host-{number}',
                'zone': zone,
                'region': region,
                'listen': {
                    name: f'{address}:{port}' for name, port in ports.items()
                },
                'seeds': [],
                'appAddr': f'{address}:{backend_server.port}',
                'service': backend_server.service,
                'provider': {'address': f'127.0.0.1:{store_port}'},
                'bounds': [f'graceS={grace_s:g}'],
                'heartbeatMs': 1500,
            },
        ),
    )
    process = _start_sidecar(settings)
    return Host(address, zone, region, backend_server, settings, process, ports)


def _start_sidecar(settings: pathlib.Path) -> subprocess.Popen[bytes]:
    with settings.with_suffix('.log').open('ab') as stream:
        return subprocess.Popen(
            [sys.executable, 'deploy/sidecar.py', '--settings', str(settings)],
            cwd=_ROOT,
            stdout=stream,
        )


async def _send_heartbeats(fleet: Fleet) -> None:
    """Send heartbeats of the backend servers that aren't gone."""
    while True:
        await anyio.sleep(_HEARTBEAT_S)
        for host in fleet.hosts:
            if host.backend_server.state != 'gone':
                await fleet.heartbeat(host)


async def _until_ready(fleet: Fleet) -> None:
    with anyio.fail_after(_START_LIMIT_S):
        for host in fleet.hosts:
            while not await fleet.is_ready(host):  # noqa: ASYNC110
                await anyio.sleep(_POLL_S)
            await fleet.heartbeat(host)
