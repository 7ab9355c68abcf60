"""Queries whose shards several entries share."""

from __future__ import annotations

import random

import pytest

from greengagemoor.control.evacuations import Evacuation
from greengagemoor.feed.messages import (
    EvacuationsLearnt,
    SearcherKey,
    SearcherLearnt,
    SearcherRow,
    SearcherState,
    Suspect,
    SuspectsLearnt,
)
from greengagemoor.forward import messages as m
from greengagemoor.forward import partmessages as p
from greengagemoor.forward.decider import ForwardDecider
from greengagemoor.forward.messages import Ending, Outcome
from greengagemoor.forward.policy import Policy
from greengagemoor.routing.routes import RouteTable, ServiceRules
from tests.test_forward.helpers import gather

SHARDS = 30
ROUTE = gather(SHARDS, least=0.9, objective_s=0.2, time_limit_s=1.0)
SLOW_LINK = 200_000.0
BYTES = 2000.0
WAY_S = 0.001


class Fleet:
    """Entries with links to each other, and searchers that are told by hand.

    A searcher answers after ``work_s``, but for those in ``silent``, and
    those in ``broken`` fail at once.
    """

    def __init__(self, entries=3, link=SLOW_LINK, work_s=0.02):
        self.now = 100.0
        self.work_s = work_s
        self.silent: set[str] = set()
        self.broken: set[str] = set()
        self.frozen: set[str] = set()
        self.lost: set[tuple[str, str]] = set()
        self.entries: dict[str, ForwardDecider] = {}
        self.events: list[tuple[float, int, str, object]] = []
        self.count = 0
        self.answers: list[m.Respond] = []
        self.sent: list[tuple[str, m.StartAttempt]] = []
        self.cancelled: list[tuple[str, int]] = []
        self.closed: list[p.PartClosed] = []
        self.opened: dict[tuple[str, int], p.RequestCopy] = {}
        for number in range(entries):
            self.add(f"e{number}", link)
        for name in self.entries:
            for other in self.entries:
                if other != name:
                    self.put(name, p.PeerUp(other))
        self.run(0.01)

    def add(self, name, link):
        decider = ForwardDecider("dc1", random.Random(name), Policy(), name)
        names = [f"s{i}" for i in range(SHARDS)]
        rules = {n: ServiceRules(n, 400) for n in names}
        decider.set_routes(RouteTable(1, (), rules, None))
        decider.step(self.now - 60.0, ())
        decider.tables.link_bytes_per_s = link
        decider.tables.answer_bytes[ROUTE.name] = BYTES
        decider.tables.takes_parts = True
        rows = [
            SearcherRow(
                f"{n}.{i}", n, f"{n}.{i}:1", "dc1", SearcherState.READY, 1, 5, 0
            )
            for n in names
            for i in range(3)
        ]
        decider.step(self.now, [SearcherLearnt(row) for row in rows])
        self.entries[name] = decider

    def put(self, name, msg, after=0.0):
        self.count += 1
        self.events.append((self.now + after, self.count, name, msg))

    def run(self, seconds, tick=0.001):
        end = self.now + seconds
        while self.now < end:
            self.now += tick
            due = sorted(e for e in self.events if e[0] <= self.now)
            self.events = [e for e in self.events if e[0] > self.now]
            for name, decider in self.entries.items():
                msgs = [e[3] for e in due if e[2] == name]
                if name in self.frozen:
                    for msg in msgs:
                        self.put(name, msg, after=tick)
                    continue
                for said in decider.step(self.now, msgs):
                    self.act(name, said)

    def act(self, name, said):
        if isinstance(said, p.ToPeer):
            if (name, said.name) not in self.lost:
                self.put(said.name, p.FromPeer(name, said.payload), WAY_S)
        elif isinstance(said, m.StartAttempt):
            self.sent.append((name, said))
            if said.searcher_id in self.broken:
                found = m.SearcherAnswer(500, said.searcher_id, (), b"")
                end = m.AttemptEnded(said.attempt_id, Outcome.ANSWERED, found)
                self.put(name, end, 0.01)
            elif said.searcher_id not in self.silent:
                self.answer(name, said)
        elif isinstance(said, m.CancelAttempt):
            self.cancelled.append((name, said.attempt_id))
        elif isinstance(said, m.Respond):
            self.answers.append(said)
        elif isinstance(said, p.PartClosed):
            self.closed.append(said)
        elif isinstance(said, p.PartOpened):
            self.opened[(name, said.token)] = said.copy

    def answer(self, name, said):
        record = said.searcher_id.encode().ljust(16)[:16]
        found = m.SearcherAnswer(200, said.searcher_id, (), record)
        end = m.AttemptEnded(said.attempt_id, Outcome.ANSWERED, found)
        self.put(name, end, self.work_s)

    def ask(self, at="e0", route=ROUTE, fingerprint=b""):
        self.count += 1
        msg = m.Arrived(self.count, f"r{self.count}", route, None, fingerprint)
        self.put(at, msg)

    def by_entry(self):
        counts = dict.fromkeys(self.entries, 0)
        for name, _ in self.sent:
            counts[name] += 1
        return counts

    def runs_by_shard(self):
        counts: dict[str, int] = {}
        for _, said in self.sent:
            service = said.searcher_id.partition(".")[0]
            counts[service] = counts.get(service, 0) + 1
        return counts


