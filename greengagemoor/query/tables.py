"""Tables of the query decider and their rows."""

from __future__ import annotations

import enum
import heapq
from collections import Counter
from itertools import count
from typing import TYPE_CHECKING

import attrs

from greengagemoor.query.budget import Budget
from greengagemoor.query.fair_queue import FairQueue
from greengagemoor.query.latency import LatencyWindow

if TYPE_CHECKING:
    from greengagemoor.backends import BackendServer
    from greengagemoor.document import RequestClass, Service
    from greengagemoor.query.messages import Request

INITIAL_LATENCY_S = 0.02
"""Latency and query time, in seconds, assumed before the first sample."""


class AttemptKind(enum.Enum):
    """Why an attempt was started."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


@attrs.define(eq=False)
class Searcher:
    """A backend server, with this entry instance's measurements of it.

    Attributes:
        share: connections that this entry instance may hold to it.
        adaptive: whether ``limit`` bounds its attempts in flight below
            ``share``.
        latency: moving average, in seconds.
        consecutive_failures, consecutive_sheds: failed and shed attempts
            since its last answer.
        limit_cut_at: time at which a shed attempt last lowered ``limit``.
        peak_connections: most attempts in flight so far, taken as the number of
            open connections.
    """

    info: BackendServer
    share: int
    ready_since: float
    adaptive: bool = True
    in_flight: int = 0
    limit: float = 1.0
    latency: float = INITIAL_LATENCY_S
    last_used: float = 0.0
    consecutive_failures: int = 0
    consecutive_sheds: int = 0
    limit_cut_at: float = float("-inf")
    backoff_until: float = 0.0
    ejected_until: float = 0.0
    peak_connections: int = 0


@attrs.define(eq=False)
class Snapshot:
    """One index version of a service and the ready holders of each shard."""

    version: int
    shard_counts: Counter = attrs.field(factory=Counter)
    holders: dict[int, dict[str, Searcher]] = attrs.field(factory=dict)

    @property
    def in_conflict(self) -> bool:
        """Whether two searchers announce different shard counts."""
        return len(self.shard_counts) > 1

    @property
    def shard_count(self) -> int:
        """Number of shards in this version."""
        return next(iter(self.shard_counts), 0)

    @property
    def coverage(self) -> float:
        """Share of the shards that have a ready holder."""
        return (
            len(self.holders) / self.shard_count if self.shard_counts else 0.0
        )


@attrs.define(eq=False)
class ServiceRow:
    """A service: its settings, searchers, snapshots, queue, measurements."""

    settings: Service
    searchers: dict[str, Searcher] = attrs.field(factory=dict)
    snapshots: dict[int, Snapshot] = attrs.field(factory=dict)
    queue: FairQueue = attrs.field(factory=FairQueue)
    unplaced: dict[int, Query] = attrs.field(factory=dict)
    running: int = 0
    mean_query_time_s: float = INITIAL_LATENCY_S
    latency: LatencyWindow = attrs.field(factory=LatencyWindow)
    hedge_budgets: dict[str, Budget] = attrs.field(factory=dict)
    retry_budgets: dict[str, Budget] = attrs.field(factory=dict)
    queries_by_join_key: dict[tuple, Query] = attrs.field(factory=dict)

    @property
    def is_overloaded(self) -> bool:
        """Whether queries wait for room and extra attempts would delay them."""
        return len(self.queue) > 0

    def hedge_budget(self, cls: RequestClass) -> Budget:
        """Returns the hedge budget of a class."""
        if cls.name not in self.hedge_budgets:
            self.hedge_budgets[cls.name] = Budget(cls.hedge_budget)
        return self.hedge_budgets[cls.name]

    def retry_budget(self, cls: RequestClass) -> Budget:
        """Returns the retry budget of a class."""
        if cls.name not in self.retry_budgets:
            self.retry_budgets[cls.name] = Budget(cls.retry_budget)
        return self.retry_budgets[cls.name]


@attrs.define(eq=False)
class Waiter:
    """A caller's connection that waits for the answer of a query."""

    token: int
    caller: str
    request_id: str
    started: float
    deadline: float


