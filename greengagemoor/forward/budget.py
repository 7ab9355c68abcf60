"""The budget of a service for retries and hedges."""

from __future__ import annotations

from collections import deque

import attrs

WINDOW_SLICES = 10
"""Slices of a window. Sends expire up to one slice late, never early, so the
allowance holds for each window, whenever it begins."""
START_SHARE = 0.3
"""Share of the slack that a process has at its start. If all entries are killed
just after they have spent their slack, they spend 1.3 times their slack in one
window. As their slack is 0.85 of the allowed one, and they don't use all of the
ratio, the sum stays within the whole allowance."""


@attrs.define(eq=False, repr=False)
class _Slice:
    number: int
    requests: int = 0
    sends: int = 0


@attrs.define(eq=False, repr=False)
class SendBudget:
    """Bounds the extra sends (retries and hedges) in each sliding window.

    Without it extra sends would increase when searchers are slow, and load
    would double in a brown-out. The allowance is a share of the requests
    received here plus a part of a fixed slack, so the sum over all entries
    stays bounded whatever their number and however traffic moves between
    them. A token bucket would have to count its burst on top of a window's
    refill, so most of the slack would stay unused.

    Attributes:
        ratio: extra sends allowed for each request.
        slack: further extra sends of this entry in each window.
        window_s: length of the window in seconds.
        started_at: when this process began to count. As it is unknown what an
            earlier process of this entry sent, the slack grows from
            ``START_SHARE`` to the whole within the first window.
        rounding: from 0 to 1, added to the allowance before it is rounded down
            to whole sends. Drawn at random, it makes the sum over many entries
            exact, where each would lose half a send on average.
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
        self._current_slice(now).requests += 1
        self._requests += 1

    def left(self, now: float) -> float:
        """Returns how many extra sends are allowed now."""
        self._current_slice(now)
        age = max(0.0, now - self.started_at)
        share = min(1.0, START_SHARE + age / self.window_s)
        slack = self.slack * share
        return self.ratio * self._requests + slack - self._sends

    def share_left(self, now: float) -> float:
        """Returns the share of this window's allowance left, from 0 to 1."""
        left = self.left(now)
        allowance = left + self._sends
        return max(0.0, left / allowance) if allowance > 0 else 0.0

    def may_take(self, now: float) -> bool:
        """Whether one more extra send is allowed."""
        return self.left(now) + self.rounding >= 1.0

    def take(self, now: float) -> bool:
        """Counts one more extra send; False if none is allowed."""
        if not self.may_take(now):
            return False
        self.count(now)
        return True

    def count(self, now: float) -> None:
        """Counts an extra send without a check of the allowance."""
        self._current_slice(now).sends += 1
        self._sends += 1

    def _current_slice(self, now: float) -> _Slice:
        number = int(now / self.window_s * WINDOW_SLICES)
        slices = self._slices
        while slices and slices[0].number < number - WINDOW_SLICES:
            oldest = slices.popleft()
            self._requests -= oldest.requests
            self._sends -= oldest.sends
        if not slices or slices[-1].number != number:
            slices.append(_Slice(number))
        return slices[-1]
