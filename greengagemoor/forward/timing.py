"""What sends usually take: by route, and how searchers differ from it."""

from __future__ import annotations

import bisect
import math
from collections import deque

import attrs

KEPT = 256
"""Answers remembered for each route: some seconds of a calm rate."""
LEAST_KEPT = 20
SPREAD = 1.8
"""Stands in for the spread until enough answers are known: a log-normal work
time of sigma 0.35 has its 0.95 quantile at 1.8 times its mean."""


LEAST_WEIGHT = 0.15
"""How much of an answer is taken over where answers are frequent."""
MEMORY_S = 2.0
"""An answer this long after the one before it counts for six tenths: with many
entries each sees a searcher only every few seconds, and by small steps it would
learn of a slow spell when that is over."""


class RouteTimes:
    """Times of the last answers on one route, as quantiles."""

    def __init__(self, guess_s: float):
        """Starts from a guess, until answers are known."""
        self._guess = guess_s
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def note(self, elapsed_s: float) -> None:
        """Adds the time of an answer."""
        self._recent.append(elapsed_s)
        bisect.insort(self._sorted, elapsed_s)
        if len(self._recent) > KEPT:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile(self, share: float) -> float:
        """Returns the time within which that share of answers came."""
        if len(self._sorted) < LEAST_KEPT:
            return self._guess * (SPREAD if share > 0.5 else 1.0)
        return self._sorted[int(share * (len(self._sorted) - 1))]

    @property
    def median(self) -> float:
        """Half of the answers came within it."""
        return self.quantile(0.5)


@attrs.define(eq=False, repr=False)
class Slowness:
    """How much longer a searcher takes than the route's median, smoothed.

    Attributes:
        value: 1 is usual.
    """

    value: float = 1.0

    def note(self, ratio: float, age_s: float) -> None:
        """Takes in the time of an answer over the route's median.

        Args:
            ratio: that time.
            age_s: since the answer before it; the older what is known, the
                more the new one counts.
        """
        bounded = min(max(ratio, 0.2), 20.0)
        weight = max(LEAST_WEIGHT, 1.0 - math.exp(-age_s / MEMORY_S))
        self.value += weight * (bounded - self.value)
