"""Searchers of an entry where entries outnumber a connection cap."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from greengagemoor.feed.messages import EntryPlace, SearcherState
from greengagemoor.forward import assignment
from greengagemoor.forward import messages as m
from greengagemoor.forward.messages import Ending, Outcome
from greengagemoor.forward.searchers import POSITION_RETENTION_S
from tests.test_forward.helpers import (
    Bench,
    answers,
    gather,
    single,
    starts,
    warm,
)

CASES = [
    (entries, cap, searchers)
    for entries in (74, 75, 83, 99, 148, 200, 222, 223, 369, 370, 1000, 2000)
    for cap in (12, 41, 72, 74, 123)
    for searchers in (1, 2, 3, 5)
    if entries > cap
]
SERVICES = [f"shard-{i}" for i in range(8)]


def users(entries, cap, searchers, service="shard-0"):
    """Returns the ranks that may use each searcher."""
    return [
        {
            rank
            for rank in range(entries)
            if assignment.is_assigned(
                EntryPlace(rank, entries), service, number, searchers, cap
            )
        }
        for number in range(searchers)
    ]


class TestAssignment:
    """All entries know their newest place."""

    @pytest.mark.parametrize(("entries", "cap", "searchers"), CASES)
    def test_no_searcher_is_used_beyond_its_cap(self, entries, cap, searchers):
        for service in SERVICES:
            for ranks in users(entries, cap, searchers, service):
                assert len(ranks) <= cap

    @pytest.mark.parametrize(("entries", "cap", "searchers"), CASES)
    def test_searchers_are_spread_evenly(self, entries, cap, searchers):
        """Guards against entries without a searcher, or with all of them."""
        length = assignment.assigned_entries(entries, cap, searchers)
        least = searchers * length // entries
        for service in SERVICES:
            counts = Counter()
            for ranks in users(entries, cap, searchers, service):
                counts.update(ranks)
            numbers = {counts[rank] for rank in range(entries)}
            assert numbers <= {least, least + 1}
            assert least >= 1 or entries > searchers * cap

    def test_99_entries_with_a_cap_of_74_have_two_or_three_of_three(self):
        for service in SERVICES:
            counts = Counter()
            for ranks in users(99, 74, 3, service):
                counts.update(ranks)
            assert {counts[rank] for rank in range(99)} <= {2, 3}

    def test_few_searchers_of_one_service_are_offset_by_others(self):
        """Guards against entries with two searchers in every service."""
        totals = Counter()
        for i in range(36):
            for ranks in users(99, 74, 3, f"shard-{i}"):
                totals.update(ranks)
        numbers = [totals[rank] for rank in range(99)]
        assert max(numbers) < 1.2 * min(numbers)


class TestChanges:
    """Entries that join or are no longer counted."""

    @pytest.mark.parametrize(
        ("entries", "cap"), [(83, 74), (99, 74), (200, 123), (1500, 123)]
    )
    def test_a_joined_entry_changes_few_pairs(self, entries, cap):
        """Each new pair costs the searcher a connection."""
        rng = random.Random(entries)
        for service in SERVICES:
            joined = rng.randrange(entries + 1)
            before = users(entries, cap, 3, service)
            after = users(entries + 1, cap, 3, service)
            for old, new in zip(before, after, strict=True):
                shifted = {rank + (rank >= joined) for rank in old}
                assert len((shifted ^ new) - {joined}) <= 4

    @pytest.mark.parametrize("changes", [1, 2, 5, 16])
    @pytest.mark.parametrize(
        ("entries", "cap"), [(83, 74), (99, 74), (200, 123), (1500, 123)]
    )
    def test_bound_while_some_entries_hold_an_older_place(
        self, entries, cap, changes
    ):
        """At most three more entries for each change between the places."""
        rng = random.Random(changes)
        for service in SERVICES:
            names = sorted(rng.sample(range(10_000), entries))
            newest = sorted({*names, *rng.sample(range(10_000), changes)})
            stale = set(rng.sample(names, entries // 2))
            for number in range(3):
                total = 0
                for name in newest:
                    known = names if name in stale else newest
                    place = EntryPlace(known.index(name), len(known))
                    total += assignment.is_assigned(
                        place, service, number, 3, cap
                    )
                assert total <= cap + 3 * (len(newest) - entries)


class AssignedBench(Bench):
    """A decider with a place among 200 entries; each searcher takes 123."""

    def __init__(self, rank=0, entries=200, cap=123, **more):
        super().__init__(cap=cap, **more)
        self.decider.set_entries(entries)
        self.decider.set_place(EntryPlace(rank, entries))
        self.step()

    def searchers(self, service="s0"):
        """Returns the searchers that are assigned, and the others."""
        rows = self.decider.tables.by_service[service]
        return [r for r in rows if r.cap], [r for r in rows if not r.cap]


def with_assigned(number, **more):
    """Returns a bench whose entry has that many of three searchers."""
    for rank in range(200):
        bench = AssignedBench(rank, **more)
        if len(bench.searchers()[0]) == number:
            return bench
    raise AssertionError("no such rank")


class TestSelection:
    """Sends of an entry that has some of a service's searchers."""

    @pytest.mark.parametrize("number", [1, 2])
    def test_only_assigned_searchers_are_sent_to(self, number):
        bench = with_assigned(number)
        names = {row.searcher_id for row in bench.searchers()[0]}
        for _ in range(50):
            (start,) = starts(bench.arrive(single()))
            assert start.searcher_id in names
            bench.answer(start)
        assert not [o for o in bench.outputs if isinstance(o, m.CloseIdle)]

    def test_request_waits_while_its_searcher_is_busy(self):
        """Guards against unassigned connections in each burst."""
        bench = with_assigned(1)
        (first,) = starts(bench.arrive(single()))
        assert not starts(bench.arrive(single()))
        (second,) = starts(bench.answer(first))
        assert second.searcher_id == first.searcher_id

    @pytest.mark.parametrize(
        "state", [SearcherState.LOST, SearcherState.DRAINING]
    )
    def test_requests_are_served_if_all_assigned_searchers_end(self, state):
        bench = with_assigned(1)
        (mine,), _ = bench.searchers()
        bench.now += 10.0
        bench.learn(mine.searcher_id, "s0", state, seq=2)
        (start,) = starts(bench.arrive(single()))
        assert start.searcher_id != mine.searcher_id
        out = bench.answer(start)
        assert [end.ending for end in answers(out)] == [Ending.ANSWERED]
        assert m.CloseIdle(start.address) in out

    def test_requests_are_served_if_the_assigned_searcher_is_avoided(self):
        bench = with_assigned(1)
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(bench.end(first, Outcome.NOT_SENT))
        assert second.searcher_id != first.searcher_id

    def test_hedge_goes_to_another_searcher_if_the_only_one_was_tried(self):
        bench = with_assigned(1)
        warm(bench, single())
        (first,) = starts(bench.arrive(single()))
        hedges = starts(bench.pass_time(0.1))
        assert [h.searcher_id == first.searcher_id for h in hedges] == [False]

    def test_slow_searcher_gets_few_sends(self):
        bench = with_assigned(1)
        (mine,), _ = bench.searchers()
        sent = Counter()
        for _ in range(60):
            (start,) = starts(bench.arrive(single(attempts=1)))
            sent[start.searcher_id == mine.searcher_id] += 1
            bench.now += 0.3 if start.searcher_id == mine.searcher_id else 0.02
            bench.answer(start)
        assert sent[True] < sent[False]

    def test_one_send_at_a_time_to_unassigned_searchers_of_a_service(self):
        """The bound if all of the entry's searchers end: one connection."""
        bench = with_assigned(1)
        (mine,), _ = bench.searchers()
        bench.learn(mine.searcher_id, "s0", SearcherState.GONE, seq=2)
        route = single(objective_s=10.0)
        sends = [s for _ in range(5) for s in starts(bench.arrive(route))]
        assert len(sends) == 1
        assert len(starts(bench.answer(sends[0]))) == 1

    def test_entry_without_searchers_is_served_one_send_at_a_time(self):
        """More than three times as many entries as a searcher takes."""
        bench = AssignedBench(1000, entries=2000)
        services = [f"s{i}" for i in range(4)]
        bench = AssignedBench(1000, entries=2000, services=len(services))
        assert any(not bench.searchers(name)[0] for name in services)
        sends = starts(bench.arrive(gather(4)))
        assert len(sends) == 4
        for start in sends:
            out = bench.answer(start)
        assert [end.ending for end in answers(out)] == [Ending.ANSWERED]


