"""Sheets of the users, and searchers as they describe them."""

from __future__ import annotations

import math
import random
from collections import deque

import attrs

SPEEDS = (0.8, 1.0, 1.3)
"""Work times of the three searchers of a shard, as both users' sheets say."""
SLOW_FACTOR = 8.5


@attrs.frozen
class Kind:
    """One kind of query; times in seconds.

    Attributes:
        per_s: over all entries.
        work_s: mean work of one shard.
        least: smallest share of shards that makes an answer.
    """

    name: str
    per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    least: float


@attrs.frozen
class Sheet:
    """What a deployment's sheet says.

    Attributes:
        pause_s, pause_every_s: each searcher stands still now and then.
        noise_share, noise_factor, noise_s: neighbours slow a searcher down.
        slack: second sends of all entries in ten seconds, beside 0.2 of the
            requests.
        caller_s: what a caller's clock runs outside its entry.
        tells_slow: whether entries hear of searchers that others find slow.
        leave_s: from when an answer is due until it has left its entry.
    """

    name: str
    entries: int
    shards: int
    slots: int
    cap: int
    kinds: tuple[Kind, ...]
    pause_s: float
    pause_every_s: float
    slack: float
    noise_share: float = 0.0
    noise_factor: float = 4.0
    noise_s: float = 0.5
    leave_s: float = 0.0
    caller_s: float = 0.0
    tells_slow: bool = False


SHEETS = (
    Sheet(
        "atlas",
        entries=9,
        shards=10,
        slots=5,
        cap=41,
        kinds=(
            Kind("list", 67.5, 0.042, 0.247, 1.2, 0.89),
            Kind("quick", 22.5, 0.0138, 0.0953, 0.5, 0.75),
        ),
        pause_s=0.25,
        pause_every_s=6.0,
        slack=58.0,
    ),
    Sheet(
        "atlas-grown",
        entries=78,
        shards=36,
        slots=4,
        cap=71,
        kinds=(
            Kind("list", 48.3, 0.042, 0.196, 1.233, 0.95),
            Kind("quick", 16.1, 0.0138, 0.087, 0.528, 0.85),
        ),
        pause_s=0.25,
        pause_every_s=6.0,
        slack=196.0,
        noise_share=0.03,
    ),
    Sheet(
        "downs",
        entries=8,
        shards=10,
        slots=2,
        cap=26,
        kinds=(
            Kind("history", 67.5, 0.0165, 0.118, 0.6, 0.89),
            Kind("check", 22.5, 0.0057, 0.0563, 0.3, 0.75),
        ),
        pause_s=0.12,
        pause_every_s=3.0,
        slack=56.0,
    ),
    Sheet(
        "lockers",
        entries=8,
        shards=10,
        slots=3,
        cap=31,
        kinds=(
            Kind("sweep", 67.6, 0.0225, 0.145, 0.8, 0.89),
            Kind("code", 22.5, 0.0075, 0.0683, 0.3, 0.75),
        ),
        pause_s=0.15,
        pause_every_s=3.6,
        slack=56.0,
    ),
    Sheet(
        "atlas-large",
        entries=191,
        shards=42,
        slots=3,
        cap=123,
        kinds=(
            Kind("list", 37.7, 0.042, 0.251, 1.223, 0.95),
            Kind("quick", 12.6, 0.0138, 0.099, 0.52, 0.85),
        ),
        pause_s=0.25,
        pause_every_s=6.0,
        slack=422.0,
        leave_s=0.006,
        caller_s=0.012,
        tells_slow=True,
    ),
)
"""The users' sheets; of the grown one the objectives are less what a gather
takes on an entry's link of 7 Mbit/s."""


class ModelSearcher:
    """Slots, a queue, pauses, neighbours and a slow spell."""

    def __init__(self, sheet: Sheet, speed: float, rng: random.Random):
        self.sheet = sheet
        self.speed = speed
        self.rng = rng
        self.running: set[int] = set()
        self.queue: deque[tuple[int, float]] = deque()
        self.slow_from = math.inf
        self.slow_until = math.inf
        self.pauses = self._draw_pauses()
        self.noisy_until = 0.0
        self.quiet_until = self._draw_quiet(0.0)

    def _draw_pauses(self) -> deque[float]:
        at, every = 0.0, self.sheet.pause_every_s
        begins = deque()
        while at < 120.0:
            at += every * self.rng.uniform(0.5, 1.5)
            begins.append(at)
        return begins

    def _draw_quiet(self, now: float) -> float:
        share = self.sheet.noise_share
        if not share:
            return math.inf
        mean = self.sheet.noise_s * (1 - share) / share
        return now + self.rng.expovariate(1 / mean)

    def factor(self, now: float) -> float:
        """Returns how much longer work takes at this moment."""
        factor = self.speed
        if now >= self.quiet_until:
            self.noisy_until = now + self.sheet.noise_s
            self.quiet_until = self._draw_quiet(self.noisy_until)
        if now < self.noisy_until:
            factor *= self.sheet.noise_factor
        if self.slow_from <= now < self.slow_until:
            factor *= SLOW_FACTOR
        return factor

    def end_of(self, now: float, work_s: float) -> float:
        """Returns when work that begins now ends; pauses stretch it."""
        end = now + work_s * self.factor(now)
        while self.pauses and self.pauses[0] + self.sheet.pause_s < now:
            self.pauses.popleft()
        for begin in self.pauses:
            if begin >= end:
                break
            end += begin + self.sheet.pause_s - max(begin, now)
        return end
