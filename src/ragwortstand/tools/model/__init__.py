"""ragwortstand.tools.model: simulates a fleet in virtual time.

It runs load patterns without a network.
"""

from ragwortstand.tools.model.fleet import FleetModel
from ragwortstand.tools.model.plans import (
    Fault,
    Policy,
    RequestKind,
    RequestResult,
    Scenario,
    Server,
    Stream,
)
from ragwortstand.tools.model.virtual_time import run_in_virtual_time

__all__ = (
    'Fault',
    'FleetModel',
    'Policy',
    'RequestKind',
    'RequestResult',
    'Scenario',
    'Server',
    'Stream',
    'run_in_virtual_time',
)
