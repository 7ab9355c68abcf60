"""Detection of slow searchers from the reports of several entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from greengagemoor.feed.messages import SearcherKey

SLICE_S = 0.2
"""Length of a slice of time; several reports in one slice count once."""
WINDOW_SLICES = 7
MIN_SLICES = 5
"""Slices with a report, among the last ``WINDOW_SLICES``, from which on a
searcher counts as slow. A pause of 120 or 250 ms delays several sends, which
are reported within three slices, and single sends are late now and then;
reports in five of seven slices indicate a searcher that stays slow."""
FIRST_AVOID_S = 2.0
MAX_AVOID_S = 6.0
RELAPSE_WINDOW_S = 1.5
"""A searcher that is slow again within this time after it was last avoided is
avoided twice as long, up to ``MAX_AVOID_S``."""


@attrs.define(eq=False, repr=False)
class _SearcherReports:
    slices: set[int] = attrs.field(factory=set)
    avoid_s: float = FIRST_AVOID_S
    until: float = float("-inf")


class SlowSearcherTable:
    """Collects reports and selects the searchers that all entries avoid.

    With many entries, each sends to a given searcher only every few seconds. If
    each entry had to detect a slow searcher by itself, each would pay with a
    late shard or a hedge.
    """

    def __init__(self):
        self._rows: dict[SearcherKey, _SearcherReports] = {}

    def note(self, now: float, searcher: SearcherKey) -> float | None:
        """Records a report.

        Returns:
            For how many seconds entries should avoid the searcher from now on;
            None if nothing changes.
        """
        row = self._rows.setdefault(searcher, _SearcherReports())
        current = int(now / SLICE_S)
        oldest = current - WINDOW_SLICES
        row.slices = {s for s in row.slices if s > oldest} | {current}
        if now < row.until or len(row.slices) < MIN_SLICES:
            return None
        is_relapse = now - row.until < RELAPSE_WINDOW_S
        row.avoid_s = (
            min(2 * row.avoid_s, MAX_AVOID_S) if is_relapse else FIRST_AVOID_S
        )
        row.until = now + row.avoid_s
        row.slices.clear()
        return row.avoid_s

    def forget(self, searcher: SearcherKey) -> None:
        """Removes the reports about an incarnation that has ended."""
        self._rows.pop(searcher, None)
