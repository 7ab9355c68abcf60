"""The admitted share of requests, steered by the searchers' queues and use."""

from __future__ import annotations

import math

import attrs

MIN_SHARE = 0.05
"""Least admitted share: without any answers nothing would be learnt about the
end of an overload."""
STEP_S = 0.15
"""Shortest time in seconds between two steps. A step shows in reports only when
requests that were admitted since then are answered."""
MIN_STEP_REPORTS = 16
"""Reports below which no step is taken: single searchers must not decide."""
MAX_CUT = 0.7
"""Largest relative reduction of the share in one step."""
DRAINING = 0.9
"""Factor on the queue between steps below which it counts as draining: a
further reduction would then leave searchers idle after it."""
TARGET_USE = 0.9
"""Used share of the slots to which the share is raised."""
RAISE = 0.5
"""Rise of the share in one step if half of the target use is reached. Rises are
sums and reductions factors, so that the shares of different entries become
equal."""
PROBE = 0.03
"""Rise of the share in one step if no wait is expected although all slots are
used."""
SILENT_S = 1.0
"""Seconds without a step after which the share begins to rise, as too few
requests may be admitted to tell whether the overload has ended."""
SILENT_RISE_S = 1.5
"""Time constant in seconds of that rise."""


@attrs.define(eq=False)
class AdmittedShare:
    """Cuts the share while queues are too long, else raises it by the use.

    The reduction is in proportion to the excess of the wait, and the rise
    follows the unused slots. Each entry steps at most as often as it sees the
    effect, and by factors, so that entries that all see the same end up at the
    same share.

    Attributes:
        value: the share, from ``MIN_SHARE`` to 1.
    """

    value: float = 1.0
    _reports: int = 0
    _used: float = 0.0
    _last_queue: float = 0.0
    _stepped_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether all requests are admitted."""
        return self.value >= 1.0

    def note_report(self, now: float, used: float) -> bool:
        """Records a report.

        Args:
            now: seconds.
            used: used share of the searcher's slots.

        Returns:
            Whether a step is due.
        """
        self._reports += 1
        self._used += used
        if self._stepped_at is not None and now - self._stepped_at < STEP_S:
            return False
        return self._reports >= MIN_STEP_REPORTS

    def step(self, now: float, excess: float, queue: float) -> None:
        """Adjusts the share.

        Args:
            now: seconds.
            excess: relative excess of the wait over the allowed wait.
            queue: queue of the services that requests wait for.
        """
        used = self._used / self._reports
        span_s = STEP_S
        if self._stepped_at is not None:
            span_s = min(1.0, now - self._stepped_at)
        if excess > 0:
            if queue >= DRAINING * self._last_queue:
                self.value *= 1.0 - MAX_CUT * min(1.0, excess)
        else:
            unused = TARGET_USE / max(used, 0.01) - 1.0
            rise = max(RAISE * min(1.0, unused), -PROBE * excess)
            self.value += rise * span_s / STEP_S
        self.value = min(1.0, max(MIN_SHARE, self.value))
        self._last_queue = queue
        self._stepped_at = now
        self._reports = 0
        self._used = 0.0

    def rise_in_silence(self, now: float) -> None:
        """Raises the share if no step was taken for long."""
        if self._stepped_at is None or self.is_open:
            return
        silent_s = now - self._stepped_at - SILENT_S
        if silent_s > 0:
            self.value = min(
                1.0, self.value * math.exp(silent_s / SILENT_RISE_S)
            )
            self._stepped_at = now - SILENT_S
