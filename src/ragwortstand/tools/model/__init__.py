"""ragwortstand.tools.model: load patterns in virtual time, without network."""

from ragwortstand.tools.model.fleet import FleetModel
from ragwortstand.tools.model.plans import (
    Kind,
    Policy,
    Scene,
    Server,
    Stream,
    Trouble,
    Visit,
)
from ragwortstand.tools.model.virtual_time import run_in_virtual_time

__all__ = (
    'FleetModel',
    'Kind',
    'Policy',
    'Scene',
    'Server',
    'Stream',
    'Trouble',
    'Visit',
    'run_in_virtual_time',
)