class Phase(enum.Enum):
    """State of a query's life cycle."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


@attrs.define(eq=False)
class Query:
    """A request sent to searchers, with all waiters that joined it.

    Attributes:
        snapshot: index version that it is pinned to, -1 before.
        needed: shards that a whole answer covers.
        unplaced: shards that wait for an attempt.
        results: results by shard, as JSON text.
        missing_reasons: for each shard, why an attempt gave no result.
        attempt_counts: number of attempts by shard, including refused ones.
        tried_searchers: names of the searchers that were asked, by shard.
        refusal_counts: number of refused attempts by shard.
        paused_until: by searcher name, until when one that refused is not
            asked.
        send_before: end of its claim; infinite without a claim.
        join_key: equal requests with this key join it; None if none may.
    """

    id: int
    request: Request
    request_class_rules: RequestClass
    service: ServiceRow
    started: float
    deadline: float
    waiters: dict[int, Waiter] = attrs.field(factory=dict)
    phase: Phase = Phase.QUEUED
    snapshot: int = -1
    needed: tuple[int, ...] = ()
    shard_count: int = 0
    unplaced: set[int] = attrs.field(factory=set)
    results: dict[int, str] = attrs.field(factory=dict)
    missing_reasons: dict[int, str] = attrs.field(factory=dict)
    attempt_counts: Counter = attrs.field(factory=Counter)
    tried_searchers: dict[int, set[str]] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    refusal_counts: Counter = attrs.field(factory=Counter)
    paused_until: dict[str, float] = attrs.field(factory=dict)
    attempts_made: int = 0
    restarts: int = 0
    may_have_run: bool = False
    ran_and_failed: bool = False
    send_before: float = float("inf")
    join_key: tuple | None = None
    run_started: float = 0.0

    def is_paused(self, now: float) -> bool:
        """Whether a searcher that refused the query is not asked for now."""
        return any(until > now for until in self.paused_until.values())

    @property
    def coverage(self) -> float:
        """Share of the needed shards that have a result."""
        return len(self.results) / len(self.needed) if self.needed else 0.0

    @property
    def is_claimed(self) -> bool:
        """Whether the ledger granted the claim to send this query once."""
        return self.send_before != float("inf")


@attrs.define(eq=False)
class Attempt:
    """One send to a searcher, for one or more shards of a query."""

    id: int
    query: Query
    searcher: Searcher
    shards: tuple[int, ...]
    snapshot: int
    kind: AttemptKind
    started: float
    deadline: float
    cancelled: bool = False


class TimerKind(enum.Enum):
    """What a timer triggers when it expires."""

    WAITER = "waiter"
    CUT = "cut"
    HEDGE = "hedge"
    ATTEMPT = "attempt"
    DISPATCH = "dispatch"


@attrs.define(eq=False)
class Tables:
    """All tables of the query decider, and its timers."""

    services: dict[str, ServiceRow] = attrs.field(factory=dict)
    queries: dict[int, Query] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    queries_by_token: dict[int, Query] = attrs.field(factory=dict)
    timers: list[tuple] = attrs.field(factory=list)
    dirty: dict[str, ServiceRow] = attrs.field(factory=dict)
    ids: count = attrs.field(factory=lambda: count(1))

    def set_timer(self, at: float, kind: TimerKind, key) -> None:
        """Sets a timer for ``key`` at ``at``; stale timers have no effect."""
        heapq.heappush(self.timers, (at, next(self.ids), kind, key))

    def pop_due(self, now: float):
        """Removes the expired timers and yields the (kind, key) of each."""
        while self.timers and self.timers[0][0] <= now:
            _, _, kind, key = heapq.heappop(self.timers)
            yield kind, key