def _is_elsewhere(event, one, other):
    """Whether an event is not a message between two entries."""
    _, _, name, msg = event
    if not isinstance(msg, p.FromPeer):
        return True
    return {name, msg.name} != {one, other}


class TestSharing:
    """A query over many shards and a slow link."""

    def test_three_entries_ask_a_part_each(self):
        fleet = Fleet()
        fleet.ask()
        fleet.run(0.1)
        (answer,) = fleet.answers
        assert answer.ending is Ending.ANSWERED
        assert answer.merged.missing == 0
        assert len(set(answer.merged.signatures)) == SHARDS
        assert fleet.by_entry() == {"e0": 10, "e1": 10, "e2": 10}
        # Each shard was asked once, and each part let go of.
        assert set(fleet.runs_by_shard().values()) == {1}
        assert len(fleet.closed) == 2
        assert not any(d.tables.origins for d in fleet.entries.values())

    def test_records_are_the_greatest_of_all(self):
        fleet = Fleet()
        fleet.ask()
        fleet.run(0.1)
        (answer,) = fleet.answers
        records = [s.encode().ljust(16) for s in answer.merged.signatures]
        best = b"".join(sorted(records, reverse=True)[: ROUTE.gather.top])
        assert answer.merged.body == best

    @pytest.mark.parametrize("link", [0.0, 125_000_000.0])
    def test_a_free_link_carries_all(self, link):
        """Guards against a hop that saves nothing."""
        fleet = Fleet(link=link)
        fleet.ask()
        fleet.run(0.1)
        assert fleet.by_entry()["e0"] == SHARDS

    def test_alone(self):
        fleet = Fleet(entries=1)
        fleet.ask()
        fleet.run(0.1)
        assert fleet.answers[0].ending is Ending.ANSWERED

    def test_silent_searcher_at_a_helper(self):
        """A helper sends a second time as an entry does itself."""
        fleet = Fleet()
        fleet.silent = {f"s{i}.0" for i in range(SHARDS)}
        fleet.ask()
        fleet.run(0.3)
        (answer,) = fleet.answers
        assert answer.ending in (Ending.ANSWERED, Ending.PARTIAL)
        assert max(fleet.runs_by_shard().values()) <= ROUTE.attempts

    def test_what_is_late_comes_one_by_one(self):
        """Guards against a part that waits whole for its slowest shard."""
        fleet = Fleet()
        # Four shards never answer: less than the least coverage is there.
        fleet.silent = {f"s{i}.{j}" for i in range(4) for j in range(3)}
        fleet.ask()
        fleet.run(0.25)
        assert not fleet.answers
        late = [
            (n, s) for n, s in fleet.sent if s.searcher_id.startswith("s0.")
        ]
        fleet.answer(*late[0])
        fleet.run(0.05)
        (answer,) = fleet.answers
        assert answer.ending is Ending.PARTIAL
        assert answer.merged.missing == 3

    def test_a_shard_without_an_answer_is_told_at_once(self):
        """Guards against a caller that hears too late to try again."""
        fleet = Fleet(work_s=0.15)
        fleet.broken = {f"s{i}.{j}" for i in (0, 9, 18, 27) for j in range(3)}
        fleet.ask()
        fleet.run(0.1)
        (answer,) = fleet.answers
        assert answer.ending is Ending.BELOW_COVERAGE
        assert answer.elapsed_s < 0.05


