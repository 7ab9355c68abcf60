"""Mergers: combine the answers to a gather into one body."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from greengagemoor.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

RECORD_BYTES = 16
GREATEST_RECORDS = "greatest_records"

mergers: Registry = Registry("merger")
"""Functions (parts, top) -> body."""


@mergers.register(GREATEST_RECORDS)
def merge_greatest(parts: Iterable[bytes], top: int) -> bytes:
    """Returns the greatest records of all parts, in descending order.

    Equal records are kept.

    Args:
        parts: records of fixed size in any order; an incomplete one at the end
            of a part is ignored.
        top: most records in the result.
    """
    records = (record for part in parts for record in _records(part))
    return b"".join(heapq.nlargest(top, records))


def _records(part: bytes) -> Iterator[bytes]:
    end = len(part) - len(part) % RECORD_BYTES
    return (part[i : i + RECORD_BYTES] for i in range(0, end, RECORD_BYTES))
