"""Requests that crash each searcher that runs them.

Guards against a gather that arrives repeatedly, at any entry and under a new id
each time, and crashes a searcher of each shard within milliseconds. Retries
crash a second one: most searchers of a service are down for 3 s, and requests
of other callers fail. To omit retries is not enough, as each new arrival still
reaches searchers. The entries therefore share their observations: crashes are
counted by incarnation of the searcher, whichever entry observed them. After
three crashes the request is sent to one more searcher, once for all entries,
before it is rejected.
"""

from __future__ import annotations

from collections import Counter

import pytest

from bench.crashes.fleet import Fleet
from bench.crashes.routes import gather_route, single_route
from greengagemoor.feed.messages import ClearSuspect
from greengagemoor.feed.suspects import Standing
from greengagemoor.forward.messages import Ending
from greengagemoor.routing.routes import Grade

HARMFUL = b"ends searchers"
MAX_LATE_REPEATS = 3
"""Most repeats that may still reach searchers, over all entries."""


def send_harmful(fleet, route, seconds=40.0, every=(0.8, 2.0)):
    """Repeatedly sends the request that crashes searchers."""
    fleet.harmful.add(HARMFUL)
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.ask(HARMFUL, route)
        fleet.run(fleet.rng.uniform(*every))


class TestRepeatLimit:
    """The number of repeats that all entries together let through."""

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("every", [(0.8, 2.0), (7.0, 7.0)])
    def test_gather(self, seed, every):
        fleet = Fleet(seed=seed)
        send_harmful(fleet, gather_route(fleet.services), every=every)
        assert fleet.late_repeats(HARMFUL) <= MAX_LATE_REPEATS

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("grade", list(Grade))
    def test_one_service(self, seed, grade):
        fleet = Fleet(seed=seed)
        send_harmful(fleet, single_route("s0", grade))
        assert fleet.late_repeats(HARMFUL) <= MAX_LATE_REPEATS

    @pytest.mark.parametrize("seed", range(3))
    def test_few_searchers_end(self, seed):
        """The first arrival crashes one per shard, the trial one more."""
        fleet = Fleet(seed=seed)
        send_harmful(fleet, gather_route(fleet.services))
        assert fleet.crash_counts[HARMFUL] <= len(fleet.services) + 2
        assert fleet.count_endings(HARMFUL)[Ending.NOT_RUN_QUARANTINED] > 20

    def test_other_requests_are_served(self):
        fleet = Fleet()
        fleet.harmful.add(HARMFUL)
        route = gather_route(fleet.services)
        for i in range(400):
            if i % 40 == 0:
                fleet.ask(HARMFUL, route)
            fleet.ask(b"other %d" % i, route)
            fleet.run(0.02)
        fleet.run(2.0)
        others = [
            fleet.answers[token].ending
            for token, (key, _) in fleet.asked.items()
            if key != HARMFUL
        ]
        assert others.count(Ending.ANSWERED) >= 0.95 * len(others)


