"""Compression of a text against an earlier text that the reader has."""

from __future__ import annotations

import struct
import zlib

SLICE_BYTES = 16_384
CONTEXT_BYTES = 8_192
"""Bytes of the earlier text before and after a slice that serve as dictionary:
with the slice itself the 32 KB of deflate's window. Text that has moved further
is compressed as if it were new."""
COMPRESSION_LEVEL = 9
_HEADER = struct.Struct("!III")
_SIZE = struct.Struct("!I")
MAX_TEXT_BYTES = 67_108_864


def pack(old: bytes, new: bytes) -> bytes:
    """Returns ``new``, compressed against ``old``.

    Works for any two texts; the result is short if they are alike at the same
    offsets.
    """
    parts = [_HEADER.pack(zlib.crc32(old), zlib.crc32(new), len(new))]
    for offset in range(0, len(new), SLICE_BYTES):
        compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zdict=_dictionary(old, offset)
        )
        part = (
            compressor.compress(new[offset : offset + SLICE_BYTES])
            + compressor.flush()
        )
        parts += (_SIZE.pack(len(part)), part)
    return b"".join(parts)


def unpack(old: bytes, packed: bytes) -> bytes:
    """Returns the text that was compressed against ``old``.

    Raises:
        ValueError: the bytes are damaged, or belong to another ``old``.
    """
    try:
        before, after, size = _HEADER.unpack_from(packed)
        if before != zlib.crc32(old) or size > MAX_TEXT_BYTES:
            raise ValueError("packed against another text")
        new = _unpack_parts(old, packed, size)
    except (struct.error, zlib.error) as exc:
        raise ValueError(f"damaged: {exc}") from exc
    if len(new) != size or zlib.crc32(new) != after:
        raise ValueError("damaged: size or checksum of the text differs")
    return new


def _unpack_parts(old: bytes, packed: bytes, size: int) -> bytes:
    parts = []
    begin = _HEADER.size
    for offset in range(0, size, SLICE_BYTES):
        (length,) = _SIZE.unpack_from(packed, begin)
        begin += _SIZE.size
        decompressor = zlib.decompressobj(zdict=_dictionary(old, offset))
        parts.append(
            decompressor.decompress(packed[begin : begin + length], SLICE_BYTES)
        )
        begin += length
        if not decompressor.eof:
            raise ValueError("damaged: a part is truncated")
    return b"".join(parts)


def _dictionary(old: bytes, offset: int) -> bytes:
    """Returns the part of a text that serves as dictionary of a slice."""
    return old[
        max(0, offset - CONTEXT_BYTES) : offset + SLICE_BYTES + CONTEXT_BYTES
    ]
