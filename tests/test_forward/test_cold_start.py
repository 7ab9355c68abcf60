"""The limit on requests to a cold searcher, over all entries together."""

from __future__ import annotations

import random
from collections import deque

import attrs
import pytest

from greengagemoor.control.evacuations import Evacuation
from greengagemoor.feed.messages import (
    EvacuationsUpdated,
    SearcherRow,
    SearcherState,
    SearcherUpdated,
)
from greengagemoor.forward.decider import ForwardDecider
from greengagemoor.forward.messages import Ending, Outcome
from greengagemoor.routing.routes import RouteTable, ServiceRules
from tests.test_forward.helpers import Bench, answers, single, starts

OVERAGE, SLACK = 1.5, 5
"""In any second all entries together send at most the rate times ``OVERAGE``
plus ``SLACK``."""
COLD_S = 6.0
TICK_S = 0.05
RULES = ServiceRules("s0", 40, cold_for_s=3.0, cold_per_s=20.0)


def row(name="cold", cold_s=COLD_S, **changes):
    made = SearcherRow(
        name, "s0", f"{name}:1", "dc1", SearcherState.READY, 1, 5, cold_s
    )
    return attrs.evolve(made, **changes)


def entry(name, entries, rules):
    decider = ForwardDecider("dc1", random.Random(name), name=name)
    decider.set_routes(RouteTable(1, (), {"s0": rules}, None))
    decider.set_entries(entries)
    return decider


class Fleet:
    """Entries that all send to one cold searcher as often as they may."""

    def __init__(self, entries, per_s, seed):
        self.rng = random.Random(seed)
        rules = attrs.evolve(RULES, cold_per_s=per_s)
        names = [f"10.{seed}.0.{i}" for i in range(entries)]
        self.make = lambda name: entry(name, entries, rules)
        self.entries = {name: self.make(name) for name in names}
        self.now = 100.0
        self.recent: deque[float] = deque()
        self.max_in_a_second = 0
        self.sent = 0

    def learn(self):
        for decider in self.entries.values():
            decider.step(self.now, [SearcherUpdated(row())])

    def kill(self, share):
        """Kills entries, which restart at once and learn of the searcher."""
        names = sorted(self.entries)
        for name in self.rng.sample(names, int(share * len(names))):
            self.entries[name] = self.make(name)
            self.entries[name].step(self.now, [SearcherUpdated(row())])

    def send_from_all(self):
        """Sends from each entry that may; no send is answered."""
        from greengagemoor.forward import selection

        for decider in self.entries.values():
            decider.step(self.now, ())
            (searcher,) = decider.tables.by_service["s0"]
            usable = selection.is_usable(decider.tables, searcher)
            if usable and selection.cold_start.is_within_rate(
                decider.tables, searcher
            ):
                searcher.sent_at = self.now
                self.note(self.now + self.rng.uniform(0.0, 0.05))

    def note(self, at):
        self.sent += 1
        self.recent.append(at)
        while self.recent[0] <= at - 1.0:
            self.recent.popleft()
        self.max_in_a_second = max(self.max_in_a_second, len(self.recent))


class TestTotalRate:
    """The bound on the sends of all entries in any second."""

    @pytest.mark.parametrize("entries", [9, 67, 191])
    @pytest.mark.parametrize("per_s", [1.0, 5.0, 20.0, 100.0])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_total_stays_within_the_bound(self, entries, per_s, seed):
        fleet = Fleet(entries, per_s, seed)
        fleet.learn()
        for turn in range(int((COLD_S - 1.0) / TICK_S)):
            if turn % 30 == 29:
                fleet.kill(0.3)
            fleet.send_from_all()
            fleet.now += TICK_S
        assert fleet.max_in_a_second <= per_s * OVERAGE + SLACK

    def test_at_least_two_fifths_of_the_rate_are_used(self):
        fleet = Fleet(67, 100.0, 1)
        fleet.learn()
        for _ in range(int((COLD_S - 1.0) / TICK_S)):
            fleet.send_from_all()
            fleet.now += TICK_S
        assert fleet.sent >= 0.4 * 100.0 * (COLD_S - 1.0)


class TestOneEntry:
    """Sends of one entry."""

    def bench(self, rules=RULES, **more):
        bench = Bench(searchers=0)
        bench.decider.set_routes(RouteTable(1, (), {"s0": rules}, None))
        bench.step(SearcherUpdated(row(**more)))
        return bench

    def test_warm_searcher_is_not_limited(self):
        bench = self.bench(cold_s=0.0)
        sends = [starts(bench.arrive(single())) for _ in range(4)]
        assert all(sends)

    def test_service_without_a_cold_rate_is_not_limited(self):
        bench = self.bench(attrs.evolve(RULES, cold_per_s=0.0))
        sends = [starts(bench.arrive(single())) for _ in range(4)]
        assert all(sends)

    def test_rate_of_one_entry(self):
        """At least ten entries share 0.6 of 20 requests a second."""
        bench = self.bench()
        assert starts(bench.arrive(single()))
        assert not starts(bench.arrive(single()))
        out = bench.pass_time(1.0)
        assert len(starts(out)) <= 2

    def test_retry_on_a_stale_connection_is_limited(self):
        """Guards against a retry that the rate limit doesn't count."""
        bench = self.bench()
        (first,) = starts(bench.arrive(single()))
        assert not starts(bench.end(first, Outcome.BROKEN, stale=True))

    def test_rejected_at_once_if_this_entry_is_not_selected(self):
        bench = self.bench(attrs.evolve(RULES, cold_per_s=0.001))
        (answer,) = answers(bench.arrive(single()))
        assert answer.ending is Ending.NOT_RUN_NO_SEARCHER

    def test_searchers_are_cold_after_an_evacuation(self):
        """Guards against a burst from all entries when it ends."""
        bench = self.bench(cold_s=0.0)
        bench.step(EvacuationsUpdated((Evacuation("dc1", 1, True),)))
        bench.step(EvacuationsUpdated((Evacuation("dc1", 2, False),)))
        assert starts(bench.arrive(single()))
        assert not starts(bench.arrive(single()))
