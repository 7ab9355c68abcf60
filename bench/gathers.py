"""Simulates gathers over many shards, for comparisons of policies.

    python -m bench.gathers

Runs the real forward deciders of several entries, on a simulated clock,
against modelled searchers with slots, queues, pauses, noisy neighbours and
slow periods. The same seed gives the same figures, whatever the load of the
machine.
"""

from __future__ import annotations

import heapq
import math
import random
from itertools import count

import attrs

from bench.gather_model import SHEETS, SPEEDS, ModelSearcher, QueryKind, Sheet
from greengagemoor.feed.messages import (
    EntryPlace,
    SearcherKey,
    SearcherRow,
    SearcherState,
    SearcherUpdated,
    SlowSearchers,
    SlowSendObserved,
)
from greengagemoor.feed.slowness import SlowSearcherTable
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
"""Share of attempts that take ``TAIL_FACTOR`` times as long."""
TAIL_FACTOR = 5.0
WORK_SIGMA = 0.35
"""Standard deviation of the logarithm of work times."""
QUEUE_LIMIT = 30
"""Most attempts in the queue of a searcher; it rejects further ones."""
ONE_WAY_S = 0.0015
"""One-way delay between an entry and a searcher."""
LATE_CREDIT = 0.1
"""Share of the credit that an answer after its objective gets."""
WARM_UP_S = 5.0
IDLE_TIMEOUT_S = 12.0
"""Time for which an idle connection is reused. With it, about as many sends as
in a run with 191 entries find none: 48,303 of 168,398."""


@attrs.define
class Figures:
    """Results of a run.

    Attributes:
        requests: requests after the warm-up.
        in_time: answers within the objective.
        whole: answers that include all shards.
        credit: sum over answers of the squared coverage, reduced if late.
        attempts: attempts sent, hedges and retries included.
        needed_attempts: shards of all requests, each of which needs one
            attempt.
        opened: connections opened for the attempts.
    """

    requests: int = 0
    in_time: int = 0
    whole: int = 0
    credit: float = 0.0
    attempts: int = 0
    needed_attempts: int = 0
    opened: int = 0

    def format_row(self) -> str:
        """Returns a row of the table."""
        requests = max(1, self.requests)
        return (
            f"{self.credit / requests:.3f} {self.in_time / requests:.3f}"
            f" {self.whole / requests:.3f}"
            f" {self.attempts / max(1, self.needed_attempts):.3f}"
            f" {self.opened / max(1, self.attempts):.3f}"
        )


