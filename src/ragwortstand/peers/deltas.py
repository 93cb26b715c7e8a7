"""ragwortstand.peers.deltas: compresses contents of versions with zstd."""

import zstandard

from ragwortstand.models import MAX_CONFIGURATION_BYTES


def compress(content: bytes, base: bytes) -> bytes:
    """Return content as a zstd frame.

    :param content: the bytes to compress.
    :param base: content of an older version, used as the dictionary; empty for
        none.
    """
    return zstandard.ZstdCompressor(dict_data=_dictionary(base)).compress(
        content
    )


def decompress(payload: bytes, base: bytes) -> bytes:
    """Return the content of a zstd frame.

    :param payload: the frame.
    :param base: the same dictionary as given to `compress`.
    :raises zstandard.ZstdError: when the frame is damaged or too large.
    """
    reader = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
    return reader.decompress(payload, max_output_size=MAX_CONFIGURATION_BYTES)


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
