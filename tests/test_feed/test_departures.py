"""Drains and leaves that a majority of the control group has stored."""

from __future__ import annotations

from itertools import combinations, permutations

import attrs
import pytest

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.acknowledgements import MAX_ACK_DELAY_S
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.timing import Timing
from greengagemoor.feed.view import FeedView
from tests.test_feed.helpers import (
    ANNOUNCE_S,
    ENTRY,
    ROW,
    HubBench,
    acknowledged,
    row,
)

GROUP = ("c1", "c2", "c3", "c4", "c5")
LOST_DISKS = 2
GONE = SearcherState.GONE
DRAIN = row(sequence=2, state=SearcherState.DRAINING)


class Group:
    """Hubs of a control group that are linked to each other.

    Attributes:
        disks: departures stored by each.
        out: messages from the hubs to their own process.
    """

    def __init__(self):
        self.now = 0.0
        self.disks = {}
        self.out = []
        self.start()

    def start(self):
        """Starts all hubs from their disks and links them."""
        self.hubs = {name: FeedHub(Timing(ANNOUNCE_S), name) for name in GROUP}
        for name, hub in self.hubs.items():
            hub.set_peers((), frozenset(GROUP))
            if name in self.disks:
                hub.restore_departures(self.now, self.disks[name].rows)
        for name in GROUP:
            links = [m.LinkUp(other) for other in GROUP if other != name]
            self.step(name, *links)

    def step(self, name, *msgs):
        """Steps a hub and delivers what it sends until all are idle."""
        queue = [(name, msgs)]
        while queue:
            at, batch = queue.pop(0)
            for msg in self.hubs[at].step(self.now, batch):
                if not isinstance(msg, Send):
                    self.out.append(msg)
                elif msg.to in self.hubs:
                    queue.append((msg.to, [Received(at, msg.payload)]))

    def store(self, name):
        """Stores the departures that a hub knows."""
        hub = self.hubs[name]
        self.disks[name] = hub.departures_to_store()
        self.step(name, m.DeparturesStored(hub.departures_version))

    def state_at_a_new_entry(self, searcher_id="i1"):
        """Returns a searcher's state at an entry that links to all hubs."""
        view = FeedView("e1", "10.0.0.9:80", "dc1")
        found = None
        for name, hub in self.hubs.items():
            for msg in hub.step(self.now, [Received("e1", ENTRY)]):
                if isinstance(msg, Send) and msg.to == "e1":
                    received = Received(name, msg.payload)
                    for update in view.step(self.now, [received]):
                        if isinstance(update, m.SearcherUpdated):
                            found = update.row.state
        return found


