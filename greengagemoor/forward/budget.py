"""The budget for sends beyond the first of each request, a service each."""

from __future__ import annotations

from collections import deque

import attrs

SLICES = 10
"""Parts of a window. The oldest sends are forgotten up to a part late, never
early, so the allowance holds for windows that begin anywhere."""
START_SHARE = 0.3
"""Share of the slack that a process has at its start. All entries may be killed
just after they have spent theirs: 1.3 times the 0.85 of the slack that they
use, less what they leave of the ratio, is the whole allowance."""


@attrs.define(eq=False, repr=False)
class _Slice:
    number: int
    requests: int = 0
    sends: int = 0


@attrs.define(eq=False, repr=False)
class SendBudget:
    """An allowance for each window of time, of requests that came here.

    Without it, second sends grow exactly when searchers are slow: one would
    see load double in a brown-out. The allowance is a share of the requests
    seen here and a part of a fixed slack, so the sum over all entries keeps
    to the whole however many there are and however traffic moves between
    them. A bucket would have to count its burst on top of a window's refill,
    so most of the slack would lie idle.

    Attributes:
        ratio: second sends for each request.
        slack: second sends of this entry in each window besides.
        window_s: length of the window in seconds.
        started_at: when this process began to count. What an earlier process
            of this entry has sent is unknown, so the slack grows over the
            first window from ``START_SHARE``.
        rounding: from 0 to 1, added to the allowance before it is cut to whole
            sends. Drawn by lot, it makes the sum over many entries exact,
            where each alone would lose half a send.
    """

    ratio: float
    slack: float
    window_s: float
    started_at: float
    rounding: float = 0.0
    _slices: deque[_Slice] = attrs.field(init=False, factory=deque)
    _requests: int = attrs.field(init=False, default=0)
    _sends: int = attrs.field(init=False, default=0)

    def note_request(self, now: float) -> None:
        """Counts a first send."""
        self._current(now).requests += 1
        self._requests += 1

    def left(self, now: float) -> float:
        """Returns how many second sends may go out now."""
        self._current(now)
        age = max(0.0, now - self.started_at)
        grown = min(1.0, START_SHARE + age / self.window_s)
        slack = self.slack * grown
        return self.ratio * self._requests + slack - self._sends

    def share_left(self, now: float) -> float:
        """Returns which part of this window's allowance is left, 0 to 1."""
        left = self.left(now)
        whole = left + self._sends
        return max(0.0, left / whole) if whole > 0 else 0.0

    def may_take(self, now: float) -> bool:
        """Whether one more second send may go out."""
        return self.left(now) + self.rounding >= 1.0

    def take(self, now: float) -> bool:
        """Counts one more second send; False if there is none left."""
        if not self.may_take(now):
            return False
        self.count(now)
        return True

    def count(self, now: float) -> None:
        """Counts a second send that goes out in any case."""
        self._current(now).sends += 1
        self._sends += 1

    def _current(self, now: float) -> _Slice:
        number = int(now / self.window_s * SLICES)
        slices = self._slices
        while slices and slices[0].number < number - SLICES:
            oldest = slices.popleft()
            self._requests -= oldest.requests
            self._sends -= oldest.sends
        if not slices or slices[-1].number != number:
            slices.append(_Slice(number))
        return slices[-1]
