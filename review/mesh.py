"""A small deployment on loopback: sidecars, workers, store and clients.

The sidecars are separate processes, started with the command of
`deploy/system.toml`. The workers, the platform's store and the clients are
stand-ins that follow the users' pages, and run in the process of the test.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass
from urllib.parse import parse_qsl

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LIMIT_S = 115.0
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'syncS': 4,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'revertSlackMs': 250,
    'stretchMaxMs': 5000,
    'retryRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 62,
    'recoveryS': 15,
}
HEARTBEAT_S = 1.5
ZONES = ('dakar-a', 'thies-a', 'dakar-b', 'thies-b')


class SetupError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._start = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def now(self) -> float:
        return time.monotonic() - self._start

    def __call__(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


@dataclass
class Message:
    """A parsed HTTP/1.1 request or response."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a length; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    size = int(headers.get('content-length', 0))
    try:
        body = await reader.readexactly(size) if size else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    lines = [first]
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def exchange(
    address: str,
    first: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Message | None:
    """Send one request on a new connection; None without a response."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(first, headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


class Listener:
    """A TCP server whose open connections can be reset, as by a crash."""

    def __init__(self, address: str, handle) -> None:
        self.address = address
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        # Port 0 lets the system choose a free one.
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._handle(message)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store, as `PROTOCOL.md` describes it."""

    def __init__(self, address: str) -> None:
        self.address = address
        # One address for each machine, all of the same store.
        self.listeners: dict[str, Listener] = {}
        # Machines that the store does not answer, and those that poll a feed.
        self.silent: set[str] = set()
        self.pollers: set[str] = set()
        self._version = 0
        self._rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self._changes: list[tuple[int, tuple[str, str, str]]] = []
        self._changed = asyncio.Event()
        self._start = time.monotonic()

    async def serve(self, machine: str) -> str:
        """Open the address for a machine and return it."""

        async def answer(message: Message) -> bytes:
            encoded = await self._answer(machine, message)
            if machine in self.silent:
                # Nothing more is delivered on this connection.
                await asyncio.sleep(3600)
            return encoded

        listener = Listener(f'{self.address}:0', answer)
        self.listeners[machine] = listener
        await listener.start()
        return listener.address

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table."""
        return sorted(key[2] for key in self._rows if key[0] == table)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator."""
        self._version += 1
        self._write((table, '', key), value)

    def _write(self, row_key, value: bytes | None) -> None:
        if value is None:
            self._rows.pop(row_key, None)
        else:
            self._rows[row_key] = (value, self._version)
        self._changes.append((self._version, row_key))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, machine: str, message: Message) -> bytes:
        method, target, _ = message.first.split(' ')
        path, _, query_text = target.partition('?')
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        await asyncio.sleep(0.004)
        status, document = 404, {}
        if path == '/api/rows-get':
            status, document = 200, self._get(query)
        elif path == '/api/rows-parts':
            parts = sorted(
                {key[1] for key in self._rows if key[0] == query['table']}
            )
            status, document = 200, {'parts': parts, 'hasMore': False}
        elif path == '/api/rows-feed':
            self.pollers.add(machine)
            try:
                status, document = 200, await self._feed(query)
            finally:
                self.pollers.discard(machine)
        elif path == '/api/rows-tx' and method == 'POST':
            status, document = self._transact(json.loads(message.body))
        document.setdefault('ver', self._version)
        document['nowMs'] = int((time.monotonic() - self._start) * 1000)
        return encode(
            f'HTTP/1.1 {status} Status',
            {'Content-Type': 'application/json'},
            json.dumps(document).encode(),
        )

    def _row(self, row_key) -> dict:
        table, part, key = row_key
        fields = {'table': table, 'part': part, 'key': key}
        if row_key not in self._rows:
            return {**fields, 'ver': self._version, 'deleted': True}
        value, version = self._rows[row_key]
        text = base64.b64encode(value).decode()
        return {**fields, 'value': text, 'ver': version}

    def _get(self, query: dict[str, str]) -> dict:
        start, end = query.get('from', ''), query.get('to')
        limit = min(int(query.get('limit', 500)), 500)
        found = [
            row_key
            for row_key in sorted(self._rows)
            if row_key[0] == query['table']
            and row_key[1] == query.get('part', '')
            and row_key[2] >= start
            and (not end or row_key[2] < end)
        ]
        rows = [self._row(row_key) for row_key in found[:limit]]
        return {'rows': rows, 'hasMore': len(found) > limit}

    async def _feed(self, query: dict[str, str]) -> dict:
        after = int(query['after'])
        end = time.monotonic() + min(int(query.get('waitMs', 0)), 30000) / 1000
        while True:
            latest = {
                row_key: version
                for version, row_key in self._changes
                if version > after and row_key[0] == query['table']
            }
            left = end - time.monotonic()
            if latest or left <= 0:
                order = sorted(latest, key=latest.__getitem__)
                return {'rows': [self._row(row_key) for row_key in order]}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, document: dict) -> tuple[int, dict]:
        def key_of(entry: dict):
            return entry['table'], entry.get('part', ''), entry['key']

        for condition in document.get('expectRev', ()):
            row_key = key_of(condition)
            if self._rows.get(row_key, (b'', 0))[1] != condition['ver']:
                return 412, {'rows': [self._row(row_key)]}
        if any(
            entry['table'] in {'op', 'servers'}
            for entry in (*document.get('puts', ()), *document.get('remove', ()))
        ):
            return 403, {}
        self._version += 1
        for put in document.get('puts', ()):
            self._write(key_of(put), base64.b64decode(put['value']))
        for removed in document.get('remove', ()):
            self._write(key_of(removed), None)
        return 200, {'ver': self._version}


