"""Late announcements of a searcher whose address another one has by now."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.announced import LOST_AFTER_INTERVALS
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.timing import Timing
from greengagemoor.feed.view import FeedView
from tests.test_feed.helpers import ANNOUNCE_S, row

HUBS = ("c1", "c2", "c3")
SETTLED_S = (LOST_AFTER_INTERVALS + 2) * ANNOUNCE_S
OLD_START, NEW_START = 1_000, 60_000
READY, DRAINING = SearcherState.READY, SearcherState.DRAINING


class Play:
    """A crashed searcher, its successor at the address, hubs and an entry.

    Attributes:
        states: of the searchers, as the entry knows them.
        unready_s: how long the entry did not regard the successor as ready.
    """

    def __init__(self, *, old_start=OLD_START, new_start=NEW_START):
        self.now = 0.0
        self.hubs = {name: FeedHub(Timing(ANNOUNCE_S), name) for name in HUBS}
        self.view = FeedView("e1", "10.0.0.9:80", "dc1")
        self.states = {}
        self.unready_s = 0.0
        self.old = row(searcher_id="old", service="s", start=old_start)
        self.new = row(searcher_id="new", service="t", start=new_start)
        self.sequences = {"old": 0, "new": 0}
        self.new_home = None
        self.announced_at = 0.0
        subscribe = m.Subscribe("e1", "10.0.0.9:80", "dc1", ready=True)
        for name in HUBS:
            self.step(name, Received("e1", subscribe))
            self.link(name)

    def link(self, name):
        """Links a hub to the others, in both directions."""
        self.hubs[name].set_peers((), frozenset(HUBS))
        for other in HUBS:
            if other != name:
                self.step(other, m.LinkDown(name), m.LinkUp(name))
                self.step(name, m.LinkUp(other))

    def restart(self, name):
        """Restarts a hub with the rows that it has stored."""
        stored = self.hubs[name].rows_to_store().rows
        self.hubs[name] = FeedHub(Timing(ANNOUNCE_S), name)
        self.hubs[name].restore(self.now, stored)
        entry = m.Subscribe("e1", "10.0.0.9:80", "dc1", ready=True)
        self.step(name, Received("e1", entry))
        self.link(name)

    def step(self, name, *msgs):
        """Steps a hub; delivers what it sends to the entry and the others."""
        queue = [(name, msgs)]
        while queue:
            at, batch = queue.pop(0)
            for msg in self.hubs[at].step(self.now, batch):
                if not isinstance(msg, Send):
                    continue
                received = Received(at, msg.payload)
                if msg.to in self.hubs:
                    queue.append((msg.to, [received]))
                elif msg.to == "e1":
                    self.update_entry(received)

    def update_entry(self, received):
        for update in self.view.step(self.now, [received]):
            if isinstance(update, m.SearcherUpdated):
                self.states[update.row.searcher_id] = update.row.state

    def announce(self, searcher, at, state=READY, *, late=False):
        """Announces a searcher; a late message has an earlier sequence."""
        key = searcher.searcher_id
        self.sequences[key] += not late
        changes = {"sequence": self.sequences[key], "state": state}
        announced = row(
            searcher_id=key,
            service=searcher.service,
            start=searcher.start,
            **changes,
        )
        self.step(at, m.SearcherAnnounced(0, announced))

    def start_successor(self, at):
        """The successor announces itself at a hub from now on."""
        self.new_home, self.announced_at = at, self.now
        self.announce(self.new, at)

    def run(self, seconds):
        """Lets time pass; only the successor announces itself."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for name in HUBS:
                self.step(name)
            if self.new_home and self.now >= self.announced_at + ANNOUNCE_S:
                self.start_successor(self.new_home)
            if self.states.get("new") is not READY:
                self.unready_s += 0.1


def play_review_case(*hubs_of_old, state=READY, **starts):
    """The old searcher is known at some hubs; late messages reach all."""
    play = Play(**starts)
    for name in hubs_of_old:
        play.announce(play.old, name)
    play.run(3.0 if hubs_of_old else 0.0)
    play.unready_s = 0.0
    play.start_successor("c1")
    play.run(1.5)
    play.sequences["old"] += 1
    for name in HUBS:
        play.announce(play.old, name, state, late=True)
    return play


