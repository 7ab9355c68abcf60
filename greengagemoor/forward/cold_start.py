"""Limits the request rate at a cold searcher over all entries.

A searcher that has just started can serve few requests a second, later many
more. Entries don't coordinate single sends: a hash of names selects the entries
that may use a cold searcher, and each of these limits its own rate, so that the
sum stays within the bound when entries join, are killed or are partitioned.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Searcher, Tables

USED_SHARE = 0.6
"""Share of a cold searcher's rate that is used, as the number of entries that
the hash selects varies, and sends of one second may arrive in the next."""
SEND_GAP_S = 1.1
"""Seconds between two sends of an entry to a cold searcher, unless its rate is
higher: two sends with this gap never arrive within one second."""


def is_selected(tables: Tables, row: Searcher) -> bool:
    """Whether this entry may use a searcher; always if it isn't cold."""
    rate = _rate(tables, row)
    if rate is None or rate >= 1.0:
        return True
    return _hash(tables, row) < rate * SEND_GAP_S


def is_within_rate(tables: Tables, row: Searcher) -> bool:
    """Whether the rate limit allows a send to the searcher now."""
    rate = _rate(tables, row)
    if rate is None:
        return True
    gap = min(SEND_GAP_S, 1.0 / rate)
    return tables.now - row.sent_at >= gap


def _rate(tables: Tables, row: Searcher) -> float | None:
    """Returns an entry's share of a cold searcher's rate, None if unbounded.

    The share is in requests a second.
    """
    if tables.now >= row.cold_until:
        return None
    rules = tables.services.get(row.service)
    if rules is None or not rules.cold_per_s:
        return None
    return USED_SHARE * rules.cold_per_s / tables.sharing_entries


def _hash(tables: Tables, row: Searcher) -> float:
    """Returns a hash from 0 to 1, the same after a restart of this entry."""
    names = f"{tables.name}|{row.searcher_id}|{row.start}"
    return zlib.crc32(names.encode()) / 2**32
