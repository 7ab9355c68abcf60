"""Framed records with checksums, and detection of damaged files.

A record is: magic (4 bytes), length (4), CRC-32 of the payload (4), payload.
"""

from __future__ import annotations

import struct
import zlib

from greengagemoor.errors import CorruptRecordError
from greengagemoor.util import values

MAGIC = b"GGM1"
_HEADER = struct.Struct(">4sII")
MAX_RECORD_BYTES = 1 << 30
"""A header with a greater length counts as damaged."""


def frame(payload: bytes) -> bytes:
    """Returns the record of a payload."""
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


@values.frozen
class Scan:
    """Content of a file of records.

    Attributes:
        payloads: payloads of the intact records, in order.
        good_bytes: length of the file up to the end of the last intact record.
    """

    payloads: tuple[bytes, ...]
    good_bytes: int


def scan(data: bytes) -> Scan:
    """Reads all records of a file.

    A crash during a write leaves a torn last record, which was never synced
    and may be discarded. A damaged record followed by an intact one had been
    synced: discarding it would lose a vote or an accepted document, and the
    member could then help to elect a leader that lacks it. A mark record
    follows each sync, so damage to any synced record but the very last is
    detected.

    Raises:
        CorruptRecordError: a record that had been synced is damaged.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_at(data, offset)
        if payload is None:
            _raise_if_followed(data, offset)
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Scan(tuple(payloads), offset)


def _read_at(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, length, crc = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if magic != MAGIC or length > MAX_RECORD_BYTES:
        return None
    payload = data[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != crc:
        return None
    return payload


def _raise_if_followed(data: bytes, damaged: int) -> None:
    position = data.find(MAGIC, damaged + 1)
    while position >= 0:
        if _read_at(data, position) is not None:
            raise CorruptRecordError(
                f"damaged record at byte {damaged}, followed by an intact one"
            )
        position = data.find(MAGIC, position + 1)
