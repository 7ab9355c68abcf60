"""Recent latencies with cheap quantiles; all in seconds."""

from __future__ import annotations

from collections import deque

from sortedcontainers import SortedList

WINDOW = 256
FEWEST_SAMPLES = 8


class LatencyWindow:
    """The last ``WINDOW`` samples, kept sorted for quantiles."""

    __slots__ = ("_order", "_sorted")

    def __init__(self):
        self._order: deque[float] = deque()
        self._sorted = SortedList()

    def __len__(self) -> int:
        return len(self._order)

    def add(self, sample: float) -> None:
        """Adds a sample and forgets the oldest beyond the window."""
        self._order.append(sample)
        self._sorted.add(sample)
        if len(self._order) > WINDOW:
            self._sorted.remove(self._order.popleft())

    def quantile(self, share: float) -> float | None:
        """Returns the sample at ``share`` (0 to 1), None with too few."""
        count = len(self._sorted)
        if count < FEWEST_SAMPLES:
            return None
        return self._sorted[min(count - 1, int(share * count))]