class GatherSimulation:
    """A simulation of one sheet with one policy and one seed."""

    def __init__(
        self, sheet: Sheet, slow_share: float, seed: int, **policy: float
    ):
        """Creates entries and searchers.

        Args:
            sheet: the deployment.
            slow_share: share of searchers that are slow from 10 s to 20 s.
            seed: seed of all random choices.
            **policy: fields of ``Policy`` that differ from the default.
        """
        self.sheet = sheet
        self.rng = random.Random(seed)
        self.figures = Figures()
        self._ids = count()
        self._events: list = []
        self._requests: dict = {}
        self._work_s: dict[tuple[int, int], float] = {}
        self._idle: dict[tuple[int, str], list[float]] = {}
        self._busy: dict[tuple[int, int], str] = {}
        self._searchers = self._make_searchers(slow_share)
        slack = {"retry_slack": 0.85 * sheet.slack, **policy}
        self._entries = [
            ForwardDecider("dc0", random.Random(seed + i), Policy(**slack))
            for i in range(sheet.entries)
        ]
        self._slow_table = SlowSearcherTable()
        self._slow_reports: dict[int, set[SearcherKey]] = {}
        self._routes = [self._make_route(kind) for kind in sheet.kinds]
        self._wake_times = [math.inf] * sheet.entries

    def _service_names(self) -> tuple[str, ...]:
        return tuple(f"s{i}" for i in range(self.sheet.shards))

    def _make_route(self, kind: QueryKind) -> Route:
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
            gather=Gather(self._service_names(), 10, kind.min_coverage),
        )

    def _make_searchers(self, slow_share: float) -> dict[str, ModelSearcher]:
        searchers = {}
        for name in self._service_names():
            for i, speed in enumerate(SPEEDS):
                searchers[f"{name}.{i}"] = one = ModelSearcher(
                    self.sheet, speed, self.rng
                )
                if self.rng.random() < slow_share:
                    one.slow_start, one.slow_end = 10.0, 20.0
        return searchers

    def run(self, seconds: float = 30.0) -> Figures:
        """Runs the simulation; returns the results after the warm-up."""
        self._set_up_entries()
        for route, kind in zip(self._routes, self.sheet.kinds, strict=True):
            time = 0.0
            while time < seconds:
                time += self.rng.expovariate(kind.rate_per_s)
                self._schedule(
                    time, self._receive_request, route, kind, time > WARM_UP_S
                )
        while self._events:
            now, _, callback, args = heapq.heappop(self._events)
            callback(now, *args)
        return self.figures

    def _set_up_entries(self) -> None:
        names = self._service_names()
        rules = {
            name: ServiceRules(name, self.sheet.connection_cap)
            for name in names
        }
        table = RouteTable(1, (), rules, CallerLimits())
        for rank, entry in enumerate(self._entries):
            entry.set_routes(table)
            entry.set_entries(self.sheet.entries)
            entry.set_place(EntryPlace(rank, self.sheet.entries))
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
            entry.step(0.0, [SearcherUpdated(row) for row in rows])

    def _schedule(self, time: float, callback, *args) -> None:
        heapq.heappush(self._events, (time, next(self._ids), callback, args))

    def _receive_request(
        self, now: float, route: Route, kind: QueryKind, counted: bool
    ) -> None:
        entry = self.rng.randrange(self.sheet.entries)
        token = next(self._ids)
        self._requests[token] = (kind, counted)
        if counted:
            self.figures.requests += 1
            self.figures.needed_attempts += self.sheet.shards
        msg = m.Arrived(token, str(token), route, kind.deadline_s)
        self._step(now, entry, [msg])

    def _step(self, now: float, index: int, msgs: list) -> None:
        entry = self._entries[index]
        for msg in entry.step(now, msgs):
            self._handle_output(now, index, msg)
        wake = entry.next_wake()
        if wake is not None and (
            wake < self._wake_times[index] or self._wake_times[index] <= now
        ):
            self._wake_times[index] = wake
            self._schedule(max(wake, now), self._wake, index)

    def _wake(self, now: float, index: int) -> None:
        if now >= self._wake_times[index]:
            self._wake_times[index] = math.inf
            self._step(now, index, [])

    def _handle_output(self, now: float, index: int, msg: object) -> None:
        if isinstance(msg, m.StartAttempt):
            key = (index, msg.attempt_id)
            kind, counted = self._requests[msg.token]
            self.figures.attempts += counted
            self._work_s[key] = self._draw_work(kind)
            new = self._takes_new_connection(now, key, msg.searcher_id)
            self.figures.opened += counted and new
            self._work_s[key] += self.sheet.connect_s * new
            self._schedule(
                now + ONE_WAY_S, self._receive_attempt, key, msg.searcher_id
            )
        elif isinstance(msg, m.CancelAttempt):
            key = (index, msg.attempt_id)
            self._busy.pop(key, None)
            self._schedule(now + ONE_WAY_S, self._cancel_attempt, key)
        elif isinstance(msg, m.CloseIdle):
            self._idle.pop((index, msg.address), None)
        elif (
            isinstance(msg, SlowSendObserved)
            and self.sheet.reports_slow_searchers
        ):
            self._collect_slow_report(now, index, msg.searcher)
        elif isinstance(msg, m.Respond):
            self._record_answer(msg)
            sent_at = now + self.sheet.answer_delay_s
            self._schedule(sent_at, self._report_delay, index, msg.due_at)

    def _report_delay(self, now: float, index: int, due_at: float) -> None:
        self._step(now, index, [m.AnswerWritten(now - due_at)])

    def _collect_slow_report(
        self, now: float, index: int, key: SearcherKey
    ) -> None:
        """Adds a searcher to the next report of an entry, as its view does."""
        if index not in self._slow_reports:
            self._slow_reports[index] = set()
            self._schedule(
                now + REPORT_EVERY_S, self._distribute_slow_report, index
            )
        self._slow_reports[index].add(key)

    def _distribute_slow_report(self, now: float, index: int) -> None:
        """Handles a report as a control instance does: notifies all entries."""
        for key in sorted(self._slow_reports.pop(index), key=str):
            avoid_s = self._slow_table.note(now, key)
            if avoid_s is None:
                continue
            for entry in range(self.sheet.entries):
                slow = [SlowSearchers((key,), avoid_s)]
                self._schedule(now + 2 * ONE_WAY_S, self._step, entry, slow)

    def _draw_work(self, kind: QueryKind) -> float:
        mean = kind.work_s * math.exp(-(WORK_SIGMA**2) / 2)
        work = mean * math.exp(self.rng.gauss(0.0, WORK_SIGMA))
        return work * (TAIL_FACTOR if self.rng.random() < TAIL_SHARE else 1.0)

    def _receive_attempt(
        self, now: float, key: tuple, searcher_id: str
    ) -> None:
        if key not in self._work_s:
            return
        searcher = self._searchers[searcher_id]
        if len(searcher.running) < self.sheet.slots:
            self._start_work(now, key, searcher)
        elif len(searcher.queue) < QUEUE_LIMIT:
            searcher.queue.append(key)
        else:
            self._reply(now, key, searcher, m.Outcome.NOT_RUN)

    def _start_work(
        self, now: float, key: tuple, searcher: ModelSearcher
    ) -> None:
        searcher.running.add(key)
        end = searcher.end_time(now, self._work_s[key])
        self._schedule(end, self._finish_work, key, searcher)

    def _finish_work(
        self, now: float, key: tuple, searcher: ModelSearcher
    ) -> None:
        if key not in searcher.running:
            return
        searcher.running.discard(key)
        self._reply(now, key, searcher, m.Outcome.ANSWERED)
        self._start_queued(now, searcher)

    def _start_queued(self, now: float, searcher: ModelSearcher) -> None:
        while searcher.queue and len(searcher.running) < self.sheet.slots:
            key = searcher.queue.popleft()
            if key in self._work_s:
                self._start_work(now, key, searcher)

    def _cancel_attempt(self, now: float, key: tuple) -> None:
        self._work_s.pop(key, None)
        for searcher in self._searchers.values():
            if key in searcher.running:
                searcher.running.discard(key)
                self._start_queued(now, searcher)
                return

    def _reply(
        self, now: float, key: tuple, searcher: ModelSearcher, outcome
    ) -> None:
        if self._work_s.pop(key, None) is None:
            return
        load = m.SearcherLoad(
            len(searcher.running), len(searcher.queue), self.sheet.slots
        )
        answer = m.SearcherAnswer(200, "signed", (), b"", load=load)
        ended = m.AttemptEnded(key[1], outcome, answer)
        self._schedule(now + ONE_WAY_S, self._receive_answer, key, ended)

    def _receive_answer(
        self, now: float, key: tuple, ended: m.AttemptEnded
    ) -> None:
        searcher_id = self._busy.pop(key, None)
        if searcher_id is not None:
            idle = self._idle.setdefault((key[0], searcher_id), [])
            idle.append(now + IDLE_TIMEOUT_S)
        self._step(now, key[0], [ended])

    def _takes_new_connection(
        self, now: float, key: tuple, searcher_id: str
    ) -> bool:
        """Uses an idle connection if there is one; returns whether not."""
        self._busy[key] = searcher_id
        idle = self._idle.get((key[0], searcher_id))
        while idle:
            if idle.pop() > now:
                return False
        return True

    def _record_answer(self, msg: m.Respond) -> None:
        kind, counted = self._requests.pop(msg.token)
        if not counted or msg.merged is None:
            return
        share = 1.0 - msg.merged.missing / self.sheet.shards
        outside_s = self.sheet.caller_network_s + self.sheet.answer_delay_s
        in_time = msg.elapsed_s + outside_s <= kind.objective_s
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
    print(
        "sheet load policy: credit, in time, whole, sends a shard,"
        " connections a send"
    )
    for sheet in SHEETS:
        for load, share in SLOW_SHARES.items():
            for name, changes in POLICIES.items():
                figures = GatherSimulation(
                    sheet, share, seed=1, **changes
                ).run()
                print(f"{sheet.name} {load} {name}: {figures.format_row()}")


if __name__ == "__main__":
    main()
