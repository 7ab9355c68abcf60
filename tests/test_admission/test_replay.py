"""Replays of overloads, each with and without admission on the same seed."""

from __future__ import annotations

import pytest

from tests.test_admission.fleet import (
    LIST,
    Admission,
    Fleet,
    NoAdmission,
)

NORMAL = 0.6
"""Normal load relative to the capacity."""
START, END = 3.0, 5.0
"""Period of an overload in seconds: that of the two worst seconds of a day."""
SEEDS = (1, 2)


def burst(admission, seed, **options):
    """Returns a fleet with a counted overload, and normal load around it."""
    options = {"entries": 32, "count_from": START, "count_to": END, **options}
    fleet = Fleet(seed, admission, **options)
    fleet.load(0.0, START, NORMAL)
    fleet.load(END, END + 1.0, NORMAL)
    return fleet


def compare(scenario, seed):
    """Returns the figures of a scenario with and without admission."""
    return scenario(Admission, seed).run(), scenario(NoAdmission, seed).run()


def route_burst(admission, seed, **options):
    fleet = burst(admission, seed, **options)
    fleet.load(START, END, NORMAL, factors={LIST.name: 2.4})
    return fleet


def burst_with_shedding(admission, seed):
    fleet = burst(admission, seed)
    third = range(len(fleet.entries) // 3)
    fleet.load(START, END, NORMAL, factors={LIST.name: 2.2})
    # The load of the data centre is a third; 0.8 of it comes on top.
    fleet.load(START, END, NORMAL * 0.8 / 3, entries=third)

    def set_sheds(_, share):
        for one in fleet.all_searchers()[::2]:
            one.shed_share = share

    fleet.at(START, set_sheds, 0.5)
    fleet.at(END, set_sheds, 0.0)
    return fleet


def lost_shard(admission, seed):
    fleet = burst(admission, seed)
    fleet.load(START, END, 2 * NORMAL)

    def lose(_):
        for one in fleet.searchers[7]:
            one.gone = True

    fleet.at(START, lose)
    return fleet


def hasty_callers(admission, seed):
    fleet = burst(admission, seed, retries=3, obedient=False)
    fleet.load(START, END, 2.2 * NORMAL)
    return fleet


class TestOverload:
    """Refusing some requests must serve more value than being late with all."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        "scenario",
        [route_burst, burst_with_shedding, lost_shard, hasty_callers],
    )
    def test_value_is_higher_than_without(self, scenario, seed):
        admitted, without = compare(scenario, seed)
        assert admitted.mean_value > without.mean_value
        assert admitted.share("in time") + admitted.share("retried") > (
            without.share("in time")
        )


class TestNormalLoad:
    """Over-shedding: requests must not be refused while capacity suffices."""

    @pytest.mark.parametrize("entries", [9, 32, 83])
    def test_nothing_is_refused_at_0_8_of_capacity(self, entries):
        fleet = Fleet(1, Admission, entries=entries)
        fleet.load(0.0, 1.0, NORMAL)
        fleet.load(1.0, 5.0, 0.8)
        assert fleet.run().admitted_shares(0.0, 5.0) == [1.0] * 20

    def test_slow_searchers_beside_idle_ones_refuse_nothing(self):
        # One searcher of each third shard is 8 times slower by a fault.
        fleet = Fleet(1, Admission)
        for row in fleet.searchers[::3]:
            row[0].slow = 8.0
        fleet.load(0.0, 4.0, 0.4)
        assert fleet.run().admitted_shares(0.0, 4.0) == [1.0] * 16

    @pytest.mark.xfail(reason="KNOWN-RED.txt, issue 39", strict=True)
    def test_all_are_admitted_soon_after_an_overload(self):
        fleet = route_burst(Admission, 1)
        fleet.load(END + 0.5, END + 1.0, NORMAL)
        shares = fleet.run().admitted_shares(END + 0.5, END + 1.0)
        assert min(shares) > 0.95


class TestSteadyOverload:
    """Entries that observe the same must not open and close together."""

    @pytest.mark.parametrize("entries", [9, 32, 83, 300])
    def test_admitted_share_stays_within_bounds(self, entries):
        fleet = Fleet(1, Admission, entries=entries)
        fleet.load(0.0, 1.0, NORMAL)
        fleet.load(1.0, 7.0, 1.5)
        shares = fleet.run().admitted_shares(4.0, 7.0)
        mean = sum(shares) / len(shares)
        # With 130 arrivals a quarter of a second, the random draws alone make
        # a standard deviation of about a tenth of the mean.
        assert all(0.5 * mean < share < 1.5 * mean for share in shares)

    def test_some_requests_are_admitted_under_the_worst_overload(self):
        fleet = Fleet(1, Admission)
        fleet.load(0.0, 1.0, NORMAL)
        fleet.load(1.0, 3.0, 6.0)
        assert min(fleet.run().admitted_shares(1.0, 3.0)) > 0.0


class TestAccounts:
    """One account at 8 times its rate must take nothing from 85 others."""

    def test_others_are_served_at_least_a_quarter_as_often_as_all(self):
        usual = {f"a{i}": 1.0 for i in range(85)} | {"large": 12.0}
        figures = self.run(usual, usual | {"large": 96.0})
        others = [name for name in usual if name != "large"]
        offered = sum(figures.accounts_offered[name] for name in others)
        run = sum(figures.accounts_run[name] for name in others)
        of_all = sum(figures.accounts_run.values()) / figures.requests
        assert figures.share("refused") > 0.05
        assert run / offered > of_all
        large = figures.accounts_run["large"]
        assert run / offered > large / figures.accounts_offered["large"]

    def run(self, usual, excessive):
        fleet = Fleet(
            1, Admission, accounts=tuple(usual.items()), count_from=6.0
        )
        fleet.load(0.0, 6.0, NORMAL)
        fleet.load(6.0, 9.0, NORMAL, accounts=excessive)
        return fleet.run()


class TestShortServices:
    """A gather is only as fast as the services that it can't do without."""

    def two_searchers_lost(self, admission, shards, seed=1):
        fleet = burst(admission, seed)
        for row in fleet.searchers[:shards]:
            for one in row[1:]:
                one.gone = True
        fleet.load(START, END, NORMAL)
        return fleet

    def test_one_short_service_closes_nothing(self):
        # The coverage of 0.95 of 36 shards allows one to be missing.
        figures = self.two_searchers_lost(Admission, 1).run()
        assert figures.share("refused") < 0.02

    def test_more_short_services_than_may_be_missing(self):
        admitted, without = (
            self.two_searchers_lost(cls, 4).run()
            for cls in (Admission, NoAdmission)
        )
        assert admitted.mean_value > without.mean_value
