"""ragwortstand.program_version: the command line option `--version`."""

import argparse
from importlib import metadata


def add_version(parser: argparse.ArgumentParser) -> None:
    """Add the option `--version` to a command line."""
    version = metadata.version('ragwortstand')
    parser.add_argument(
        '--version', action='version', version=f'%(prog)s {version}'
    )