class TestUnknownPlace:
    """An entry that has just started, or whose control instances are older."""

    def test_requests_are_served(self):
        bench = Bench(cap=123)
        bench.decider.set_entries(200)
        assert not any(r.cap for r in bench.decider.tables.searchers.values())
        sends = [s for _ in range(3) for s in starts(bench.arrive(single()))]
        assert len({start.searcher_id for start in sends}) == 3
        for start in sends:
            bench.answer(start)
        assert not [o for o in bench.outputs if isinstance(o, m.CloseIdle)]

    def test_idle_connections_to_others_searchers_close_with_the_place(self):
        bench = AssignedBench(entries=100)
        assert not bench.searchers()[1]
        bench.decider.set_place(EntryPlace(0, 200))
        closed = {o.address for o in bench.step() if isinstance(o, m.CloseIdle)}
        assert closed == {row.address for row in bench.searchers()[1]}
        assert closed

    def test_nothing_changes_while_the_cap_is_not_exceeded(self):
        bench = Bench(cap=123)
        bench.decider.set_entries(100)
        before = [r.cap for r in bench.decider.tables.searchers.values()]
        bench.decider.set_place(EntryPlace(7, 100))
        after = [r.cap for r in bench.decider.tables.searchers.values()]
        assert before == after == [1, 1, 1]


class TestRestartsOfSearchers:
    """Positions of searchers in their service."""

    def test_restart_moves_no_other_searcher(self):
        """Guards against new connections for each restart of a searcher."""
        for rank in range(0, 200, 7):
            bench = AssignedBench(rank)
            before = {r.searcher_id for r in bench.searchers()[0]}
            bench.learn("s0.0", "s0", SearcherState.GONE, seq=2)
            during = {r.searcher_id for r in bench.searchers()[0]}
            assert during == before - {"s0.0"}
            bench.step(after=POSITION_RETENTION_S / 2)
            bench.learn("s0.0", "s0", seq=3)
            bench.step(after=POSITION_RETENTION_S)
            assert {r.searcher_id for r in bench.searchers()[0]} == before

    def test_positions_of_ended_searchers_expire(self):
        """Each entry has one of two searchers that are left."""
        for rank in range(0, 200, 7):
            bench = AssignedBench(rank)
            bench.learn("s0.0", "s0", SearcherState.GONE, seq=2)
            bench.step(after=POSITION_RETENTION_S + 0.1)
            assert bench.searchers()[0]


def test_gauges():
    bench = with_assigned(1)
    gauges = bench.decider.gauges()
    assert gauges["searchers_assigned"] == 1
    assert gauges["entry_rank"] == bench.decider.tables.place.rank
    assert Bench().decider.gauges()["entry_rank"] == -1
