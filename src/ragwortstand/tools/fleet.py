"""ragwortstand.tools.fleet: runs a small fleet on loopback.

For tests, the demo and experiments; daemons themselves start no processes.
"""

import json
import pathlib
import re
from collections.abc import Iterator
from typing import Any

import httpcore
import msgspec

from ragwortstand.events import Event
from ragwortstand.operators.client import AdminClient
from ragwortstand.tools.deployment import Host
from ragwortstand.tools.processes import (
    LOOPBACK,
    FleetError,
    LinkProcess,
    PortReservations,
    Process,
    post,
    wait_until,
)
from ragwortstand.tools.standin_backend import Behaviour
from ragwortstand.tools.standin_platform import Faults, Tally

TOKEN = 'loopback-operators-token'


class Node:
    """A host with a stand-in backend server and its daemon.

    :param host: description of the host.
    :param ports: reserves the ports of the host.
    """

    def __init__(self, host: Host, ports: PortReservations) -> None:
        """Reserve the ports; no process is started."""
        self.host = host
        self.daemon: Process | None = None
        self.server: Process | None = None
        self.callers_port = ports.reserve()
        self.admin_port = ports.reserve()
        self.peer_port = ports.reserve()
        self.server_port = ports.reserve()
        self.peer_link: LinkProcess | None = None
        self.server_link: LinkProcess | None = None

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f'http://{LOOPBACK}:{self.callers_port}'

    @property
    def admin_url(self) -> str:
        """Return the URL for operators."""
        return f'http://{LOOPBACK}:{self.admin_port}'

    @property
    def server_url(self) -> str:
        """Return the URL of the backend server itself."""
        return f'http://{LOOPBACK}:{self.server_port}'

    def admin(self) -> AdminClient:
        """Return a client of this daemon's admin API."""
        return AdminClient([self.admin_url], TOKEN)