class TestOtherInstance:
    """A searcher announces itself elsewhere once, and returns."""

    @pytest.mark.parametrize("is_repeated", [True, False])
    def test_lost_row_of_another_instance_is_contradicted(self, is_repeated):
        """Guards against a running searcher that stays lost.

        Its home sends no renewals, so the other instance, where it is silent
        from then on, has the last word at the entries.
        """
        play = Play()
        play.start_successor("c1")
        play.announce(play.new, "c2", late=is_repeated)
        play.run(SETTLED_S)
        assert play.states["new"] is READY
        assert play.unready_s < 2 * ANNOUNCE_S


class TestLateAnnouncement:
    """It reaches the control instance where the successor is known."""

    @pytest.mark.parametrize("hubs_of_old", [(), ("c2",), HUBS])
    @pytest.mark.parametrize("state", [READY, DRAINING])
    def test_successor_is_not_displaced(self, hubs_of_old, state):
        """Guards against a running searcher that is gone for good."""
        play = play_review_case(*hubs_of_old, state=state)
        play.run(SETTLED_S)
        assert play.states["new"] is READY
        assert play.unready_s == 0
        assert play.states["old"] in (SearcherState.LOST, DRAINING)

    @pytest.mark.parametrize("hubs_of_old", [(), ("c2",), HUBS])
    @pytest.mark.parametrize("state", [READY, DRAINING])
    def test_successor_without_start_times(self, hubs_of_old, state):
        """Guards against a running searcher that is gone for good.

        Nothing tells the two apart until one is silent.
        """
        play = play_review_case(
            *hubs_of_old, state=state, old_start=0, new_start=0
        )
        play.run(SETTLED_S)
        assert play.states["new"] is READY
        assert play.unready_s <= SETTLED_S
        assert play.states["old"] in (SearcherState.LOST, DRAINING)

    def test_successor_whose_clock_is_behind(self):
        """Guards against an order by start times of different clocks."""
        play = Play(old_start=NEW_START, new_start=OLD_START)
        play.announce(play.old, "c1")
        play.run(2.0)
        play.start_successor("c1")
        play.run(SETTLED_S)
        assert play.states["new"] is READY

    def test_successor_that_moves_to_another_instance(self):
        """Guards against an end that its later announcements can't undo."""
        play = play_review_case(old_start=0, new_start=0)
        play.start_successor("c3")
        play.run(SETTLED_S)
        assert play.states["new"] is READY

    def test_successor_is_ready_at_once(self):
        """A crashed searcher does not delay the one that has its address."""
        for starts in ({}, {"old_start": 0, "new_start": 0}):
            play = Play(**starts)
            play.announce(play.old, "c1")
            play.run(0.5)
            play.start_successor("c1")
            assert play.states == {"old": SearcherState.LOST, "new": READY}

    def test_draining_searcher_that_is_displaced_stays_draining(self):
        """Guards against requests to a lost searcher that still answers."""
        play = Play()
        play.announce(play.old, "c1", DRAINING)
        play.start_successor("c1")
        assert play.states == {"old": DRAINING, "new": READY}

    def test_late_announcement_after_a_restart(self):
        play = play_review_case()
        for name in HUBS:
            play.restart(name)
        play.sequences["old"] += 1
        for name in HUBS:
            play.announce(play.old, name, late=True)
        play.run(SETTLED_S)
        assert play.states["new"] is READY


STARTS = st.sampled_from([(0, 0), (1_000, 60_000), (60_000, 1_000), (0, 60)])


class TestAnyOrder:
    """Whatever is delayed, the searcher that runs is ready in the end."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        starts=STARTS,
        known_at=st.sets(st.sampled_from(HUBS)),
        late=st.lists(
            st.tuples(
                st.sampled_from(["old", "move", "restart"]),
                st.sampled_from(HUBS),
                st.sampled_from([READY, DRAINING]),
                st.sampled_from([0.0, 0.3, 1.3, 3.0]),
            ),
            max_size=8,
        ),
    )
    def test_running_searcher_is_ready(self, starts, known_at, late):
        play = Play(old_start=starts[0], new_start=starts[1])
        for name in sorted(known_at):
            play.announce(play.old, name)
        play.run(2.0)
        play.start_successor("c1")
        for kind, name, state, pause_s in late:
            if kind == "old":
                play.sequences["old"] += 1
                play.announce(play.old, name, state, late=True)
            elif kind == "move":
                play.start_successor(name)
            else:
                play.restart(name)
            play.run(pause_s)
        play.run(2 * SETTLED_S)
        assert play.states["new"] is READY
        assert play.states.get("old") is not READY
