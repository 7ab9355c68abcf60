"""State of one active account at a dealer."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.quota.bucket import EPSILON
from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.quota.bucket import Part, TokenBucket
    from greengagemoor.quota.messages import QuotaAsk
    from greengagemoor.routing.accounts import ClientAccount

BATCH_S = 0.05
"""Tokens of other members are collected for at least this time of the rate: an
account that asks for much more than its quota causes 20 collections a second
at most."""
BUSY_S = 1.0
"""An account that asks again within this time is likely to go on."""
MAX_WAIT_S = 60.0


@values.frozen
class WaitingAsk:
    """An ask that waits for tokens of other members.

    Attributes:
        number: tokens wanted, at least 1.
        until: time of the answer at the latest.
    """

    sender: str
    ask: QuotaAsk
    number: int
    until: float


@attrs.define(eq=False)
class AccountRow:
    """One account that was asked for recently.

    Attributes:
        account: the account in the latest document that had it.
        bucket: this member's part.
        waiting: asks in order of arrival.
        awaited: members that were sent a request and have not replied, with
            the number of tokens requested.
        emptied: members that had fewer tokens than were requested, with the
            time of that reply.
        asked_at: time of the latest ask.
        is_busy: whether the ask before it was recent.
    """

    account: ClientAccount
    bucket: TokenBucket
    waiting: deque[WaitingAsk] = attrs.field(factory=deque)
    awaited: dict[str, float] = attrs.field(factory=dict)
    awaited_until: float = 0.0
    emptied: dict[str, float] = attrs.field(factory=dict)
    asked_at: float = float("-inf")
    is_busy: bool = False

    @property
    def is_open(self) -> bool:
        """Whether asks or replies are pending."""
        return bool(self.waiting or self.awaited)

    @property
    def wants_tokens(self) -> bool:
        """Whether tokens of other members are needed now or soon."""
        return bool(self.waiting) or (self.is_busy and self.bucket.level < 1)

    def next_wake(self) -> float:
        """Returns when a pending ask or reply times out."""
        times = [self.waiting[0].until] if self.waiting else []
        if self.awaited:
            times.append(self.awaited_until)
        return min(times)

    def note_ask(self, now: float) -> None:
        """Records an ask."""
        self.is_busy = now - self.asked_at < BUSY_S
        self.asked_at = now

    def note_grant(self, now: float, name: str, tokens: float) -> None:
        """Records whether an awaited member gave all that was requested."""
        wanted = self.awaited.pop(name)
        if tokens + EPSILON < wanted:
            self.emptied[name] = now
        else:
            self.emptied.pop(name, None)

    def needed(self, part: Part) -> float:
        """Returns the tokens that the waiting asks lack."""
        wanted = sum(waiting.number for waiting in self.waiting)
        return max(0.0, min(wanted, part.burst) - self.bucket.level)

    def estimate(self, now: float, name: str, part: Part) -> float:
        """Returns how many tokens another member may have at most."""
        emptied_at = self.emptied.get(name)
        if emptied_at is None:
            return part.capacity
        return min(part.capacity, part.rate * (now - emptied_at))

    def gain_needed(self, part: Part, members: int) -> float:
        """Returns for how many tokens of others a collection is worthwhile."""
        level = max(0.0, self.bucket.level)
        missing = 1.0 - (level - int(level))
        batch = BATCH_S * part.rate * members
        return max(missing, min(batch, part.burst / 2))

    def is_worthwhile(
        self, estimates: Iterable[float], part: Part, members: int
    ) -> bool:
        """Whether other members probably have tokens worth collecting.

        A member whose part is full gains nothing until it gives tokens away.
        """
        estimates = list(estimates)
        gain = sum(estimates) + EPSILON
        return gain >= self.gain_needed(part, members) or any(
            estimate >= part.capacity - EPSILON for estimate in estimates
        )

    def wait_s(
        self, estimates: Iterable[float], part: Part, members: int
    ) -> float:
        """Returns the time until a collection yields a token."""
        estimates = list(estimates)
        sources = len(estimates) + (self.bucket.level < part.capacity)
        missing = self.gain_needed(part, members) - sum(estimates)
        if part.rate * sources * MAX_WAIT_S <= missing:
            return MAX_WAIT_S
        return max(0.001, missing / (part.rate * sources))
