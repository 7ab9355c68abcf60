"""Searchers that a control instance heard itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.feed.messages import SearcherRow, SearcherState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.messages import SearcherKey

FORGET_S = 120.0
"""How long an ended searcher's id is kept, so that late words of it, held up
by a cut, don't bring it back."""
LOST_AFTER_BEATS = 2.6
KEPT_BEATS = 1.8
"""How long a row that was kept over a restart waits for its searcher."""
JUMP_BEATS = 1.6
COLD_AGAIN_S = 0.3
"""More than an announcement's way varies."""


@attrs.define(eq=False, repr=False)
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

    def announce(
        self, now: float, row: SearcherRow, *, displaces: bool = True
    ) -> bool:
        """Takes in an announcement.

        Args:
            now: seconds.
            row: what the searcher says.
            displaces: whether it ends another searcher that has its address.

        Returns:
            Whether it is news to others.
        """
        known = self._heard.get(row.searcher_id)
        if self._is_late(row, known):
            return False
        if known is not None and known.row.address != row.address:
            self._free(known.row)
        self._settle(row, displaces=displaces)
        self._heard[row.searcher_id] = _Heard(row, now)
        if known is not None and not self._is_news(now, known, row):
            return False
        self.changed.append(row)
        return True

    def _is_late(self, row: SearcherRow, known: _Heard | None) -> bool:
        if known is None:
            return False
        if row.start != known.row.start:
            return row.start < known.row.start
        # A start that ended, or whose address another start has taken over,
        # can only be heard of by words that were held up on their way.
        if known.row.state is SearcherState.GONE:
            return True
        return row.sequence <= known.row.sequence

    def _free(self, row: SearcherRow) -> None:
        """Lets go of an address that a searcher no longer has.

        The next one there would otherwise end this searcher, which serves
        elsewhere.
        """
        if self._by_address.get(row.address) == row.searcher_id:
            del self._by_address[row.address]

    def _settle(self, row: SearcherRow, *, displaces: bool) -> None:
        """Notes who has the address; ends the start that had it before."""
        previous = self._by_address.get(row.address)
        if previous == row.searcher_id:
            return
        heard = self._heard.get(previous) if previous else None
        lives = heard is not None and heard.row.state is not SearcherState.GONE
        if lives and not displaces:
            return
        self._by_address[row.address] = row.searcher_id
        if lives:
            self._set_state(heard, SearcherState.GONE)

    def _is_news(self, now: float, known: _Heard, row: SearcherRow) -> bool:
        if known.row.state is not row.state or known.row.start != row.start:
            return True
        if known.row.address != row.address:
            return True
        if row.cold_left_s > self._cold_left_s(now, known) + COLD_AGAIN_S:
            return True
        # After a gap, another control instance may have told entries that the
        # searcher is lost, under a sequence above the one told from here.
        gap = now - known.heard_at
        return gap > JUMP_BEATS * self._announce_s

    def _cold_left_s(self, now: float, known: _Heard) -> float:
        return max(0.0, known.row.cold_left_s - (now - known.heard_at))

    def leave(self, now: float, key: SearcherKey) -> None:
        """Takes in that a start of a searcher ends."""
        heard = self._heard.get(key.searcher_id)
        if heard is None or heard.row.start < key.start:
            # Heard elsewhere so far; entries know its address from there.
            row = SearcherRow(
                key.searcher_id,
                service="",
                address="",
                data_centre="",
                state=SearcherState.GONE,
                sequence=0,
                slots=0,
                cold_left_s=0.0,
                start=key.start,
            )
            if heard is not None:
                self._free(heard.row)
            self._heard[key.searcher_id] = _Heard(row, now)
            self.changed.append(row)
        elif (
            heard.row.start == key.start
            and heard.row.state is not SearcherState.GONE
        ):
            self._set_state(heard, SearcherState.GONE)

    def start_of(self, searcher_id: str) -> int | None:
        """Returns the newest start that was heard of; None if none was."""
        heard = self._heard.get(searcher_id)
        return heard.row.start if heard is not None else None

    def _set_state(self, heard: _Heard, state: SearcherState) -> None:
        heard.row = attrs.evolve(heard.row, state=state)
        self.changed.append(heard.row)

    def sweep(self, now: float) -> list[SearcherKey]:
        """Marks searchers lost that went silent.

        Returns:
            The starts that ended long ago; they are forgotten.
        """
        silent = now - LOST_AFTER_BEATS * self._announce_s
        ended = []
        for heard in self._heard.values():
            if heard.heard_at > silent:
                continue
            if heard.row.state is SearcherState.READY:
                self._set_state(heard, SearcherState.LOST)
            elif heard.heard_at < now - FORGET_S:
                ended.append(heard.row)
        for row in ended:
            del self._heard[row.searcher_id]
            self._free(row)
        return [row.key for row in ended]
