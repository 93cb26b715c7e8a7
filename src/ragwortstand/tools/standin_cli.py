"""ragwortstand.tools.standin_cli: the command `ragwort-standin`.

A stand-in prints one JSON line with its ports once it listens, and stops on
SIGTERM or SIGINT.
"""

import argparse
import json
import pathlib
import signal
import sys
from collections.abc import Sequence
from typing import Any

import anyio

from ragwortstand.commands import ExitCode, report
from ragwortstand.program_version import add_version
from ragwortstand.sockets import bind, port_of
from ragwortstand.tools.standin_backend import (
    BackendServerStandin,
    Behaviour,
)
from ragwortstand.tools.standin_link import LinkStandin
from ragwortstand.tools.standin_platform import PlatformStandin
from ragwortstand.uvicorn_server import create_uvicorn_server

_LOOPBACK = '127.0.0.1'
# Connections of tests to a backend server, beside those of its daemon.
_ADMIN_CONNECTIONS = 4


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one stand-in.

    :param arguments: command line without the program's name.
    :returns: exit code.
    """
    options = _parser().parse_args(arguments)
    try:
        anyio.run(
            _run_until_signal, options, backend_options={'use_uvloop': True}
        )
    except OSError as error:
        return report(error, ExitCode.FAILED)
    return ExitCode.DONE


async def _run_until_signal(options: argparse.Namespace) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(options.run, options)
            async for _ in signals:
                tasks.cancel_scope.cancel()
                break


async def _run_platform(options: argparse.Namespace) -> None:
    listener = bind(_LOOPBACK, options.port)
    _print_ports(port=port_of(listener))
    await create_uvicorn_server(PlatformStandin().app).serve([listener])


async def _run_backend_server(options: argparse.Namespace) -> None:
    behaviour = Behaviour(
        service_time_s=options.service_time_s,
        slots=options.slots,
        connections=options.connections,
        cold_s=options.cold_s,
    )
    listener = bind(_LOOPBACK, options.port)
    port = port_of(listener)
    with pathlib.Path(options.journal).open('a') as journal:  # noqa: ASYNC230
        standin = BackendServerStandin(
            options.name,
            options.service,
            behaviour,
            journal,
            options.seed,
            options.mesh,
        )
        async with anyio.create_task_group() as tasks:
            if options.announce:
                announced = options.announced_port or port
                tasks.start_soon(
                    standin.announce, options.announce, _LOOPBACK, announced
                )
            _print_ports(port=port)
            server = create_uvicorn_server(
                standin,
                max_connections=options.connections + _ADMIN_CONNECTIONS,
            )
            await server.serve([listener])


async def _run_link(options: argparse.Namespace) -> None:
    address, _, port = options.target.rpartition(':')
    standin = LinkStandin(address, int(port), options.delay_s)
    listener = await anyio.create_tcp_listener(
        local_host=_LOOPBACK, local_port=options.port
    )
    admin = bind(_LOOPBACK, 0)
    link_port = listener.extra(anyio.abc.SocketAttribute.local_port)
    _print_ports(port=link_port, admin_port=port_of(admin))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            create_uvicorn_server(standin.admin_app).serve, [admin]
        )
        await listener.serve(standin.handle)


def _print_ports(**ports: Any) -> None:
    sys.stdout.write(f'{json.dumps(ports)}\n')
    sys.stdout.flush()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='ragwort-standin',
        description='Stand-ins for tests; all of them listen on loopback.',
    )
    add_version(parser)
    commands = parser.add_subparsers(required=True, metavar='STANDIN')
    platform = commands.add_parser(
        'platform', help='table service and object store'
    )
    platform.set_defaults(run=_run_platform)
    backend = commands.add_parser('backend-server', help='a backend server')
    backend.set_defaults(run=_run_backend_server)
    _add_backend_options(backend)
    link = commands.add_parser(
        'link', help='a TCP relay that emulates a network link'
    )
    link.set_defaults(run=_run_link)
    link.add_argument('--target', required=True, metavar='ADDRESS:PORT')
    link.add_argument('--delay-s', type=float, default=0.0)
    for command in (platform, backend, link):
        command.add_argument('--port', type=int, default=0)
    return parser


def _add_backend_options(backend: argparse.ArgumentParser) -> None:
    backend.add_argument('--name', required=True)
    backend.add_argument('--service', required=True)
    backend.add_argument('--journal', required=True, metavar='FILE')
    backend.add_argument('--announce', metavar='URL', default='')
    backend.add_argument(
        '--mesh', metavar='URL', default='', help='URL for nested calls'
    )
    backend.add_argument(
        '--announced-port',
        type=int,
        default=0,
        help='port to announce if callers reach the server over a relay',
    )
    backend.add_argument('--slots', type=int, default=15)
    backend.add_argument('--connections', type=int, default=130)
    backend.add_argument('--service-time-s', type=float, default=0.02)
    backend.add_argument('--cold-s', type=float, default=0.0)
    backend.add_argument('--seed', type=int, default=0)


if __name__ == '__main__':
    sys.exit(main())
