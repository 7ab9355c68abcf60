"""Places of entries over joins, kills, partitions and restarts."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.timing import Timing
from greengagemoor.feed.view import PLACE_RETENTION_S
from greengagemoor.forward import searchers
from greengagemoor.forward.policy import Policy
from greengagemoor.forward.tables import Tables
from greengagemoor.routing.routes import ServiceRules
from tests.test_feed.helpers import HubBench, ViewBench
from tests.test_feed.test_shares import HUBS, Fleet, names

SEARCHERS = ("a", "b", "c")


class PlacedFleet(Fleet):
    """A fleet whose control instances know the connection cap."""

    def __init__(self, cap, seed=1):
        super().__init__(seed)
        self.cap = cap
        for hub in self.hubs.values():
            hub.set_least_cap(cap)

    def restart_hub(self, name):
        """Restarts a control instance; its entries link to it again."""
        count = self.hubs[name].recent_entry_count
        self.hubs[name] = FeedHub(Timing(1.0), name)
        self.hubs[name].set_least_cap(self.cap)
        self.hubs[name].restore_entry_count(self.now, count)
        messages = []
        for entry, view in self.views.items():
            if (entry, name) not in self.partitioned:
                view.step(self.now, [m.LinkDown(name)])
                out = view.step(self.now, [m.LinkUp(name)])
                messages += [(entry, msg) for msg in out]
        self.deliver_all(messages)

    def settle(self, seconds=1.1):
        """Lets control instances send the places that have changed."""
        self.now += seconds
        out = [
            (name, msg)
            for name, hub in self.hubs.items()
            for msg in hub.step(self.now, ())
        ]
        self.deliver_all(self.deliver(out))
        for view in self.views.values():
            view.step(self.now, ())

    def assigned(self, entry):
        """Returns the searchers that an entry may use."""
        view = self.views[entry]
        tables = Tables("dc1", Policy(), random.Random(1))
        tables.entries, tables.place = view.entries, view.place
        tables.services = {"s": ServiceRules("s", self.cap)}
        tables.positions = {"s": dict.fromkeys(SEARCHERS, float("inf"))}
        shares = {
            one: searchers.share_of_cap(tables, "s", one) for one in SEARCHERS
        }
        return {one for one, share in shares.items() if share}

    def users(self):
        """Returns the numbers of entries that may use each searcher."""
        return Counter(
            one for entry in self.views for one in self.assigned(entry)
        )

    def outdated(self):
        """Returns the number of entries without the newest place."""
        known = sorted(
            max(
                (
                    hub._subscribers.recent_entry_names()
                    for hub in self.hubs.values()
                ),
                key=len,
            )
        )
        newest = {
            name: m.EntryPlace(rank, len(known))
            for rank, name in enumerate(known)
        }
        return sum(
            view.place != newest.get(name) for name, view in self.views.items()
        )

    def check(self):
        """Checks the bound, and searchers once all have the newest place."""
        users, outdated = self.users(), self.outdated()
        assert max(users.values(), default=0) <= self.cap + outdated
        if not outdated and self.entry_count <= len(SEARCHERS) * self.cap:
            assert all(self.assigned(entry) for entry in self.views)

    @property
    def entry_count(self):
        return max(hub.recent_entry_count for hub in self.hubs.values())


@pytest.mark.parametrize(
    ("number", "cap"),
    [(75, 74), (99, 74), (200, 123), (369, 123), (1000, 123), (2000, 123)],
)
class TestBound:
    """A searcher with a cap of 74 or 123 connections, and more entries.

    Guards against connections beyond the cap, which the searcher resets.
    """

    def test_after_all_have_joined(self, number, cap):
        fleet = PlacedFleet(cap)
        fleet.join(names(0, number))
        fleet.settle()
        assert fleet.outdated() == 0
        assert max(fleet.users().values()) <= cap
        fleet.check()

    def test_after_a_restart_of_each_control_instance(self, number, cap):
        fleet = PlacedFleet(cap)
        fleet.join(names(0, number))
        fleet.settle()
        before = {name: fleet.assigned(name) for name in fleet.views}
        for hub in HUBS:
            fleet.restart_hub(hub)
            fleet.settle()
        assert before == {name: fleet.assigned(name) for name in fleet.views}

    def test_restarted_entries_keep_their_searchers(self, number, cap):
        fleet = PlacedFleet(cap)
        fleet.join(names(0, number))
        fleet.settle()
        before = {name: fleet.assigned(name) for name in fleet.views}
        some = fleet.rng.sample(sorted(fleet.views), number // 3)
        fleet.kill(some)
        fleet.settle()
        fleet.join(some)
        fleet.settle()
        assert before == {name: fleet.assigned(name) for name in fleet.views}


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize(("number", "cap"), [(99, 74), (200, 123), (600, 123)])
class TestAnyOrder:
    """Joins, kills, partitions, returns and restarts in any order."""

    def test_bound_throughout_and_cap_in_the_end(self, number, cap, seed):
        fleet = PlacedFleet(cap, seed)
        rng = fleet.rng
        fleet.join(names(0, number))
        newcomers = number
        for _ in range(15):
            selected = rng.sample(sorted(fleet.views), len(fleet.views) // 5)
            action = rng.randrange(6)
            if action == 0:
                fleet.join(names(newcomers, newcomers + number // 30))
                newcomers += number // 30
            elif action == 1:
                fleet.kill(selected)
            elif action == 2:
                fleet.partition(selected, rng.sample(HUBS, rng.randint(1, 3)))
            elif action == 3:
                fleet.heal()
            elif action == 4:
                gone = sorted(set(names(0, newcomers)) - set(fleet.views))
                fleet.join(gone)
            else:
                for hub in rng.sample(HUBS, rng.randint(1, 3)):
                    fleet.restart_hub(hub)
            fleet.check()
            fleet.settle()
            fleet.check()
        fleet.heal()
        fleet.settle(PLACE_RETENTION_S + 1.0)
        fleet.settle()
        assert fleet.outdated() == 0
        assert max(fleet.users().values()) <= cap


def places_to(out, name="e1"):
    """Returns the places sent to an entry."""
    return [
        msg.payload
        for msg in out
        if isinstance(msg, Send)
        and msg.to == name
        and isinstance(msg.payload, m.EntryPlace)
    ]


class TestHub:
    """When a control instance sends places."""

    def test_no_places_while_entries_are_at_most_the_cap(self):
        fleet = PlacedFleet(cap=74)
        fleet.join(names(0, 74))
        fleet.settle()
        assert all(view.place is None for view in fleet.views.values())
        assert set(fleet.users().values()) == {74}

    def test_place_comes_before_the_rows(self):
        """An entry must know its searchers before it is ready for callers."""
        bench = HubBench()
        bench.hub.set_least_cap(1)
        bench.subscribe("e0")
        kinds = [type(msg.payload) for msg in bench.subscribe("e1")]
        assert kinds.index(m.EntryPlace) < kinds.index(m.SearcherRows)

    def test_entry_without_a_capacity_gets_none(self):
        """Guards against a link that an earlier release of it closes."""
        bench = HubBench()
        bench.hub.set_least_cap(1)
        bench.subscribe("e0")
        msg = m.Subscribe("e1", "10.0.0.9:80", "dc1", ready=True)
        out = bench.step(Received("e1", msg)) + bench.step(after=2.0)
        assert not places_to(out, "e1")

    def test_changes_are_sent_once_a_second(self):
        """Guards against a message to each entry for each one that joins."""
        bench = HubBench()
        bench.hub.set_least_cap(1)
        out = []
        for i in range(9, 0, -1):
            out += bench.subscribe(f"e{i}")
        assert len(places_to(out, "e9")) <= 2
        assert bench.hub.next_wake() <= 1.0
        assert places_to(bench.step(after=1.0), "e9") == [m.EntryPlace(8, 9)]
        assert not places_to(bench.step(after=1.0), "e9")

    def test_last_places_are_sent_when_the_cap_is_raised(self):
        """Guards against entries that keep a subset of the searchers."""
        bench = HubBench()
        bench.hub.set_least_cap(1)
        bench.subscribe("e1")
        bench.subscribe("e2")
        bench.subscribe("e3")
        bench.step(after=1.0)
        bench.hub.set_least_cap(10)
        bench.subscribe("e4")
        assert places_to(bench.step(after=1.0)) == [m.EntryPlace(0, 4)]


class TestView:
    """Which of several places an entry uses."""

    def test_place_among_the_most_entries_is_used(self):
        """Guards against ranks of a control instance that has restarted."""
        bench = ViewBench()
        bench.receive(m.EntryPlace(60, 100), sender="c1")
        bench.receive(m.EntryPlace(2, 5), sender="c2")
        assert bench.view.place == m.EntryPlace(60, 100)
        assert bench.view.entries == 100

    def test_all_entries_use_the_same_of_equal_places(self):
        bench = ViewBench()
        bench.receive(m.EntryPlace(60, 100), sender="c2")
        bench.receive(m.EntryPlace(61, 100), sender="c1")
        bench.receive(m.EntryPlace(60, 100), sender="c2")
        assert bench.view.place == m.EntryPlace(61, 100)

    def test_place_among_fewer_entries_is_used_after_the_retention(self):
        bench = ViewBench()
        bench.receive(m.EntryPlace(60, 100))
        bench.receive(m.EntryPlace(50, 80), after=1.0)
        assert bench.view.place == m.EntryPlace(60, 100)
        bench.step(after=PLACE_RETENTION_S)
        assert bench.view.place == m.EntryPlace(50, 80)
