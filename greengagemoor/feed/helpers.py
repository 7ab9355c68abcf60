"""Which other entries an entry may share queries with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.feed.messages import Helper

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.messages import Subscribe

HELPERS = 5
"""Links to others that an entry opens; about as many others open one to it."""


def choose(entries: Iterable[Subscribe], name: str) -> tuple[Helper, ...]:
    """Returns the ready entries of a data centre that come next in order.

    Each is named to as many others, whatever their number, and a change of
    one entry moves few links.

    Args:
        entries: that are linked.
        name: the one that asks.
    """
    rows = {entry.name: entry for entry in entries}
    if name not in rows:
        return ()
    place = rows[name].data_centre
    names = sorted(
        row.name
        for row in rows.values()
        if row.data_centre == place
        and row.peer_address
        and (row.ready or row.name == name)
    )
    if name not in names:
        return ()
    turn = names.index(name) + 1
    following = (names[turn:] + names[: turn - 1])[:HELPERS]
    return tuple(Helper(n, rows[n].peer_address) for n in following)
