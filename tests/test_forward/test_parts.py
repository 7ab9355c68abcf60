"""Queries whose shards are shared among entries."""

from __future__ import annotations

import random

import pytest

from greengagemoor.control.evacuations import Evacuation
from greengagemoor.feed.messages import (
    EvacuationsUpdated,
    SearcherKey,
    SearcherRow,
    SearcherState,
    SearcherUpdated,
    Suspect,
    SuspectsReceived,
)
from greengagemoor.forward import messages as m
from greengagemoor.forward import part_messages as p
from greengagemoor.forward.decider import ForwardDecider
from greengagemoor.forward.messages import Ending, Outcome
from greengagemoor.forward.policy import Policy
from greengagemoor.routing.routes import RouteTable, ServiceRules
from tests.test_forward.helpers import gather

SHARDS = 30
ROUTE = gather(SHARDS, least=0.9, objective_s=0.2, time_limit_s=1.0)
SLOW_LINK = 200_000.0
"""Rate of an entry's link in bytes per second."""
BYTES = 2000.0
"""Size of an answer with its headers."""
NETWORK_S = 0.001


class Fleet:
    """Linked entries with simulated searchers, under a fake clock.

    A searcher answers after ``work_s`` seconds. Those in ``silent`` never
    answer, and those in ``broken`` fail after 10 ms. Entries in ``frozen`` read
    no messages, and messages on links in ``lost`` are dropped.
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
        decider.tables.accepts_parts = True
        rows = [
            SearcherRow(
                f"{n}.{i}", n, f"{n}.{i}:1", "dc1", SearcherState.READY, 1, 5, 0
            )
            for n in names
            for i in range(3)
        ]
        decider.step(self.now, [SearcherUpdated(row) for row in rows])
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
                for output in decider.step(self.now, msgs):
                    self.dispatch(name, output)

    def dispatch(self, name, msg):
        if isinstance(msg, p.ToPeer):
            if (name, msg.name) not in self.lost:
                self.put(msg.name, p.FromPeer(name, msg.payload), NETWORK_S)
        elif isinstance(msg, m.StartAttempt):
            self.sent.append((name, msg))
            if msg.searcher_id in self.broken:
                reply = m.SearcherAnswer(500, msg.searcher_id, (), b"")
                end = m.AttemptEnded(msg.attempt_id, Outcome.ANSWERED, reply)
                self.put(name, end, 0.01)
            elif msg.searcher_id not in self.silent:
                self.answer(name, msg)
        elif isinstance(msg, m.CancelAttempt):
            self.cancelled.append((name, msg.attempt_id))
        elif isinstance(msg, m.Respond):
            self.answers.append(msg)
        elif isinstance(msg, p.PartClosed):
            self.closed.append(msg)
        elif isinstance(msg, p.PartOpened):
            self.opened[(name, msg.token)] = msg.copy

    def answer(self, name, start):
        record = start.searcher_id.encode().ljust(16)[:16]
        reply = m.SearcherAnswer(200, start.searcher_id, (), record)
        end = m.AttemptEnded(start.attempt_id, Outcome.ANSWERED, reply)
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
        for _, start in self.sent:
            service = start.searcher_id.partition(".")[0]
            counts[service] = counts.get(service, 0) + 1
        return counts


def _is_unrelated(event, one, other):
    """Whether an event is anything but a message between the two entries."""
    _, _, name, msg = event
    if not isinstance(msg, p.FromPeer):
        return True
    return {name, msg.name} != {one, other}


class TestSharing:
    """Queries over many shards and a slow link."""

    def test_three_entries_query_a_part_each(self):
        fleet = Fleet()
        fleet.ask()
        fleet.run(0.1)
        (answer,) = fleet.answers
        assert answer.ending is Ending.ANSWERED
        assert answer.merged.missing == 0
        assert len(set(answer.merged.signatures)) == SHARDS
        assert fleet.by_entry() == {"e0": 10, "e1": 10, "e2": 10}
        # Each shard was queried once, and no part is left open.
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
    def test_fast_or_unknown_link_is_not_shared(self, link):
        """Guards against delegation that saves no time."""
        fleet = Fleet(link=link)
        fleet.ask()
        fleet.run(0.1)
        assert fleet.by_entry()["e0"] == SHARDS

    def test_entry_without_helpers(self):
        fleet = Fleet(entries=1)
        fleet.ask()
        fleet.run(0.1)
        assert fleet.answers[0].ending is Ending.ANSWERED

    def test_silent_searcher_at_a_helper(self):
        """A helper hedges and retries within the usual limit of sends."""
        fleet = Fleet()
        fleet.silent = {f"s{i}.0" for i in range(SHARDS)}
        fleet.ask()
        fleet.run(0.3)
        (answer,) = fleet.answers
        assert answer.ending in (Ending.ANSWERED, Ending.PARTIAL)
        assert max(fleet.runs_by_shard().values()) <= ROUTE.attempts

    def test_late_answers_are_reported_one_by_one(self):
        """Guards against a part that is held back by its slowest shard."""
        fleet = Fleet()
        # Four silent shards keep the coverage below the minimum.
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

    def test_failed_shard_is_reported_at_once(self):
        """Guards against a failure that is reported too late for a retry."""
        fleet = Fleet(work_s=0.15)
        fleet.broken = {f"s{i}.{j}" for i in (0, 9, 18, 27) for j in range(3)}
        fleet.ask()
        fleet.run(0.1)
        (answer,) = fleet.answers
        assert answer.ending is Ending.BELOW_COVERAGE
        assert answer.elapsed_s < 0.05


class TestHelperFaults:
    """Helpers that freeze, end, lose their link or are not ready."""

    def test_frozen_helper(self):
        """Guards against an answer that waits for a frozen helper."""
        fleet = Fleet()
        fleet.frozen = {"e1"}
        fleet.ask()
        fleet.run(0.15)
        (answer,) = fleet.answers
        assert answer.ending is Ending.ANSWERED
        assert fleet.by_entry() == {"e0": 20, "e1": 0, "e2": 10}

    def test_part_is_not_taken_back_with_little_budget(self):
        """Guards against a busy helper that exhausts the retry budget."""
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

    def test_resumed_helper_sends_nothing(self):
        """Guards against searchers that run requests of callers that left."""
        fleet = Fleet()
        fleet.frozen = {"e1"}
        fleet.ask()
        fleet.run(0.5)
        fleet.frozen.clear()
        fleet.run(0.2)
        assert fleet.by_entry()["e1"] == 0

    def test_frozen_helper_is_avoided_for_a_while(self):
        fleet = Fleet(entries=4)
        fleet.frozen = {"e1"}
        for _ in range(8):
            fleet.ask()
            fleet.run(0.1)
        slow = [a for a in fleet.answers if a.elapsed_s > 0.055]
        assert len(slow) <= 1

    def test_partition_one_way(self):
        """The helper sends, but its messages are lost: no third send occurs."""
        fleet = Fleet()
        fleet.lost = {("e1", "e0")}
        fleet.silent = {f"s{i}.0" for i in range(SHARDS)}
        fleet.ask()
        fleet.run(1.2)
        assert max(fleet.runs_by_shard().values()) <= ROUTE.attempts

    def test_partition_both_ways_after_part_was_read(self):
        """Guards against second sends by both entries."""
        fleet = Fleet()
        fleet.silent = {f"s{i}.0" for i in range(SHARDS)}
        fleet.ask()
        while not fleet.by_entry()["e1"]:
            fleet.run(0.001)
        fleet.lost = {("e1", "e0"), ("e0", "e1")}
        fleet.events = [e for e in fleet.events if _is_unrelated(e, "e0", "e1")]
        fleet.run(1.2)
        assert max(fleet.runs_by_shard().values()) <= ROUTE.attempts

    @pytest.mark.parametrize("after", [0.0015, 0.01, 0.05, 0.1])
    def test_helper_that_ends(self, after):
        """Whenever it ends, no shard is sent more requests than allowed."""
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
        """Guards against parts at an entry without a list of evacuations."""
        fleet = Fleet()
        for name in ("e1", "e2"):
            fleet.entries[name].tables.accepts_parts = False
        fleet.ask()
        fleet.run(0.1)
        assert fleet.answers[0].ending is Ending.ANSWERED
        assert fleet.by_entry() == {"e0": SHARDS, "e1": 0, "e2": 0}

    def test_rejected_part_needs_no_retry_budget(self):
        """Guards against failed answers while helpers restart one by one."""
        fleet = Fleet()
        tables = fleet.entries["e0"].tables
        for number in range(SHARDS):
            budget = tables.budget_of(f"s{number}")
            while budget.may_take(fleet.now):
                budget.count(fleet.now)
        for name in ("e1", "e2"):
            fleet.entries[name].tables.accepts_parts = False
        fleet.ask()
        fleet.run(0.1)
        assert fleet.answers[0].ending is Ending.ANSWERED

    def test_evacuation_at_the_helper(self):
        fleet = Fleet()
        msg = EvacuationsUpdated((Evacuation("dc1", 1, True),))
        fleet.put("e1", msg)
        fleet.run(0.01)
        fleet.ask()
        fleet.run(0.3)
        assert fleet.by_entry()["e1"] == 0
        assert fleet.answers[0].ending is Ending.ANSWERED

    def test_caller_disconnects(self):
        """Guards against searchers that work for a caller that left."""
        fleet = Fleet(work_s=10.0)
        fleet.ask()
        fleet.run(0.01)
        fleet.put("e0", m.CallerGone(fleet.count - 1))
        open_requests = fleet.entries["e0"].tables.requests
        for key in list(open_requests):
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
        """Guards against a helper that sends a request known as suspect."""
        fleet = Fleet()
        ended = tuple(SearcherKey(f"x{i}") for i in range(3))
        suspect = Suspect(b"f" * 16, ended=ended, route="all")
        fleet.put("e1", SuspectsReceived((suspect,)))
        fleet.run(0.01)
        fleet.ask(fingerprint=b"f" * 16)
        fleet.run(0.1)
        assert fleet.by_entry()["e1"] == 0
        assert fleet.answers[0].ending is Ending.ANSWERED
