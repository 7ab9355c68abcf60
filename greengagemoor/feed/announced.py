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
    """A row as sent to others.

    Attributes:
        is_displaced: whether another searcher has announced itself at the
            address since.
        is_contradicted: whether another control instance has sent a row that
            marks it lost, so that the next announcement must be sent.
    """

    row: SearcherRow
    received_at: float
    is_displaced: bool = False
    is_contradicted: bool = False


class AnnouncedRows:
    """Rows of the searchers that announced themselves here.

    Of two searchers at one address only one can be running, and the other may
    announce itself once more if a network partition has delayed that. The
    order of arrival does not tell them apart for certain, nor do start times of
    different clocks. So the one that is displaced is marked lost, not gone: if
    it is the one that runs, it goes on announcing itself, and takes the address
    back once the other is silent.

    Attributes:
        changed: rows that have changed and are still to be sent to others.
        contested: announcements so far at an address that another searcher
            held.
    """

    def __init__(self, announce_s: float):
        """Creates an empty table.

        Args:
            announce_s: interval at which searchers announce themselves.
        """
        self._announce_s = announce_s
        self._lost_after_s = LOST_AFTER_INTERVALS * announce_s
        self._tracked: dict[str, _TrackedRow] = {}
        self._by_address: dict[str, str] = {}
        self.changed: list[SearcherRow] = []
        self.contested = 0

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
            if row.state is SearcherState.READY:
                self._by_address[row.address] = row.searcher_id
            else:
                self._by_address.setdefault(row.address, row.searcher_id)
            self.changed.append(row)

    def announce(
        self, now: float, row: SearcherRow, *, may_displace: bool = True
    ) -> bool:
        """Records an announcement.

        Args:
            now: seconds.
            row: the announced state of the searcher.
            may_displace: whether it may take the address of another searcher
                that is recorded there.

        Returns:
            Whether the row must be sent to others.
        """
        known = self._tracked.get(row.searcher_id)
        if self._is_outdated(row, known):
            return False
        if known is not None and known.row.address != row.address:
            self._release_address(known.row)
        is_displaced = not self._try_take_address(
            now, row, known, may_displace=may_displace
        )
        if is_displaced and row.state is SearcherState.READY:
            row = attrs.evolve(row, state=SearcherState.LOST)
        self._tracked[row.searcher_id] = _TrackedRow(row, now, is_displaced)
        if known is not None and not self._must_send(now, known, row):
            return False
        self.changed.append(row)
        return True

    def _is_outdated(self, row: SearcherRow, known: _TrackedRow | None) -> bool:
        if known is None:
            return False
        if row.start != known.row.start:
            return row.start < known.row.start
        # An incarnation that has left does not announce itself again: this
        # announcement was delayed.
        if known.row.state is SearcherState.GONE:
            return True
        return row.sequence <= known.row.sequence

    def _release_address(self, row: SearcherRow) -> None:
        """Removes the address that a searcher no longer has.

        Otherwise the next searcher to announce itself there would displace
        this one, although it serves at another address.
        """
        if self._by_address.get(row.address) == row.searcher_id:
            del self._by_address[row.address]

    def _try_take_address(
        self,
        now: float,
        row: SearcherRow,
        known: _TrackedRow | None,
        *,
        may_displace: bool,
    ) -> bool:
        """Assigns the address to a row; returns False if another keeps it."""
        holder_id = self._by_address.get(row.address)
        if holder_id == row.searcher_id:
            return True
        holder = self._tracked.get(holder_id) if holder_id else None
        if holder is not None and self._is_active(now, holder):
            if not may_displace:
                return True
            self.contested += 1
            if _must_wait(row, known, holder.row):
                return False
        if holder is not None:
            holder.is_displaced = True
            if holder.row.state is SearcherState.READY:
                self._set_state(holder, SearcherState.LOST)
        self._by_address[row.address] = row.searcher_id
        return True

    def _is_active(self, now: float, tracked: _TrackedRow) -> bool:
        """Whether a searcher has announced itself lately and has not ended."""
        is_silent = tracked.received_at <= now - self._lost_after_s
        return not is_silent and not tracked.row.state.has_ended

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
        if known.is_contradicted:
            return True
        # After a gap, another control instance may have sent entries a row that
        # marks the searcher lost, with a higher sequence than the last one sent
        # here.
        gap = now - known.received_at
        return gap > RESEND_AFTER_INTERVALS * self._announce_s

    def _remaining_warm_up_s(self, now: float, known: _TrackedRow) -> float:
        return max(0.0, known.row.cold_left_s - (now - known.received_at))

    def contradict(self, rows: Iterable[SearcherRow]) -> None:
        """Sends the rows again that another control instance marks lost.

        A searcher may have announced itself there as well, once, without an
        acknowledgement.
        """
        for row in rows:
            tracked = self._tracked.get(row.searcher_id)
            if (
                tracked is None
                or row.state is not SearcherState.LOST
                or tracked.row.state is not SearcherState.READY
                or tracked.row.start != row.start
            ):
                continue
            if tracked.row.sequence > row.sequence:
                self.changed.append(tracked.row)
            else:
                tracked.is_contradicted = True

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
        cutoff = now - self._lost_after_s
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


def _must_wait(
    row: SearcherRow, known: _TrackedRow | None, holder: SearcherRow
) -> bool:
    """Whether an announcement takes an address only once the holder is silent.

    It is probably delayed if its sender was displaced there before, or started
    before the holder.
    """
    is_same_start = known is not None and known.row.start == row.start
    if is_same_start and known.is_displaced:
        return True
    return bool(row.start and holder.start) and row.start < holder.start