class TestTrouble:
    """Helpers that freeze, end, are cut off or know too little."""

    def test_frozen_helper(self):
        """Guards against an answer that waits for who can't read."""
        fleet = Fleet()
        fleet.frozen = {"e1"}
        fleet.ask()
        fleet.run(0.15)
        (answer,) = fleet.answers
        assert answer.ending is Ending.ANSWERED
        assert fleet.by_entry() == {"e0": 20, "e1": 0, "e2": 10}

    def test_second_sends_are_spared_where_many_are_used(self):
        """Guards against a busy helper that uses up all second sends."""
        fleet = Fleet()
        tables = fleet.entries["e0"].tables
        for number in range(SHARDS):
            budget = tables.budget_of(f"s{number}")
            while budget.share_left(fleet.now) > 0.4:
                budget.count(fleet.now)
        fleet.frozen = {"e1"}
        fleet.ask()
        fleet.run(0.06)
        fleet.frozen.clear()
        fleet.run(0.06)
        (answer,) = fleet.answers
        assert answer.ending is Ending.ANSWERED
        assert fleet.by_entry() == {"e0": 10, "e1": 10, "e2": 10}

    def test_frozen_helper_that_wakes_sends_nothing(self):
        """Guards against searchers that run what nobody waits for."""
        fleet = Fleet()
        fleet.frozen = {"e1"}
        fleet.ask()
        fleet.run(0.5)
        fleet.frozen.clear()
        fleet.run(0.2)
        assert fleet.by_entry()["e1"] == 0

    def test_frozen_helper_is_left_alone_for_a_while(self):
        fleet = Fleet(entries=4)
        fleet.frozen = {"e1"}
        for _ in range(8):
            fleet.ask()
            fleet.run(0.1)
        slow = [a for a in fleet.answers if a.elapsed_s > 0.055]
        assert len(slow) <= 1

    def test_cut_one_way(self):
        """The helper sends, and can't tell: no shard is asked three times."""
        fleet = Fleet()
        fleet.lost = {("e1", "e0")}
        fleet.silent = {f"s{i}.0" for i in range(SHARDS)}
        fleet.ask()
        fleet.run(1.2)
        assert max(fleet.runs_by_shard().values()) <= ROUTE.attempts

    def test_cut_both_ways_after_a_part_was_read(self):
        """Guards against two entries that each send a second time."""
        fleet = Fleet()
        fleet.silent = {f"s{i}.0" for i in range(SHARDS)}
        fleet.ask()
        while not fleet.by_entry()["e1"]:
            fleet.run(0.001)
        fleet.lost = {("e1", "e0"), ("e0", "e1")}
        fleet.events = [e for e in fleet.events if _is_elsewhere(e, "e0", "e1")]
        fleet.run(1.2)
        assert max(fleet.runs_by_shard().values()) <= ROUTE.attempts

    @pytest.mark.parametrize("after", [0.0015, 0.01, 0.05, 0.1])
    def test_helper_that_ends(self, after):
        """Whenever it ends, no shard is asked more often than allowed."""
        fleet = Fleet(work_s=0.06)
        fleet.silent = {f"s{i}.0" for i in range(SHARDS)}
        fleet.ask()
        fleet.run(after)
        fleet.entries.pop("e1")
        fleet.events = [e for e in fleet.events if e[2] != "e1"]
        for name in ("e0", "e2"):
            fleet.put(name, p.PeerDown("e1"))
        fleet.run(1.2)
        assert max(fleet.runs_by_shard().values()) <= ROUTE.attempts
        assert len(fleet.answers) == 1

    def test_helper_that_is_not_ready(self):
        """Guards against parts at an entry that knows no evacuation yet."""
        fleet = Fleet()
        for name in ("e1", "e2"):
            fleet.entries[name].tables.takes_parts = False
        fleet.ask()
        fleet.run(0.1)
        assert fleet.answers[0].ending is Ending.ANSWERED
        assert fleet.by_entry() == {"e0": SHARDS, "e1": 0, "e2": 0}

    def test_refused_part_needs_no_second_sends(self):
        """Guards against an answer given up as helpers restart in turn."""
        fleet = Fleet()
        tables = fleet.entries["e0"].tables
        for number in range(SHARDS):
            budget = tables.budget_of(f"s{number}")
            while budget.may_take(fleet.now):
                budget.count(fleet.now)
        for name in ("e1", "e2"):
            fleet.entries[name].tables.takes_parts = False
        fleet.ask()
        fleet.run(0.1)
        assert fleet.answers[0].ending is Ending.ANSWERED

    def test_evacuated_at_the_helper(self):
        fleet = Fleet()
        word = EvacuationsLearnt((Evacuation("dc1", 1, True),))
        fleet.put("e1", word)
        fleet.run(0.01)
        fleet.ask()
        fleet.run(0.3)
        assert fleet.by_entry()["e1"] == 0
        assert fleet.answers[0].ending is Ending.ANSWERED

    def test_caller_that_leaves(self):
        """Guards against searchers at work for nobody."""
        fleet = Fleet(work_s=10.0)
        fleet.ask()
        fleet.run(0.01)
        fleet.put("e0", m.CallerGone(fleet.count - 1))
        token = fleet.entries["e0"].tables.requests
        for key in list(token):
            fleet.put("e0", m.CallerGone(key))
        fleet.run(0.02)
        assert len(fleet.cancelled) == SHARDS
        assert not fleet.answers

    def test_asking_entry_that_ends(self):
        fleet = Fleet(work_s=10.0)
        fleet.ask()
        fleet.run(0.01)
        for name in ("e1", "e2"):
            fleet.put(name, p.PeerDown("e0"))
        fleet.run(0.02)
        gone = [name for name, _ in fleet.cancelled if name != "e0"]
        assert len(gone) == SHARDS - 10

    def test_suspect_request(self):
        """Guards against a helper that sends what ends its searchers."""
        fleet = Fleet()
        ended = tuple(SearcherKey(f"x{i}") for i in range(3))
        suspect = Suspect(b"f" * 16, ended=ended, route="all")
        fleet.put("e1", SuspectsLearnt((suspect,)))
        fleet.run(0.01)
        fleet.ask(fingerprint=b"f" * 16)
        fleet.run(0.1)
        assert fleet.by_entry()["e1"] == 0
        assert fleet.answers[0].ending is Ending.ANSWERED
