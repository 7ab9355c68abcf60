"""Selection of entries for callers, with fake callers and no network."""

from __future__ import annotations

import math
import random
import statistics
from collections import Counter

import attrs
import pytest

from bench.directory_model import (
    DATA_CENTRES,
    INSTANCES,
    LIFETIME_S,
    LIMIT,
    Callers,
    make_entries,
)
from greengagemoor.control.messages import Received
from greengagemoor.feed import messages as m
from greengagemoor.feed.directory import (
    MIN_LISTED,
    MIN_REMOTE,
    RECENT_ANSWERS,
    EntryDirectory,
    connection_shares,
)
from tests.test_feed.helpers import ENTRY, HubBench

MAX_LOAD = 1.3
WARM_UP_S = 4 * LIFETIME_S
EVEN = dict.fromkeys(DATA_CENTRES, 100)
UNEVEN = dict(zip(DATA_CENTRES, (210, 60, 30), strict=True))
SEEDS = pytest.mark.parametrize("seed", [1, 2])


def make_callers(seed, numbers, instances=INSTANCES):
    directories = [EntryDirectory(f"c{i}") for i in range(instances)]
    return Callers(random.Random(seed), numbers, directories)


def loads_by_second(callers, entries, seconds):
    """Returns the largest load of an entry at the end of each second."""
    largest = []
    for _ in range(seconds):
        callers.run(1.0, entries)
        largest.append(max(callers.loads(entries).values()))
    return largest


def without(entries, data_centre):
    return [entry for entry in entries if entry.data_centre != data_centre]


class TestShares:
    """The target share of each entry."""

    def test_in_proportion_to_capacity(self):
        """Guards against small entries that get as much as large ones."""
        shares = connection_shares(make_entries(30, (1, 2, 4)))
        assert shares["e6"] == pytest.approx(4 * shares["e0"])
        assert sum(shares.values()) == pytest.approx(1.0)

    @pytest.mark.parametrize("unknown", [0.0, -1.0, math.nan, math.inf])
    def test_equal_if_one_is_unknown(self, unknown):
        """Guards against an entry of an older release that gets nothing."""
        entries = make_entries(8, (1, 2))
        entries[3] = attrs.evolve(entries[3], capacity=unknown)
        assert set(connection_shares(entries).values()) == {1 / 8}

    @pytest.mark.parametrize("capacity", [5e-324, 1e308])
    def test_extreme_capacity(self, capacity):
        """Guards against a look-up that fails for a division by zero."""
        entries = make_entries(9)
        entries[:3] = [
            attrs.evolve(entry, capacity=capacity) for entry in entries[:3]
        ]
        directory = EntryDirectory()
        for i in range(RECENT_ANSWERS + 2):
            assert directory.select(entries, DATA_CENTRES[i % 3], LIMIT)
        shares = connection_shares(entries).values()
        assert min(shares) > 0.0
        assert sum(shares) == pytest.approx(1.0)

    def test_one_entry_has_a_quarter_at_most(self):
        """Guards against lists with a single entry.

        An entry with a wrong capacity would otherwise be the only one listed.
        """
        entries = make_entries(9)
        entries[0] = attrs.evolve(entries[0], capacity=1e9)
        shares = connection_shares(entries)
        assert shares["e0"] == 1 / MIN_LISTED
        assert sum(shares.values()) == pytest.approx(1.0)
        directory = EntryDirectory()
        listed = Counter()
        for _ in range(400):
            chosen = directory.select(entries, "", LIMIT)
            assert len(chosen) == MIN_LISTED
            listed.update(entry.name for entry in chosen)
        others = [number for name, number in listed.items() if name != "e0"]
        assert len(others) == 8
        assert max(others) - min(others) <= 4


class TestSameAsBefore:
    """One data centre and equal capacities: nothing changes."""

    @pytest.mark.parametrize("data_centre", ["dc1", "", "unheard-of"])
    @pytest.mark.parametrize("capacity", [0.0, 0.3])
    def test_all_entries_in_rotation(self, data_centre, capacity):
        """Guards against shorter lists where there is nothing to balance."""
        entries = make_entries(LIMIT, (capacity,), centres=1)
        directory = EntryDirectory()
        first = set()
        for _ in range(LIMIT):
            chosen = directory.select(entries, data_centre, LIMIT)
            assert {e.name for e in chosen} == {e.name for e in entries}
            first.add(chosen[0].name)
        assert len(first) == LIMIT

    def test_no_entries(self):
        assert EntryDirectory().select([], "dc1", LIMIT) == []


