"""What all entries share, dealt over joins, kills, cuts and returns."""

from __future__ import annotations

import random

import pytest

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.hub import Hub
from greengagemoor.feed.timing import Timing
from greengagemoor.feed.view import View
from greengagemoor.forward import searchers
from greengagemoor.forward.policy import Policy
from greengagemoor.forward.tables import Tables
from greengagemoor.routing.routes import ServiceRules
from greengagemoor.serving.entry import ALLOWANCE_SHARE

HUBS = ("c1", "c2", "c3")
SLACK = 422.0
CAP = 123
TICK_S = 0.1


class Fleet:
    """Hubs and views with instant links, and disks that keep the count."""

    def __init__(self, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.hubs = {name: Hub(Timing(1.0), name) for name in HUBS}
        self.kept = dict.fromkeys(HUBS, 0)
        self.views: dict[str, View] = {}
        self.cut: set[tuple[str, str]] = set()

    def join(self, names):
        """Starts entries, or starts them again with nothing known."""
        for name in names:
            self.kill([name])
            self.views[name] = View(name, f"{name}:80", "dc1")
        self.carry(self.link(names))

    def link(self, names):
        """Links entries to all hubs that they reach; returns what they say."""
        said = []
        for name in names:
            ups = [m.LinkUp(h) for h in HUBS if (name, h) not in self.cut]
            out = self.views[name].step(self.now, ups)
            said += [(name, msg) for msg in out]
        return said

    def kill(self, names):
        for name in names:
            if self.views.pop(name, None) is not None:
                self.tell_down(name, HUBS)

    def tell_down(self, name, hubs):
        for hub in hubs:
            self.hubs[hub].step(self.now, [m.LinkDown(name)])

    def cut_off(self, names, hubs=HUBS):
        for name in names:
            self.cut |= {(name, hub) for hub in hubs}
            self.tell_down(name, hubs)
            self.views[name].step(self.now, [m.LinkDown(h) for h in hubs])

    def heal(self):
        names = sorted({name for name, _ in self.cut} & set(self.views))
        self.cut.clear()
        self.carry(self.link(names))

    def lose_power(self):
        """Everything goes dark; disks keep what was written a second ago."""
        self.kept = {n: h.entries_seen for n, h in self.hubs.items()}
        self.views.clear()
        for name in HUBS:
            self.hubs[name] = Hub(Timing(1.0), name)
            self.hubs[name].begin_with_entries(self.now, self.kept[name])

    def carry(self, said):
        """Carries messages until nobody has anything to say."""
        while said:
            answers = []
            for name, hub in self.hubs.items():
                inbox = [
                    Received(sender, msg.payload)
                    for sender, msg in said
                    if isinstance(msg, Send) and msg.to == name
                ]
                out = hub.step(self.now, inbox)
                answers += [(name, msg) for msg in out]
            said = self.deliver(answers)

    def deliver(self, answers):
        by_entry = {}
        for sender, msg in answers:
            if isinstance(msg, Send) and (msg.to, sender) not in self.cut:
                received = Received(sender, msg.payload)
                by_entry.setdefault(msg.to, []).append(received)
        said = []
        for name in by_entry.keys() & self.views.keys():
            out = self.views[name].step(self.now, by_entry[name])
            said += [(name, msg) for msg in out]
        return said

    def tables(self):
        """Returns the tables of all entries that serve."""
        policy = Policy(retry_slack=ALLOWANCE_SHARE * SLACK)
        made = []
        for view in self.views.values():
            if view.peers or view.entries > 1:
                one = Tables("dc1", policy, random.Random(1))
                one.entries = view.entries
                one.services = {"s": ServiceRules("s", CAP)}
                made.append(one)
        return made


def slack_of_all(fleet):
    """Returns the second sends that all entries together may use."""
    return sum(t.policy.retry_slack / t.sharers for t in fleet.tables())


def connections_of_all(fleet):
    """Returns the connections that one searcher may get from all entries."""
    return sum(searchers.share_of_cap(t, "s") for t in fleet.tables())


def names(first, after):
    return [f"e{i}" for i in range(first, after)]


class TestAfterALossOfPower:
    """The first entries to come back are few, and don't take all.

    After a loss of power of 200 machines each control instance counted entries
    from none again. The first entry to come back was told that it is alone,
    and took the second sends and connections of twenty, as the least number of
    sharers is ten; so did those after it, until all were back.
    """

    @pytest.mark.parametrize("number", [200, 1000])
    def test_first_entries_take_their_part(self, number):
        fleet = Fleet()
        fleet.join(names(0, number))
        fleet.lose_power()
        fleet.join(names(0, 5))
        part = ALLOWANCE_SHARE * SLACK / number
        assert slack_of_all(fleet) <= 5 * part * 1.001

    def test_count_fades_when_machines_are_gone_for_good(self):
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
    """Joins, kills, cuts, returns and losses of power in any order."""

    @pytest.mark.parametrize("seed", range(1, 7))
    @pytest.mark.parametrize("number", [200, 1000])
    def test_all_together_keep_to_the_allowance(self, number, seed):
        """Up to a sixth more may join while others are cut off."""
        fleet = Fleet(seed)
        rng = fleet.rng
        fleet.join(names(0, number))
        newcomers = number
        for _ in range(12):
            fleet.now += TICK_S
            some = rng.sample(sorted(fleet.views), len(fleet.views) // 4)
            act = rng.randrange(6)
            if act == 0 and newcomers < number * 7 // 6:
                fleet.join(names(newcomers, newcomers + number // 24))
                newcomers += number // 24
            elif act == 1:
                fleet.kill(some)
            elif act == 2:
                fleet.cut_off(some, rng.sample(HUBS, rng.randint(1, 3)))
            elif act == 3:
                fleet.heal()
            elif act == 4:
                gone = sorted(set(names(0, newcomers)) - set(fleet.views))
                fleet.join(gone[: number // 4])
            else:
                fleet.lose_power()
                fleet.join(rng.sample(names(0, newcomers), number // 2))
            assert slack_of_all(fleet) <= SLACK


class TestConnections:
    """A searcher with 123 connections, and more entries than that.

    Each entry's share is at least one, so 200 entries may open 200 and 1,000
    may open 1,000; the searcher resets what comes beyond its cap, just when
    many are busy or start again. On a day of 191 entries 48,303 connections
    were opened for 168,398 requests.
    """

    def test_up_to_a_hundred_entries(self):
        fleet = Fleet()
        fleet.join(names(0, 100))
        assert connections_of_all(fleet) <= CAP

    @pytest.mark.xfail(reason="KNOWN-RED.txt, issue 25", strict=True)
    @pytest.mark.parametrize("number", [200, 1000])
    def test_no_searcher_gets_more_than_its_cap(self, number):
        fleet = Fleet()
        fleet.join(names(0, number))
        assert connections_of_all(fleet) <= CAP
