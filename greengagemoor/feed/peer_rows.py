"""Merging of searcher rows, and the rows from other control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.feed.messages import SearcherState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.messages import SearcherRow


def newer(known: SearcherRow, row: SearcherRow) -> SearcherRow:
    """Returns the one of two rows of a searcher that takes precedence.

    A searcher that restarts under the same ID counts its announcements from the
    beginning. Compared by ``sequence`` alone, they would be discarded as
    outdated for as long as the previous incarnation ran, and the searcher would
    get no requests.
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
class _ReceivedRow:
    row: SearcherRow
    until: float


class PeerRows:
    """Rows received from other control instances.

    They are sent only to entries that subscribe, together with this instance's
    own rows. After a restart of all processes, the first control instances to
    return would otherwise know only part of the searchers: with two of five
    back, most shards had a single searcher for the first 0.3 s, and its few
    connections were used up at once.
    """

    def __init__(self, unconfirmed_s: float, ended_s: float):
        """Creates an empty table.

        Args:
            unconfirmed_s: how long a restored row is kept if no other control
                instance sends it again.
            ended_s: how long the row of an ended searcher is kept.
        """
        self._unconfirmed_s = unconfirmed_s
        self._ended_s = ended_s
        self._received: dict[str, _ReceivedRow] = {}
        self.version = 0

    def restore(self, now: float, rows: Iterable[SearcherRow]) -> None:
        """Restores rows that were stored before a restart."""
        for row in rows:
            until = now + self._unconfirmed_s
            self._received.setdefault(row.searcher_id, _ReceivedRow(row, until))

    def merge(self, now: float, rows: Iterable[SearcherRow]) -> None:
        """Merges rows received from another control instance."""
        for row in rows:
            known = self._received.get(row.searcher_id)
            merged = row if known is None else newer(known.row, row)
            self.version += known is None or merged != known.row
            is_active = merged.state in (
                SearcherState.READY,
                SearcherState.DRAINING,
            )
            until = float("inf") if is_active else now + self._ended_s
            self._received[row.searcher_id] = _ReceivedRow(merged, until)

    def sweep(self, now: float) -> None:
        """Removes expired rows of ended searchers and unconfirmed rows."""
        expired = [
            key
            for key, received in self._received.items()
            if received.until <= now
        ]
        for key in expired:
            del self._received[key]

    def start_of(self, searcher_id: str) -> int:
        """Returns the newest start of a searcher; 0 if it is unknown."""
        received = self._received.get(searcher_id)
        return received.row.start if received is not None else 0

    def rows(self) -> tuple[SearcherRow, ...]:
        """Returns all rows."""
        return tuple(received.row for received in self._received.values())