class TestBalance:
    """The load on each entry is in proportion to its capacity."""

    @SEEDS
    @pytest.mark.parametrize("numbers", [EVEN, UNEVEN])
    def test_three_sizes_in_three_data_centres(self, seed, numbers):
        """Guards against overload of small entries and small data centres.

        With a fixed share of own entries, an entry in the data centre with
        most callers had 2.26 times its share.
        """
        entries = make_entries(32, (1, 2, 4))
        callers = make_callers(seed, numbers)
        callers.run(WARM_UP_S, entries)
        assert max(loads_by_second(callers, entries, 30)) <= MAX_LOAD

    @SEEDS
    def test_sizes_that_differ_by_data_centre(self, seed):
        """Guards against overload where most callers have small entries."""
        size = dict(zip(DATA_CENTRES, (1, 2, 4), strict=True))
        entries = [
            attrs.evolve(entry, capacity=size[entry.data_centre])
            for entry in make_entries(32)
        ]
        callers = make_callers(seed, UNEVEN)
        callers.run(WARM_UP_S, entries)
        assert max(loads_by_second(callers, entries, 30)) <= MAX_LOAD

    @SEEDS
    @pytest.mark.parametrize("number", [1, 2, 4])
    @pytest.mark.parametrize("data_centre", ["small", "large"])
    def test_small_data_centre(self, seed, number, data_centre):
        """Guards against overload of a data centre of few entries.

        Most callers are in that data centre, or in the other one, whose lists
        always contain some entries of the small one.
        """
        entries = [
            attrs.evolve(entry, data_centre="small" if i < number else "large")
            for i, entry in enumerate(make_entries(32))
        ]
        numbers = {"small": 50, "large": 50, data_centre: 250}
        callers = make_callers(seed, numbers)
        callers.run(WARM_UP_S, entries)
        assert max(loads_by_second(callers, entries, 30)) <= MAX_LOAD

    @SEEDS
    @pytest.mark.parametrize("number", [83, 200])
    @pytest.mark.parametrize("numbers", [EVEN, UNEVEN])
    def test_more_entries_than_listed(self, seed, number, numbers):
        """Guards against entries that get no callers, or too many.

        The rotation before listed the same entries at all control instances at
        the same time: of 200 entries, one had 2.9 times its share.
        """
        entries = make_entries(number)
        callers = make_callers(seed, numbers)
        callers.run(WARM_UP_S, entries)
        for _ in range(30):
            callers.run(1.0, entries)
            loads = callers.loads(entries).values()
            assert max(loads) <= MAX_LOAD
            assert min(loads) >= 0.7

    @SEEDS
    def test_few_callers(self, seed):
        """Guards against a balance that needs many look-ups to settle."""
        entries = make_entries(83)
        numbers = dict(zip(DATA_CENTRES, (29, 29, 28), strict=True))
        callers = make_callers(seed, numbers)
        callers.run(WARM_UP_S, entries)
        assert max(loads_by_second(callers, entries, 30)) <= MAX_LOAD

    @SEEDS
    def test_directories_are_independent(self, seed):
        """Guards against shares that depend on who answers.

        One directory that answers everything and nine that share the look-ups
        must give each entry the same mean load.
        """
        entries = make_entries(32, (1, 2, 4))
        for instances in (1, INSTANCES):
            callers = make_callers(seed, UNEVEN, instances)
            callers.run(WARM_UP_S, entries)
            sums = Counter()
            for _ in range(30):
                callers.run(1.0, entries)
                sums.update(callers.loads(entries))
            means = [total / 30 for total in sums.values()]
            assert max(means) <= 1.1
            assert min(means) >= 0.9


class TestLocality:
    """Callers get entries near them and some that are not."""

    @SEEDS
    def test_most_connections_stay_in_the_data_centre(self, seed):
        """Guards against lists that ignore the caller's data centre."""
        entries = make_entries(83)
        callers = make_callers(seed, EVEN)
        callers.run(WARM_UP_S, entries)
        assert callers.own_share() > 0.55

    def test_own_entries_come_first(self):
        """Guards against callers that try the list in order."""
        entries = make_entries(83)
        chosen = EntryDirectory().select(entries, "dc2", LIMIT)
        is_own = [entry.data_centre == "dc2" for entry in chosen]
        assert is_own == sorted(is_own, reverse=True)
        assert is_own[0]

    @SEEDS
    @pytest.mark.parametrize("number", [8, 32, 83, 200])
    @pytest.mark.parametrize("numbers", [EVEN, UNEVEN])
    def test_callers_go_on_when_their_data_centre_is_lost(
        self, seed, number, numbers
    ):
        """Guards against callers without any live entry for 15 s.

        Lists with own entries only left all callers of the lost one stranded.
        """
        entries = make_entries(number, (1, 2, 4))
        callers = make_callers(seed, numbers)
        callers.run(WARM_UP_S, entries)
        for data_centre in DATA_CENTRES:
            shares = callers.live_shares(
                data_centre, without(entries, data_centre)
            )
            assert min(shares) > 0.0
            assert statistics.fmean(shares) >= 0.35

    def test_others_in_each_list_where_nearly_all_are_own(self):
        """Guards against lists with own entries only.

        The two others can take 2/32 of all connections, nearly two of the 30
        that each answer lists.
        """
        entries = [
            attrs.evolve(entry, data_centre="dc2" if i > 29 else "dc1")
            for i, entry in enumerate(make_entries(32))
        ]
        directory = EntryDirectory()
        others = []
        for _ in range(200):
            chosen = directory.select(entries, "dc1", LIMIT)
            others.append(sum(e.data_centre == "dc2" for e in chosen))
        assert min(others) >= 1
        assert statistics.fmean(others) >= 0.9 * MIN_REMOTE

    def test_no_entry_twice(self):
        """Guards against lists that count an entry twice."""
        entries = make_entries(83, (1, 2, 4))
        directory = EntryDirectory()
        for i in range(300):
            chosen = directory.select(entries, DATA_CENTRES[i % 3], LIMIT)
            assert len({entry.name for entry in chosen}) == len(chosen)
            assert MIN_LISTED <= len(chosen) <= LIMIT


