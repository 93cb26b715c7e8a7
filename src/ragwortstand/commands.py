"""ragwortstand.commands: exit codes and error output of all commands."""

import argparse
import enum
import sys
from typing import TypeAlias

Commands: TypeAlias = 'argparse._SubParsersAction[argparse.ArgumentParser]'


class ExitCode(enum.IntEnum):
    """Exit codes of all commands, for scripts.

    Code 2 is also what `argparse` uses for a malformed command line.
    """

    DONE = 0
    FAILED = 1
    FAULTY = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    TIMED_OUT = 5
    MAY_HAVE_HAPPENED = 6


def report(problem: object, code: ExitCode) -> ExitCode:
    """Print a problem on standard error and return the exit code.

    :param problem: the message for the user.
    :param code: the exit code to return.
    """
    sys.stderr.write(f'{problem}\n')
    return code
