"""ragwortstand.pydantic_validation: list pydantic errors as faults."""

from typing import Any

import pydantic

from ragwortstand.exceptions import Fault


class StrictModel(pydantic.BaseModel):
    """Base class of all documents: immutable, unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


def json_path(location: tuple[int | str, ...]) -> str:
    """Return the JSON path of a pydantic error location.

    :param location: keys and indices from the root of the document.
    :returns: a path such as ``$.routes[0].service``.
    """
    steps = [
        f'[{step}]' if isinstance(step, int) else f'.{step}'
        for step in location
    ]
    return ''.join(('$', *steps))


def faults_of(error: pydantic.ValidationError) -> tuple[Fault, ...]:
    """Return every fault of a pydantic error.

    :param error: the error that pydantic raised.
    :returns: one fault per field, in the order of the document.
    """
    return tuple(_fault(details) for details in error.errors())


def _fault(details: Any) -> Fault:
    problem = str(details['msg'])
    if details['type'] == 'extra_forbidden':
        problem = 'unknown key'
    return Fault(json_path(details['loc']), problem)
