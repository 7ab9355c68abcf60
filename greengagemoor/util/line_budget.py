"""Rate limit for log lines of one kind."""

from __future__ import annotations

import attrs


@attrs.define(eq=False, repr=False)
class LineBudget:
    """A token bucket; lines beyond it are dropped and counted.

    Attributes:
        per_s: sustained rate, in lines per second.
        burst: lines that may be written at once.
        dropped: lines dropped since ``reset_dropped`` was called.
    """

    per_s: float
    burst: float
    dropped: int = 0
    _tokens: float = attrs.field(init=False)
    _updated_at: float = attrs.field(init=False, default=0.0)

    @_tokens.default
    def _initial_tokens(self) -> float:
        return self.burst

    def try_take(self, now: float) -> bool:
        """Takes a token and returns True, or counts a dropped line."""
        gained = (now - self._updated_at) * self.per_s
        self._tokens = min(self.burst, self._tokens + max(0.0, gained))
        self._updated_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True

    def reset_dropped(self) -> int:
        """Returns the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
