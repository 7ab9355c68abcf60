"""A sliding window of latencies, in seconds, with quantiles."""

from __future__ import annotations

from collections import deque

from sortedcontainers import SortedList

MAX_SAMPLES = 256
"""Samples kept."""

MIN_SAMPLES = 8
"""Samples needed for a quantile."""


class LatencyWindow:
    """The last ``MAX_SAMPLES`` samples, in order of arrival and sorted."""

    __slots__ = ("_order", "_sorted")

    def __init__(self):
        self._order: deque[float] = deque()
        self._sorted = SortedList()

    def __len__(self) -> int:
        return len(self._order)

    def add(self, sample: float) -> None:
        """Adds a sample and removes the oldest beyond ``MAX_SAMPLES``."""
        self._order.append(sample)
        self._sorted.add(sample)
        if len(self._order) > MAX_SAMPLES:
            self._sorted.remove(self._order.popleft())

    def quantile(self, share: float) -> float | None:
        """Returns the sample at ``share`` (0 to 1), None if too few exist."""
        count = len(self._sorted)
        if count < MIN_SAMPLES:
            return None
        return self._sorted[min(count - 1, int(share * count))]
