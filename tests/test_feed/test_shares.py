"""Limits shared by all entries over joins, kills, partitions and returns."""

from __future__ import annotations

import random

import pytest

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.timing import Timing
from greengagemoor.feed.view import FeedView
from greengagemoor.forward import searchers
from greengagemoor.forward.policy import Policy
from greengagemoor.forward.tables import Tables
from greengagemoor.routing.routes import ServiceRules
from greengagemoor.serving.entry_setup import RETRY_BUDGET_SHARE

HUBS = ("c1", "c2", "c3")
SLACK = 422.0
CAP = 123
TICK_S = 0.1


class Fleet:
    """Hubs and views with instant links; disks store the number of entries."""

    def __init__(self, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.hubs = {name: FeedHub(Timing(1.0), name) for name in HUBS}
        self.stored_entries = dict.fromkeys(HUBS, 0)
        self.views: dict[str, FeedView] = {}
        self.partitioned: set[tuple[str, str]] = set()

    def join(self, names):
        """Starts or restarts entries without any state."""
        for name in names:
            self.kill([name])
            self.views[name] = FeedView(name, f"{name}:80", "dc1", capacity=1.0)
        self.deliver_all(self.link(names))

    def link(self, names):
        """Links entries to all reachable hubs; returns their messages."""
        messages = []
        for name in names:
            ups = [
                m.LinkUp(h) for h in HUBS if (name, h) not in self.partitioned
            ]
            out = self.views[name].step(self.now, ups)
            messages += [(name, msg) for msg in out]
        return messages

    def kill(self, names):
        for name in names:
            if self.views.pop(name, None) is not None:
                self.close_links(name, HUBS)

    def close_links(self, name, hubs):
        for hub in hubs:
            self.hubs[hub].step(self.now, [m.LinkDown(name)])

    def partition(self, names, hubs=HUBS):
        for name in names:
            self.partitioned |= {(name, hub) for hub in hubs}
            self.close_links(name, hubs)
            self.views[name].step(self.now, [m.LinkDown(h) for h in hubs])

    def heal(self):
        names = sorted({name for name, _ in self.partitioned} & set(self.views))
        self.partitioned.clear()
        self.deliver_all(self.link(names))

    def lose_power(self):
        """Stops everything; hubs restart with the stored number of entries."""
        self.stored_entries = {
            n: h.recent_entry_count for n, h in self.hubs.items()
        }
        self.views.clear()
        for name in HUBS:
            self.hubs[name] = FeedHub(Timing(1.0), name)
            self.hubs[name].restore_entry_count(
                self.now, self.stored_entries[name]
            )

    def deliver_all(self, messages):
        """Delivers messages until there are none left."""
        while messages:
            answers = []
            for name, hub in self.hubs.items():
                inbox = [
                    Received(sender, msg.payload)
                    for sender, msg in messages
                    if isinstance(msg, Send) and msg.to == name
                ]
                out = hub.step(self.now, inbox)
                answers += [(name, msg) for msg in out]
            messages = self.deliver(answers)

    def deliver(self, answers):
        by_entry = {}
        for sender, msg in answers:
            if (
                isinstance(msg, Send)
                and (msg.to, sender) not in self.partitioned
            ):
                received = Received(sender, msg.payload)
                by_entry.setdefault(msg.to, []).append(received)
        messages = []
        for name in by_entry.keys() & self.views.keys():
            out = self.views[name].step(self.now, by_entry[name])
            messages += [(name, msg) for msg in out]
        return messages

    def tables(self):
        """Returns the tables of all serving entries."""
        policy = Policy(retry_slack=RETRY_BUDGET_SHARE * SLACK)
        all_tables = []
        for view in self.views.values():
            if view.peers or view.entries > 1:
                table = Tables("dc1", policy, random.Random(1))
                table.entries = view.entries
                table.services = {"s": ServiceRules("s", CAP)}
                all_tables.append(table)
        return all_tables


def total_second_sends(fleet):
    """Returns the second sends allowed to all entries together."""
    return sum(t.policy.retry_slack / t.sharing_entries for t in fleet.tables())


def total_connections(fleet):
    """Returns the connections allowed from all entries to one searcher."""
    return sum(searchers.share_of_cap(t, "s") for t in fleet.tables())


def names(first, after):
    return [f"e{i}" for i in range(first, after)]


class TestAfterPowerLoss:
    """The first entries to return use only their part of the limits.

    Guards against excess after a power loss of 200 machines: each control
    instance counted entries from zero again. The first entries to return were
    counted as the only ones, and each used the second sends and connections of
    twenty, as at least ten sharers are assumed, until all were back.
    """

    @pytest.mark.parametrize("number", [200, 1000])
    def test_first_entries_use_their_part_only(self, number):
        fleet = Fleet()
        fleet.join(names(0, number))
        fleet.lose_power()
        fleet.join(names(0, 5))
        part = RETRY_BUDGET_SHARE * SLACK / number
        assert total_second_sends(fleet) <= 5 * part * 1.001

    def test_count_expires_for_entries_that_never_return(self):
        fleet = Fleet()
        fleet.join(names(0, 200))
        fleet.lose_power()
        fleet.join(names(0, 50))
        for _ in range(9):
            fleet.now += 100.0
            for hub in fleet.hubs.values():
                hub.step(fleet.now, ())
        fleet.join(names(0, 1))
        assert fleet.views["e0"].entries == 50


class TestAnyOrder:
    """Joins, kills, partitions, returns and power losses in any order."""

    @pytest.mark.parametrize("seed", range(1, 7))
    @pytest.mark.parametrize("number", [200, 1000])
    def test_sum_stays_within_the_allowance(self, number, seed):
        """Up to a sixth more may join while others are partitioned."""
        fleet = Fleet(seed)
        rng = fleet.rng
        fleet.join(names(0, number))
        newcomers = number
        for _ in range(12):
            fleet.now += TICK_S
            selected = rng.sample(sorted(fleet.views), len(fleet.views) // 4)
            action = rng.randrange(6)
            if action == 0 and newcomers < number * 7 // 6:
                fleet.join(names(newcomers, newcomers + number // 24))
                newcomers += number // 24
            elif action == 1:
                fleet.kill(selected)
            elif action == 2:
                fleet.partition(selected, rng.sample(HUBS, rng.randint(1, 3)))
            elif action == 3:
                fleet.heal()
            elif action == 4:
                gone = sorted(set(names(0, newcomers)) - set(fleet.views))
                fleet.join(gone[: number // 4])
            else:
                fleet.lose_power()
                fleet.join(rng.sample(names(0, newcomers), number // 2))
            assert total_second_sends(fleet) <= SLACK


class TestConnections:
    """A searcher with a cap of 123 connections, and more entries than that.

    Each entry may open at least one connection, so 200 entries may open 200 and
    1,000 may open 1,000. The searcher resets connections beyond its cap, which
    happens when many are busy or restart: 191 entries opened 48,303 connections
    for 168,398 requests.
    """

    def test_up_to_a_hundred_entries(self):
        fleet = Fleet()
        fleet.join(names(0, 100))
        assert total_connections(fleet) <= CAP

    @pytest.mark.parametrize("number", [200, 1000])
    def test_no_searcher_gets_more_than_its_cap(self, number):
        fleet = Fleet()
        fleet.join(names(0, number))
        assert total_connections(fleet) <= CAP
