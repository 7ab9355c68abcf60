"""Simulated processes of entries and control instances."""

from __future__ import annotations

import random
from functools import partial

from greengagemoor.control.messages import NumberedDocumentAccepted, Send
from greengagemoor.feed import messages as feed
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.timing import Timing
from greengagemoor.forward import messages as m
from greengagemoor.forward.entry_decider import EntryDecider
from greengagemoor.forward.policy import Policy

ONE_WAY_S = 0.001
ANNOUNCE_INTERVAL_S = 1.2
SAVE_INTERVAL_S = 1.0


class Process:
    """Steps a decider on messages and at its wake time.

    Attributes:
        generation: number of starts; work of earlier starts is discarded.
        last_fault_at: time of the last fault, infinite while one lasts.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.frozen = False
        self.inbox = []
        self.generation = 0
        self.last_fault_at = float("-inf")
        self.wake_at = float("inf")

    def put(self, *msgs):
        """Delivers messages; they are queued while the process is frozen."""
        self.inbox += msgs
        if not self.frozen:
            self.step_decider()

    def step_decider(self):
        """Steps the decider with all queued messages."""
        msgs, self.inbox = self.inbox, []
        for msg in self.decider.step(self.fleet.now, msgs):
            self.handle_output(msg)
        self._schedule_wake()

    def _schedule_wake(self):
        at = max(self.decider.next_wake(), self.fleet.now + 0.001)
        if at < self.wake_at:
            self.wake_at = at
            self.fleet.at(at, partial(self._run_wake, self.generation, at))

    def _run_wake(self, generation, at):
        if self.generation != generation or self.wake_at != at:
            return
        self.wake_at = float("inf")
        if not self.frozen:
            self.step_decider()

    def reset(self):
        """Discards messages and wake times of the previous start."""
        self.generation += 1
        self.last_fault_at = self.fleet.now
        self.inbox = []
        self.frozen = False
        self.wake_at = float("inf")


class Entry(Process):
    """An entry."""

    def __init__(self, fleet, name, number):
        super().__init__(fleet, name)
        self.number = number
        self.start()

    def start(self):
        """Starts its process."""
        fleet = self.fleet
        self.reset()
        me = feed.Subscribe(self.name, f"{self.name}:80", "dc1", ready=False)
        rng = random.Random(1000 * self.number + self.generation)
        self.decider = EntryDecider(me, rng, Policy())
        self.decider.forward.set_routes(fleet.table)
        self.requests = {}
        for control in fleet.controls:
            fleet.connect(self, control)

    @property
    def ready(self):
        """Whether requests may be sent to it."""
        return self.decider.view.me.ready and not self.frozen

    def handle_output(self, msg):
        """Handles an output message of the decider."""
        fleet = self.fleet
        if isinstance(msg, Send):
            fleet.transmit(self.name, msg)
        elif isinstance(msg, m.StartAttempt):
            callback = partial(
                fleet.receive_attempt, self, self.generation, msg
            )
            fleet.at(fleet.now + ONE_WAY_S, callback)
        elif isinstance(msg, m.CancelAttempt):
            fleet.cancel_attempt(self, msg.attempt_id)
        elif isinstance(msg, m.Respond):
            fleet.record_answer(self, msg)
        elif isinstance(msg, m.ProbeSearcher):
            fleet.probe(self, msg)


class Control(Process):
    """A control instance: a hub and its stored state."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name)
        self.disk = {}
        self.start()

    def start(self):
        """Starts its process."""
        self.reset()
        self.decider = FeedHub(Timing(ANNOUNCE_INTERVAL_S), self.name)
        self.decider.restore(self.fleet.now, self.disk.get("rows", ()))
        self.decider.suspects.restore(self.disk.get("suspects", ()))
        names = frozenset(self.fleet.control_names) - {self.name}
        self.decider.set_peers(tuple(sorted(self.fleet.control_names)), names)
        self.put(NumberedDocumentAccepted(1, b"doc"))
        self.fleet.at(
            self.fleet.now + SAVE_INTERVAL_S,
            partial(self.save_state, self.generation),
        )

    def save_state(self, generation):
        """Stores rows for a restart, at a regular interval."""
        if self.generation != generation:
            return
        self.disk["rows"] = self.decider.rows_to_store().rows
        self.disk["suspects"] = self.decider.suspects.rows_to_store().rows
        self.fleet.at(
            self.fleet.now + SAVE_INTERVAL_S,
            partial(self.save_state, generation),
        )

    def handle_output(self, msg):
        """Handles an output message of the decider."""
        if isinstance(msg, Send):
            self.fleet.transmit(self.name, msg)
