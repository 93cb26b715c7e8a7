"""Gives each scenario a fleet and a folder of its own."""

import pathlib
import shutil
import tempfile

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create the scenario's folder and empty state."""
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix='ragwort-'))
    context.fleet = None
    context.loads = []
    context.records = []


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Kill all processes; keep the folder of a failed scenario."""
    if context.fleet:
        context.fleet.close()
    if scenario.status.name in {'failed', 'error'}:
        print(f'logs and journals: {context.folder}')
    else:
        shutil.rmtree(context.folder, ignore_errors=True)
