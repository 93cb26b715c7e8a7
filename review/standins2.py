"""Stand-ins for the cases 6 to 10: store, workers, clients and sidecars.

Only the standard library is used. Each sidecar is a process of its own, started
with the command of the deploy file; its machine is a loopback address. The
store, the workers and the clients run in the process of the case and follow
PROTOCOL.md.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = 'jepu9.example'
ID = 'X-Ragwortstand-Request-Id'
DEADLINE = 'X-Ragwortstand-Deadline-Ms'
EXPECT = 'X-Ragwortstand-Expect-Instance'
STAMP = 'X-Ragwortstand-Server-Stamp'
NOT_RUN = 'X-Ragwortstand-Not-Run'
CALLER = 'X-Ragwortstand-Caller'

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def __call__(self, text):
        self._file.write(f'{self.now():8.3f}  {text}\n')
        self._file.flush()


async def read_message(reader):
    """Return the first line, headers (lower case) and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif int(headers.get('content-length', 0)):
        try:
            body = await reader.readexactly(int(headers['content-length']))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, headers, body


def http(first, headers, body=b''):
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


_REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Failed', 421: 'Misdirected', 503: 'Unavailable'}


def answer(status, headers=(), body=b''):
    return http(f'HTTP/1.1 {status} {_REASONS.get(status, "Status")}', headers, body)


class Store:
    """The platform's store: rows, conditional writes and the feed."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changes = []
        self.is_down = False
        self._writers = set()
        self._changed = asyncio.Event()

    async def start(self):
        self.address, self._server = await self._listen()

    async def _listen(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return '127.0.0.1:%d' % server.sockets[0].getsockname()[1], server

    async def add_address(self):
        """Serve at a further address from now on; `address` is the new one."""
        previous = self._server
        self.address, self._server = await self._listen()
        return previous

    def close_address(self, server):
        """Stop serving at an earlier address, also on open connections."""
        port = server.sockets[0].getsockname()[1]
        server.close()
        for writer in tuple(self._writers):
            if writer.get_extra_info('sockname')[1] == port:
                writer.close()

    def put(self, table, key, content):
        self.version += 1
        self._write((table, '', key), content)
        self._notify()

    def _write(self, row_key, content):
        if content is None:
            self.rows.pop(row_key, None)
        else:
            self.rows[row_key] = (content, self.version)
        self.changes.append((self.version, row_key, content))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                first, _, body = message
                method, target, _ = first.split(' ')
                parts = urlsplit(target)
                query = {name: found[0] for name, found in parse_qs(parts.query).items()}
                await asyncio.sleep(0.004)
                if self.is_down:
                    status, document = 503, {}
                else:
                    status, document = await self._dispatch(parts.path, query, body)
                text = json.dumps(document).encode()
                writer.write(answer(status, [('Content-Type', 'application/json')], text))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _dispatch(self, path, query, body):
        if path == '/api/rows-tx':
            return self._transact(json.loads(body))
        if path == '/api/rows-get':
            return self._get(query)
        if path == '/api/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _head(self):
        return {'ver': self.version, 'nowMs': int(time.monotonic() * 1000)}

    def _transact(self, document):
        for one in document.get('expectRev', ()):
            key = (one['table'], one['part'], one['key'])
            if self.rows.get(key, (b'', 0))[1] != one['ver']:
                return 412, {'rows': [], **self._head()}
        self.version += 1
        for one in document.get('puts', ()):
            self._write((one['table'], one['part'], one['key']), base64.b64decode(one['value']))
        for one in document.get('remove', ()):
            self._write((one['table'], one['part'], one['key']), None)
        self._notify()
        return 200, self._head()

    @staticmethod
    def _row(key, content, version):
        row = dict(zip(('table', 'part', 'key'), key), ver=version)
        if content is None:
            return {**row, 'deleted': True}
        return {**row, 'value': base64.b64encode(content).decode()}

    def _get(self, query):
        start, end = query.get('from', ''), query.get('to', '\x7f')
        limit = min(500, int(query.get('limit', 500)))
        found = [
            self._row(key, content, version)
            for key, (content, version) in sorted(self.rows.items())
            if key[0] == query['table'] and key[1] == query.get('part', '') and start <= key[2] < end
        ]
        return 200, {'rows': found[:limit], 'hasMore': len(found) > limit, **self._head()}

    async def _feed(self, query):
        after, ends = int(query['after']), time.monotonic() + int(query['waitMs']) / 1000
        while True:
            found = [
                self._row(key, content, version)
                for version, key, content in self.changes
                if version > after and key[0] == query['table']
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {'rows': found, **self._head()}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


ROUTE_COLUMNS = ['name', 'host', 'prefix', 'kind', 'timeoutMs', 'goalMs', 'priority', 'backends', 'attempts', 'service']


def configuration(version, routes, services):
    """Return the operator's row. A route: prefix, kind, service, time-out, goal."""
    document = {
        'version': version,
        'routes': {
            'columns': ROUTE_COLUMNS,
            'rows': [
                [f'r{number}', HOST_NAME, prefix, kind, timeout_ms, goal_ms, 0, None, 2, service]
                for number, (prefix, kind, service, timeout_ms, goal_ms) in enumerate(routes)
            ],
        },
        'services': {
            'columns': ['name', 'healthPath', 'maxConns'],
            'rows': [[service, '/healthz', 130] for service in services],
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1 << 20,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }
    return json.dumps(document).encode()


class Worker:
    """An application worker beside a sidecar."""

    def __init__(self, host, service, record, work_s=0.05, slots=13, instance=None):
        self.host, self.service, self.record = host, service, record
        self.work_s, self.slots = work_s, slots
        self.instance = instance or 'i-' + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = 'ready'
        self.runs = []
        self.worked = set()
        self._queue = asyncio.Semaphore(slots)
        self._beats = None

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.host.ip, port)
        self.address = '%s:%d' % self._server.sockets[0].getsockname()
        self.host.app_address = self.address

    def document(self, **changes):
        self.seq += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.host.zone,
            'version': 'v1',
            'capacity': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': self.seq,
            'born': self.born,
            **changes,
        }

    async def beat(self, **changes):
        """Send a heartbeat; return the status, 0 without an answer in time."""
        return await self.say('heartbeat', self.document(**changes))

    async def say(self, action, document):
        path = f'/api/instances/{self.instance}/{action}'
        return await post(self.host.address('control'), path, document)

    def beat_regularly(self):
        self._beats = asyncio.ensure_future(self._beat_forever())

    def stop_beating(self):
        if self._beats:
            self._beats.cancel()

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.host.heartbeat_ms / 1000 * random.uniform(0.95, 1.05))

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                first, headers, body = message
                method, target, _ = first.split(' ')
                if target == '/healthz':
                    writer.write(answer(200, [('X-Ragwortstand-Served-By', self.instance)]))
                    continue
                writer.write(await self.handle(method, target, headers, body, reader))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body, reader):
        request_id = headers.get(ID.lower(), '')
        echo = [(ID, request_id)]
        if headers.get(EXPECT.lower(), self.instance) != self.instance:
            return answer(421, [*echo, (NOT_RUN, '1')])
        async with self._queue:
            self.runs.append((self.record.now(), request_id))
            self.record(f'run      {self.instance} {method} {target} id={request_id}')
            ends = time.monotonic() + self.work_s
            while time.monotonic() < ends:
                await asyncio.sleep(min(0.02, max(0.0, ends - time.monotonic())))
                if reader.at_eof() or reader.exception():
                    self.record(f'dropped  {self.instance} id={request_id}')
                    raise ConnectionResetError
            self.worked.add(request_id)
            self.record(f'worked   {self.instance} id={request_id}')
            stamp = f'{self.instance}.{request_id}'
            return answer(200, [*echo, (STAMP, stamp)], f'{self.instance} {request_id}'.encode())


