"""Gathers over many shards against modelled searchers, under a fake clock.

Runs the very deciders of some entries against searchers with slots, queues,
pauses, neighbours and slow spells. Same seed, same figures; it tells policies
apart in seconds, and no machine's load shows in it.

    python -m bench.gathers
"""

from __future__ import annotations

import heapq
import math
import random
from itertools import count

import attrs

from bench.gather_model import SHEETS, SPEEDS, Kind, ModelSearcher, Sheet
from greengagemoor.feed.messages import (
    SearcherKey,
    SearcherLearnt,
    SearcherRow,
    SearcherState,
    SlowSearchers,
    SlowSeen,
)
from greengagemoor.feed.slowness import SlowTable
from greengagemoor.feed.view import REPORT_EVERY_S
from greengagemoor.forward import messages as m
from greengagemoor.forward.decider import ForwardDecider
from greengagemoor.forward.policy import Policy
from greengagemoor.routing.routes import (
    CallerLimits,
    Gather,
    Grade,
    Route,
    RouteTable,
    ServiceRules,
)

TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
SIGMA = 0.35
QUEUE = 30
TRIP_S = 0.0015
"""One way between an entry and a searcher."""
LATE_CREDIT = 0.1
WARM_S = 5.0


@attrs.define
class Figures:
    """What callers got."""

    owed: int = 0
    in_time: int = 0
    whole: int = 0
    credit: float = 0.0
    sends: int = 0
    firsts: int = 0

    def line(self) -> str:
        """Returns one row of the table."""
        owed = max(1, self.owed)
        return (
            f"{self.credit / owed:.3f} {self.in_time / owed:.3f}"
            f" {self.whole / owed:.3f} {self.sends / max(1, self.firsts):.3f}"
        )