class TestAllProcessesKilled:
    """All processes are killed as soon as a departure is acknowledged."""

    @pytest.mark.parametrize(
        "departure",
        [
            m.SearcherLeaving(2, "i1"),
            m.SearcherLeaving(2, "i1", 0),
            m.SearcherAnnounced(2, DRAIN),
        ],
    )
    def test_departure_survives_lost_disks(self, departure):
        """Guards against requests to a searcher whose leave was acknowledged.

        The disks store it in any order, and two of five are lost besides.
        """
        wanted = (
            SearcherState.DRAINING
            if isinstance(departure, m.SearcherAnnounced)
            else SearcherState.GONE
        )
        for order in permutations(GROUP, len(GROUP) // 2 + 1):
            group = Group()
            group.step("c1", m.SearcherAnnounced(1, ROW))
            group.step("c1", departure)
            for name in order:
                assert acknowledged(group.out) == [1]
                group.store(name)
            assert acknowledged(group.out) == [1, 2]
            kept = dict(group.disks)
            for lost in combinations(GROUP, LOST_DISKS):
                group.disks = {
                    name: disk
                    for name, disk in kept.items()
                    if name not in lost
                }
                group.start()
                assert group.state_at_a_new_entry() is wanted

    def test_late_announcement_after_the_restart(self):
        """Guards against a searcher that is ready again after it has left."""
        group = Group()
        group.step("c1", m.SearcherAnnounced(1, ROW))
        group.step("c1", m.SearcherLeaving(2, "i1"))
        for name in GROUP:
            group.store(name)
        group.start()
        group.step("c4", m.SearcherAnnounced(3, row(sequence=9)))
        assert group.state_at_a_new_entry() is SearcherState.GONE


class TestAcknowledgement:
    """What an acknowledgement of a departure waits for."""

    def bench(self, *, has_disk=True):
        bench = HubBench("c1")
        bench.has_disk = has_disk
        bench.hub.set_peers((), frozenset({"c1", "c2", "c3"}))
        for name in ("c2", "c3"):
            peer = m.Subscribe(name, "", "", ready=False)
            bench.step(Received(name, peer))
        bench.step(m.SearcherAnnounced(1, ROW))
        for name in ("c2", "c3"):
            bench.step(Received(name, m.RowsTaken(1, 1)))
        return bench

    def take(self, bench, name, stored):
        taken = m.RowsTaken(2, 2 if stored else 0)
        return acknowledged(bench.step(Received(name, taken)))

    def test_own_disk_and_one_other(self):
        bench = self.bench()
        assert acknowledged(bench.step(m.SearcherLeaving(2, "i1"))) == []
        assert self.take(bench, "c2", stored=False) == []
        assert self.take(bench, "c3", stored=True) == [2]

    def test_two_others_while_the_own_disk_stalls(self):
        bench = self.bench(has_disk=False)
        bench.step(m.SearcherLeaving(2, "i1"))
        assert self.take(bench, "c2", stored=True) == []
        assert self.take(bench, "c3", stored=True) == [2]

    def test_rejected_if_no_majority_stores_it(self):
        """Guards against an acknowledgement by time alone."""
        bench = self.bench()
        bench.step(m.SearcherLeaving(2, "i1"))
        assert self.take(bench, "c2", stored=False) == []
        assert self.take(bench, "c3", stored=False) == []
        out = bench.step(after=MAX_ACK_DELAY_S + 0.01)
        assert m.AnnouncementRejected(2) in out
        assert bench.hub.gauges()["acknowledgements_rejected_total"] == 1

    @pytest.mark.parametrize(
        "again",
        [
            m.SearcherLeaving(3, "i1"),
            m.SearcherAnnounced(
                3, row(sequence=3, state=SearcherState.DRAINING)
            ),
        ],
    )
    def test_repeated_departure_waits_as_well(self, again):
        """Guards against acknowledging the repetition of what isn't stored."""
        bench = self.bench()
        first = (
            m.SearcherLeaving(2, "i1")
            if isinstance(again, m.SearcherLeaving)
            else m.SearcherAnnounced(2, DRAIN)
        )
        bench.step(first)
        bench.step(after=MAX_ACK_DELAY_S + 0.01)
        assert acknowledged(bench.step(again)) == []
        assert self.take(bench, "c2", stored=True) == []
        assert self.take(bench, "c3", stored=False) == [3]

    def test_ready_searcher_does_not_wait_for_disks(self):
        bench = self.bench(has_disk=False)
        bench.step(m.SearcherLeaving(2, "i1"))
        for name in ("c2", "c3"):
            self.take(bench, name, stored=False)
        other = row(searcher_id="i2", address="10.0.0.2:80")
        bench.step(m.SearcherAnnounced(3, other))
        bench.step(Received("c2", m.RowsTaken(3)))
        out = bench.step(Received("c3", m.RowsTaken(3)))
        assert acknowledged(out) == [3]

    def test_late_reply_to_an_earlier_process(self):
        """Guards against counting copies of rows that nobody has."""
        bench = HubBench("c1", first_number=1_000)
        bench.hub.set_peers((), frozenset({"c1", "c2", "c3"}))
        peer = m.Subscribe("c2", "", "", ready=False)
        bench.step(Received("c2", peer))
        bench.step(m.SearcherLeaving(2, "i1", 0))
        assert self.take(bench, "c2", stored=True) == []
        taken = m.RowsTaken(1_001, 1_001)
        assert acknowledged(bench.step(Received("c2", taken))) == [2]

    def test_outside_a_group(self):
        """No majority is known, so another instance has to store it."""
        bench = HubBench("c1")
        bench.subscribe()
        bench.hub.set_outside_group(True)
        out = bench.step(m.SearcherLeaving(2, "i1"))
        assert m.AnnouncementRejected(2) in out


class TestReceiver:
    """A control instance tells the sender what it has stored."""

    def test_rows_are_confirmed_once_stored(self):
        bench = HubBench("c2")
        bench.has_disk = False
        rows = m.SearcherRows(7, False, (DRAIN,))
        assert Send("c1", m.RowsTaken(7, 0)) in bench.step(Received("c1", rows))
        more = m.SearcherRows(8, False, (row(searcher_id="i2"),))
        assert Send("c1", m.RowsTaken(8, 0)) in bench.step(Received("c1", more))
        stored = m.DeparturesStored(bench.hub.departures_version)
        assert Send("c1", m.RowsTaken(8, 8)) in bench.step(stored)

    def test_departures_during_a_write_wait_for_the_next_one(self):
        """Guards against confirming rows that a write did not include."""
        bench = HubBench("c2")
        bench.has_disk = False
        bench.step(Received("c1", m.SearcherRows(1, False, (DRAIN,))))
        version = bench.hub.departures_version
        gone = row(searcher_id="i2", state=SearcherState.GONE)
        bench.step(Received("c1", m.SearcherRows(2, False, (gone,))))
        assert bench.step(m.DeparturesStored(version)) == []
        stored = m.DeparturesStored(bench.hub.departures_version)
        assert bench.step(stored) == [Send("c1", m.RowsTaken(2, 2))]

    def test_departure_is_dropped_when_the_searcher_starts_again(self):
        bench = HubBench("c2")
        gone = row(start=5, state=SearcherState.GONE)
        bench.step(Received("c1", m.SearcherRows(1, False, (gone,))))
        assert bench.hub.departures_to_store().rows == (gone,)
        again = m.SearcherRows(2, False, (row(start=6),))
        bench.step(Received("c1", again))
        assert bench.hub.departures_to_store().rows == ()

    @pytest.mark.parametrize("changes", [{"start": 6}, {"state": GONE}])
    def test_later_departure_of_a_searcher_is_stored_as_well(self, changes):
        """Guards against confirming a departure by that of an earlier start."""
        bench = HubBench("c2")
        bench.step(Received("c1", m.SearcherRows(1, False, (DRAIN,))))
        bench.has_disk = False
        later = attrs.evolve(DRAIN, **changes)
        out = bench.step(Received("c1", m.SearcherRows(2, False, (later,))))
        assert out == [Send("c1", m.RowsTaken(2, 0))]

    def test_departures_expire(self):
        bench = HubBench("c2")
        bench.step(Received("c1", m.SearcherRows(1, False, (DRAIN,))))
        bench.step(after=121.0)
        assert bench.hub.departures_to_store().rows == ()
