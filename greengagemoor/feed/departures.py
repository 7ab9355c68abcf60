"""Searchers that are about to end, as stored for a restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.messages import Send
from greengagemoor.feed.messages import RowsTaken, SearcherState
from greengagemoor.feed.peer_rows import newer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.messages import SearcherRow, SearcherRows

DEPARTED_STATES = (SearcherState.DRAINING, SearcherState.GONE)


@attrs.define(eq=False, repr=False)
class _Departure:
    row: SearcherRow
    until: float


class Departures:
    """Rows of searchers that drain or have left, at any control instance.

    A searcher that has left announces itself no more. If all processes forget
    it in a restart, its earlier rows make it look ready again for as long as it
    goes on serving.

    Attributes:
        version: increases with each change.
        stored_version: newest version that the disk holds.
    """

    def __init__(self, retention_s: float):
        """Starts without rows.

        Args:
            retention_s: how long a row is kept after its last change.
        """
        self._retention_s = retention_s
        self._departures: dict[str, _Departure] = {}
        self._unstored: dict[str, tuple[int, int]] = {}
        """By control instance: number of the rows received from it, and the
        version that the disk must hold for them."""
        self.version = 0
        self.stored_version = 0

    @property
    def is_stored(self) -> bool:
        """Whether the disk holds all rows."""
        return self.stored_version >= self.version

    def rows(self) -> tuple[SearcherRow, ...]:
        """Returns all rows."""
        return tuple(kept.row for kept in self._departures.values())

    def note(self, now: float, rows: Iterable[SearcherRow]) -> None:
        """Adds the rows of searchers that are about to end.

        A later start of a searcher replaces its departure, which then needs
        not be stored any more.
        """
        for row in rows:
            known = self._departures.get(row.searcher_id)
            if row.state in DEPARTED_STATES:
                self._put(now, known, row)
            elif known is not None and row.start > known.row.start:
                del self._departures[row.searcher_id]

    def _put(
        self, now: float, known: _Departure | None, row: SearcherRow
    ) -> None:
        merged = row if known is None else newer(known.row, row)
        if known is not None and merged == known.row:
            return
        # A draining searcher repeats that with another sequence, which need
        # not be stored.
        before = None if known is None else (known.row.start, known.row.state)
        if before != (merged.start, merged.state):
            self.version += 1
        self._departures[row.searcher_id] = _Departure(
            merged, now + self._retention_s
        )

    def restore(self, now: float, rows: Iterable[SearcherRow]) -> None:
        """Restores stored rows; the disk may have been replaced since."""
        self.note(now, rows)
        self.version += 1

    def note_received(
        self, now: float, sender: str, msg: SearcherRows
    ) -> RowsTaken:
        """Adds the rows of another control instance; returns the reply."""
        self.note(now, msg.rows)
        if self.is_stored:
            return RowsTaken(msg.number, msg.number)
        self._unstored[sender] = (msg.number, self.version)
        return RowsTaken(msg.number)

    def note_stored(self, version: int) -> list[Send]:
        """Records that the disk holds all rows up to a version.

        Returns:
            Replies to the control instances whose rows are stored by now.
        """
        self.stored_version = max(self.stored_version, version)
        out = []
        for sender, (number, needed) in list(self._unstored.items()):
            if needed <= self.stored_version:
                del self._unstored[sender]
                out.append(Send(sender, RowsTaken(number, number)))
        return out

    def drop_sender(self, name: str) -> None:
        """Forgets the rows of a control instance whose link is closed."""
        self._unstored.pop(name, None)

    def sweep(self, now: float) -> None:
        """Removes the rows of searchers that ended long ago."""
        expired = [
            key for key, kept in self._departures.items() if kept.until <= now
        ]
        for key in expired:
            del self._departures[key]
