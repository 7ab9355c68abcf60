"""Framed records with checksums, and detection of damaged files.

A record is: magic (4 bytes), length (4), CRC-32 of the payload (4), payload.
"""

from __future__ import annotations

import struct
import zlib

from greengagemoor.errors import CorruptRecordError
from greengagemoor.util import values

MAGIC = b"GGM1"
SYNC_MARK = b"M"
"""Payload of a record before which everything has been synced."""
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

    After a loss of power each write since the last sync may be missing, torn
    or present; what follows the first damage was never synced and may be
    discarded. A mark is written after each sync, so a damaged record with an
    intact mark behind it had been synced: discarding it would lose a vote or
    an accepted document, and the member could then help to elect a leader that
    lacks it. Damage to any synced record but those of the last sync is
    detected.

    Raises:
        CorruptRecordError: a record that had been synced is damaged.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_at(data, offset)
        if payload is None:
            _raise_if_synced(data, offset)
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


def _raise_if_synced(data: bytes, damaged: int) -> None:
    position = data.find(MAGIC, damaged + 1)
    while position >= 0:
        if _read_at(data, position) == SYNC_MARK:
            raise CorruptRecordError(
                f"damaged record at byte {damaged}, synced before byte "
                f"{position}"
            )
        position = data.find(MAGIC, position + 1)
