"""Means and counts in which older values weigh less."""

from __future__ import annotations

import math

import attrs


@attrs.define(eq=False)
class DecayedMean:
    """A mean in which the weight of a value decays exponentially.

    Attributes:
        span_s: time constant of the decay in seconds.
    """

    span_s: float
    _weight: float = 0.0
    _sum: float = 0.0
    _at: float = float("-inf")

    def note(self, now: float, value: float) -> None:
        """Adds a value of weight 1."""
        decay = self._decay(now)
        self._weight = self._weight * decay + 1.0
        self._sum = self._sum * decay + value
        self._at = max(now, self._at)

    def mean(self, default: float = 0.0) -> float:
        """Returns the mean, or a default if there is no value."""
        return self._sum / self._weight if self._weight else default

    def weight(self, now: float) -> float:
        """Returns the number of recent values."""
        return self._weight * self._decay(now)

    def _decay(self, now: float) -> float:
        if not self._weight:
            return 0.0
        return math.exp(-max(0.0, now - self._at) / self.span_s)


@attrs.define(eq=False)
class DecayedCount:
    """A count in which each event's weight decays exponentially."""

    span_s: float
    value: float = 0.0
    at: float = 0.0

    def add(self, now: float, number: float) -> None:
        """Adds events."""
        self.value = self.at_time(now) + number
        self.at = now

    def at_time(self, now: float) -> float:
        """Returns the count at a time."""
        return self.value * math.exp(-max(0.0, now - self.at) / self.span_s)
