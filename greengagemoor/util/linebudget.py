"""How many log lines of one sort may be written."""

from __future__ import annotations

import attrs


@attrs.define(eq=False, repr=False)
class LineBudget:
    """A token bucket for lines; what is over it is dropped and counted.

    Attributes:
        per_s: lines a second in the long run.
        burst: lines at once.
    """

    per_s: float
    burst: float
    dropped: int = 0
    _tokens: float = attrs.field(init=False)
    _at: float = attrs.field(init=False, default=0.0)

    @_tokens.default
    def _full(self) -> float:
        return self.burst

    def take(self, now: float) -> bool:
        """Takes a line's token, or counts the line as dropped."""
        gained = (now - self._at) * self.per_s
        self._tokens = min(self.burst, self._tokens + max(0.0, gained))
        self._at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True

    def take_dropped(self) -> int:
        """Returns how many lines were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
