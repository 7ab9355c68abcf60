"""Entries with their own controllers, and modelled searchers, in one loop.

The path of a request is simplified: sends arrive at once, are not hedged, and
are retried twice if they are shed.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from itertools import count

import attrs

from greengagemoor.admission.controller import AdmissionController
from greengagemoor.admission.messages import Load, Offer

SEARCHERS = 3
SLOTS = 4
OVERHEAD_S = 0.012
"""Part of an objective that is spent outside the entry."""
WORK_SIGMA = 0.35
IN_TIME, LATE, RETRIED = 1.0, 0.07, 0.5
"""Values of answers: in time, late, and in time after one refusal."""


@attrs.frozen
class Kind:
    """A route: ``coverage`` is 0 for a request to one service."""

    name: str
    work_s: float
    objective_s: float
    limit_s: float
    coverage: float
    rank: int
    weight: float


LIST = Kind("list", 0.042, 0.172, 1.2, 0.95, 1, 0.7)
QUICK = Kind("quick", 0.0138, 0.06, 0.5, 0.85, 0, 0.2)
ONE = Kind("one", 0.15, 0.843, 3.0, 0.0, 2, 0.1)


@attrs.define(eq=False)
class Searcher:
    """A searcher; ``slow`` is a factor on its work times."""

    slow: float = 1.0
    shed_share: float = 0.0
    gone: bool = False
    running: int = 0
    queue: deque = attrs.field(factory=deque)


@attrs.define(eq=False)
class Request:
    """A caller's request over all of its attempts."""

    kind: Kind
    entry: int
    account: str
    first_at: float
    arrived_at: float
    entries: range = range(1)
    refusals: int = 0
    offer: Offer | None = None
    answered: int = 0
    lost: int = 0
    done: bool = False


@attrs.define
class Figures:
    """Results of the requests that first arrived in the counted period."""

    requests: int = 0
    value: float = 0.0
    endings: Counter = attrs.field(factory=Counter)
    admitted: Counter = attrs.field(factory=Counter)
    offered: Counter = attrs.field(factory=Counter)
    accounts_offered: Counter = attrs.field(factory=Counter)
    accounts_run: Counter = attrs.field(factory=Counter)
    ranks: dict = attrs.field(factory=dict)

    def share(self, ending: str) -> float:
        return self.endings[ending] / max(1, self.requests)

    @property
    def mean_value(self) -> float:
        return self.value / max(1, self.requests)

    def admitted_shares(self, start: float, end: float) -> list[float]:
        """Returns the admitted share of each quarter of a second."""
        quarters = range(round(start * 4), round(end * 4))
        return [self.admitted[q] / max(1, self.offered[q]) for q in quarters]

    def __str__(self) -> str:
        return (
            f"value {self.mean_value:.3f} in time {self.share('in time'):.3f}"
            f" retried {self.share('retried'):.3f}"
            f" late {self.share('late'):.3f} failed {self.share('failed'):.3f}"
            f" refused {self.share('refused'):.3f}"
        )


class Admission:
    """An entry's controller, as the forward decider drives it."""

    def __init__(self, rng):
        self.controller = AdmissionController(rng)

    def decide(self, now, request):
        return self.controller.decide(now, request.offer)

    def answered(self, now, service, searcher, send_s, load):
        self.controller.note_answer(now, service, searcher, send_s, load)

    def shed(self, now, service, searcher, load):
        self.controller.note_shed(now, service, searcher, load)

    def ended(self, now, request, answered):
        if answered:
            elapsed = now - request.arrived_at
            self.controller.note_end(now, request.offer, elapsed)


class NoAdmission(Admission):
    """Admits everything."""

    def decide(self, now, request):
        return None


