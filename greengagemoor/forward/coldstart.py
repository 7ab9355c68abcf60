"""How much a cold searcher is sent, by all entries together.

A searcher that has just started bears few requests a second and ends at many
more. Entries don't agree on each send: a part of them, drawn by name, may use
a cold searcher, each at a pace of its own, so that the sum keeps to the bound
through joins, kills and cuts.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Searcher, Tables

PACE = 0.6
"""Share of what a cold searcher bears that is used: how many entries are drawn
for it varies, and sends of one second may arrive in another."""
LEAST_GAP_S = 1.1
"""Between two sends of one entry; two of them never arrive within a second."""


def may_use(tables: Tables, row: Searcher) -> bool:
    """Whether this entry is one of those that may use a cold searcher."""
    share = _share(tables, row)
    if share is None or share >= 1.0:
        return True
    return _draw(tables, row) < share * LEAST_GAP_S


def has_turn(tables: Tables, row: Searcher) -> bool:
    """Whether a searcher, if it is cold, may get the next send from here."""
    share = _share(tables, row)
    if share is None:
        return True
    gap = min(LEAST_GAP_S, 1.0 / share)
    return tables.now - row.sent_at >= gap


def _share(tables: Tables, row: Searcher) -> float | None:
    """Returns an entry's part of a cold searcher's pace, None for no bound."""
    if tables.now >= row.cold_until:
        return None
    rules = tables.services.get(row.service)
    if rules is None or not rules.cold_per_s:
        return None
    return PACE * rules.cold_per_s / tables.sharers


def _draw(tables: Tables, row: Searcher) -> float:
    """Returns a number from 0 to 1, the same after a restart of this entry."""
    names = f"{tables.name}|{row.searcher_id}|{row.start}"
    return zlib.crc32(names.encode()) / 2**32
