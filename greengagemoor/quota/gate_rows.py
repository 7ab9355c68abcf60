"""State of the quota gate: accounts, held requests, asks and tokens."""

from __future__ import annotations

import math
from bisect import insort
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

    from greengagemoor.forward.messages import Arrived
    from greengagemoor.routing.accounts import ClientAccount

SURPLUS_S = 0.2
"""Seconds of an account's use at this entry for which tokens are asked ahead.
The tokens are valid longer, so that few of them expire unused."""
USE_TIME_CONSTANT_S = 1.0
"""Time constant of the smoothed rate at which tokens are used."""
MAX_HELD_PER_ASK = 10
"""Held requests for which one ask requests tokens. An entry that was frozen
uses a reply when it resumes, as its clock stopped too: half of the default
slack of 20 covers that."""
MAX_RETRY_S = 2.0
"""Longest retry delay, and longest time without an ask after a denial."""
MAX_REFUSING_ENTRIES = 3.0
"""Retry slots are this many token intervals apart at most: other entries, whose
number is unknown, refuse requests of the same account."""


@attrs.define(eq=False, repr=False)
class Held:
    """A request that waits for a token.

    Attributes:
        since: when it reached the gate.
        done: it was admitted or refused, or its caller is gone.
    """

    msg: Arrived
    since: float
    done: bool = False

    def age_s(self, now: float) -> float:
        """Returns the time since the request arrived at this process."""
        return now - self.since + self.msg.held_s


@attrs.define(eq=False, repr=False)
class Ask:
    """A ``QuotaAsk`` that was sent.

    Attributes:
        done: it was answered, or another instance was asked instead.
    """

    ask_id: int
    account: str
    instance: str
    number: int
    sent_at: float
    done: bool = False


@attrs.define(eq=False, repr=False)
class AccountRow:
    """One limited account that is in use at this entry.

    Attributes:
        held: requests that wait for a token, by request token, oldest first.
        tokens: until when each quota token is valid, earliest first.
        ask: the ask that is awaited.
        tried: instances asked since the requests were first held.
        silent: how many of those did not answer in time.
        denied_until: requests are refused without an ask until then.
        slot_at: when the caller that was refused last should retry.
        refusals: number of requests refused since the row was created.
        touched_at: time of the last arrival, reply or returned token.
    """

    account: ClientAccount
    touched_at: float
    held: dict[int, Held] = attrs.field(factory=dict)
    tokens: list[float] = attrs.field(factory=list)
    ask: Ask | None = None
    tried: set[str] = attrs.field(factory=set)
    silent: int = 0
    denied_until: float = -math.inf
    slot_at: float = -math.inf
    refusals: int = 0
    _use: float = 0.0
    _used_at: float = 0.0

    def add_tokens(self, number: int, valid_until: float) -> None:
        """Adds tokens of the same validity."""
        for _ in range(number):
            insort(self.tokens, valid_until)

    def take_token(self, now: float) -> float | None:
        """Removes the token that expires first and returns its expiry."""
        self.drop_expired(now)
        if not self.tokens:
            return None
        self._use = self._use_at(now) + 1.0
        self._used_at = now
        return self.tokens.pop(0)

    def drop_expired(self, now: float) -> None:
        """Drops the tokens that are no longer valid."""
        expired = 0
        while expired < len(self.tokens) and self.tokens[expired] <= now:
            expired += 1
        if expired:
            del self.tokens[:expired]

    def number_to_ask(self, now: float) -> int:
        """Returns the number for the held requests, with a surplus if busy."""
        use_per_s = self._use_at(now) / USE_TIME_CONSTANT_S
        per_s = min(use_per_s, self.account.rate_per_s)
        held = min(len(self.held), MAX_HELD_PER_ASK)
        return held + int(per_s * SURPLUS_S)

    def _use_at(self, now: float) -> float:
        return self._use * math.exp((self._used_at - now) / USE_TIME_CONSTANT_S)

    def deny(self, now: float, wait_s: float) -> None:
        """Refuses requests without an ask for a time.

        Args:
            now: seconds.
            wait_s: time until the account has a token; 0 if not known, as
                after a partial grant.
        """
        if wait_s <= 0.0:
            wait_s = self.token_interval_s
        self.denied_until = now + min(wait_s, MAX_RETRY_S)

    @property
    def token_interval_s(self) -> float:
        """Seconds in which the account accrues a token, over all entries."""
        rate = self.account.rate_per_s
        return 1.0 / rate if rate > 0 else math.inf

    def next_retry_s(self, now: float, rng: random.Random) -> float:
        """Returns the retry delay of one more refused request.

        Each gets a slot after the previous one. Once the slots reach the
        longest delay, further ones are spread over its second half.
        """
        after = max(self.slot_at, self.denied_until, now)
        factor = rng.uniform(1.0, MAX_REFUSING_ENTRIES)
        latest = now + MAX_RETRY_S
        self.slot_at = min(after + factor * self.token_interval_s, latest)
        if self.slot_at < latest:
            return self.slot_at - now
        least = max(self.denied_until - now, MAX_RETRY_S / 2)
        return rng.uniform(least, MAX_RETRY_S)

    def apply_limits(self, account: ClientAccount) -> None:
        """Applies changed limits; a refusal under the old ones ends.

        Tokens that were granted under higher limits are dropped.
        """
        old, self.account = self.account, account
        if (old.rate_per_s, old.burst) == (account.rate_per_s, account.burst):
            return
        self.denied_until = self.slot_at = -math.inf
        if account.rate_per_s < old.rate_per_s or account.burst < old.burst:
            self.tokens.clear()
