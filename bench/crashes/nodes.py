"""Entries and control instances, each stepped when something comes."""

from __future__ import annotations

import random
from functools import partial

from greengagemoor.control.messages import NumberedAccepted, Send
from greengagemoor.feed import messages as feed
from greengagemoor.feed.hub import Hub
from greengagemoor.feed.timing import Timing
from greengagemoor.forward import messages as m
from greengagemoor.forward.entrydecider import EntryDecider
from greengagemoor.forward.policy import Policy

TRIP_S = 0.001
ANNOUNCE_S = 1.2
KEEP_S = 1.0


class Node:
    """A process with a decider: steps it, and keeps its wake time."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.frozen = False
        self.inbox = []
        self.life = 0
        self.disturbed_at = float("-inf")
        self.wake_at = float("inf")

    def put(self, *msgs):
        """Hands messages to it; they wait while it is frozen."""
        self.inbox += msgs
        if not self.frozen:
            self.tick()

    def tick(self):
        """Steps its decider with all that waits."""
        msgs, self.inbox = self.inbox, []
        for msg in self.decider.step(self.fleet.now, msgs):
            self.act(msg)
        self._wake_later()

    def _wake_later(self):
        at = max(self.decider.next_wake(), self.fleet.now + 0.001)
        if at < self.wake_at:
            self.wake_at = at
            self.fleet.at(at, partial(self._wake, self.life, at))

    def _wake(self, life, at):
        if self.life != life or self.wake_at != at:
            return
        self.wake_at = float("inf")
        if not self.frozen:
            self.tick()

    def born_again(self):
        """Forgets what an earlier process had to do."""
        self.life += 1
        self.disturbed_at = self.fleet.now
        self.inbox = []
        self.frozen = False
        self.wake_at = float("inf")


class Entry(Node):
    """An entry; counts how its requests ended."""

    def __init__(self, fleet, name, number):
        super().__init__(fleet, name)
        self.number = number
        self.start()

    def start(self):
        """Starts its process."""
        fleet = self.fleet
        self.born_again()
        me = feed.Subscribe(self.name, f"{self.name}:80", "dc1", ready=False)
        rng = random.Random(1000 * self.number + self.life)
        self.decider = EntryDecider(me, rng, Policy())
        self.decider.forward.set_routes(fleet.table)
        self.requests = {}
        for control in fleet.controls:
            fleet.link(self, control)

    @property
    def ready(self):
        """Whether callers may be given it."""
        return self.decider.view.me.ready and not self.frozen

    def act(self, msg):
        """Does what its decider says."""
        fleet = self.fleet
        if isinstance(msg, Send):
            fleet.carry(self.name, msg)
        elif isinstance(msg, m.StartAttempt):
            call = partial(fleet.reach, self, self.life, msg)
            fleet.at(fleet.now + TRIP_S, call)
        elif isinstance(msg, m.CancelAttempt):
            fleet.cut(self, msg.attempt_id)
        elif isinstance(msg, m.Respond):
            fleet.note_answer(self, msg)
        elif isinstance(msg, m.ProbeSearcher):
            fleet.probe(self, msg)


class Control(Node):
    """A control instance: a hub, and what it keeps over restarts."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name)
        self.disk = {}
        self.start()

    def start(self):
        """Starts its process."""
        self.born_again()
        self.decider = Hub(Timing(ANNOUNCE_S), self.name)
        self.decider.begin_with(self.fleet.now, self.disk.get("rows", ()))
        self.decider.suspects.begin_with(self.disk.get("suspects", ()))
        names = frozenset(self.fleet.control_names) - {self.name}
        self.decider.set_peers(tuple(sorted(self.fleet.control_names)), names)
        self.put(NumberedAccepted(1, b"doc"))
        self.fleet.at(self.fleet.now + KEEP_S, partial(self.keep, self.life))

    def keep(self, life):
        """Writes what a restart should know."""
        if self.life != life:
            return
        self.disk["rows"] = self.decider.kept_rows().rows
        self.disk["suspects"] = self.decider.suspects.kept().rows
        self.fleet.at(self.fleet.now + KEEP_S, partial(self.keep, life))

    def act(self, msg):
        """Does what its decider says."""
        if isinstance(msg, Send):
            self.fleet.carry(self.name, msg)
