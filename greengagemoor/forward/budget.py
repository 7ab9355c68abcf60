"""The budget for sends beyond the first of each request, a service each."""

from __future__ import annotations

import attrs


@attrs.define
class SendBudget:
    """A token bucket that only own traffic fills.

    Without it, second sends grow exactly when searchers are slow: one would
    see load double in a brown-out. The ratio is of requests seen here, so the
    sum over all entries keeps to it however many there are. The burst is
    small for the same reason: each entry may spend it at the same moment.

    Attributes:
        ratio: tokens for each request.
        burst: most tokens.
    """

    ratio: float
    burst: float
    tokens: float = attrs.field(init=False)

    @tokens.default
    def _full(self) -> float:
        return self.burst

    def note_request(self) -> None:
        """Counts a first send."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self) -> bool:
        """Takes a token for one more send; False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
