"""Measures how late due answers are written to their callers."""

from __future__ import annotations

from collections import deque

import attrs

KEPT_DELAYS = 16
"""Number of delays kept. Where there are many entries, each of them receives a
gather about every three seconds."""
PRIOR_S = 0.012
"""Least delay assumed, in seconds, until ``KEPT_DELAYS`` delays are known: for
about a minute where there are many entries. A guess that is 10 ms too long
costs at most a hundredth of each answer that waits; one that is too short makes
it late."""
USED_QUANTILE = 0.8
"""Quantile of the delays that is used. With the longest delay instead, a single
stall would shorten the searchers' time in all answers after it."""
MAX_DELAY_S = 0.06
"""Delays above this, in seconds, are discarded: they come from a freeze of the
process, which doesn't predict the next delay. Kept, they would make answers
omit shards for a minute."""
MAX_SHARE_OF_OBJECTIVE = 0.15
"""Largest share of a route's objective that the margin may take, so that fast
routes leave most of it to their searchers."""


@attrs.define(eq=False, repr=False)
class AnswerDelay:
    """Estimates how long before its time an answer must be completed.

    An answer that waits for its last shards is completed when it is due. The
    time that this process then takes (a timer that fires late as the loop is
    busy with other requests, the merge, the write) makes it late, and a late
    answer is worth a tenth of one in time. Waiting less costs a few shards,
    each worth a hundredth of the answer.
    """

    _recent: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_DELAYS)
    )

    def note(self, delay_s: float) -> None:
        """Records how long after it was due an answer was written."""
        if delay_s <= MAX_DELAY_S:
            self._recent.append(delay_s)

    @property
    def usual_s(self) -> float:
        """Time in seconds within which most due answers are written."""
        recent = sorted(self._recent) or [PRIOR_S]
        usual = recent[int(USED_QUANTILE * (len(recent) - 1))]
        return usual if len(recent) == KEPT_DELAYS else max(usual, PRIOR_S)

    def margin_s(self, objective_s: float) -> float:
        """Returns how many seconds before its time an answer is due."""
        return min(self.usual_s, MAX_SHARE_OF_OBJECTIVE * objective_s)