class Fleet:
    """Runs requests until the end of the load, then all that remain.

    Attributes:
        figures: results.
    """

    def __init__(
        self,
        seed,
        admission=Admission,
        entries=32,
        shards=36,
        queue_limit=30,
        kinds=(LIST, QUICK, ONE),
        accounts=(("a", 1.0),),
        retries=1,
        obedient=True,
        count_from=0.0,
        count_to=math.inf,
    ):
        self.rng = random.Random(seed)
        self.entries = [
            admission(random.Random(1000 * seed + i)) for i in range(entries)
        ]
        self.inflight = [Counter() for _ in range(entries)]
        self.shards = shards
        self.names = tuple(f"s{i}" for i in range(shards))
        self.searchers = [
            [Searcher() for _ in range(SEARCHERS)] for _ in range(shards)
        ]
        self.queue_limit = queue_limit
        self.kinds = kinds
        self.accounts = dict(accounts)
        self.retries = retries
        self.obedient = obedient
        self.counted = (count_from, count_to)
        self.figures = Figures()
        self._events = []
        self._ids = count()

    @property
    def capacity_per_s(self):
        """Requests per second that keep all slots working."""
        work = sum(
            kind.weight
            * kind.work_s
            * (1.0 if kind.coverage else 1 / self.shards)
            for kind in self.kinds
        )
        weight = sum(kind.weight for kind in self.kinds)
        return SEARCHERS * SLOTS / (work / weight)

    def all_searchers(self):
        return [one for row in self.searchers for one in row]

    def load(
        self, start, end, of_capacity, factors=None, accounts=None, entries=None
    ):
        """Adds arrivals from ``start`` to ``end``.

        Args:
            start: seconds.
            end: seconds.
            of_capacity: load without factors, relative to the capacity.
            factors: factor on the rate by name of the kind.
            accounts: weights by name, in place of the fleet's.
            entries: entries that get the requests; None for all.
        """
        factors = factors or {}
        weights = accounts or self.accounts
        total = sum(kind.weight for kind in self.kinds)
        scale = sum(weights.values()) / sum(self.accounts.values())
        names, shares = list(weights), list(weights.values())
        for kind in self.kinds:
            rate = of_capacity * self.capacity_per_s * kind.weight / total
            rate *= factors.get(kind.name, 1.0) * scale
            at = start
            while True:
                at += self.rng.expovariate(rate)
                if at >= end:
                    break
                account = self.rng.choices(names, shares)[0]
                request = Request(kind, 0, account, at, at)
                request.entries = entries or range(len(self.entries))
                self.at(at, self._arrive, request)

    def at(self, time, call, *args):
        heapq.heappush(self._events, (time, next(self._ids), call, args))

    def run(self):
        """Runs all events; returns the figures."""
        while self._events:
            now, _, call, args = heapq.heappop(self._events)
            call(now, *args)
        return self.figures

    def _arrive(self, now, request):
        kind = request.kind
        request.entry = self.rng.choice(request.entries)
        request.arrived_at = now
        request.offer = self._offer(now, request)
        figures = self.figures
        figures.offered[int(now * 4)] += 1
        counted = self._is_counted(request)
        if counted and not request.refusals:
            figures.requests += 1
            figures.accounts_offered[request.account] += 1
        refusal = self.entries[request.entry].decide(now, request)
        if refusal is not None:
            self._refuse(now, request, refusal)
            return
        figures.admitted[int(now * 4)] += 1
        if counted:
            figures.accounts_run[request.account] += 1
        for service in request.offer.services:
            self._send(now, request, int(service[1:]), set())
        self.at(now + request.offer.left_s, self._check, request)
        left = kind.limit_s - (now - request.first_at)
        self.at(now + left, self._end, request, "failed")

    def _offer(self, now, request):
        kind = request.kind
        waited = now - request.first_at
        left = kind.objective_s - OVERHEAD_S - waited
        if left <= 0:
            left = kind.objective_s - OVERHEAD_S
        services = self.names
        if not kind.coverage:
            services = (self.rng.choice(self.names),)
        return Offer(
            route=kind.name,
            services=services,
            rank=kind.rank,
            account=request.account,
            left_s=left,
            wait_s=kind.limit_s - waited,
            waited_s=waited,
            least_answers=max(1, math.ceil(kind.coverage * len(services))),
        )

    def _refuse(self, now, request, refusal):
        request.refusals += 1
        if request.refusals > self.retries:
            self._count(request, "refused", 0.0)
            return
        after = 0.002
        if self.obedient:
            left = request.kind.limit_s - (now - request.first_at)
            after += min(refusal.retry_after_s, left / 3)
        self.at(now + after, self._arrive, request)

    def _send(self, now, request, shard, tried):
        own = self.inflight[request.entry]
        choices = [
            (own[shard, i] + self.rng.random(), i)
            for i, one in enumerate(self.searchers[shard])
            if i not in tried and not one.gone
        ]
        if not choices or len(tried) >= SEARCHERS:
            request.lost += 1
            possible = len(request.offer.services) - request.lost
            if possible < request.offer.least_answers:
                self._end(now, request, "failed")
            return
        index = min(choices)[1]
        tried.add(index)
        one = self.searchers[shard][index]
        own[shard, index] += 1
        send = (request, shard, index, now, tried)
        if self.rng.random() < one.shed_share or (
            one.running >= SLOTS and len(one.queue) >= self.queue_limit
        ):
            self.at(now + 0.001, self._shed, send)
        elif one.running < SLOTS:
            self._work(now, one, send)
        else:
            one.queue.append(send)

    def _work(self, now, one, send):
        one.running += 1
        work = send[0].kind.work_s * one.slow
        work *= math.exp(self.rng.gauss(-(WORK_SIGMA**2) / 2, WORK_SIGMA))
        self.at(now + work, self._worked, one, send)

    def _worked(self, now, one, send):
        one.running -= 1
        while one.queue and one.running < SLOTS:
            queued = one.queue.popleft()
            if queued[0].done:
                self.inflight[queued[0].entry][queued[1], queued[2]] -= 1
            else:
                self._work(now, one, queued)
        request, shard, index, sent_at, _ = send
        self.inflight[request.entry][shard, index] -= 1
        if request.done:
            return
        self.entries[request.entry].answered(
            now, f"s{shard}", f"s{shard}.{index}", now - sent_at, _load(one)
        )
        request.answered += 1
        self._check(now, request)

    def _shed(self, now, send):
        request, shard, index, _, tried = send
        self.inflight[request.entry][shard, index] -= 1
        if request.done:
            return
        load = _load(self.searchers[shard][index])
        entry = self.entries[request.entry]
        entry.shed(now, f"s{shard}", f"s{shard}.{index}", load)
        self._send(now, request, shard, tried)

    def _check(self, now, request):
        if request.done:
            return
        whole = request.answered + request.lost >= len(request.offer.services)
        due = now - request.arrived_at >= request.offer.left_s - 1e-9
        if (whole or due) and request.answered >= request.offer.least_answers:
            self._end(now, request, "answered")

    def _end(self, now, request, ending):
        if request.done:
            return
        request.done = True
        answered = ending == "answered"
        self.entries[request.entry].ended(now, request, answered)
        in_time = (
            now - request.arrived_at
            <= request.kind.objective_s - OVERHEAD_S + 1e-9
        )
        if not answered:
            self._count(request, "failed", 0.0)
        elif not in_time:
            self._count(request, "late", LATE)
        elif request.refusals:
            self._count(request, "retried", RETRIED)
        else:
            self._count(request, "in time", IN_TIME)

    def _count(self, request, ending, value):
        if self._is_counted(request):
            self.figures.endings[ending] += 1
            self.figures.value += value
            self.figures.ranks.setdefault(request.kind.rank, Counter())[
                ending
            ] += 1

    def _is_counted(self, request):
        return self.counted[0] <= request.first_at < self.counted[1]


def _load(one):
    return Load(one.running, len(one.queue), SLOTS)
