"""Response times by route, and the slowness of searchers relative to them."""

from __future__ import annotations

import bisect
import math
from collections import deque

import attrs

KEPT_SAMPLES = 256
"""Response times kept for each route: a few seconds of normal traffic."""
MIN_SAMPLES = 20
"""Number of response times below which quantiles are estimated."""
UPPER_QUANTILE_RATIO = 1.8
"""Ratio of an upper quantile to the median, assumed until enough answers came:
log-normal times of sigma 0.35 have a 0.95 quantile of 1.8 medians."""
MIN_WEIGHT = 0.15
"""Least weight of an answer in the smoothed slowness; it applies where answers
are frequent."""
SMOOTHING_S = 2.0
"""Time constant of the smoothed slowness in seconds: an answer this long after
the previous one has a weight of 0.6. With many entries, each of them gets an
answer from a searcher only every few seconds; with small weights it would find
a searcher slow when it no longer is."""


class RouteTimes:
    """Quantiles of the last response times on one route."""

    def __init__(self, guess_s: float):
        """Starts without answers.

        Args:
            guess_s: median in seconds assumed until enough answers came.
        """
        self._guess = guess_s
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def note(self, elapsed_s: float) -> None:
        """Records the response time of an answer in seconds."""
        self._recent.append(elapsed_s)
        bisect.insort(self._sorted, elapsed_s)
        if len(self._recent) > KEPT_SAMPLES:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile(self, share: float) -> float:
        """Returns the given quantile in seconds, ``share`` from 0 to 1."""
        if len(self._sorted) < MIN_SAMPLES:
            return self._guess * (UPPER_QUANTILE_RATIO if share > 0.5 else 1.0)
        return self._sorted[int(share * (len(self._sorted) - 1))]

    @property
    def median(self) -> float:
        """Median response time in seconds."""
        return self.quantile(0.5)


@attrs.define(eq=False, repr=False)
class Slowness:
    """Smoothed ratio of a searcher's response times to its routes' medians.

    Attributes:
        value: the ratio; 1 is normal.
    """

    value: float = 1.0

    def note(self, ratio: float, age_s: float) -> None:
        """Records an answer.

        Args:
            ratio: its response time over the median of its route.
            age_s: seconds since the previous answer; the longer, the more
                weight the new answer has.
        """
        bounded = min(max(ratio, 0.2), 20.0)
        weight = max(MIN_WEIGHT, 1.0 - math.exp(-age_s / SMOOTHING_S))
        self.value += weight * (bounded - self.value)
