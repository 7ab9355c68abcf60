"""Selection of the other entries that an entry may share queries with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.feed.messages import Helper

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.messages import Subscribe

HELPERS_PER_ENTRY = 5
"""Most links that an entry opens to others; about as many others link to it."""


def choose(entries: Iterable[Subscribe], name: str) -> tuple[Helper, ...]:
    """Returns the ready entries that follow ``name`` in its data centre.

    The order is circular, by name. Each entry is assigned to the same number
    of others, however many there are, and a change of one entry changes few
    links.

    Args:
        entries: the linked entries.
        name: the entry that asks.
    """
    rows = {entry.name: entry for entry in entries}
    if name not in rows:
        return ()
    own_data_centre = rows[name].data_centre
    names = sorted(
        row.name
        for row in rows.values()
        if row.data_centre == own_data_centre
        and row.peer_address
        and (row.ready or row.name == name)
    )
    if name not in names:
        return ()
    start = names.index(name) + 1
    following = (names[start:] + names[: start - 1])[:HELPERS_PER_ENTRY]
    return tuple(Helper(n, rows[n].peer_address) for n in following)
