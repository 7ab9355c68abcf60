"""One control instance's part of the token bucket of a client account."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.routing.accounts import ClientAccount

EPSILON = 1e-6
"""Rounding error allowed in a comparison: nine ninths of a token are one."""
MAX_VALID_S = 1.0
MIN_VALID_S = 0.05


@values.frozen
class Margin:
    """What may be sent beyond the quota, and how it is divided.

    In each window of ``window_s`` an account may send
    (rate x window_s + burst) x (1 + overage) + slack. The tokens dealt in the
    window and in the ``valid_s`` before it are at most: the rate, the
    capacities, the tokens that members hold beyond their capacity, and those
    with which members started. Of the margin,

    - 0.7 of the overage covers ``valid_s``: a token dealt shortly before a
      window may be used in it;
    - 0.25 of the overage and slack / 6 cover the tokens held beyond capacity;
    - slack / 6 covers capacities that sum to more than the burst;
    - slack x 2 / 3 covers two starts of all members.

    Attributes:
        window_s: W, in seconds.
        overage: share of the quota.
        slack: number of requests.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def valid_s(self) -> float:
        """Seconds for which an entry may use a token."""
        valid_s = 0.7 * self.overage * self.window_s
        return min(MAX_VALID_S, max(MIN_VALID_S, valid_s))

    def part(self, account: ClientAccount, members: int) -> Part:
        """Returns what each of a number of members has of a quota."""
        rate = account.rate_per_s
        # With a burst below 1 a bucket would never hold a whole token.
        burst = max(account.burst, 1.0)
        # With capacities that sum to exactly the burst, an account with a
        # burst of 1 could send nothing while a single member is lost.
        capacity = min(
            burst / (members - members // 3),
            (burst + self.slack / 6) / members,
        )
        quota = rate * self.window_s + burst
        surplus = (self.slack / 6 + self.overage * quota / 4) / members
        return Part(
            rate=rate / members,
            capacity=capacity,
            limit=max(capacity + surplus, min(1.0, self.slack / 2 / members)),
            start=min(capacity, self.slack / 3 / members),
            burst=burst,
        )


@values.frozen
class Part:
    """A member's part of the quota of an account, in tokens.

    Attributes:
        rate: tokens per second that accrue here.
        capacity: the level at which no more accrue.
        limit: the level up to which tokens of other members are kept.
        start: the level of a member that has just started.
        burst: capacity of the whole quota.
    """

    rate: float
    capacity: float
    limit: float
    start: float
    burst: float


@attrs.define(eq=False)
class TokenBucket:
    """Level of a part; the time of the last change makes it computable.

    Attributes:
        level: tokens at ``updated_at``.
        updated_at: seconds.
    """

    level: float
    updated_at: float

    def update(self, now: float, part: Part) -> None:
        """Adds what accrued; a level above the capacity stays as it is."""
        elapsed = now - self.updated_at
        self.updated_at = max(now, self.updated_at)
        if elapsed > 0 and self.level < part.capacity:
            gained = self.level + elapsed * part.rate
            self.level = min(part.capacity, gained)

    def cap(self, limit: float) -> None:
        """Drops what exceeds a limit."""
        self.level = min(self.level, limit)

    def try_take(self, number: int) -> bool:
        """Takes that many tokens if there are as many."""
        if self.level + EPSILON < number:
            return False
        self.level -= number
        return True

    def take_up_to(self, number: int) -> int:
        """Takes at most that many whole tokens; returns how many."""
        taken = min(number, max(0, int(self.level + EPSILON)))
        self.level -= taken
        return taken

    def give(self, wanted: float | None) -> float:
        """Takes at most that amount, or all for None; returns the amount."""
        level = max(0.0, self.level)
        given = level if wanted is None else max(0.0, min(level, wanted))
        self.level -= given
        return given
