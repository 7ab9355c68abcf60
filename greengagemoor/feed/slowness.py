"""Which searchers are slow, from what several entries saw."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from greengagemoor.feed.messages import SearcherKey

SLICE_S = 0.2
WINDOW_SLICES = 7
LEAST_SLICES = 5
"""A pause of 120 or 250 ms makes several sends late, and they are told within
three slices; now and then a send is late by itself. Reports in five slices of
seven are of a searcher that stays slow."""
FIRST_AVOID_S = 2.0
LONGEST_AVOID_S = 6.0
AGAIN_S = 1.5
"""A searcher that is slow again so soon after it was asked again is left alone
twice as long."""


@attrs.define(eq=False, repr=False)
class _Slow:
    slices: set[int] = attrs.field(factory=set)
    avoid_s: float = FIRST_AVOID_S
    until: float = float("-inf")


class SlowTable:
    """Collects reports and tells which searchers all entries should avoid.

    With many entries each one sends to a searcher only every few seconds, so
    each would have to find out by itself, at the cost of a late shard or of a
    second send: one slow searcher would spoil an answer of each entry.
    """

    def __init__(self):
        self._rows: dict[SearcherKey, _Slow] = {}

    def note(self, now: float, searcher: SearcherKey) -> float | None:
        """Takes in a report.

        Returns:
            For how many seconds entries should avoid the searcher from now
            on; None if nothing new is to be said.
        """
        row = self._rows.setdefault(searcher, _Slow())
        current = int(now / SLICE_S)
        oldest = current - WINDOW_SLICES
        row.slices = {s for s in row.slices if s > oldest} | {current}
        if now < row.until or len(row.slices) < LEAST_SLICES:
            return None
        again = now - row.until < AGAIN_S
        row.avoid_s = (
            min(2 * row.avoid_s, LONGEST_AVOID_S) if again else FIRST_AVOID_S
        )
        row.until = now + row.avoid_s
        row.slices.clear()
        return row.avoid_s

    def forget(self, searcher: SearcherKey) -> None:
        """Forgets a start that has ended."""
        self._rows.pop(searcher, None)
