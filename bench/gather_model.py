"""Deployment sheets of the users, and searchers modelled after them."""

from __future__ import annotations

import math
import random
from collections import deque

import attrs

SPEEDS = (0.8, 1.0, 1.3)
"""Relative work times of the three searchers of a shard, as in the sheets."""
SLOW_FACTOR = 8.5
"""Factor on work times during a slow period."""


@attrs.frozen
class QueryKind:
    """One kind of query; times in seconds.

    Attributes:
        rate_per_s: queries per second over all entries.
        work_s: mean work time of one shard.
        min_coverage: minimum coverage of an answer, as a share of the shards.
    """

    name: str
    rate_per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    min_coverage: float


@attrs.frozen
class Sheet:
    """Parameters of a deployment, from its sheet.

    Attributes:
        pause_s, pause_every_s: length of a searcher's pauses, and the mean
            time between them, in seconds.
        noise_share, noise_factor, noise_s: share of time in which noisy
            neighbours slow a searcher down, by which factor, and for how many
            seconds at a time.
        slack: repeated attempts of all entries allowed in ten seconds, beside
            0.2 of the requests.
        caller_network_s: part of a caller's latency outside the entry, in
            seconds.
        reports_slow_searchers: whether entries receive reports of searchers
            that other entries find slow.
        connect_s: work that a new connection costs the searcher, in seconds.
        answer_delay_s: seconds from when an answer is due until it is sent.
    """

    name: str
    entries: int
    shards: int
    slots: int
    connection_cap: int
    kinds: tuple[QueryKind, ...]
    pause_s: float
    pause_every_s: float
    slack: float
    noise_share: float = 0.0
    noise_factor: float = 4.0
    noise_s: float = 0.5
    connect_s: float = 0.0
    answer_delay_s: float = 0.0
    caller_network_s: float = 0.0
    reports_slow_searchers: bool = False


SHEETS = (
    Sheet(
        "atlas",
        entries=9,
        shards=10,
        slots=5,
        connection_cap=41,
        kinds=(
            QueryKind("list", 67.5, 0.042, 0.247, 1.2, 0.89),
            QueryKind("quick", 22.5, 0.0138, 0.0953, 0.5, 0.75),
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
        connection_cap=71,
        kinds=(
            QueryKind("list", 48.3, 0.042, 0.196, 1.233, 0.95),
            QueryKind("quick", 16.1, 0.0138, 0.087, 0.528, 0.85),
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
        connection_cap=26,
        kinds=(
            QueryKind("history", 67.5, 0.0165, 0.118, 0.6, 0.89),
            QueryKind("check", 22.5, 0.0057, 0.0563, 0.3, 0.75),
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
        connection_cap=31,
        kinds=(
            QueryKind("sweep", 67.6, 0.0225, 0.145, 0.8, 0.89),
            QueryKind("code", 22.5, 0.0075, 0.0683, 0.3, 0.75),
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
        connection_cap=123,
        kinds=(
            QueryKind("list", 37.7, 0.042, 0.251, 1.223, 0.95),
            QueryKind("quick", 12.6, 0.0138, 0.099, 0.52, 0.85),
        ),
        pause_s=0.25,
        pause_every_s=6.0,
        slack=422.0,
        answer_delay_s=0.006,
        caller_network_s=0.012,
        reports_slow_searchers=True,
    ),
)
"""The users' sheets. Objectives of the grown one are reduced by the transfer
time of a gather on an entry's link of 7 Mbit/s."""


class ModelSearcher:
    """A searcher with slots, pauses, noisy neighbours and a slow period."""

    def __init__(self, sheet: Sheet, speed: float, rng: random.Random):
        self.sheet = sheet
        self.speed = speed
        self.rng = rng
        self.running: set[int] = set()
        self.queue: deque[tuple[int, float]] = deque()
        self.slow_start = math.inf
        self.slow_end = math.inf
        self.pause_starts = self._draw_pause_starts()
        self.noise_end = 0.0
        self.quiet_end = self._draw_quiet_end(0.0)

    def _draw_pause_starts(self) -> deque[float]:
        start, interval_s = 0.0, self.sheet.pause_every_s
        starts = deque()
        while start < 120.0:
            start += interval_s * self.rng.uniform(0.5, 1.5)
            starts.append(start)
        return starts

    def _draw_quiet_end(self, now: float) -> float:
        share = self.sheet.noise_share
        if not share:
            return math.inf
        mean = self.sheet.noise_s * (1 - share) / share
        return now + self.rng.expovariate(1 / mean)

    def factor(self, now: float) -> float:
        """Returns the factor on work times at a time."""
        factor = self.speed
        if now >= self.quiet_end:
            self.noise_end = now + self.sheet.noise_s
            self.quiet_end = self._draw_quiet_end(self.noise_end)
        if now < self.noise_end:
            factor *= self.sheet.noise_factor
        if self.slow_start <= now < self.slow_end:
            factor *= SLOW_FACTOR
        return factor

    def end_time(self, now: float, work_s: float) -> float:
        """Returns when work that starts now ends, pauses included."""
        end = now + work_s * self.factor(now)
        while (
            self.pause_starts
            and self.pause_starts[0] + self.sheet.pause_s < now
        ):
            self.pause_starts.popleft()
        for start in self.pause_starts:
            if start >= end:
                break
            end += start + self.sheet.pause_s - max(start, now)
        return end