async def post(address, path, document, timeout_s=1.0):
    """Post JSON, as a worker does; return the status, 0 without an answer."""
    ip, port = address.split(':')

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(http(f'POST {path} HTTP/1.1', [('Host', address), ('Content-Type', 'application/json')], json.dumps(document).encode()))
            message = await read_message(reader)
            return int(message[0].split(' ')[1]) if message else 0
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return 0


class Client:
    """A client on a machine: each request on a connection of its own."""

    def __init__(self, host, record):
        self.host, self.record = host, record

    def request(self, path, method='GET', budget_ms=1500, body=b'', request_id=None):
        request_id = request_id or uuid.uuid4().hex[:16]
        headers = [('Host', HOST_NAME), (ID, request_id), (DEADLINE, str(budget_ms))]
        return request_id, http(f'{method} {path} HTTP/1.1', headers, body)

    async def send(self, path, method='GET', budget_ms=1500, body=b''):
        """Return the id, the status (0 without an answer) and the headers."""
        request_id, wire = self.request(path, method, budget_ms, body)
        ip, port = self.host.address('outbound').split(':')
        self.record(f'send     {self.host.name} {method} {path} id={request_id}')
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
            writer.write(wire)
            message = await asyncio.wait_for(read_message(reader), budget_ms / 1000)
        except (OSError, asyncio.TimeoutError):
            message = None
        finally:
            if writer:
                writer.close()
        if message is None:
            self.record(f'answer   none id={request_id}')
            return request_id, 0, {}
        status = int(message[0].split(' ')[1])
        self.record(f'answer   {status} id={request_id}')
        return request_id, status, message[1]


