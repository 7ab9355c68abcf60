"""How long an answer that is due takes to leave this process."""

from __future__ import annotations

from collections import deque

import attrs

KEPT = 16
"""Answers remembered; one gather in three seconds comes to an entry of many."""
PRIOR_S = 0.012
"""At least, until so many have left: an entry of many sees a dozen gathers in
a minute. A guess 10 ms too long costs each answer that waits a part of a
hundredth; one that is too short makes it late."""
SHARE = 0.8
"""Of the answers that must leave in time. By the longest delay instead, one
stall would take time from the searchers of all answers after it."""
LONGEST_S = 0.06
"""What took longer was a freeze or the like, which the next answer won't meet;
kept, it would make a minute of answers leave parts out."""
MOST_OF_OBJECTIVE = 0.15
"""A quick route keeps most of its objective for its searchers."""


@attrs.define(eq=False, repr=False)
class LeavingDelay:
    """Learns how much sooner an answer must be given to arrive in time.

    An answer that waits for its last shards is given at the last moment. What
    this process then takes (a timer that fires late as the loop is busy with
    other requests, the merge, the write) makes it late, and a late answer is
    worth a tenth. A few shards of a hundredth each are worth less.
    """

    _recent: deque[float] = attrs.field(factory=lambda: deque(maxlen=KEPT))

    def note(self, delay_s: float) -> None:
        """Takes in how long after it was due an answer left."""
        if delay_s <= LONGEST_S:
            self._recent.append(delay_s)

    @property
    def usual_s(self) -> float:
        """Most answers leave within it."""
        recent = sorted(self._recent) or [PRIOR_S]
        usual = recent[int(SHARE * (len(recent) - 1))]
        return usual if len(recent) == KEPT else max(usual, PRIOR_S)

    def margin_s(self, objective_s: float) -> float:
        """Returns how long before its time an answer should be given."""
        return min(self.usual_s, MOST_OF_OBJECTIVE * objective_s)
