"""Simulated searchers that answer, crash and restart."""

from __future__ import annotations

from functools import partial

import attrs

from bench.crashes.processes import ANNOUNCE_INTERVAL_S, ONE_WAY_S
from greengagemoor.feed import messages as feed
from greengagemoor.feed.messages import SearcherRow, SearcherState
from greengagemoor.forward import messages as m

CRASH_DELAY_S = 0.002
"""Time from the start of a harmful run to the crash of its searcher."""
RESTART_S = (1.5, 3.0)


@attrs.define(eq=False)
class Searcher:
    """A searcher from its start to its crash."""

    searcher_id: str
    service: str
    address: str
    up: bool = True
    running: dict = attrs.field(factory=dict)
    sequence: int = 0


class SearcherSimulation:
    """Mixin of ``Fleet`` that simulates searchers."""

    def add_searcher(self, service, address):
        """Starts a searcher at an address."""
        searcher_id = f"i-{next(self.ids)}"
        searcher = Searcher(searcher_id, service, address)
        self.searchers[address] = searcher
        self.announce(searcher)

    def announce(self, searcher):
        """Announces a searcher to a control instance, repeatedly."""
        if not searcher.up:
            return
        searcher.sequence += 1
        row = SearcherRow(
            searcher.searcher_id,
            searcher.service,
            searcher.address,
            "dc1",
            SearcherState.READY,
            searcher.sequence,
            5,
            0.0,
        )
        # Real searchers are given one control instance and announce themselves
        # to it each time.
        control = self.controls[
            stable_hash(searcher.address) % len(self.controls)
        ]
        control.put(feed.SearcherAnnounced(next(self.ids), row))
        self.at(
            self.now + ANNOUNCE_INTERVAL_S, partial(self.announce, searcher)
        )

    def receive_attempt(self, entry, generation, msg):
        """Handles an attempt that arrives at an address."""
        if entry.generation != generation:
            return
        searcher = self.searchers.get(msg.address)
        if searcher is None or not searcher.up:
            self.end_attempt(entry, generation, msg, m.Outcome.NOT_SENT)
        elif searcher.searcher_id != msg.searcher_id:
            self.end_attempt(entry, generation, msg, m.Outcome.WRONG_SEARCHER)
        else:
            self.start_run(entry, generation, msg, searcher)

    def start_run(self, entry, generation, msg, searcher):
        """Starts to run an attempt; a harmful one crashes the searcher."""
        key = (entry, generation, msg.attempt_id)
        searcher.running[key] = msg
        fingerprint = entry.requests[msg.token]
        if fingerprint in self.harmful:
            self.record_harmful_run(entry, fingerprint, msg)
            self.at(
                self.now + CRASH_DELAY_S,
                partial(self.crash, searcher, fingerprint),
            )
        else:
            work = self.rng.uniform(0.01, 0.06)
            self.at(self.now + work, partial(self.finish_run, searcher, key))

    def finish_run(self, searcher, key):
        """Ends a run with an answer."""
        msg = searcher.running.pop(key, None)
        entry, generation, _ = key
        if msg is None or not searcher.up:
            return
        answer = m.SearcherAnswer(200, searcher.searcher_id, (), b"")
        self.end_attempt(entry, generation, msg, m.Outcome.ANSWERED, answer)

    def end_attempt(
        self, entry, generation, msg, outcome, answer=None, stale=False
    ):
        """Notifies the entry of the end of an attempt."""
        ended = m.AttemptEnded(msg.attempt_id, outcome, answer, stale=stale)

        def deliver():
            if entry.generation == generation:
                entry.put(ended)

        self.at(self.now + ONE_WAY_S, deliver)

    def cancel_attempt(self, entry, attempt_id):
        """Cancels an attempt of an entry."""
        for searcher in self.searchers.values():
            searcher.running.pop((entry, entry.generation, attempt_id), None)

    def crash(self, searcher, fingerprint=None, restart_s=None):
        """Crashes a searcher; a new one starts at its address later."""
        if not searcher.up:
            return
        searcher.up = False
        if fingerprint is not None:
            self.crash_counts[fingerprint] += 1
            if self.crash_counts[fingerprint] == 3:
                self.third_crash_at[fingerprint] = self.now
        for (entry, generation, _), msg in searcher.running.items():
            self.end_attempt(entry, generation, msg, m.Outcome.BROKEN)
        searcher.running.clear()
        delay_s = restart_s or self.rng.uniform(*RESTART_S)
        callback = partial(
            self.add_searcher, searcher.service, searcher.address
        )
        self.at(self.now + delay_s, callback)

    def crash_share(self, share):
        """Crashes a random share of all searchers at the same moment."""
        up = [searcher for searcher in self.searchers.values() if searcher.up]
        for searcher in self.rng.sample(up, round(share * len(up))):
            self.crash(searcher)


def stable_hash(text):
    """Returns a hash that is the same in each process."""
    return sum(text.encode())
