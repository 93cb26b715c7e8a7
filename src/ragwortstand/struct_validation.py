"""ragwortstand.struct_validation: list every fault of a msgspec document."""

from collections.abc import Iterator
from typing import Any

import msgspec

from ragwortstand.exceptions import Fault


def struct_faults(
    document: object,
    struct_type: type[msgspec.Struct],
    path: str = '$',
) -> Iterator[Fault]:
    """Yield every fault of a document, field by field.

    msgspec itself stops at the first fault.

    :param document: the decoded document.
    :param struct_type: the struct that the document must match.
    :param path: JSON path of the document.
    """
    if not isinstance(document, dict):
        yield Fault(path, 'is not an object')
        return
    fields = {
        info.encode_name: info for info in msgspec.structs.fields(struct_type)
    }
    for missing in sorted(_required(struct_type) - document.keys()):
        yield Fault(f'{path}.{missing}', 'is missing')
    for name, value in document.items():
        field_path = f'{path}.{name}'
        field = fields.get(name)
        if field is None:
            yield Fault(field_path, 'unknown key')
        else:
            yield from _value_faults(value, field.type, field_path)


def _required(struct_type: type[msgspec.Struct]) -> set[str]:
    fields = msgspec.structs.fields(struct_type)
    return {field.encode_name for field in fields if field.required}


def _value_faults(value: object, value_type: Any, path: str) -> Iterator[Fault]:
    if isinstance(value_type, type) and issubclass(value_type, msgspec.Struct):
        yield from struct_faults(value, value_type, path)
        return
    try:
        msgspec.convert(value, value_type, strict=False)
    except msgspec.ValidationError as error:
        yield Fault(path, str(error))