class Fleet:
    """The platform, backend servers and daemons as separate processes.

    Usage::

        >>> with Fleet(hosts, folder, 'cluster', 'dakar') as fleet:
        ...     fleet.start()
        ...     fleet.submit(mesh)

    :param hosts: the hosts.
    :param folder: folder for logs and journals.
    :param cluster: name of the cluster.
    :param store_region: region of the platform's store.
    :param overrides: settings that replace the defaults of all daemons.
    """

    def __init__(
        self,
        hosts: tuple[Host, ...],
        folder: pathlib.Path,
        cluster: str,
        store_region: str,
        overrides: dict[str, Any] | None = None,
    ) -> None:
        """Create the folder and reserve ports; no process is started.

        :raises FleetError: when the folder contains journals of another run.
        """
        self.folder = folder
        self.cluster = cluster
        self.store_region = store_region
        self.overrides = overrides or {}
        self._ports = PortReservations()
        self.nodes = {host.name: Node(host, self._ports) for host in hosts}
        self._platform: Process | None = None
        self._platform_port = 0
        self.platform_link: LinkProcess | None = None
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.glob('*.journal')):
            raise FleetError(f'{folder} contains the journals of another run')

    def __enter__(self) -> 'Fleet':
        """Return the fleet itself."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill all processes."""
        self.close()

    def start(self) -> None:
        """Start the platform, then all daemons and backend servers."""
        self.start_daemons()
        for node in self.nodes.values():
            self.spawn_server(node)
        for node in self.nodes.values():
            self.await_server(node)

    def start_daemons(self) -> None:
        """Start the platform and all daemons, without backend servers."""
        self.start_platform()
        for node in self.nodes.values():
            self.spawn_daemon(node)
        for node in self.nodes.values():
            self.await_daemon(node)

    def start_platform(self) -> None:
        """Start the stand-in for the platform."""
        arguments = ['platform', '--port', str(self._platform_port)]
        self._platform = self._start_standin('platform', arguments)
        self._platform_port = self._platform.wait_for_line('port')['port']

    def start_platform_link(self) -> LinkProcess:
        """Start a relay between the daemons and the platform."""
        self.platform_link = self.start_link(
            'platform', f'{LOOPBACK}:{self._platform_port}'
        )
        return self.platform_link

    def start_link(self, name: str, target: str) -> LinkProcess:
        """Start a TCP relay that emulates a network link.

        :param name: suffix of the name of its output file.
        :param target: ``address:port`` to relay to.
        """
        arguments = ['link', '--target', target]
        return LinkProcess(self._start_standin(f'link-{name}', arguments))

    def start_peer_link(self, node: Node) -> LinkProcess:
        """Start a relay between the other daemons and a daemon.

        Must be called before the daemon starts.
        """
        target = f'{LOOPBACK}:{node.peer_port}'
        node.peer_link = self.start_link(node.host.name, target)
        return node.peer_link

    def start_server_link(self, node: Node) -> LinkProcess:
        """Start a relay between a daemon and its backend server.

        Must be called before the backend server starts.
        """
        target = f'{LOOPBACK}:{node.server_port}'
        node.server_link = self.start_link(f'{node.host.name}.server', target)
        return node.server_link

    def spawn_daemon(self, node: Node) -> None:
        """Start a daemon without waiting until it listens."""
        path = self.folder / f'{node.host.name}.settings.json'
        path.write_text(json.dumps(self._settings(node)))
        node.daemon = Process(
            'ragwortstand.daemon_cli',
            ['--settings', str(path)],
            self.log_path(node),
        )

    def await_daemon(self, node: Node) -> None:
        """Wait until a daemon listens."""
        assert node.daemon
        node.daemon.wait_for_line(Event.LISTENING.value)

    def start_daemon(self, node: Node) -> None:
        """Start a daemon and wait until it listens."""
        self.spawn_daemon(node)
        self.await_daemon(node)

    def spawn_server(self, node: Node) -> None:
        """Start a backend server without waiting until it listens."""
        host = node.host
        arguments = [
            'backend-server',
            f'--name={host.name}',
            f'--service={host.service}',
            f'--slots={host.slots}',
            f'--connections={host.connections}',
            f'--service-time-s={host.service_time_s}',
            f'--journal={self.journal_path(node)}',
            f'--announce={node.admin_url}/v1/announce',
            f'--mesh={node.url}',
            f'--port={node.server_port}',
        ]
        if node.server_link:
            arguments.append(f'--announced-port={node.server_link.port}')
        node.server = self._start_standin(f'{host.name}.server', arguments)

    def await_server(self, node: Node) -> None:
        """Wait until a backend server listens."""
        assert node.server
        node.server.wait_for_line('port')

    def start_server(self, node: Node) -> None:
        """Start a backend server and wait until it listens."""
        self.spawn_server(node)
        self.await_server(node)

    def set_behaviour(self, node: Node, behaviour: Behaviour) -> None:
        """Replace the behaviour of a stand-in backend server."""
        body = msgspec.json.encode(behaviour)
        post(f'{node.server_url}/standin/behaviour', body)

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults that the platform's stand-in injects."""
        url = f'http://{LOOPBACK}:{self._platform_port}/faults'
        post(url, msgspec.json.encode(faults))

    def tally(self) -> Tally:
        """Return the call counts of the platform's stand-in."""
        url = f'http://{LOOPBACK}:{self._platform_port}/tally'
        response = httpcore.request('GET', url)
        return msgspec.json.decode(response.content, type=Tally)

    def kill_platform(self) -> None:
        """Kill the platform's stand-in; its rows and objects are lost."""
        if self._platform:
            self._platform.kill()

    def admin(self) -> AdminClient:
        """Return a client that tries the running daemons one by one."""
        urls = [node.admin_url for node in self.running()]
        return AdminClient(urls, TOKEN)

    def running(self) -> list[Node]:
        """Return the nodes whose daemon runs."""
        return [
            node
            for node in self.nodes.values()
            if node.daemon and node.daemon.is_running
        ]

    def log_path(self, node: Node) -> pathlib.Path:
        """Return the path of a daemon's event log."""
        return self.folder / f'{node.host.name}.log'

    def journal_path(self, node: Node) -> pathlib.Path:
        """Return the path of a backend server's journal."""
        return self.folder / f'{node.host.name}.journal'

    def journals(self) -> list[pathlib.Path]:
        """Return the paths of all journals."""
        return sorted(self.folder.glob('*.journal'))

    def control_bytes(self, scopes: tuple[str, ...] = ()) -> int:
        """Return the bytes of control traffic that running daemons sent.

        :param scopes: count only links of these scopes; all by default.
        """
        total = 0.0
        for node in self.running():
            with node.admin() as client:
                total += sum(_sent_bytes(client.metrics(), scopes))
        return int(total)

    def await_members(self, count: int, timeout_s: float = 20) -> float:
        """Wait until each running daemon lists enough ready members.

        :param count: required number of ready members.
        :param timeout_s: time limit.
        :returns: elapsed time in seconds.
        :raises FleetError: when the time limit is exceeded.
        """

        def is_complete() -> bool:
            return all(
                self._ready_count(node) >= count for node in self.running()
            )

        return wait_until(is_complete, timeout_s, f'{count} members')

    def close(self) -> None:
        """Kill all processes."""
        processes = [self._platform]
        for node in self.nodes.values():
            processes += [node.daemon, node.server]
            links = (node.peer_link, node.server_link)
            processes += [link.process for link in links if link]
        if self.platform_link:
            processes.append(self.platform_link.process)
        for process in processes:
            if process and process.is_running:
                process.resume()
                process.kill()
        self._ports.close()

    def _ready_count(self, node: Node) -> int:
        with node.admin() as client:
            members = client.members().members
        return sum(member.is_ready for member in members)

    def _start_standin(self, name: str, arguments: list[str]) -> Process:
        return Process(
            'ragwortstand.tools.standin_cli',
            arguments,
            self.folder / f'{name}.out',
        )

    def _settings(self, node: Node) -> dict[str, Any]:
        host = node.host
        platform_port = self._platform_port
        if self.platform_link:
            platform_port = self.platform_link.port
        settings: dict[str, Any] = {
            'cluster': self.cluster,
            'host': host.name,
            'region': host.region,
            'availability_zone': host.availability_zone,
            'callers': {'port': node.callers_port},
            'admin': {'port': node.admin_port, 'token': TOKEN},
            'peers': {
                'port': node.peer_port,
                'advertised': _advertised_address(node),
            },
            'platform': {
                'url': f'http://{LOOPBACK}:{platform_port}',
                'region': self.store_region,
            },
        }
        settings.update(self.overrides)
        return settings


def _advertised_address(node: Node) -> str:
    return f'{LOOPBACK}:{node.peer_link.port}' if node.peer_link else ''


def _sent_bytes(metrics: str, scopes: tuple[str, ...]) -> Iterator[float]:
    pattern = (
        r'ragwort_control_bytes_total\{direction="sent",link="(\w+)",'
        r'message="\w+"\} (\S+)'
    )
    for scope, amount in re.findall(pattern, metrics):
        if not scopes or scope in scopes:
            yield float(amount)
