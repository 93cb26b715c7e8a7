"""ragwortstand.daemon_cli: the command line `ragwortd`."""

import argparse
import signal
import sys
from collections.abc import Sequence

import anyio

from ragwortstand.commands import ExitCode, report
from ragwortstand.daemon import Daemon
from ragwortstand.events import EliotLog
from ragwortstand.exceptions import SettingsError
from ragwortstand.program_version import add_version
from ragwortstand.settings import DaemonSettings, load_settings


async def _run(settings: DaemonSettings) -> None:
    daemon = Daemon(settings, EliotLog(settings.host, sys.stdout))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, daemon)
        await daemon.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(daemon: Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.stop()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: command line without the program's name.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser(
        prog='ragwortd',
        description='Daemon of ragwortstand beside one backend server.',
    )
    add_version(parser)
    parser.add_argument('--settings', required=True, metavar='FILE')
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='check the settings, list every fault, and exit',
    )
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        return report(error, ExitCode.FAULTY)
    if options.check_settings:
        return ExitCode.DONE
    try:
        anyio.run(_run, settings, backend_options={'use_uvloop': True})
    except OSError as error:
        return report(error, ExitCode.FAILED)
    return ExitCode.DONE


if __name__ == '__main__':
    sys.exit(main())
