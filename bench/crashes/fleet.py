"""The simulated fleet, and records of what happens to requests."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from functools import partial
from itertools import count

from bench.crashes.faults import FaultInjection
from bench.crashes.processes import ONE_WAY_S, Control, Entry
from bench.crashes.searchers import SearcherSimulation
from greengagemoor.codes import Code
from greengagemoor.control.ledger import Ledger
from greengagemoor.control.messages import (
    OpKind,
    OpReply,
    OpRequest,
    Received,
)
from greengagemoor.feed import messages as feed
from greengagemoor.forward import messages as m
from greengagemoor.routing.routes import RouteTable, ServiceRules

PROPAGATION_S = 4.0
"""Time after the third crash by which all entries must refuse a request."""
SUSPECT_ENDINGS = (
    m.Ending.NOT_RUN_QUARANTINED,
    m.Ending.NOT_RUN_SUSPECT,
)
CONNECTION_CAP = 40


class Fleet(SearcherSimulation, FaultInjection):
    """Entries, control instances and searchers on one simulated clock."""

    def __init__(
        self,
        entries: int = 3,
        controls: int = 3,
        shards: int = 4,
        replicas: int = 5,
        seed: int = 1,
    ):
        """Starts all processes and waits until all entries are ready.

        Args:
            entries: number of entries.
            controls: number of control instances.
            shards: number of services; each is one shard.
            replicas: number of searchers of each service.
            seed: seed of all random choices.
        """
        self.now = 100.0
        self.rng = random.Random(seed)
        self.events = []
        self.ids = count(1)
        self.ledger = Ledger()
        self.ledger.advance_time(self.now)
        self.cut_links = set()
        self.harmful = set()
        self.crash_counts = Counter()
        self.third_crash_at = {}
        self.late_runs = {}
        self.answers = {}
        self.asked = {}
        self.searchers = {}
        services = [f"s{i}" for i in range(shards)]
        rules = {name: ServiceRules(name, CONNECTION_CAP) for name in services}
        self.table = RouteTable(1, (), rules, None)
        self.services = services
        self.control_names = [f"c{i}" for i in range(controls)]
        self.controls = []
        self.entries = []
        for name in self.control_names:
            self.controls.append(Control(self, name))
        for control in self.controls:
            self.connect_control(control)
        for service in services:
            for i in range(replicas):
                self.add_searcher(service, f"{service}.{i}:1")
        for i in range(entries):
            self.entries.append(Entry(self, f"e{i}", i))
        self.run(2.0)
        assert all(entry.ready for entry in self.entries)

    # Clock and links.

    def at(self, time, callback):
        """Schedules a call at a time."""
        heapq.heappush(self.events, (time, next(self.ids), callback))

    def run(self, seconds):
        """Runs the simulation for a number of seconds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            time, _, callback = heapq.heappop(self.events)
            self.now = max(self.now, time)
            callback()
        self.now = end

    def find_process(self, name):
        """Returns the process with a name, or None."""
        processes = (*self.controls, *self.entries)
        return next((p for p in processes if p.name == name), None)

    def connect(self, entry, control):
        """Notifies an entry that its link to a control instance is up."""
        entry.put(feed.LinkUp(control.name))

    def connect_control(self, control):
        """Links a control instance with all other ones."""
        for other in self.controls:
            if other is not control:
                control.put(feed.LinkUp(other.name))
                other.put(feed.LinkUp(control.name))

    def disconnect(self, one, other):
        """Notifies both ends that their link is down."""
        one.put(feed.LinkDown(other.name))
        other.put(feed.LinkDown(one.name))

    def transmit(self, sender, msg):
        """Delivers a message after a delay, unless the link is cut."""
        if isinstance(msg.payload, OpRequest):
            callback = partial(self.answer_operation, sender, msg)
            self.at(self.now + 3 * ONE_WAY_S, callback)
            return
        target = self.find_process(msg.to)
        if target is None or frozenset((sender, msg.to)) in self.cut_links:
            return
        generation = target.generation
        got = Received(sender, msg.payload)

        def deliver():
            if target.generation == generation:
                target.put(got)

        self.at(self.now + ONE_WAY_S, deliver)

    def answer_operation(self, sender, msg):
        """Answers an operation in place of the control group."""
        process = self.find_process(sender)
        if process is None or frozenset((sender, msg.to)) in self.cut_links:
            return
        req = msg.payload
        self.ledger.advance_time(self.now)
        if req.kind is OpKind.OUTCOME:
            self.ledger.record(req.command)
            reply = OpReply(req.op_id, Code.ACCEPTED)
        elif req.kind is OpKind.CLAIM:
            answer = self.ledger.claim(req.command)
            reply = OpReply(
                req.op_id, Code.ACCEPTED, verdict=answer.verdict.value
            )
        else:
            reply = OpReply(req.op_id, Code.CURRENT, version=1, packed=b"doc")
        process.put(Received(msg.to, reply))

    def probe(self, entry, msg):
        """Connects to a searcher's address for a probe of an entry."""
        generation = entry.generation

        def dial():
            target = self.searchers.get(msg.address)
            refused = target is None or not target.up
            if entry.generation == generation:
                entry.put(m.ProbeEnded(msg.searcher, refused))

        self.at(self.now + 2 * ONE_WAY_S, dial)

    def ask(self, fingerprint, route, entry=None):
        """Sends a request to an entry; returns its token.

        A ready entry is drawn at random if none is given.
        """
        if entry is None:
            entry = self.rng.choice([e for e in self.entries if e.ready])
        token = next(self.ids)
        entry.requests[token] = fingerprint
        self.asked[token] = (fingerprint, self.now)
        arrived = m.Arrived(token, f"r{token}", route, 1.0, fingerprint)
        entry.put(arrived)
        return token

    def record_harmful_run(self, entry, fingerprint, msg):
        """Records a run of a harmful request if it should have been refused."""
        third = self.third_crash_at.get(fingerprint)
        if entry.last_fault_at + PROPAGATION_S > self.now:
            # After a fault the entry may not have received the suspects yet.
            return
        if third is not None and self.now > third + PROPAGATION_S:
            self.late_runs.setdefault(fingerprint, set()).add(msg.token)

    def record_answer(self, entry, msg):
        """Records the final answer to a request."""
        self.answers[msg.token] = msg

    def count_endings(self, fingerprint):
        """Counts requests by ending; None counts those without an answer."""
        tokens = (t for t, (key, _) in self.asked.items() if key == fingerprint)
        answers = (self.answers.get(token) for token in tokens)
        return Counter(answer and answer.ending for answer in answers)

    def count_refused_harmless(self):
        """Returns how many harmless requests were refused as suspect."""
        return sum(
            self.answers[token].ending in SUSPECT_ENDINGS
            for token, (fingerprint, _) in self.asked.items()
            if token in self.answers and fingerprint not in self.harmful
        )

    def late_repeats(self, fingerprint):
        """Returns how many requests reached searchers too late.

        These were sent after all entries should have refused them.
        """
        return len(self.late_runs.get(fingerprint, ()))
