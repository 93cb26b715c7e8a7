"""ragwortstand.decoding: decodes documents that other programs have written."""

from collections.abc import Callable
from functools import partial
from typing import Annotated, TypeVar

import msgspec

_Document = TypeVar('_Document')
_Content = TypeVar('_Content', str, bytes, str | bytes)

#: Integer that fits in a message between daemons.
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
#: Port that a connection can be opened to.
DialledPort = Annotated[int, msgspec.Meta(ge=1, le=65535)]


def decode_json(
    content: str | bytes, document_type: type[_Document]
) -> _Document:
    """Decode JSON that another program has written.

    :param content: the JSON text, of any content.
    :param document_type: type of the document.
    :raises msgspec.DecodeError: when it does not match the type, or can't be
        decoded at all.
    """
    decoder: Callable[[str | bytes], _Document] = partial(
        msgspec.json.decode, type=document_type
    )
    return decode_with(decoder, content)


def decode_with(
    decoder: Callable[[_Content], _Document], content: _Content
) -> _Document:
    """Decode a document with a decoder of msgspec.

    msgspec has other errors for documents that are nested too deeply, and for
    texts and numbers that Python can't represent.

    :param decoder: decodes the document.
    :param content: the document, of any content.
    :raises msgspec.DecodeError: when the decoder has any error.
    """
    try:
        return decoder(content)
    except RecursionError as error:
        raise msgspec.DecodeError('nested too deeply') from error
    except (ValueError, OverflowError) as error:
        # Not in UTF-8, or a number with too many digits.
        raise msgspec.DecodeError(str(error)) from error
