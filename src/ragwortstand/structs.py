"""ragwortstand.structs: all faults of a document that is a msgspec struct."""

from collections.abc import Iterator
from typing import Any

import msgspec

from ragwortstand.exceptions import Fault


def struct_faults(
    document: object,
    form: type[msgspec.Struct],
    path: str = '$',
) -> Iterator[Fault]:
    """Return every fault of a document, field by field.

    msgspec itself stops at the first fault.

    :param document: the decoded document.
    :param form: what it has to be.
    :param path: JSON path of the document.
    """
    if not isinstance(document, dict):
        yield Fault(path, 'is not an object')
        return
    fields = {one.encode_name: one for one in msgspec.structs.fields(form)}
    for missing in sorted(_required(form) - document.keys()):
        yield Fault(f'{path}.{missing}', 'is missing')
    for name, found in document.items():
        place = f'{path}.{name}'
        field = fields.get(name)
        if field is None:
            yield Fault(place, 'unknown key')
        else:
            yield from _value_faults(found, field.type, place)


def _required(form: type[msgspec.Struct]) -> set[str]:
    fields = msgspec.structs.fields(form)
    return {field.encode_name for field in fields if field.required}


def _value_faults(found: object, form: Any, path: str) -> Iterator[Fault]:
    if isinstance(form, type) and issubclass(form, msgspec.Struct):
        yield from struct_faults(found, form, path)
        return
    try:
        msgspec.convert(found, form, strict=False)
    except msgspec.ValidationError as error:
        yield Fault(path, str(error))
