"""Assigns searchers to entries where entries outnumber a connection cap.

Entries don't coordinate: each derives its searchers from its place among all
entries. The ranks that may use a searcher form an interval of the circle of all
ranks. Its length is the connection cap, so no searcher is used by more entries.
The intervals of the searchers of a service start at equal distances, so each
entry has nearly the same number of them. An entry that joins or leaves shifts
ranks and intervals by one, which changes the entries at the interval's ends.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.feed.messages import EntryPlace

RESERVED_SHARE = 16
"""One in so many connections of a searcher is assigned to no entry. It is left
for sends to searchers that are not assigned, and for the time in which entries
hold different places."""
HASH_RANGE = 2**32


def assigned_entries(entries: int, cap: int, searchers: int) -> int:
    """Returns the number of entries that a searcher is assigned to.

    The reserve is reduced where some entry would otherwise have no searcher.

    Args:
        entries: number of all entries, more than ``cap``.
        cap: connection cap of the searcher.
        searchers: number of searchers of the service.
    """
    needed = -(-entries // searchers)
    reduced = cap - cap // RESERVED_SHARE
    return max(reduced, needed) if needed <= cap else reduced


def is_assigned(
    place: EntryPlace, service: str, number: int, searchers: int, cap: int
) -> bool:
    """Whether an entry may use a searcher.

    Args:
        place: the entry's place among more entries than ``cap``.
        service: the searcher's service; its hash lets entries that have few
            searchers of one service have more of others.
        number: the searcher's position among those of the service, by id.
        searchers: number of searchers of the service.
        cap: connection cap of the searcher.
    """
    # As a fraction of the circle, the offset moves by at most one rank if
    # the number of entries changes by one. Integers keep the intervals of a
    # service at exactly equal distances.
    fraction = zlib.crc32(service.encode()) * searchers + number * HASH_RANGE
    offset = fraction * place.entries // (searchers * HASH_RANGE)
    length = assigned_entries(place.entries, cap, searchers)
    return (place.rank + offset) % place.entries < length