def _steps():
    entries = make_entries(99)
    sizes = make_entries(32, (1, 2, 4))
    return {
        "16 join 83": (entries[:83], entries),
        "16 of 99 leave": (entries, entries[:83]),
        "a data centre is lost": (entries, without(entries, "dc1")),
        "a data centre returns": (without(entries, "dc1"), entries),
        "large ones of 32 leave": (sizes, [e for e in sizes if e.capacity < 4]),
        "large ones of 32 return": (
            [e for e in sizes if e.capacity < 4],
            sizes,
        ),
        "100 join 100": (make_entries(100), make_entries(200)),
    }


class TestSteps:
    """Entries are added or lost."""

    @SEEDS
    @pytest.mark.parametrize("numbers", [EVEN, UNEVEN])
    @pytest.mark.parametrize("step", _steps())
    def test_balanced_after_two_lifetimes(self, seed, numbers, step):
        """Guards against overload by lists of before, and against swings.

        Entries that joined must not be preferred to make up for the time
        before, which would overload them later.
        """
        before, after = _steps()[step]
        callers = make_callers(seed, numbers)
        callers.run(WARM_UP_S, before)
        callers.run(2 * LIFETIME_S, after)
        largest = loads_by_second(callers, after, 30)
        assert max(callers.loads(after).values()) <= MAX_LOAD
        assert max(largest) <= MAX_LOAD
        # A swing would show as loads that keep going up and down.
        assert max(largest[20:]) <= max(largest[:10]) + 0.1

    @SEEDS
    def test_joining_entries_are_never_overloaded(self, seed):
        """Guards against a burst of callers on entries that start cold.

        Their load rises as callers renew their lists; no other ramp is needed.
        """
        entries = make_entries(99)
        callers = make_callers(seed, EVEN)
        callers.run(WARM_UP_S, entries[:83])
        means = []
        for _ in range(20):
            callers.run(1.0, entries)
            loads = callers.loads(entries)
            joined = [loads[entry.name] for entry in entries[83:]]
            assert max(joined) <= MAX_LOAD
            means.append(statistics.fmean(joined))
        assert means[0] < 0.4
        assert means[9] > 0.85

    @SEEDS
    def test_callers_move_to_another_data_centre(self, seed):
        """Guards against a debt of before that outlives its cause."""
        entries = make_entries(32, (1, 2, 4))
        callers = make_callers(seed, UNEVEN)
        callers.run(WARM_UP_S, entries)
        for caller in callers.callers:
            if caller.data_centre == "dc1":
                caller.data_centre = "dc3"
        callers.run(3 * LIFETIME_S, entries)
        assert max(loads_by_second(callers, entries, 20)) <= MAX_LOAD


class TestHub:
    """What a control instance lists."""

    def test_without_a_link_or_leaving(self):
        """Guards against callers that are sent to an entry that is gone."""
        bench = HubBench()
        for i in range(6):
            bench.subscribe(f"e{i}")
        leaving = attrs.evolve(ENTRY, name="e1", ready=False)
        bench.step(Received("e1", leaving), m.LinkDown("e2"))
        for _ in range(12):
            chosen = bench.hub.entries_for_caller("dc1", LIMIT)
            names = {entry.name for entry in chosen}
            assert names == {"e0", "e3", "e4", "e5"}

    def test_capacity_that_changes_while_linked(self):
        """Guards against settings that are reloaded without effect."""
        bench = HubBench()
        for i in range(12):
            bench.subscribe(f"e{i}")
        for i in range(12):
            capacity = 2.0 if i < 6 else 1.0
            changed = attrs.evolve(ENTRY, name=f"e{i}", capacity=capacity)
            bench.step(Received(f"e{i}", changed))
        listed = Counter()
        for _ in range(300):
            chosen = bench.hub.entries_for_caller("dc1", LIMIT)
            listed.update(entry.name for entry in chosen)
        assert listed["e0"] / listed["e11"] == pytest.approx(2.0, rel=0.05)

    def test_gauges(self):
        """Guards against an imbalance that operators cannot see."""
        bench = HubBench()
        for i in range(83):
            bench.subscribe(f"e{i}")
        for _ in range(RECENT_ANSWERS + 1):
            bench.hub.entries_for_caller("dc1", LIMIT)
        gauges = bench.hub.gauges()
        assert gauges["directory_answers_total"] == RECENT_ANSWERS + 1
        assert gauges["directory_listed"] == LIMIT
        assert gauges["directory_max_load"] == pytest.approx(1.0, abs=0.05)
        assert gauges["directory_min_load"] == pytest.approx(1.0, abs=0.05)
        assert gauges["directory_own_share"] == pytest.approx(1.0)