class Run:
    """One sheet, one policy, one seed."""

    def __init__(
        self, sheet: Sheet, slow_share: float, seed: int, **policy: float
    ):
        """Prepares.

        Args:
            sheet: the deployment.
            slow_share: share of the searchers that is slow in the middle.
            seed: same seed, same figures.
            **policy: changes of ``Policy``.
        """
        self.sheet = sheet
        self.rng = random.Random(seed)
        self.figures = Figures()
        self._ids = count()
        self._heap: list = []
        self._jobs: dict = {}
        self._work: dict[tuple[int, int], float] = {}
        self._searchers = self._make_searchers(slow_share)
        slack = {"retry_slack": 0.85 * sheet.slack, **policy}
        self._entries = [
            ForwardDecider("dc0", random.Random(seed + i), Policy(**slack))
            for i in range(sheet.entries)
        ]
        self._slow = SlowTable()
        self._reports: dict[int, set[SearcherKey]] = {}
        self._routes = [self._route(kind) for kind in sheet.kinds]
        self._wakes = [math.inf] * sheet.entries

    def _names(self) -> tuple[str, ...]:
        return tuple(f"s{i}" for i in range(self.sheet.shards))

    def _route(self, kind: Kind) -> Route:
        return Route(
            name=kind.name,
            host="h",
            prefix="/",
            grade=Grade.REPEATABLE,
            time_limit_s=kind.deadline_s,
            objective_s=kind.objective_s,
            rank=1,
            attempts=2,
            split=(),
            gather=Gather(self._names(), 10, kind.least),
        )

    def _make_searchers(self, slow_share: float) -> dict[str, ModelSearcher]:
        made = {}
        for name in self._names():
            for i, speed in enumerate(SPEEDS):
                made[f"{name}.{i}"] = one = ModelSearcher(
                    self.sheet, speed, self.rng
                )
                if self.rng.random() < slow_share:
                    one.slow_from, one.slow_until = 10.0, 20.0
        return made

    def play(self, seconds: float = 30.0) -> Figures:
        """Plays it and returns what callers got after a warm start."""
        self._introduce()
        for route, kind in zip(self._routes, self.sheet.kinds, strict=True):
            at = 0.0
            while at < seconds:
                at += self.rng.expovariate(kind.per_s)
                self._push(at, self._arrive, route, kind, at > WARM_S)
        while self._heap:
            now, _, call, args = heapq.heappop(self._heap)
            call(now, *args)
        return self.figures

    def _introduce(self) -> None:
        names = self._names()
        rules = {name: ServiceRules(name, self.sheet.cap) for name in names}
        table = RouteTable(1, (), rules, CallerLimits())
        for entry in self._entries:
            entry.set_routes(table)
            entry.set_entries(self.sheet.entries)
            entry.step(-60.0, ())
            rows = [
                SearcherRow(
                    key,
                    key.partition(".")[0],
                    key,
                    f"dc{self.rng.randrange(3)}",
                    SearcherState.READY,
                    1,
                    self.sheet.slots,
                    0.0,
                )
                for key in self._searchers
            ]
            entry.step(0.0, [SearcherLearnt(row) for row in rows])

    def _push(self, at: float, call, *args) -> None:
        heapq.heappush(self._heap, (at, next(self._ids), call, args))

    def _arrive(
        self, now: float, route: Route, kind: Kind, counted: bool
    ) -> None:
        entry = self.rng.randrange(self.sheet.entries)
        token = next(self._ids)
        self._jobs[token] = (kind, counted)
        if counted:
            self.figures.owed += 1
            self.figures.firsts += self.sheet.shards
        msg = m.Arrived(token, str(token), route, kind.deadline_s)
        self._step(now, entry, [msg])

    def _step(self, now: float, index: int, msgs: list) -> None:
        entry = self._entries[index]
        for msg in entry.step(now, msgs):
            self._act(now, index, msg)
        wake = entry.next_wake()
        if wake is not None and (
            wake < self._wakes[index] or self._wakes[index] <= now
        ):
            self._wakes[index] = wake
            self._push(max(wake, now), self._wake, index)

    def _wake(self, now: float, index: int) -> None:
        if now >= self._wakes[index]:
            self._wakes[index] = math.inf
            self._step(now, index, [])

    def _act(self, now: float, index: int, msg: object) -> None:
        if isinstance(msg, m.StartAttempt):
            key = (index, msg.attempt_id)
            kind, counted = self._jobs[msg.token]
            self.figures.sends += counted
            self._work[key] = self._draw_work(kind)
            self._push(now + TRIP_S, self._reach, key, msg.searcher_id)
        elif isinstance(msg, m.CancelAttempt):
            key = (index, msg.attempt_id)
            self._push(now + TRIP_S, self._drop, key)
        elif isinstance(msg, SlowSeen) and self.sheet.tells_slow:
            self._note_slow(now, index, msg.searcher)
        elif isinstance(msg, m.Respond):
            self._take_answer(msg)
            left = now + self.sheet.leave_s
            self._push(left, self._leave, index, msg.due_at)

    def _leave(self, now: float, index: int, due_at: float) -> None:
        self._step(now, index, [m.AnswerLeft(now - due_at)])

    def _note_slow(self, now: float, index: int, key: SearcherKey) -> None:
        """Collects what an entry finds slow, as its view does."""
        if index not in self._reports:
            self._reports[index] = set()
            self._push(now + REPORT_EVERY_S, self._report, index)
        self._reports[index].add(key)

    def _report(self, now: float, index: int) -> None:
        """A control instance takes a report; all entries hear of it."""
        for key in sorted(self._reports.pop(index), key=str):
            avoid_s = self._slow.note(now, key)
            if avoid_s is None:
                continue
            for entry in range(self.sheet.entries):
                told = [SlowSearchers((key,), avoid_s)]
                self._push(now + 2 * TRIP_S, self._step, entry, told)

    def _draw_work(self, kind: Kind) -> float:
        mean = kind.work_s * math.exp(-(SIGMA**2) / 2)
        work = mean * math.exp(self.rng.gauss(0.0, SIGMA))
        return work * (TAIL_FACTOR if self.rng.random() < TAIL_SHARE else 1.0)

    def _reach(self, now: float, key: tuple, searcher_id: str) -> None:
        if key not in self._work:
            return
        searcher = self._searchers[searcher_id]
        if len(searcher.running) < self.sheet.slots:
            self._begin(now, key, searcher)
        elif len(searcher.queue) < QUEUE:
            searcher.queue.append(key)
        else:
            self._reply(now, key, searcher, m.Outcome.NOT_RUN)

    def _begin(self, now: float, key: tuple, searcher: ModelSearcher) -> None:
        searcher.running.add(key)
        end = searcher.end_of(now, self._work[key])
        self._push(end, self._end, key, searcher)

    def _end(self, now: float, key: tuple, searcher: ModelSearcher) -> None:
        if key not in searcher.running:
            return
        searcher.running.discard(key)
        self._reply(now, key, searcher, m.Outcome.ANSWERED)
        self._next(now, searcher)

    def _next(self, now: float, searcher: ModelSearcher) -> None:
        while searcher.queue and len(searcher.running) < self.sheet.slots:
            key = searcher.queue.popleft()
            if key in self._work:
                self._begin(now, key, searcher)

    def _drop(self, now: float, key: tuple) -> None:
        self._work.pop(key, None)
        for searcher in self._searchers.values():
            if key in searcher.running:
                searcher.running.discard(key)
                self._next(now, searcher)
                return

    def _reply(
        self, now: float, key: tuple, searcher: ModelSearcher, outcome
    ) -> None:
        if self._work.pop(key, None) is None:
            return
        load = m.SearcherLoad(
            len(searcher.running), len(searcher.queue), self.sheet.slots
        )
        answer = m.SearcherAnswer(200, "signed", (), b"", load=load)
        ended = m.AttemptEnded(key[1], outcome, answer)
        self._push(now + TRIP_S, self._step, key[0], [ended])

    def _take_answer(self, msg: m.Respond) -> None:
        kind, counted = self._jobs.pop(msg.token)
        if not counted or msg.merged is None:
            return
        share = 1.0 - msg.merged.missing / self.sheet.shards
        outside = self.sheet.caller_s + self.sheet.leave_s
        in_time = msg.elapsed_s + outside <= kind.objective_s
        self.figures.in_time += in_time
        self.figures.whole += not msg.merged.missing
        self.figures.credit += share**2 * (1.0 if in_time else LATE_CREDIT)


POLICIES = {
    "no second sends": {"retry_ratio": 0.0, "retry_slack": 0.0},
    "ratio only": {"retry_slack": 0.0},
    "default": {},
    "at 0.8": {"hedge_quantile": 0.8},
    "at 0.95": {"hedge_quantile": 0.95},
}
SLOW_SHARES = {"calm": 0.0, "slow": 0.15}


def main() -> None:
    """Prints a row for each sheet, load and policy."""
    print("sheet load policy: credit, in time, whole, sends a shard")
    for sheet in SHEETS:
        for load, share in SLOW_SHARES.items():
            for name, changes in POLICIES.items():
                figures = Run(sheet, share, seed=1, **changes).play()
                print(f"{sheet.name} {load} {name}: {figures.line()}")


if __name__ == "__main__":
    main()
