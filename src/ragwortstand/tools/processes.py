"""ragwortstand.tools.processes: processes of a small fleet on loopback."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import httpcore
import msgspec

from ragwortstand.exceptions import RagwortstandError
from ragwortstand.sockets import bind, port_of
from ragwortstand.tools.standin_link import LinkMode, LinkState

LOOPBACK = '127.0.0.1'
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 30.0
_POLL_S = 0.02


class FleetError(RagwortstandError):
    """A process of the fleet did not do what was asked."""


class Process:
    """One process of the fleet, with its output in a file.

    :param module: Python module to run.
    :param arguments: command line.
    :param output: file for standard output and standard error.
    """

    def __init__(
        self,
        module: str,
        arguments: list[str],
        output: pathlib.Path,
    ) -> None:
        """Start the process."""
        self.output = output
        self._previous_size_bytes = (
            output.stat().st_size if output.exists() else 0
        )
        with output.open('ab') as stream:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._popen.poll() is None

    @property
    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = self._stat('stat').rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    @property
    def memory_bytes(self) -> int:
        """Return the resident memory of the process."""
        pages = int(self._stat('statm').split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE')

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def wait_for_line(self, contains: str) -> dict[str, Any]:
        """Return the first JSON line of this start that contains a text."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            new_output = self.output.read_bytes()[self._previous_size_bytes :]
            for line in new_output.splitlines(keepends=True):
                if contains.encode() in line and line.endswith(b'\n'):
                    found: dict[str, Any] = json.loads(line)
                    return found
            if not self.is_running:
                break
            time.sleep(_POLL_S)
        text = self.output.read_text(errors='replace')[-2000:]
        raise FleetError(f'{self.output.name} did not start: {text}')

    def kill(self) -> None:
        """End the process without notice."""
        self._popen.kill()
        self._popen.wait()

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Ask the process to stop and return its exit code."""
        self._popen.terminate()
        return self.wait(timeout_s)

    def send_sigterm(self) -> None:
        """Send SIGTERM without waiting."""
        self._popen.terminate()

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code."""
        return self._popen.wait(timeout_s)

    def pause(self) -> None:
        """Freeze the process."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self._popen.send_signal(signal.SIGCONT)

    def _stat(self, name: str) -> str:
        return pathlib.Path(f'/proc/{self.pid}/{name}').read_text()


class LinkProcess:
    """A running TCP relay.

    :param process: its process.
    """

    def __init__(self, process: Process) -> None:
        """Wait for its ports."""
        self.process = process
        ports = process.wait_for_line('admin_port')
        self.port: int = ports['port']
        self._admin_url = f'http://{LOOPBACK}:{ports["admin_port"]}'

    def set_state(self, mode: LinkMode, delay_s: float = 0.0) -> None:
        """Change what the relay does."""
        state = LinkState(mode=mode, delay_s=delay_s)
        post(f'{self._admin_url}/state', msgspec.json.encode(state))


class PortReservations:
    """Ports that the operating system chose, kept for one fleet.

    A bound socket that does not listen keeps others from getting the port by
    chance, also while the process it belongs to is being restarted.
    """

    def __init__(self) -> None:
        """Start without ports."""
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that nobody else will be given."""
        reserved = bind(LOOPBACK, 0)
        self._sockets.append(reserved)
        return port_of(reserved)

    def close(self) -> None:
        """Give all ports back."""
        while self._sockets:
            self._sockets.pop().close()


def post(url: str, body: bytes) -> None:
    """Send a body to a stand-in.

    :raises FleetError: when it does not answer with success.
    """
    response = httpcore.request('POST', url, content=body)
    if response.status >= 300:
        raise FleetError(f'{url} answered {response.status}')


def wait_until(
    condition: Callable[[], bool],
    timeout_s: float,
    description: str,
) -> float:
    """Wait for a condition and return the time it took.

    :param condition: what to wait for.
    :param timeout_s: when to give up.
    :param description: name of the condition.
    :raises FleetError: when it does not hold in time.
    """
    started_s = time.monotonic()
    while time.monotonic() - started_s < timeout_s:
        with contextlib.suppress(RagwortstandError):
            if condition():
                return time.monotonic() - started_s
        time.sleep(_POLL_S)
    raise FleetError(f'no {description} within {timeout_s} s')
