"""Framed records with checksums, and what a damaged file proves.

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


def frame(payload: bytes) -> bytes:
    """Returns the bytes of one record."""
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


@values.frozen
class Scan:
    """What a file holds.

    Attributes:
        payloads: the whole records, in order.
        good_bytes: length of the file up to the last whole record.
    """

    payloads: tuple[bytes, ...]
    good_bytes: int


def scan(data: bytes) -> Scan:
    """Reads all records of a file.

    A crash while writing leaves a torn last record: it was never synced, so
    it may be dropped. A damaged record with a whole one behind it had been
    synced: dropping it would forget a vote or an accepted document, and the
    member would then elect a leader that lacks it. Each sync is followed by a
    mark record, so damage to any synced record but the very last shows.

    Raises:
        CorruptRecordError: a record that had been synced is damaged.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_at(data, offset)
        if payload is None:
            _refuse_if_followed(data, offset)
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


def _refuse_if_followed(data: bytes, bad: int) -> None:
    position = data.find(MAGIC, bad + 1)
    while position >= 0:
        if _read_at(data, position) is not None:
            raise CorruptRecordError(
                f"damaged record at byte {bad}, with whole ones behind it"
            )
        position = data.find(MAGIC, position + 1)
