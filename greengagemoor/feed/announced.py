"""Searchers that announced themselves to this control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.feed.messages import SearcherRow, SearcherState
from greengagemoor.feed.peer_rows import newer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.messages import SearcherKey

ENDED_RETENTION_S = 120.0
"""How long the row of an ended searcher is kept, so that announcements delayed
by a network partition do not restore it."""
LOST_AFTER_INTERVALS = 2.6
"""Announcement intervals without an announcement after which a searcher is
marked lost: two in a row are missing, the second by 0.6 intervals."""
RESTORED_GRACE_INTERVALS = 1.8
"""Announcement intervals after a restart within which the searcher of a
restored row must announce itself to avoid being marked lost."""
RESEND_AFTER_INTERVALS = 1.6
"""Announcement intervals between two announcements beyond which an unchanged
row is sent to entries again: at least one announcement is missing here, so
another control instance may have marked the searcher lost."""
WARM_UP_TOLERANCE_S = 0.3
"""Increase of the remaining warm-up time that counts as a new warm-up; larger
than the variation in the delay of announcements."""


@attrs.define(eq=False, repr=False)
class _TrackedRow:
    row: SearcherRow
    received_at: float


class AnnouncedRows:
    """Rows of the searchers that announced themselves here.

    Attributes:
        changed: rows that have changed and are still to be sent to others.
    """

    def __init__(self, announce_s: float):
        """Creates an empty table.

        Args:
            announce_s: interval at which searchers announce themselves.
        """
        self._announce_s = announce_s
        self._tracked: dict[str, _TrackedRow] = {}
        self._by_address: dict[str, str] = {}
        self.changed: list[SearcherRow] = []

    def rows(self) -> tuple[SearcherRow, ...]:
        """Returns all rows."""
        return tuple(tracked.row for tracked in self._tracked.values())

    def restore(self, now: float, rows: Iterable[SearcherRow]) -> None:
        """Restores rows that were stored before a restart.

        After a restart of all processes it takes an announcement interval
        until all searchers have announced themselves; without stored rows,
        entries would have no searchers until then. A restored row without a
        new announcement is marked lost, as for any silent searcher.
        """
        elapsed = LOST_AFTER_INTERVALS - RESTORED_GRACE_INTERVALS
        received_at = now - elapsed * self._announce_s
        for row in rows:
            known = self._tracked.get(row.searcher_id)
            if known is not None and newer(known.row, row) == known.row:
                continue
            self._tracked[row.searcher_id] = _TrackedRow(row, received_at)
            self._by_address.setdefault(row.address, row.searcher_id)
            self.changed.append(row)

    def announce(
        self, now: float, row: SearcherRow, *, marks_previous_gone: bool = True
    ) -> bool:
        """Records an announcement.

        Args:
            now: seconds.
            row: the announced state of the searcher.
            marks_previous_gone: whether another searcher that is recorded at
                the same address is marked gone.

        Returns:
            Whether the row must be sent to others.
        """
        known = self._tracked.get(row.searcher_id)
        if self._is_outdated(row, known):
            return False
        if known is not None and known.row.address != row.address:
            self._release_address(known.row)
        self._assign_address(row, marks_previous_gone=marks_previous_gone)
        self._tracked[row.searcher_id] = _TrackedRow(row, now)
        if known is not None and not self._must_send(now, known, row):
            return False
        self.changed.append(row)
        return True

    def _is_outdated(self, row: SearcherRow, known: _TrackedRow | None) -> bool:
        if known is None:
            return False
        if row.start != known.row.start:
            return row.start < known.row.start
        # An incarnation that is gone, or that lost its address to another one,
        # does not announce itself again: this announcement was delayed.
        if known.row.state is SearcherState.GONE:
            return True
        return row.sequence <= known.row.sequence

    def _release_address(self, row: SearcherRow) -> None:
        """Removes the address that a searcher no longer has.

        Otherwise the next searcher to announce itself there would mark this
        one gone, although it serves at another address.
        """
        if self._by_address.get(row.address) == row.searcher_id:
            del self._by_address[row.address]

    def _assign_address(
        self, row: SearcherRow, *, marks_previous_gone: bool
    ) -> None:
        """Assigns the address to a row; marks its previous holder gone."""
        previous = self._by_address.get(row.address)
        if previous == row.searcher_id:
            return
        tracked = self._tracked.get(previous) if previous else None
        is_active = (
            tracked is not None and tracked.row.state is not SearcherState.GONE
        )
        if is_active and not marks_previous_gone:
            return
        self._by_address[row.address] = row.searcher_id
        if is_active:
            self._set_state(tracked, SearcherState.GONE)

    def _must_send(
        self, now: float, known: _TrackedRow, row: SearcherRow
    ) -> bool:
        if known.row.state is not row.state or known.row.start != row.start:
            return True
        if known.row.address != row.address:
            return True
        if (
            row.cold_left_s
            > self._remaining_warm_up_s(now, known) + WARM_UP_TOLERANCE_S
        ):
            return True
        # After a gap, another control instance may have sent entries a row that
        # marks the searcher lost, with a higher sequence than the last one sent
        # here.
        gap = now - known.received_at
        return gap > RESEND_AFTER_INTERVALS * self._announce_s

    def _remaining_warm_up_s(self, now: float, known: _TrackedRow) -> float:
        return max(0.0, known.row.cold_left_s - (now - known.received_at))

    def leave(self, now: float, key: SearcherKey) -> None:
        """Marks an incarnation of a searcher gone."""
        tracked = self._tracked.get(key.searcher_id)
        if tracked is None or tracked.row.start < key.start:
            # The incarnation announced itself to other control instances only;
            # entries have its address from them.
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
            if tracked is not None:
                self._release_address(tracked.row)
            self._tracked[key.searcher_id] = _TrackedRow(row, now)
            self.changed.append(row)
        elif (
            tracked.row.start == key.start
            and tracked.row.state is not SearcherState.GONE
        ):
            self._set_state(tracked, SearcherState.GONE)

    def start_of(self, searcher_id: str) -> int | None:
        """Returns the newest start of a searcher; None if it is unknown."""
        tracked = self._tracked.get(searcher_id)
        return tracked.row.start if tracked is not None else None

    def _set_state(self, tracked: _TrackedRow, state: SearcherState) -> None:
        tracked.row = attrs.evolve(tracked.row, state=state)
        self.changed.append(tracked.row)

    def sweep(self, now: float) -> list[SearcherKey]:
        """Marks silent searchers lost and removes those that ended long ago.

        Returns:
            The incarnations that were removed.
        """
        cutoff = now - LOST_AFTER_INTERVALS * self._announce_s
        ended = []
        for tracked in self._tracked.values():
            if tracked.received_at > cutoff:
                continue
            if tracked.row.state is SearcherState.READY:
                self._set_state(tracked, SearcherState.LOST)
            elif tracked.received_at < now - ENDED_RETENTION_S:
                ended.append(tracked.row)
        for row in ended:
            del self._tracked[row.searcher_id]
            self._release_address(row)
        return [row.key for row in ended]