class Host:
    """A machine with its sidecar."""

    heartbeat_ms = 1500

    def __init__(self, fleet, number, service, zone, region):
        self.fleet, self.number, self.service = fleet, number, service
        self.name, self.zone, self.region = f'sidecar-{zone}-{number}', zone, region
        self.ip = f'{fleet.network}.{number}'
        self.app_address = None
        self.process = None
        self.settings_path = fleet.folder / f'{self.name}.json'

    def address(self, name):
        return f'{self.ip}:{self.fleet.ports[name]}'

    def write_settings(self):
        self.settings_path.write_text(json.dumps({
            'nodeName': self.name,
            'role': 'sidecar',
            'machineClass': 'sidecar',
            'serves': ['sidecar', 'control'],
            'ip': self.ip,
            'zone': self.zone,
            'region': self.region,
            'zones': self.fleet.zones,
            'listen': {name: self.address(name) for name in self.fleet.ports},
            'portRange': [7600, 7615],
            'seeds': [],
            'bootstrap': True,
            'countsLoss': False,
            'limits': {'cpuShare': 0.86, 'cpus': 1, 'memoryMb': 300, 'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None,
            'discovery': 'static',
            'entry': 'static',
            'heartbeatMs': self.heartbeat_ms,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'platform'],
            'faultTolerance': {'nodes': 2, 'zones': 0, 'regions': 0},
            'bounds': [
                'seedLagS=3', 'reuseAfterS=2', 'contactMs=3000', 'ackMs=4000', 'syncS=4', 'drainMs=2000', 'graceS=6',
                'lossSlackMs=200', 'configApplyMs=2000', 'revertSlackMs=250', 'stretchMaxMs=5000', 'retryRatio=0.2',
                'retryWindowS=10', 'retrySlack=62', 'recoveryS=15',
            ],
            'appAddr': self.app_address,
            'service': self.service,
            'provider': {
                'address': self.fleet.store_address(self), 'form': 'table', 'writesPerS': 400, 'readsPerS': 2000,
                'txnMs': 5.0, 'partWritesS': 200, 'rowBytes': 65536, 'across': False, 'historyS': 20,
                'blobBytes': 8388608, 'blobMs': 25.0, 'blobMbS': 80.0,
            },
        }))

    def start(self):
        self.write_settings()
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'RAGWORTSTAND_SETTINGS': str(self.settings_path),
        }
        with open(self.fleet.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', 'deploy/sidecar.py'], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.fleet.record(f'start    {self.name} pid={self.process.pid}')

    def signal(self, number):
        self.fleet.record(f'signal   {self.name} {signal.Signals(number).name}')
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        ip, port = self.address('ready').split(':')
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(http('GET /api/ready HTTP/1.1', [('Host', ip)]))
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return message is not None and ' 200 ' in message[0]

    async def until_ready(self, limit_s=20.0):
        ends = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > ends:
                raise CouldNotRunError(f'{self.name} is not ready')
            await asyncio.sleep(0.1)


class Fleet:
    """All machines of a case."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='ragwort-review-'))
        self.store = Store()
        self.hosts = []
        self.zones = {}
        self.network = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        names = ('inbound', 'outbound', 'ready', 'control')
        sockets = [socket.socket() for _ in names]
        for one in sockets:
            one.bind(('127.0.0.1', 0))
        self.ports = {name: one.getsockname()[1] for name, one in zip(names, sockets)}
        for one in sockets:
            one.close()

    def store_address(self, host):
        return self.store.address

    def add(self, service, zone='dakar-a', region='dakar'):
        self.zones[zone] = region
        host = Host(self, len(self.hosts) + 1, service, zone, region)
        self.hosts.append(host)
        return host

    def configure(self, version, routes, services):
        self.store.put('op', 'config', configuration(version, routes, services))
        self.record(f'config   version={version}')

    def end(self):
        for host in self.hosts:
            host.end()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case):
    """Run a case: a coroutine function of fleet, record and trouble.

    The first argument is 0 for a run without the disruption.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / 'record.txt')
    trouble = sys.argv[1] != '0'
    record(f'trouble={int(trouble)}')

    async def run():
        # Connections that are still open at the end are cut off.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        fleet = Fleet(record)
        try:
            await fleet.store.start()
            return await asyncio.wait_for(case(fleet, record, trouble), 110)
        finally:
            fleet.end()

    try:
        verdict = asyncio.run(run())
    except (CouldNotRunError, asyncio.TimeoutError, OSError) as error:
        record(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(COULD_NOT_RUN)
    record(f'exit {verdict}')
    print({HELD: 'held', BROKEN: 'broken'}[verdict])
    sys.exit(verdict)
