"""Simulated searchers of the policy benchmark, with queues and faults."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.query.messages import (
    AttemptAnswer,
    AttemptFailed,
    Failure,
    ShardResult,
)

if TYPE_CHECKING:
    from bench.model import Bench
    from greengagemoor.query.messages import StartAttempt

BASE_WORK_S = 0.008
WORK_PER_SHARD_S = 0.004
WORK_SIGMA = 0.35
"""Standard deviation of the logarithm of work times."""
QUEUE_PER_SLOT = 4
COLD_S = 4.0
"""Time in which the factor on work times after a cold start falls from
``COLD_FACTOR`` to 1."""
COLD_FACTOR = 6.0
SHED_RETRY_S = 0.05
"""Retry delay that a searcher reports with each attempt that failed."""


def mean_work_s(shards: int) -> float:
    """Returns the mean time that an attempt occupies a slot, in seconds."""
    return (BASE_WORK_S + WORK_PER_SHARD_S * shards) * math.exp(
        WORK_SIGMA**2 / 2
    )


@attrs.define(eq=False)
class Job:
    """An attempt in a searcher's queue or slots."""

    entry: int
    msg: StartAttempt
    done: bool = False
    cancelled: bool = False
    started: float | None = None


@attrs.define(eq=False)
class SimulatedSearcher:
    """One searcher.

    Attributes:
        factor: factor on its work times.
        silent: whether it accepts attempts and never answers.
        shed_share: share of attempts that it refuses.
        cold_since: time of a cold start, None if it is warm.
        used_connections, open_connections: by entry.
        total_work_s, wasted: slot seconds of all and of cancelled attempts.
    """

    name: str
    slots: int
    connect_cost_s: float
    data_centre: str
    rng: random.Random
    versions: dict[int, tuple[int, tuple[int, ...]]]
    factor: float = 1.0
    silent: bool = False
    shed_share: float = 0.0
    cold_since: float | None = None
    queue: deque = attrs.field(factory=deque)
    running: int = 0
    jobs: dict = attrs.field(factory=dict)
    used_connections: dict[int, int] = attrs.field(factory=dict)
    open_connections: dict[int, int] = attrs.field(factory=dict)
    max_connections: int = 0
    total_work_s: float = 0.0
    wasted: float = 0.0

    def open_connection(self, entry: int) -> float:
        """Uses a connection of an entry; returns the seconds to open it.

        Returns 0 if an open connection is free.
        """
        self.used_connections[entry] = self.used_connections.get(entry, 0) + 1
        if self.used_connections[entry] <= self.open_connections.get(entry, 0):
            return 0.0
        self.open_connections[entry] = self.used_connections[entry]
        total = sum(self.open_connections.values())
        self.max_connections = max(self.max_connections, total)
        return self.connect_cost_s

    def receive(self, bench: Bench, job: Job) -> None:
        """Receives an attempt."""
        self.jobs[(job.entry, job.msg.attempt_id)] = job
        if job.cancelled:
            self._fail(bench, job, Failure.CANCELLED)
        elif self.silent:
            bench.at(job.msg.deadline, self._time_out, bench, job)
        elif job.msg.snapshot not in self.versions:
            self._fail(bench, job, Failure.VERSION_GONE)
        elif self._is_refused():
            self._fail(bench, job, Failure.SHED)
        else:
            self.queue.append(job)
            self._start_next(bench)

    def _is_refused(self) -> bool:
        full = len(self.queue) >= QUEUE_PER_SLOT * self.slots
        return full or self.rng.random() < self.shed_share

    def _start_next(self, bench: Bench) -> None:
        while self.queue and self.running < self.slots:
            job = self.queue.popleft()
            if job.done:
                continue
            self.running += 1
            job.started = bench.now
            bench.at(
                bench.now + self._draw_work_s(bench, job),
                self._complete,
                bench,
                job,
            )

    def _draw_work_s(self, bench: Bench, job: Job) -> float:
        median_s = BASE_WORK_S + WORK_PER_SHARD_S * len(job.msg.shards)
        work_s = median_s * self.rng.lognormvariate(0, WORK_SIGMA) * self.factor
        if self.cold_since is not None:
            age = min(1.0, (bench.now - self.cold_since) / COLD_S)
            work_s *= COLD_FACTOR - (COLD_FACTOR - 1) * age
        return work_s

    def _complete(self, bench: Bench, job: Job) -> None:
        if job.done:
            return
        self._record_work(bench, job, wasted=job.cancelled)
        msg = job.msg
        _, held = self.versions.get(msg.snapshot, (0, ()))
        results = tuple(
            ShardResult(s, f"{msg.request_id}/{msg.snapshot}/{s}")
            for s in msg.shards
            if s in held
        )
        answer = AttemptAnswer(
            msg.attempt_id, msg.request_id, msg.snapshot, results
        )
        self._finish(bench, job, answer)

    def _record_work(self, bench: Bench, job: Job, *, wasted: bool) -> None:
        if job.started is None:
            return
        spent_s = bench.now - job.started
        self.total_work_s += spent_s
        self.wasted += spent_s if wasted else 0.0
        self.running -= 1
        bench.at(bench.now, self._start_next, bench)

    def cancel(self, bench: Bench, entry: int, attempt_id: int) -> None:
        """Cancels an attempt; work done so far counts as wasted."""
        job = self.jobs.get((entry, attempt_id))
        if job is not None and not job.done and not self.silent:
            self._record_work(bench, job, wasted=True)
            self._fail(bench, job, Failure.CANCELLED)

    def _time_out(self, bench: Bench, job: Job) -> None:
        if not job.done:
            self._fail(bench, job, Failure.TIMEOUT)

    def _fail(self, bench: Bench, job: Job, failure: Failure) -> None:
        failed = AttemptFailed(
            job.msg.attempt_id, failure, retry_after_s=SHED_RETRY_S
        )
        self._finish(bench, job, failed)

    def _finish(self, bench: Bench, job: Job, answer: object) -> None:
        job.done = True
        self.jobs.pop((job.entry, job.msg.attempt_id), None)
        bench.deliver_answer(self, job.entry, answer)
