"""Token budgets that bound extra attempts as a share of first attempts."""

from __future__ import annotations

import attrs

BURST = 10.0


@attrs.define
class Budget:
    """Earns ``ratio`` tokens for each first attempt; an extra one costs 1.

    Without it, a slow fleet makes every attempt look late, each late attempt
    adds another, and the added load makes the fleet slower: one would see
    attempts for each shard rise together with latency. A share of the first
    attempts can't grow that way.
    """

    ratio: float
    tokens: float = BURST

    def earn(self, attempts: int) -> None:
        """Adds tokens for first attempts, up to a burst."""
        self.tokens = min(BURST, self.tokens + self.ratio * attempts)

    def spend(self) -> bool:
        """Takes a token if there is one."""
        if self.tokens < 1.0 or self.ratio <= 0.0:
            return False
        self.tokens -= 1.0
        return True
