"""Steps that run the operators' command line."""

import os
import subprocess
import sys

from behave import then, when

from features.support import mesh_with_deadline, node_of
from ragwortstand.tools.fleet import TOKEN


@when('the operator runs "{command}" with a wrong token')
def run_with_wrong_token(context, command):
    """Run a command with a token that the daemons don't accept."""
    _run_operator_command(
        context, command, _admin_urls(context), 'a-token-of-somebody-else'
    )


@when('the operator runs "{command}" on host {number:d}')
def run_on_host(context, command, number):
    """Run a command against one daemon."""
    _run_operator_command(
        context, command, node_of(context, number).admin_url, TOKEN
    )


@when('the operator runs "{command}"')
def run_command(context, command):
    """Run a command against all daemons, with a configuration as input."""
    _run_operator_command(context, command, _admin_urls(context), TOKEN)


@then('it exits with {code:d} and prints "{text}"')
@then('it exits with {code:d} and prints ""')
def command_result(context, code, text=''):
    """Check the exit code and the output of the command."""
    completed = context.command
    output = completed.stdout + completed.stderr
    assert completed.returncode == code, (completed.returncode, output)
    assert text in output, output


def _admin_urls(context):
    return ','.join(node.admin_url for node in context.fleet.running())


def _run_operator_command(context, command, admin, token):
    context.command = subprocess.run(
        [
            sys.executable,
            '-m',
            'ragwortstand.operators.cli',
            *command.split(),
        ],
        input=mesh_with_deadline(31).to_json(),
        env={**os.environ, 'RAGWORT_ADMIN': admin, 'RAGWORT_TOKEN': token},
        capture_output=True,
        text=True,
        check=False,
    )
