"""Announcements and documents through the hub to entries."""

from __future__ import annotations

from collections import Counter

import attrs

from greengagemoor.control.messages import (
    NumberedAccepted,
    Received,
    Send,
)
from greengagemoor.feed import messages as m
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.subscribers import HOLD_S
from tests.test_feed.helpers import (
    ANNOUNCE_S,
    ENTRY,
    ROW,
    HubBench,
    row,
    rows_to,
    taken,
)


class TestPush:
    """Changes reach subscribers; what is no change costs nothing."""

    def test_all_rows_to_a_new_entry(self):
        bench = HubBench()
        bench.step(m.Announced(1, ROW))
        assert rows_to(bench.subscribe()) == [ROW]

    def test_renewal_is_not_pushed(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, ROW))
        out = bench.step(m.Announced(2, row(sequence=2)), after=ANNOUNCE_S)
        assert not rows_to(out)
        assert 2 in taken(out)

    def test_after_a_gap_the_new_sequence_is_pushed(self):
        """Another control instance may have called the searcher lost."""
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, ROW))
        out = bench.step(m.Announced(2, row(sequence=9)), after=3.0)
        assert rows_to(out) == [row(sequence=9)]

    def test_silent_searcher_is_lost(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, ROW))
        (lost,) = rows_to(bench.step(after=4 * ANNOUNCE_S))
        assert lost.state is SearcherState.LOST


class TestDrainAcknowledgement:
    """A drain is acknowledged once the entries know of it."""

    def drain(self, bench):
        bench.subscribe()
        bench.step(m.Announced(1, ROW))
        bench.step(Received("e1", m.RowsTaken(1)))
        return bench.step(
            m.Announced(2, row(sequence=2, state=SearcherState.DRAINING))
        )

    def test_waits_for_the_entry(self):
        bench = HubBench()
        assert taken(self.drain(bench)) == []
        assert taken(bench.step(Received("e1", m.RowsTaken(2)))) == [2]

    def test_entry_without_a_link_is_not_waited_for(self):
        bench = HubBench()
        self.drain(bench)
        assert taken(bench.step(m.LinkDown("e1"))) == [2]

    def test_silent_entry_is_waited_for_a_moment(self):
        bench = HubBench()
        self.drain(bench)
        assert taken(bench.step(after=HOLD_S + 0.01)) == [2]


class TestReusedAddresses:
    """A late word of an old start must not displace the new one.

    Symptom: an entry sent to a start that had crashed. Sequence: an
    announcement is held up by a cut, its sender crashes, a new start
    announces itself at the same address, the cut heals. Cause: the last word
    about an address was taken for the newest.
    """

    def test_late_word_changes_nothing(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, ROW))
        out = bench.step(m.Announced(2, row(searcher_id="i2", service="t")))
        assert [(r.searcher_id, r.state) for r in rows_to(out)] == [
            ("i1", SearcherState.GONE),
            ("i2", SearcherState.READY),
        ]
        out = bench.step(m.Announced(3, row(sequence=2)))
        assert not rows_to(out)
        assert taken(out) == [3]

    def test_leaving_is_final(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, ROW))
        (gone,) = rows_to(bench.step(m.Leaving(2, "i1")))
        assert gone.state is SearcherState.GONE
        assert not rows_to(bench.step(m.Announced(3, row(sequence=7))))


class TestRestart:
    """Rows that were kept over a restart."""

    def test_kept_rows_are_there_at_once_and_fade(self):
        first = HubBench()
        first.step(m.Announced(1, ROW))
        kept = first.hub.kept_rows()
        bench = HubBench()
        bench.hub.begin_with(bench.now, kept.rows)
        assert set(rows_to(bench.subscribe())) == {ROW}
        (lost,) = rows_to(bench.step(after=3 * ANNOUNCE_S))
        assert lost.state is SearcherState.LOST

    def test_kept_rows_stand_from_the_start_on(self):
        """Rows that were kept are dated with the present time.

        Symptom: after a kill of everything a shard had one searcher of three
        for half a second.
        Sequence: an instance takes in its kept rows before its first tick.
        Cause: it dated them with the time of the last tick, zero, and called
        them lost in the first one.
        """
        bench = HubBench()
        bench.now = 1e9
        bench.hub.begin_with(bench.now, [ROW])
        bench.hub.begin_with_others(bench.now, [TestOtherInstances.OTHER])
        assert set(rows_to(bench.subscribe())) == {
            ROW,
            TestOtherInstances.OTHER,
        }


