"""ragwortstand.platform.program: the sidecar's command line on the platform."""

import argparse
import os
import pathlib
import random
import signal
import sys
from collections.abc import Sequence

import anyio

from ragwortstand.commands import ExitCode, report
from ragwortstand.events import (
    DroppingStream,
    EliotLog,
    Event,
    EventLog,
)
from ragwortstand.exceptions import SettingsError
from ragwortstand.metrics import Metrics
from ragwortstand.platform.control import ControlApi, ReadyApi
from ragwortstand.platform.headers import (
    PlatformBackendDialect,
    PlatformCallerDialect,
)
from ragwortstand.platform.settings import NodeSettings, load_node_settings
from ragwortstand.platform.store import (
    StoreClient,
    StoreTable,
    StoreVersions,
)
from ragwortstand.sidecar import Sidecar
from ragwortstand.sidecar_dependencies import SidecarDependencies

SETTINGS_VARIABLE = 'RAGWORTSTAND_SETTINGS'
# The platform may change the settings file without sending a signal.
_SETTINGS_FILE_INTERVAL_S = 1.0


class Program:
    """Runs the sidecar and reloads its settings file when that changes.

    :param path: path of the settings file.
    :param node: the decoded settings file.
    :param log: receives the events.
    """

    def __init__(self, path: str, node: NodeSettings, log: EventLog) -> None:
        """Create the sidecar with the platform's adapters."""
        self._path = pathlib.Path(path)
        self._log = log
        metrics = Metrics()
        self._client = StoreClient(node.provider.address, metrics, log)
        self._versions = StoreVersions(self._client, _ignore_reach, log)
        self._caller_dialect = PlatformCallerDialect(
            node.service, random.Random()
        )
        dependencies = SidecarDependencies(
            callers=self._caller_dialect,
            backend_servers=PlatformBackendDialect(),
            versions=self._versions,
            table=StoreTable(self._client),
        )
        self._sidecar = Sidecar(node.sidecar(), dependencies, metrics, log)
        self._versions.on_reach = self._sidecar.set_store_reach
        self._versions.on_overdue = self._sidecar.ask_others_to_read
        self._client.on_restored = self._sidecar.check_stored_rows
        self._ready_api = ReadyApi(
            lambda: self._sidecar.is_ready, metrics.render
        )
        self._control_api = ControlApi(self._sidecar, node.app_addr, log)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._handle_signals)
            tasks.start_soon(self._watch_settings_file)
            await self._sidecar.run(
                self._ready_api.answer, self._control_api.answer
            )
            tasks.cancel_scope.cancel()
        self._client.close()

    async def _handle_signals(self) -> None:
        handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*handled) as signals:
            async for received in signals:
                if received is signal.SIGHUP:
                    self._reload()
                else:
                    self._sidecar.stop()

    async def _watch_settings_file(self) -> None:
        previous = self._file_stamp()
        while True:
            await anyio.sleep(_SETTINGS_FILE_INTERVAL_S)
            stamp = self._file_stamp()
            if stamp != previous:
                previous = stamp
                self._reload()

    def _file_stamp(self) -> tuple[int, int]:
        try:
            file_status = self._path.stat()
        except OSError:
            # A file that is being replaced exists again at the next check.
            return (0, 0)
        return (file_status.st_mtime_ns, file_status.st_size)

    def _reload(self) -> None:
        """Apply the changed settings file; keep the old settings on failure."""
        try:
            node = load_node_settings(str(self._path))
            settings = node.sidecar()
        except SettingsError as error:
            self._log.emit(Event.RELOAD_REFUSED, problem=str(error))
            return
        self._caller_dialect.service = node.service
        self._control_api.address = node.app_addr
        self._sidecar.reload(settings)
        if self._client.move(node.provider.address):
            self._versions.restart()
            self._sidecar.check_stored_rows()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the sidecar.

    :param arguments: command line without the program's name.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser(
        prog='ragwortd-platform',
        description='Daemon of ragwortstand on the platform.',
    )
    parser.add_argument(
        '--settings',
        default=os.environ.get(SETTINGS_VARIABLE, ''),
        metavar='FILE',
        help=f'settings file; default: the variable {SETTINGS_VARIABLE}',
    )
    parser.add_argument('--check-settings', action='store_true')
    options = parser.parse_args(arguments)
    try:
        node = load_node_settings(options.settings)
        node.sidecar()
    except SettingsError as error:
        return report(error, ExitCode.FAULTY)
    if options.check_settings:
        return ExitCode.DONE
    stream = DroppingStream(sys.stdout.fileno())
    log = EliotLog(node.node_name, stream)
    anyio.run(
        _run,
        options.settings,
        node,
        log,
        backend_options={'use_uvloop': True},
    )
    return ExitCode.DONE


async def _run(path: str, node: NodeSettings, log: EventLog) -> None:
    await Program(path, node, log).run()


def _ignore_reach(reach: int) -> None:
    """Discard reports of the store's reach until the sidecar exists."""
