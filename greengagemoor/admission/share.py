"""The admitted share of requests, steered by the expected time."""

from __future__ import annotations

import math

MIN_SHARE = 0.05
"""Least admitted share: without any answers nothing would be learnt about the
end of an overload."""
MAX_STEP_S = 0.25
"""Longest time in seconds that one step of the share accounts for."""
REOPEN_S = 1.0
"""Time constant in seconds with which the share rises while nothing is
late."""
SETTLE_S = 0.8
"""Time constant in seconds with which the share follows a lasting excess."""
DRAIN_S = 0.2
"""Seconds within which an excess of the queue is to be drained. It must not be
shorter than the age of the reports, or the queue oscillates."""


class AdmittedShare:
    """A proportional-integral control of the admitted share.

    The integral part converges to capacity over demand. The proportional part
    drains the queue that has built up before. Both are relative changes, so
    that the loop has the same gain at any overload.
    """

    def __init__(self):
        self._base = 1.0
        self._factor = 1.0
        self._at: float | None = None

    @property
    def value(self) -> float:
        """The admitted share, from ``MIN_SHARE`` to 1."""
        return min(1.0, max(MIN_SHARE, self._base * self._factor))

    @property
    def is_open(self) -> bool:
        """Whether all requests are admitted."""
        return self.value >= 1.0

    def update(self, now: float, excess_s: float) -> None:
        """Takes a step.

        Args:
            now: seconds.
            excess_s: seconds by which the queue exceeds what leaves requests
                in time; below 0 if it may grow.
        """
        step_s = 0.0
        if self._at is not None:
            step_s = min(max(0.0, now - self._at), MAX_STEP_S)
        self._at = now
        relative = max(-1.0, min(1.0, excess_s / DRAIN_S))
        if relative >= 0:
            change = -relative * step_s / SETTLE_S
        else:
            change = step_s / REOPEN_S * min(1.0, -relative * 4)
        self._base = min(1.0, max(MIN_SHARE, self._base * math.exp(change)))
        self._factor = 1.0 - max(0.0, relative)
