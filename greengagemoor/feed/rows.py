"""Which of two words about a searcher holds, and rows that others told."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.feed.messages import SearcherState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.messages import SearcherRow


def newer(known: SearcherRow, row: SearcherRow) -> SearcherRow:
    """Returns the row that holds, of two about one searcher.

    A searcher that starts again under its id counts its announcements anew:
    compared by the count alone, its words look late for as long as it ran
    before, and it gets no request for that time.
    """
    if row.start != known.start:
        return row if row.start > known.start else known
    if SearcherState.GONE in (known.state, row.state):
        kept = row if row.address and not known.address else known
        return attrs.evolve(kept, state=SearcherState.GONE)
    if row.sequence > known.sequence:
        return row
    if row.sequence == known.sequence and row.state is SearcherState.LOST:
        return row
    return known


@attrs.define(eq=False, repr=False)
class _Told:
    row: SearcherRow
    until: float


class OtherRows:
    """Rows that other control instances heard.

    They are never spoken of in the own name; an entry that subscribes gets
    them beside the own ones. After a kill of everything the first control
    instances to return would otherwise know a part of the searchers only: at
    two of five back, most shards had one searcher for the first 0.3 s, whose
    few connections were taken at once.
    """

    def __init__(self, unconfirmed_s: float, ended_s: float):
        """Starts empty.

        Args:
            unconfirmed_s: how long a row kept over a restart stands that no
                other control instance tells again.
            ended_s: how long the row of an ended searcher is kept.
        """
        self._unconfirmed_s = unconfirmed_s
        self._ended_s = ended_s
        self._told: dict[str, _Told] = {}
        self.changes = 0

    def begin_with(self, now: float, rows: Iterable[SearcherRow]) -> None:
        """Takes in rows that were kept before a restart."""
        for row in rows:
            until = now + self._unconfirmed_s
            self._told.setdefault(row.searcher_id, _Told(row, until))

    def take(self, now: float, rows: Iterable[SearcherRow]) -> None:
        """Takes in what another control instance tells."""
        for row in rows:
            known = self._told.get(row.searcher_id)
            held = row if known is None else newer(known.row, row)
            self.changes += known is None or held != known.row
            lives = held.state in (SearcherState.READY, SearcherState.DRAINING)
            until = float("inf") if lives else now + self._ended_s
            self._told[row.searcher_id] = _Told(held, until)

    def sweep(self, now: float) -> None:
        """Forgets what has ended, or was never confirmed."""
        over = [key for key, told in self._told.items() if told.until <= now]
        for key in over:
            del self._told[key]

    def start_of(self, searcher_id: str) -> int:
        """Returns the start that was told last, 0 if none was."""
        told = self._told.get(searcher_id)
        return told.row.start if told is not None else 0

    def rows(self) -> tuple[SearcherRow, ...]:
        """Returns all rows."""
        return tuple(told.row for told in self._told.values())
