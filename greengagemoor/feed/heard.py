"""Searchers that a control instance heard itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.feed.messages import SearcherRow, SearcherState

if TYPE_CHECKING:
    from collections.abc import Iterable

FORGET_S = 120.0
"""How long an ended searcher's id is kept, so that late words of it, held up
by a cut, don't bring it back."""
LOST_AFTER_BEATS = 2.6
KEPT_BEATS = 1.8
"""How long a row that was kept over a restart waits for its searcher."""
JUMP_BEATS = 1.6


@attrs.define
class _Heard:
    row: SearcherRow
    heard_at: float


class HeardRows:
    """The table of announcements; ``changed`` is what others must be told."""

    def __init__(self, announce_s: float):
        """Starts empty.

        Args:
            announce_s: how often searchers announce themselves.
        """
        self._announce_s = announce_s
        self._heard: dict[str, _Heard] = {}
        self._by_address: dict[str, str] = {}
        self.changed: list[SearcherRow] = []

    def rows(self) -> tuple[SearcherRow, ...]:
        """Returns all rows."""
        return tuple(heard.row for heard in self._heard.values())

    def begin_with(self, now: float, rows: Iterable[SearcherRow]) -> None:
        """Takes in rows that were kept before a restart.

        After a kill of everything, searchers announce themselves only within
        an interval; until then no entry would know any. A kept row that isn't
        announced again soon is lost like one that fell silent.
        """
        silent = LOST_AFTER_BEATS - KEPT_BEATS
        heard_at = now - silent * self._announce_s
        for row in rows:
            if row.searcher_id in self._heard:
                continue
            self._heard[row.searcher_id] = _Heard(row, heard_at)
            self._by_address.setdefault(row.address, row.searcher_id)
            self.changed.append(row)

    def announce(self, now: float, row: SearcherRow) -> bool:
        """Takes in an announcement; returns whether it is news to others."""
        known = self._heard.get(row.searcher_id)
        if self._is_late(row, known):
            return False
        self._displace(row)
        self._heard[row.searcher_id] = _Heard(row, now)
        if known is not None and not self._is_news(now, known, row):
            return False
        self.changed.append(row)
        return True

    def _is_late(self, row: SearcherRow, known: _Heard | None) -> bool:
        if known is None:
            return False
        # A start that ended, or whose address another start has taken over,
        # can only be heard of by words that were held up on their way.
        if known.row.state is SearcherState.GONE:
            return True
        return row.sequence <= known.row.sequence

    def _displace(self, row: SearcherRow) -> None:
        """Ends the start that had this address before."""
        previous = self._by_address.get(row.address)
        if previous == row.searcher_id:
            return
        self._by_address[row.address] = row.searcher_id
        heard = self._heard.get(previous) if previous else None
        if heard is not None:
            self._set_state(heard, SearcherState.GONE)

    def _is_news(self, now: float, known: _Heard, row: SearcherRow) -> bool:
        if known.row.state is not row.state:
            return True
        if known.row.address != row.address:
            return True
        # After a gap, another control instance may have told entries that the
        # searcher is lost, under a sequence above the one told from here.
        gap = now - known.heard_at
        return gap > JUMP_BEATS * self._announce_s

    def leave(self, now: float, searcher_id: str) -> None:
        """Takes in that a searcher ends."""
        heard = self._heard.get(searcher_id)
        if heard is None:
            # Heard elsewhere so far; entries know its address from there.
            row = SearcherRow(
                searcher_id, "", "", "", SearcherState.GONE, 0, 0, 0.0
            )
            self._heard[searcher_id] = _Heard(row, now)
            self.changed.append(row)
        elif heard.row.state is not SearcherState.GONE:
            self._set_state(heard, SearcherState.GONE)

    def _set_state(self, heard: _Heard, state: SearcherState) -> None:
        heard.row = attrs.evolve(heard.row, state=state)
        self.changed.append(heard.row)

    def sweep(self, now: float) -> list[str]:
        """Marks searchers lost that went silent.

        Returns:
            The ids of searchers that ended long ago; they are forgotten.
        """
        silent = now - LOST_AFTER_BEATS * self._announce_s
        ended = []
        for searcher_id, heard in self._heard.items():
            if heard.heard_at > silent:
                continue
            if heard.row.state is SearcherState.READY:
                self._set_state(heard, SearcherState.LOST)
            elif heard.heard_at < now - FORGET_S:
                ended.append(searcher_id)
        for searcher_id in ended:
            self._forget(searcher_id)
        return ended

    def _forget(self, searcher_id: str) -> None:
        row = self._heard.pop(searcher_id).row
        if self._by_address.get(row.address) == searcher_id:
            del self._by_address[row.address]