@dataclass
class Run:
    """One request that a worker began to run."""

    at_s: float
    worker: str
    request_id: str
    path: str
    host: str


class Worker:
    """An application worker: runs requests and sends heartbeats."""

    def __init__(self, mesh: 'Mesh', host: 'Host', service: str) -> None:
        self._mesh = mesh
        self._host = host
        self.service = service
        self.capacity = 13
        self.work_s = 0.08
        self.poison = ''
        self.boots = 0
        self.is_up = False
        self.beats = True
        self.listener = Listener(host.app_address, self._answer)
        self._slots = asyncio.Semaphore(self.capacity)

    async def start(self) -> None:
        self.boots += 1
        self.instance = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._slots = asyncio.Semaphore(self.capacity)
        self._waiting = 0
        await self.listener.start()
        self.is_up = True
        self.beats = True
        self._mesh.record(
            f'worker {self.instance} of {self.service} starts on {self._host.name}'
        )
        self._task = asyncio.create_task(self._beat(self.instance))

    def end(self) -> None:
        self.is_up = False
        self.beats = False
        self.listener.crash()

    def heartbeat_body(self, state: str = 'ready') -> bytes:
        self.sequence += 1
        return json.dumps(
            {
                'service': self.service,
                'address': self._host.app_address,
                'zone': self._host.zone,
                'version': 'v1',
                'capacity': self.capacity,
                'state': state,
                'coldLeftMs': 0,
                'seq': self.sequence,
                'born': self.born,
            }
        ).encode()

    async def post(self, action: str, body: bytes) -> Message | None:
        return await exchange(
            self._host.control,
            f'POST /api/instances/{self.instance}/{action} HTTP/1.1',
            {'Host': self._host.control, 'Content-Type': 'application/json'},
            body,
            1.0,
        )

    async def _beat(self, instance: str) -> None:
        while self.is_up and self.instance == instance:
            if self.beats:
                await self.post('heartbeat', self.heartbeat_body())
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, message: Message) -> bytes | None:
        method, target, _ = message.first.split(' ')
        request_id = message.headers.get('x-ragwortstand-request-id', '')
        echo = {'X-Ragwortstand-Request-Id': request_id}
        expected = message.headers.get('x-ragwortstand-expect-instance')
        if expected and expected != self.instance:
            return encode('HTTP/1.1 421 Misdirected Request', echo)
        if not request_id:
            return encode(
                'HTTP/1.1 400 Bad Request', {'X-Ragwortstand-Not-Run': '1'}
            )
        if self._waiting >= 52:
            return encode(
                'HTTP/1.1 503 Service Unavailable',
                {**echo, 'X-Ragwortstand-Not-Run': '1'},
            )
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            return await self._run(method, target, request_id, echo)

    async def _run(self, method, target, request_id, echo) -> bytes | None:
        mesh = self._mesh
        mesh.runs.append(
            Run(
                mesh.record.now(),
                self.instance,
                request_id,
                target,
                self._host.name,
            )
        )
        mesh.record(
            f'run {method} {target} id {request_id} on {self.instance}'
            f' of {self._host.name}'
        )
        if self.poison and target.startswith(self.poison):
            self._mesh.record(f'worker {self.instance} crashes')
            self.end()
            self._mesh.spawn(self._back())
            return None
        await asyncio.sleep(self.work_s)
        body = f'{self.instance} {request_id}'.encode()
        stamp = {'X-Ragwortstand-Server-Stamp': f'{self.instance}.{request_id}'}
        return encode('HTTP/1.1 200 OK', {**echo, **stamp}, body)

    async def _back(self) -> None:
        await asyncio.sleep(2.0)
        await self.start()


