"""ragwortstand.tools.processes: starts and controls a fleet's processes."""

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
    """A process of the fleet failed or did not respond in time."""


class Process:
    """A process of the fleet whose output goes to a file.

    :param module: Python module to run.
    :param arguments: command-line arguments.
    :param output: file to which stdout and stderr are appended.
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
        """Return whether the process is still running."""
        return self._popen.poll() is None

    @property
    def cpu_s(self) -> float:
        """Return the CPU time of the process in seconds."""
        fields = self._read_proc_file('stat').rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    @property
    def memory_bytes(self) -> int:
        """Return the resident memory of the process in bytes."""
        pages = int(self._read_proc_file('statm').split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE')

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def wait_for_line(self, contains: str) -> dict[str, Any]:
        """Wait for a JSON line of this run that contains a text.

        :param contains: text to search for.
        :returns: the first such line, decoded.
        :raises FleetError: when the process ends or the time limit passes
            before the line is written.
        """
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
        """Kill the process with SIGKILL and wait until it has ended."""
        self._popen.kill()
        self._popen.wait()

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, wait, and return the exit code."""
        self._popen.terminate()
        return self.wait(timeout_s)

    def send_sigterm(self) -> None:
        """Send SIGTERM without waiting for the process to end."""
        self._popen.terminate()

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit code."""
        return self._popen.wait(timeout_s)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def _read_proc_file(self, name: str) -> str:
        return pathlib.Path(f'/proc/{self.pid}/{name}').read_text()


class LinkProcess:
    """A process that emulates a network link as a TCP relay.

    :param process: the started relay.
    """

    def __init__(self, process: Process) -> None:
        """Wait until the relay prints its ports."""
        self.process = process
        ports = process.wait_for_line('admin_port')
        self.port: int = ports['port']
        self._admin_url = f'http://{LOOPBACK}:{ports["admin_port"]}'

    def set_state(self, mode: LinkMode, delay_s: float = 0.0) -> None:
        """Set the mode of the relay and its delay in each direction."""
        state = LinkState(mode=mode, delay_s=delay_s)
        post(f'{self._admin_url}/state', msgspec.json.encode(state))


class PortReservations:
    """Reserves free ports of the loopback interface for one fleet.

    Each port is held by a bound socket that does not listen, so that the
    operating system assigns it to no other process, even while the process
    that uses it restarts.
    """

    def __init__(self) -> None:
        """Create an empty set of reservations."""
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Reserve a free port and return it."""
        reserved = bind(LOOPBACK, 0)
        self._sockets.append(reserved)
        return port_of(reserved)

    def close(self) -> None:
        """Release all ports."""
        while self._sockets:
            self._sockets.pop().close()


def post(url: str, body: bytes) -> None:
    """Send a POST request to a stand-in.

    :raises FleetError: when the status of the response is 300 or higher.
    """
    response = httpcore.request('POST', url, content=body)
    if response.status >= 300:
        raise FleetError(f'{url} responded with status {response.status}')


def wait_until(
    condition: Callable[[], bool],
    timeout_s: float,
    description: str,
) -> float:
    """Wait until a condition holds and return the elapsed time in seconds.

    The condition counts as unmet when it raises `RagwortstandError`.

    :param condition: polled until it returns true.
    :param timeout_s: time limit.
    :param description: name of the condition for the error message.
    :raises FleetError: when the condition does not hold within the limit.
    """
    started_s = time.monotonic()
    while time.monotonic() - started_s < timeout_s:
        with contextlib.suppress(RagwortstandError):
            if condition():
                return time.monotonic() - started_s
        time.sleep(_POLL_S)
    raise FleetError(f'no {description} within {timeout_s} s')
