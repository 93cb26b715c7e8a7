"""ragwortstand.operators.cli: the command line `ragwortctl`."""

import argparse
import getpass
import os
import pathlib
import sys
import time
from collections.abc import Callable, Sequence
from types import MappingProxyType
from uuid import uuid4

import msgspec

from ragwortstand import api
from ragwortstand.commands import Commands, ExitCode, report
from ragwortstand.ids import NO_VERSION, SubmissionId, Version
from ragwortstand.operators import render
from ragwortstand.operators.client import (
    AdminClient,
    AdminError,
    AdminUnreachableError,
)
from ragwortstand.operators.documents import (
    CheckReport,
    FaultReport,
    SubmissionReport,
)
from ragwortstand.program_version import add_version
from ragwortstand.verdicts import Verdict

_EXIT_CODES = MappingProxyType(
    {
        'accepted': ExitCode.DONE,
        'faulty': ExitCode.FAULTY,
        'conflict': ExitCode.CONFLICT,
        'unavailable': ExitCode.UNAVAILABLE,
    },
)
_WAIT_INTERVAL_S = 0.1
_EPILOG = """\
exit codes: 0 success; 1 failure; 2 invalid input or command line; 3 conflict
with another submission; 4 no daemon or no platform is reachable and nothing
was changed; 5 timeout; 6 the command may or may not have taken effect, so
repeat it with the same --submission

The daemons and the token are read from --admin and --token, or from the
environment variables RAGWORT_ADMIN (URLs separated by commas) and
RAGWORT_TOKEN.
"""