class TestQuarantineOverFaults:
    """A quarantine outlives the processes and disks that recorded it."""

    def quarantine(self, fleet):
        fleet.harmful.add(HARMFUL)
        for _ in range(4):
            fleet.ask(HARMFUL, gather_route(fleet.services))
            fleet.run(4.0)
        assert fleet.count_endings(HARMFUL)[Ending.NOT_RUN_QUARANTINED] == 2

    def check_refused(self, fleet, entry=None):
        before = fleet.crash_counts[HARMFUL]
        token = fleet.ask(HARMFUL, gather_route(fleet.services), entry)
        fleet.run(2.0)
        ending = fleet.answers[token].ending
        assert ending is Ending.NOT_RUN_QUARANTINED
        assert fleet.crash_counts[HARMFUL] == before

    def test_all_processes_killed(self):
        fleet = Fleet()
        self.quarantine(fleet)
        fleet.kill_all()
        fleet.run(2.0)
        self.check_refused(fleet)

    def test_every_control_instance_loses_its_disk_in_turn(self):
        fleet = Fleet()
        self.quarantine(fleet)
        for control in fleet.controls:
            fleet.kill(control, wipe=True)
            fleet.run(1.0)
        fleet.kill_all()
        fleet.run(2.0)
        self.check_refused(fleet)

    def test_quarantine_reaches_entry_after_partition(self):
        fleet = Fleet()
        entry = fleet.entries[0]
        fleet.cut_off(entry, fleet.controls)
        fleet.harmful.add(HARMFUL)
        for _ in range(4):
            other = fleet.rng.choice(fleet.entries[1:])
            fleet.ask(HARMFUL, gather_route(fleet.services), other)
            fleet.run(4.0)
        fleet.join_again(entry, fleet.controls)
        fleet.run(0.5)
        self.check_refused(fleet, entry)

    def test_ends_are_reported_after_partition(self):
        fleet = Fleet()
        entry = fleet.entries[0]
        fleet.cut_off(entry, fleet.controls)
        fleet.harmful.add(HARMFUL)
        fleet.ask(HARMFUL, gather_route(fleet.services), entry)
        fleet.run(4.0)
        fleet.join_again(entry, fleet.controls)
        fleet.run(0.5)
        table = fleet.entries[1].decider.forward.tables.suspects
        assert table.standing(HARMFUL) is Standing.SUSPECT

    def test_minutes_between_the_repeats(self):
        fleet = Fleet()
        send_harmful(fleet, gather_route(fleet.services), 1200.0, (60.0, 180.0))
        assert fleet.late_repeats(HARMFUL) <= MAX_LATE_REPEATS
        assert fleet.crash_counts[HARMFUL] <= len(fleet.services) + 2

    def test_operator_clears_quarantine(self):
        fleet = Fleet()
        self.quarantine(fleet)
        fleet.harmful.clear()
        fleet.controls[0].put(ClearSuspect(HARMFUL))
        fleet.run(0.1)
        token = fleet.ask(HARMFUL, gather_route(fleet.services))
        fleet.run(1.0)
        assert fleet.answers[token].ending is Ending.ANSWERED


def ask_many(fleet, seconds, crash_every=None):
    """Sends frequent and rare requests of all grades."""
    routes = [
        gather_route(fleet.services),
        single_route("s1"),
        single_route("s2", Grade.ONCE_PER_ATTEMPT),
    ]
    end = fleet.now + seconds
    crash_at = fleet.now + 1.0
    while fleet.now < end:
        number = fleet.rng.randrange(len(routes))
        popular = fleet.rng.random() < 0.6
        which = fleet.rng.randrange(5 if popular else 500)
        fleet.ask(b"%d %d %d" % (number, popular, which), routes[number])
        if crash_every and fleet.now >= crash_at:
            fleet.crash_share(1 / 3)
            crash_at += crash_every
        fleet.run(fleet.rng.expovariate(60))
    fleet.run(5.0)


class TestInnocent:
    """Requests during which searchers crash by chance are never rejected."""

    @pytest.mark.parametrize("seed", range(6))
    def test_third_of_all_searchers_ends_repeatedly(self, seed):
        fleet = Fleet(seed=seed)
        ask_many(fleet, 12.0, crash_every=2.5)
        assert fleet.count_refused_harmless() == 0
        before = set(fleet.answers)
        ask_many(fleet, 2.0)
        endings = {
            fleet.answers[token].ending for token in {*fleet.answers} - before
        }
        assert endings == {Ending.ANSWERED}

    def test_all_searchers_end_at_once(self):
        """None can answer; each request is tried once, then all are sent."""
        fleet = Fleet()
        route = gather_route(fleet.services)
        keys = [b"asked %d" % i for i in range(20)]
        for key in keys:
            fleet.ask(key, route)
        fleet.run(0.004)
        fleet.crash_share(1.0)
        fleet.run(1.0)
        table = fleet.entries[0].decider.forward.tables.suspects
        assert len(table.rows(Standing.SUSPECT)) > 0
        fleet.run(4.0)
        again = [fleet.ask(key, route) for key in keys for _ in range(3)]
        fleet.run(3.0)
        endings = Counter(fleet.answers[token].ending for token in again)
        assert endings == {Ending.ANSWERED: 60}
        assert not table.rows(Standing.SUSPECT)

    def test_beside_harmful_request(self):
        fleet = Fleet()
        fleet.harmful.add(HARMFUL)
        for _ in range(12):
            fleet.ask(HARMFUL, gather_route(fleet.services))
            ask_many(fleet, 1.0)
        assert fleet.count_refused_harmless() == 0

    def test_the_same_path_with_another_body(self):
        """The two requests differ only in their fingerprint."""
        fleet = Fleet()
        route = gather_route(fleet.services)
        send_harmful(fleet, route, 12.0)
        token = fleet.ask(HARMFUL + b" not", route)
        fleet.run(1.0)
        assert fleet.answers[token].ending is Ending.ANSWERED
