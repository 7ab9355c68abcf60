"""Stand-in searchers for the policy bench: slots, a short queue, faults."""

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

BASE_S = 0.008
PER_SHARD_S = 0.004
SPREAD = 0.35
QUEUE_PER_SLOT = 4
COLD_S = 4.0
COLD_FACTOR = 6.0
SHED_RETRY_S = 0.05


def mean_work(shards: int) -> float:
    """Returns the mean slot seconds of an attempt."""
    return (BASE_S + PER_SHARD_S * shards) * math.exp(SPREAD**2 / 2)


@attrs.define(eq=False)
class Job:
    """An attempt at a searcher."""

    entry: int
    msg: StartAttempt
    done: bool = False
    cancelled: bool = False
    started: float | None = None


@attrs.define(eq=False)
class StandIn:
    """One searcher.

    Attributes:
        factor: how much slower than usual it is.
        silent: whether it takes work and never answers.
        shed_share: share of attempts that it refuses.
        cold_since: when it started cold, None if it is warm.
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
    busy: dict[int, int] = attrs.field(factory=dict)
    open: dict[int, int] = attrs.field(factory=dict)
    most_connections: int = 0
    work: float = 0.0
    wasted: float = 0.0

    def connect(self, entry: int) -> float:
        """Takes a connection of the entry; returns what it costs."""
        self.busy[entry] = self.busy.get(entry, 0) + 1
        if self.busy[entry] <= self.open.get(entry, 0):
            return 0.0
        self.open[entry] = self.busy[entry]
        total = sum(self.open.values())
        self.most_connections = max(self.most_connections, total)
        return self.connect_cost_s

    def take(self, bench: Bench, job: Job) -> None:
        """Takes in an attempt."""
        self.jobs[(job.entry, job.msg.attempt_id)] = job
        if job.cancelled:
            self._fail(bench, job, Failure.CANCELLED)
        elif self.silent:
            bench.at(job.msg.deadline, self._give_up, bench, job)
        elif job.msg.snapshot not in self.versions:
            self._fail(bench, job, Failure.VERSION_GONE)
        elif self._sheds():
            self._fail(bench, job, Failure.SHED)
        else:
            self.queue.append(job)
            self._start_next(bench)

    def _sheds(self) -> bool:
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
                bench.now + self._work_of(bench, job), self._end, bench, job
            )

    def _work_of(self, bench: Bench, job: Job) -> float:
        usual = BASE_S + PER_SHARD_S * len(job.msg.shards)
        taken = usual * self.rng.lognormvariate(0, SPREAD) * self.factor
        if self.cold_since is not None:
            age = min(1.0, (bench.now - self.cold_since) / COLD_S)
            taken *= COLD_FACTOR - (COLD_FACTOR - 1) * age
        return taken

    def _end(self, bench: Bench, job: Job) -> None:
        if job.done:
            return
        self._count(bench, job, wasted=job.cancelled)
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

    def _count(self, bench: Bench, job: Job, *, wasted: bool) -> None:
        if job.started is None:
            return
        spent = bench.now - job.started
        self.work += spent
        self.wasted += spent if wasted else 0.0
        self.running -= 1
        bench.at(bench.now, self._start_next, bench)

    def cancel(self, bench: Bench, entry: int, attempt_id: int) -> None:
        """Takes in a cancellation; work done so far is wasted."""
        job = self.jobs.get((entry, attempt_id))
        if job is not None and not job.done and not self.silent:
            self._count(bench, job, wasted=True)
            self._fail(bench, job, Failure.CANCELLED)

    def _give_up(self, bench: Bench, job: Job) -> None:
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
        bench.send_back(self, job.entry, answer)