@dataclass
class Host:
    """A machine: a sidecar process and the worker beside it."""

    name: str
    zone: str
    region: str
    ip: str
    ports: dict[str, int]
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    worker: Worker | None = None

    def listen(self, name: str) -> str:
        return f'{self.ip}:{self.ports[name]}'

    @property
    def app_address(self) -> str:
        return self.listen('app')

    @property
    def control(self) -> str:
        return self.listen('control')


class Mesh:
    """The whole deployment."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.runs: list[Run] = []
        # Starts of sidecars and signals to them.
        self.touched: list[tuple[str, float]] = []
        self.hosts: list[Host] = []
        self.max_body_bytes = 1048576
        self._tasks: set[asyncio.Task] = set()
        self._temporary = tempfile.TemporaryDirectory()
        pid = os.getpid()
        self._network = f'127.{20 + pid // 250 % 200}.{pid % 250}'

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, services: list[str], routes: list[dict]) -> None:
        """Start the store, one host for each service, and wait until ready."""
        self.start_store(services, routes)
        for number, service in enumerate(services, start=1):
            zone = ZONES[(number - 1) % len(ZONES)]
            await self.add_host(f'sidecar-{zone}-{number}', zone, service)
        for host in self.hosts:
            await self.start_sidecar(host)
        for host in self.hosts:
            await host.worker.start()
        await asyncio.gather(*(self.until_ready(one) for one in self.hosts))
        await asyncio.sleep(4.0)

    def start_store(self, services: list[str], routes: list[dict]) -> None:
        """Create the store, with the first configuration."""
        if not (ROOT / 'target' / 'deps').is_dir():
            raise SetupError('target/deps is missing: run the build line')
        names = ('inbound', 'outbound', 'ready', 'control', 'app')
        self._ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.store = Store(f'{self._network}.1')
        document = configuration(1, services, routes, self.max_body_bytes)
        self.store.put('op', 'config', document)

    async def add_host(self, name: str, zone: str, service: str) -> Host:
        """Create a machine; its processes are not started yet."""
        host = Host(
            name,
            zone,
            zone.split('-')[0],
            f'{self._network}.{len(self.hosts) + 10}',
            self._ports,
            pathlib.Path(self._temporary.name) / f'{name}.json',
        )
        provider = await self.store.serve(name)
        settings = self._settings(host, service, provider)
        host.settings.write_text(json.dumps(settings))
        host.worker = Worker(self, host, service)
        self.hosts.append(host)
        return host

    async def start_sidecar(self, host: Host) -> None:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['RAGWORTSTAND_SETTINGS'] = str(host.settings)
        with host.settings.with_suffix('.log').open('ab') as log:
            host.process = await asyncio.create_subprocess_exec(
                'python3',
                'deploy/sidecar.py',
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.touched.append((host.name, self.record.now()))
        self.record(f'sidecar of {host.name} starts')

    async def until_ready(self, host: Host, timeout_s: float = 20.0) -> None:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            answer = await exchange(
                host.listen('ready'), 'GET /api/ready HTTP/1.1', {}, b'', 1.0
            )
            if answer and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise SetupError(f'{host.name} is not ready')

    async def signal(self, host: Host, number: signal.Signals) -> None:
        self.record(f'{number.name} to the sidecar of {host.name}')
        self.touched.append((host.name, self.record.now()))
        host.process.send_signal(number)

    async def ask(
        self,
        host: Host,
        method: str,
        name: str,
        path: str,
        body: bytes = b'',
        deadline_ms: int = 2000,
    ) -> tuple[str, int]:
        """Send a request of a client; return its id and the status, or 0."""
        request_id = f'{random.getrandbits(64):016x}'
        self.record(f'sent {method} {path} id {request_id} to {host.name}')
        answer = await exchange(
            host.listen('outbound'),
            f'{method} {path} HTTP/1.1',
            {
                'Host': name,
                'X-Ragwortstand-Request-Id': request_id,
                'X-Ragwortstand-Deadline-Ms': str(deadline_ms),
            },
            body,
            deadline_ms / 1000 + 1.0,
        )
        status = answer.status if answer else 0
        self.record(f'answered id {request_id}: {status or "nothing"}')
        return request_id, status

    def stop(self) -> None:
        """End the processes that were started."""
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
        for task in self._tasks:
            task.cancel()

    async def wait_ended(self) -> None:
        for host in self.hosts:
            if host.process:
                await host.process.wait()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(
                self._temporary.name, os.environ['KEEP_LOGS'], dirs_exist_ok=True
            )
        self._temporary.cleanup()

    def _settings(self, host: Host, service: str, provider: str) -> dict:
        return {
            'nodeName': host.name,
            'role': 'sidecar',
            'machineClass': 'sidecar',
            'serves': ['sidecar', 'control'],
            'ip': host.ip,
            'zone': host.zone,
            'region': host.region,
            'zones': {
                'dakar-a': 'dakar',
                'thies-a': 'thies',
                'dakar-b': 'dakar',
                'thies-b': 'thies',
            },
            'listen': {
                name: host.listen(name)
                for name in ('inbound', 'outbound', 'ready', 'control')
            },
            'portRange': [7600, 7615],
            'seeds': [],
            'bootstrap': True,
            'countsLoss': False,
            'limits': {
                'cpuShare': 0.86,
                'cpus': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'static',
            'entry': 'static',
            'heartbeatMs': int(HEARTBEAT_S * 1000),
            'contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'platform',
            ],
            'faultTolerance': {'nodes': 2, 'zones': 0, 'regions': 0},
            'bounds': [f'{name}={value}' for name, value in BOUNDS.items()],
            'appAddr': host.app_address,
            'service': service,
            'provider': {
                'address': provider,
                'form': 'table',
                'writesPerS': 400,
                'readsPerS': 2000,
                'txnMs': 5.0,
                'partWritesS': 200,
                'rowBytes': 65536,
                'across': False,
                'historyS': 20,
                'blobBytes': 8388608,
                'blobMs': 25.0,
                'blobMbS': 80.0,
            },
        }


def free_ports(count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind(('127.0.0.1', 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def configuration(
    version: int,
    services: list[str],
    routes: list[dict],
    max_body_bytes: int = 1048576,
) -> bytes:
    """Return the operator's row."""
    columns = [
        'name', 'host', 'prefix', 'kind', 'timeoutMs', 'goalMs', 'priority',
        'attempts', 'service', 'backends',
    ]
    return json.dumps(
        {
            'version': version,
            'routes': {
                'columns': columns,
                'rows': [[one.get(name) for name in columns] for one in routes],
            },
            'services': {
                'columns': ['name', 'healthPath', 'maxConns'],
                'rows': [[one, '/healthz', 130] for one in sorted(set(services))],
            },
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': max_body_bytes,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 10000,
            },
        }
    ).encode()


def main(folder: pathlib.Path, case) -> None:
    """Run a case and exit: 1 rule broken, 0 held, 2 could not run.

    :param folder: folder of the case, for `record.txt`.
    :param case: coroutine function; returns whether the rule was broken.
    """

    async def run() -> int:
        mesh = Mesh(folder)
        mesh.record(f'TROUBLE={int(TROUBLE)}')
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                is_broken = await case(mesh)
        except (
            SetupError,
            TimeoutError,
            OSError,
            asyncio.CancelledError,
        ) as error:
            mesh.record(f'could not run: {error!r}')
            return 2
        finally:
            mesh.stop()
            await mesh.wait_ended()
        mesh.record('rule broken' if is_broken else 'rule held')
        return int(is_broken)

    sys.exit(asyncio.run(run()))
