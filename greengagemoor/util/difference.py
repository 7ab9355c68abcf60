"""A text packed against another one that the reader has."""

from __future__ import annotations

import struct
import zlib

SLICE = 16_384
AROUND = 8_192
"""Of the other text, so much before and after a slice is looked at: with the
slice, the 32 KB that deflate can look back on. What moved further is packed as
if it were new."""
LEVEL = 9
_HEAD = struct.Struct("!III")
_SIZE = struct.Struct("!I")
MOST_BYTES = 67_108_864


def pack(old: bytes, new: bytes) -> bytes:
    """Returns ``new`` as what differs from ``old``.

    Both are best alike from place to place; any two texts are packed right.
    """
    parts = [_HEAD.pack(zlib.crc32(old), zlib.crc32(new), len(new))]
    for at in range(0, len(new), SLICE):
        packer = zlib.compressobj(LEVEL, zdict=_around(old, at))
        part = packer.compress(new[at : at + SLICE]) + packer.flush()
        parts += (_SIZE.pack(len(part)), part)
    return b"".join(parts)


def unpack(old: bytes, packed: bytes) -> bytes:
    """Returns the text that was packed against ``old``.

    Raises:
        ValueError: the bytes are damaged, or packed against another text.
    """
    try:
        before, after, size = _HEAD.unpack_from(packed)
        if before != zlib.crc32(old) or size > MOST_BYTES:
            raise ValueError("packed against another text")
        new = _unpack_parts(old, packed, size)
    except (struct.error, zlib.error) as exc:
        raise ValueError(f"damaged: {exc}") from exc
    if len(new) != size or zlib.crc32(new) != after:
        raise ValueError("damaged: not the text that was packed")
    return new


def _unpack_parts(old: bytes, packed: bytes, size: int) -> bytes:
    parts = []
    begin = _HEAD.size
    for at in range(0, size, SLICE):
        (length,) = _SIZE.unpack_from(packed, begin)
        begin += _SIZE.size
        unpacker = zlib.decompressobj(zdict=_around(old, at))
        parts.append(unpacker.decompress(packed[begin : begin + length], SLICE))
        begin += length
        if not unpacker.eof:
            raise ValueError("damaged: a part is cut short")
    return b"".join(parts)


def _around(old: bytes, at: int) -> bytes:
    """Returns the part of a text that a slice may refer to."""
    return old[max(0, at - AROUND) : at + SLICE + AROUND]