class TestOtherInstances:
    """Control instances know each other's rows, for entries to come.

    Symptom: after a kill of everything most gathers left shards out for a
    second. Sequence: two of five control instances are back and form a group
    with a third; entries subscribe and learn of two fifths of the searchers.
    Cause: an instance kept only what it had heard itself.
    """

    PEER = m.Subscribe("c2", "", "", ready=False)
    OTHER = attrs.evolve(ROW, searcher_id="i2", address="10.0.0.2:80")

    def linked(self):
        bench = HubBench()
        bench.hub.set_peers(("10.0.0.2:1",), frozenset({"c2"}))
        bench.step(m.LinkUp("c2"))
        rows = m.SearcherRows(1, True, (self.OTHER,))
        self.out = bench.step(Received("c2", rows))
        bench.step(m.Announced(1, ROW))
        return bench

    def test_asks_each_linked_instance_once(self):
        bench = HubBench()
        bench.hub.set_peers(("10.0.0.2:1",), frozenset({"c2"}))
        asked = [
            msg
            for _ in range(3)
            for msg in bench.step(m.LinkUp("c2"), m.LinkUp("e1"))
        ]
        assert [msg.to for msg in asked] == ["c2"]

    def test_new_entry_gets_all_rows(self):
        bench = self.linked()
        assert Send("c2", m.RowsTaken(1)) in self.out
        assert set(rows_to(bench.subscribe())) == {ROW, self.OTHER}

    def test_other_instances_get_own_rows_only(self):
        bench = self.linked()
        out = bench.step(Received("c2", self.PEER))
        assert rows_to(out, "c2") == [ROW]

    def test_all_rows_are_there_after_a_restart(self):
        kept = self.linked().hub.kept_others()
        bench = HubBench()
        bench.hub.begin_with_others(bench.now, kept.rows)
        assert rows_to(bench.subscribe()) == [self.OTHER]

    def test_kept_row_that_nobody_tells_again_is_forgotten(self):
        kept = self.linked().hub.kept_others()
        bench = HubBench()
        bench.hub.begin_with_others(bench.now, kept.rows)
        bench.step(after=4 * ANNOUNCE_S)
        assert rows_to(bench.subscribe()) == []

    def test_is_no_entry(self):
        bench = HubBench()
        bench.step(Received("c2", attrs.evolve(self.PEER, ready=True)))
        assert bench.subscribe()[0].payload == m.KnownPeers((), 1)

    def test_drain_waits_for_other_instances_too(self):
        """One that missed it would tell a later entry that it is ready."""
        bench = HubBench()
        bench.step(Received("c2", self.PEER))
        bench.step(m.Announced(1, ROW))
        bench.step(Received("c2", m.RowsTaken(1)))
        gone = row(sequence=2, state=SearcherState.DRAINING)
        assert taken(bench.step(m.Announced(2, gone))) == []
        assert taken(bench.step(Received("c2", m.RowsTaken(2)))) == [2]


class TestDirectory:
    """Entries that callers are given."""

    def test_all_entries_get_callers(self):
        """An answer names 64 addresses at most.

        Symptom: 14 of 78 entries got no caller. Cause: each answer named the
        same first 64.
        """
        bench = HubBench()
        for i in range(78):
            bench.subscribe(f"e{i}")
        named = Counter()
        for _ in range(78):
            entries = bench.hub.entries_for_caller()
            named.update(entry.name for entry in entries[:64])
        assert set(named.values()) == {64}

    def test_entry_that_is_not_ready_is_left_out(self):
        bench = HubBench()
        bench.step(Received("e1", attrs.evolve(ENTRY, ready=False)))
        assert bench.hub.entries_for_caller() == []


class TestDocuments:
    """Entries are told a number and fetch the document once."""

    def test_number_is_pushed_and_text_fetched(self):
        bench = HubBench()
        bench.subscribe()
        out = bench.step(NumberedAccepted(7, b"packed"))
        assert Send("e1", m.DocumentNumber(7)) in out
        (answer,) = bench.step(Received("e1", m.WantNumbered(3)))
        assert answer.payload == m.NumberedDocument(7, b"packed")
        assert bench.step(Received("e1", m.WantNumbered(7))) == []

    def test_lower_number_is_ignored(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(NumberedAccepted(7, b"packed"))
        assert bench.step(NumberedAccepted(5, b"older")) == []


class TestColdAgain:
    """A searcher may become cold again at any moment."""

    def test_told_at_once(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, row(sequence=1)))
        again = row(sequence=2, cold_left_s=3.0)
        out = bench.step(m.Announced(2, again), after=1.0)
        assert rows_to(out) == [again]

    def test_going_on_being_cold_is_no_news(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, row(sequence=1, cold_left_s=3.0)))
        later = row(sequence=2, cold_left_s=2.0)
        assert not rows_to(bench.step(m.Announced(2, later), after=1.0))
