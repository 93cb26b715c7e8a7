"""ragwortstand.api: parse and validate configurations."""

import pydantic

from ragwortstand.authoring import Configuration
from ragwortstand.exceptions import ConfigurationError, Fault
from ragwortstand.models import MAX_CONFIGURATION_BYTES
from ragwortstand.pydantic_validation import faults_of


def parse(text: str | bytes) -> Configuration:
    """Parse and validate a configuration.

    :param text: JSON text.
    :returns: a configuration without faults.
    :raises ConfigurationError: with every fault that was found.
    """
    if len(text) > MAX_CONFIGURATION_BYTES:
        problem = f'larger than {MAX_CONFIGURATION_BYTES} bytes'
        raise ConfigurationError([Fault('$', problem)])
    try:
        configuration = Configuration.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise ConfigurationError(faults_of(error)) from error
    faults = configuration.faults()
    if faults:
        raise ConfigurationError(faults)
    return configuration


def check(text: str | bytes) -> tuple[Fault, ...]:
    """Return every fault of a configuration; empty if it is valid.

    :param text: JSON text.
    """
    try:
        parse(text)
    except ConfigurationError as error:
        return error.faults
    return ()