Command = Callable[[AdminClient, argparse.Namespace], ExitCode]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command of `ragwortctl`.

    :param arguments: command line without the program's name.
    :returns: exit code.
    """
    options = _create_parser().parse_args(arguments)
    if options.command is _check and not options.admin:
        return _check_offline(options)
    urls = [url for url in options.admin.split(',') if url]
    if not urls or not options.token:
        problem = 'give --admin and --token, or set RAGWORT_ADMIN and '
        return report(f'{problem}RAGWORT_TOKEN', ExitCode.FAULTY)
    try:
        with AdminClient(urls, options.token) as client:
            return _run_command(client, options)
    except (OSError, ValueError) as error:
        return report(error, ExitCode.FAULTY)


def _run_command(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    command: Command = options.command
    try:
        return command(client, options)
    except AdminError as error:
        is_unavailable = error.status == 503
        code = ExitCode.UNAVAILABLE if is_unavailable else ExitCode.FAILED
        return report(error, code)
    except AdminUnreachableError as error:
        has_not_run = error.verdict is Verdict.NOT_RUN
        return report(
            error,
            ExitCode.UNAVAILABLE if has_not_run else ExitCode.MAY_HAVE_HAPPENED,
        )


def _check_offline(options: argparse.Namespace) -> ExitCode:
    faults = tuple(
        FaultReport(fault.path, fault.problem)
        for fault in api.check(_read_input(options.file))
    )
    _print(options, CheckReport(faults), render.faults(faults))
    return ExitCode.FAULTY if faults else ExitCode.DONE


def _check(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    result = client.check(_read_input(options.file))
    _print(options, result, render.faults(result.faults))
    return ExitCode.FAULTY if result.faults else ExitCode.DONE


def _submit(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    content = _read_input(options.file)
    base = options.base
    if base is None:
        base = _newest_version(client)
    submission = options.submission or uuid4().hex
    return _submit_content(client, options, content, Version(base), submission)


def _rollback(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    content = client.content(options.version)
    base = _newest_version(client)
    submission = options.submission or uuid4().hex
    return _submit_content(client, options, content, base, submission)


def _submit_content(
    client: AdminClient,
    options: argparse.Namespace,
    content: bytes,
    base: Version,
    submission: str,
) -> ExitCode:
    try:
        outcome = client.submit(
            content, SubmissionId(submission), base, options.author
        )
    except AdminUnreachableError:
        sys.stderr.write(f'repeat with --submission {submission}\n')
        raise
    _print(options, outcome, render.submission(outcome))
    return _submission_exit_code(outcome)


def _submission_exit_code(outcome: SubmissionReport) -> ExitCode:
    if outcome.verdict == Verdict.MAY_HAVE_RUN.value:
        return ExitCode.MAY_HAVE_HAPPENED
    return _EXIT_CODES[outcome.outcome]


def _newest_version(client: AdminClient) -> Version:
    versions = client.history(1).versions
    return versions[0].version if versions else NO_VERSION


def _status(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    status = client.status()
    _print(options, status, render.status(status))
    return ExitCode.DONE


def _wait(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    deadline_s = time.monotonic() + options.timeout
    while True:
        result = client.applied(options.version)
        if result.is_complete or time.monotonic() > deadline_s:
            _print(options, result, render.applied(result))
            return ExitCode.DONE if result.is_complete else ExitCode.TIMED_OUT
        time.sleep(_WAIT_INTERVAL_S)


def _history(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    result = client.history(options.limit)
    _print(options, result, render.history(result))
    return ExitCode.DONE


def _diff(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    old = client.content(options.old)
    new = client.content(options.new)
    difference = render.difference(old, new, options.old, options.new)
    _print(options, render.Difference(difference), difference)
    return ExitCode.DONE


def _members(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    result = client.members()
    _print(options, result, render.members(result))
    return ExitCode.DONE


def _drain(client: AdminClient, options: argparse.Namespace) -> ExitCode:
    status = client.drain()
    _print(options, status, render.status(status))
    return ExitCode.DONE


def _print(
    options: argparse.Namespace,
    document: msgspec.Struct,
    text: str,
) -> None:
    if options.json:
        text = msgspec.json.encode(document).decode()
    sys.stdout.write(f'{text}\n')


def _read_input(path: str) -> bytes:
    if path == '-':
        return sys.stdin.buffer.read()
    return pathlib.Path(path).read_bytes()


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='ragwortctl',
        description='Command line of ragwortstand for operators.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_version(parser)
    environment = os.environ
    parser.add_argument(
        '--admin',
        default=environment.get('RAGWORT_ADMIN', ''),
        metavar='URL[,URL...]',
        help='admin URLs of daemons, tried in this order',
    )
    parser.add_argument(
        '--token',
        default=environment.get('RAGWORT_TOKEN', ''),
        help='bearer token; the environment variable keeps it out of '
        'process lists',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_submission_commands(commands)
    _add_fleet_commands(commands)
    return parser


def _add_command(
    commands: Commands,
    name: str,
    command: Command,
    text: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=text, description=text)
    parser.set_defaults(command=command)
    parser.add_argument(
        '--json',
        action='store_true',
        default=argparse.SUPPRESS,
        help='print JSON',
    )
    return parser


def _add_submission_commands(
    commands: Commands,
) -> None:
    check = _add_command(
        commands, 'check', _check, 'validate a configuration file'
    )
    check.add_argument('file', help='JSON file, or - for standard input')
    submit = _add_command(commands, 'submit', _submit, 'submit a configuration')
    submit.add_argument('file', help='JSON file, or - for standard input')
    submit.add_argument(
        '--base',
        type=int,
        metavar='VERSION',
        help='version that the file is based on; the newest by default',
    )
    rollback = _add_command(
        commands,
        'rollback',
        _rollback,
        'submit the content of an old version as a new version',
    )
    rollback.add_argument('version', type=int)
    for parser in (submit, rollback):
        parser.add_argument('--author', default=getpass.getuser())
        parser.add_argument(
            '--submission',
            metavar='ID',
            help='id of the submission; pass the same id to retry it',
        )


def _add_fleet_commands(
    commands: Commands,
) -> None:
    _add_command(commands, 'status', _status, 'show the state of one daemon')
    wait = _add_command(
        commands, 'wait', _wait, 'wait until a version is in force'
    )
    wait.add_argument('--version', type=int, help='default: the one in force')
    wait.add_argument('--timeout', type=float, default=30, metavar='SECONDS')
    history = _add_command(
        commands, 'history', _history, 'list accepted versions'
    )
    history.add_argument('--limit', type=int, default=20)
    diff = _add_command(
        commands, 'diff', _diff, 'compare two accepted versions'
    )
    diff.add_argument('old', type=int)
    diff.add_argument('new', type=int)
    _add_command(commands, 'members', _members, 'list the members')
    _add_command(
        commands, 'drain', _drain, 'make the first daemon refuse new requests'
    )


if __name__ == '__main__':
    sys.exit(main())
