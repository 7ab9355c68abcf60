"""Token budgets that bound retries and hedges as a share of first attempts."""

from __future__ import annotations

import attrs

MAX_TOKENS = 20.0
"""Most tokens a budget holds: the largest burst of shards asked again."""


@attrs.define
class Budget:
    """Earns ``ratio`` tokens per shard first asked; asking again costs 1.

    Without a budget, slow searchers make every attempt look late, each late
    attempt starts another, and the added load makes the searchers slower:
    attempts per shard rise together with latency. Bounding the extra attempts
    to a share of the first attempts breaks this feedback.
    """

    ratio: float
    tokens: float = MAX_TOKENS

    def earn(self, shards: int) -> None:
        """Adds tokens for shards asked for the first time."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio * shards)

    def spend(self, shards: int) -> bool:
        """Takes a token per shard; returns False if less than one is left.

        An attempt for more shards than there are tokens makes the balance
        negative, so that an attempt for many shards can be hedged too.
        """
        if self.tokens < 1.0 or self.ratio <= 0.0:
            return False
        self.tokens -= shards
        return True
