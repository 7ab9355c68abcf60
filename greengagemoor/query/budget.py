"""Token budgets that bound extra work as a share of first work."""

from __future__ import annotations

import attrs

BURST = 20.0
"""Shards that may be asked again at once, after a quiet time."""


@attrs.define
class Budget:
    """Earns ``ratio`` tokens for each shard first asked; asking again costs 1.

    Without it, a slow fleet makes every attempt look late, each late attempt
    adds another, and the added load makes the fleet slower: one would see
    attempts for each shard rise together with latency. A share of the first
    work can't grow that way.
    """

    ratio: float
    tokens: float = BURST

    def earn(self, shards: int) -> None:
        """Adds tokens for shards asked for the first time, up to a burst."""
        self.tokens = min(BURST, self.tokens + self.ratio * shards)

    def spend(self, shards: int) -> bool:
        """Takes a token for each shard, if any is left.

        An attempt of more shards than there are tokens leaves a debt, so that
        a searcher of many shards can be hedged too.
        """
        if self.tokens < 1.0 or self.ratio <= 0.0:
            return False
        self.tokens -= shards
        return True
