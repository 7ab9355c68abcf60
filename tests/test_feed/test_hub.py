"""Propagation of announcements and documents through the hub to entries."""

from __future__ import annotations

from collections import Counter

import attrs

from greengagemoor.control.messages import (
    NumberedDocumentAccepted,
    Received,
    Send,
)
from greengagemoor.feed import messages as m
from greengagemoor.feed.acknowledgements import MAX_ACK_DELAY_S
from greengagemoor.feed.messages import SearcherState
from tests.test_feed.helpers import (
    ANNOUNCE_S,
    ENTRY,
    ROW,
    HubBench,
    acknowledged,
    row,
    rows_to,
)


class TestPush:
    """Changes are sent to subscribers, renewals are not."""

    def test_all_rows_to_a_new_entry(self):
        bench = HubBench()
        bench.step(m.SearcherAnnounced(1, ROW))
        assert rows_to(bench.subscribe()) == [ROW]

    def test_renewal_is_not_sent(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, ROW))
        out = bench.step(
            m.SearcherAnnounced(2, row(sequence=2)), after=ANNOUNCE_S
        )
        assert not rows_to(out)
        assert 2 in acknowledged(out)

    def test_new_sequence_is_sent_after_a_gap(self):
        """Another control instance may have marked the searcher lost."""
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, ROW))
        out = bench.step(m.SearcherAnnounced(2, row(sequence=9)), after=3.0)
        assert rows_to(out) == [row(sequence=9)]

    def test_silent_searcher_is_lost(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, ROW))
        (lost,) = rows_to(bench.step(after=4 * ANNOUNCE_S))
        assert lost.state is SearcherState.LOST


class TestDrainAcknowledgement:
    """A drain is acknowledged once the entries have received it."""

    def drain(self, bench):
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, ROW))
        bench.step(Received("e1", m.RowsTaken(1)))
        return bench.step(
            m.SearcherAnnounced(
                2, row(sequence=2, state=SearcherState.DRAINING)
            )
        )

    def test_waits_for_the_entry(self):
        bench = HubBench()
        assert acknowledged(self.drain(bench)) == []
        assert acknowledged(bench.step(Received("e1", m.RowsTaken(2)))) == [2]

    def test_entry_without_a_link_is_not_waited_for(self):
        bench = HubBench()
        self.drain(bench)
        assert acknowledged(bench.step(m.LinkDown("e1"))) == [2]

    def test_wait_for_a_silent_entry_is_bounded(self):
        bench = HubBench()
        self.drain(bench)
        assert acknowledged(bench.step(after=MAX_ACK_DELAY_S + 0.01)) == [2]


class TestReusedAddresses:
    """A delayed announcement must not displace a newer searcher.

    Guards against entries sending to a crashed searcher: its announcement is
    delayed by a network partition, it crashes, another searcher announces
    itself at the same address, and the partition heals. The announcement that
    arrived last was taken for the newest.
    """

    def test_delayed_announcement_is_ignored(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, ROW))
        out = bench.step(
            m.SearcherAnnounced(2, row(searcher_id="i2", service="t"))
        )
        assert [(r.searcher_id, r.state) for r in rows_to(out)] == [
            ("i1", SearcherState.LOST),
            ("i2", SearcherState.READY),
        ]
        out = bench.step(m.SearcherAnnounced(3, row(sequence=2)))
        assert not rows_to(out)
        assert acknowledged(out) == [3]

    def test_leaving_is_final(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, ROW))
        (gone,) = rows_to(bench.step(m.SearcherLeaving(2, "i1")))
        assert gone.state is SearcherState.GONE
        assert not rows_to(bench.step(m.SearcherAnnounced(3, row(sequence=7))))


class TestRestart:
    """Rows that are restored after a restart."""

    def test_restored_rows_are_sent_at_once_and_expire(self):
        first = HubBench()
        first.step(m.SearcherAnnounced(1, ROW))
        kept = first.hub.rows_to_store()
        bench = HubBench()
        bench.hub.restore(bench.now, kept.rows)
        assert set(rows_to(bench.subscribe())) == {ROW}
        (lost,) = rows_to(bench.step(after=3 * ANNOUNCE_S))
        assert lost.state is SearcherState.LOST

    def test_kept_rows_stand_from_the_start_on(self):
        """Restored rows are dated with the present time.

        Guards against marking them lost in the first tick: an instance
        restores its rows before that tick and dated them with the time of the
        last tick, zero. After a restart of all processes a shard then had one
        searcher of three for half a second.
        """
        bench = HubBench()
        bench.now = 1e9
        bench.hub.restore(bench.now, [ROW])
        bench.hub.restore_peer_rows(bench.now, [TestOtherInstances.OTHER])
        assert set(rows_to(bench.subscribe())) == {
            ROW,
            TestOtherInstances.OTHER,
        }


class TestOtherInstances:
    """Control instances store each other's rows for later subscribers.

    Guards against gathers with missing shards for a second after a restart of
    all processes: two of five control instances are back and form a group with
    a third, and entries that subscribe get two fifths of the searchers, as an
    instance stored only the searchers that announced themselves to it.
    """

    PEER = m.Subscribe("c2", "", "", ready=False)
    OTHER = attrs.evolve(ROW, searcher_id="i2", address="10.0.0.2:80")

    def linked(self):
        bench = HubBench()
        bench.hub.set_peers(("10.0.0.2:1",), frozenset({"c2"}))
        bench.step(m.LinkUp("c2"))
        rows = m.SearcherRows(1, True, (self.OTHER,))
        self.out = bench.step(Received("c2", rows))
        bench.step(m.SearcherAnnounced(1, ROW))
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
        assert Send("c2", m.RowsTaken(1, 1)) in self.out
        assert set(rows_to(bench.subscribe())) == {ROW, self.OTHER}

    def test_other_instances_get_own_rows_only(self):
        bench = self.linked()
        out = bench.step(Received("c2", self.PEER))
        assert rows_to(out, "c2") == [ROW]

    def test_all_rows_are_restored_after_a_restart(self):
        kept = self.linked().hub.peer_rows_to_store()
        bench = HubBench()
        bench.hub.restore_peer_rows(bench.now, kept.rows)
        assert rows_to(bench.subscribe()) == [self.OTHER]

    def test_unconfirmed_restored_row_expires(self):
        kept = self.linked().hub.peer_rows_to_store()
        bench = HubBench()
        bench.hub.restore_peer_rows(bench.now, kept.rows)
        bench.step(after=4 * ANNOUNCE_S)
        assert rows_to(bench.subscribe()) == []

    def test_control_instance_is_not_counted_as_entry(self):
        bench = HubBench()
        bench.step(Received("c2", attrs.evolve(self.PEER, ready=True)))
        assert bench.subscribe()[0].payload == m.KnownPeers((), 1)

    def test_drain_waits_for_other_instances_too(self):
        """One that missed it would send later entries the row as ready."""
        bench = HubBench()
        bench.step(Received("c2", self.PEER))
        bench.step(m.SearcherAnnounced(1, ROW))
        bench.step(Received("c2", m.RowsTaken(1)))
        gone = row(sequence=2, state=SearcherState.DRAINING)
        assert acknowledged(bench.step(m.SearcherAnnounced(2, gone))) == []
        assert acknowledged(bench.step(Received("c2", m.RowsTaken(2)))) == [2]


class TestDirectory:
    """Entries that are listed to callers."""

    def test_all_entries_get_callers(self):
        """Guards against entries without callers.

        An answer lists 64 addresses at most; when each listed the same first
        64, 14 of 78 entries got no caller.
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
    """Entries receive a number and fetch the document once."""

    def test_number_is_sent_and_text_fetched(self):
        bench = HubBench()
        bench.subscribe()
        out = bench.step(NumberedDocumentAccepted(7, b"packed"))
        assert Send("e1", m.DocumentNumber(7)) in out
        (answer,) = bench.step(Received("e1", m.WantNumbered(3)))
        assert answer.payload == m.NumberedDocument(7, b"packed")
        assert bench.step(Received("e1", m.WantNumbered(7))) == []

    def test_lower_number_is_ignored(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(NumberedDocumentAccepted(7, b"packed"))
        assert bench.step(NumberedDocumentAccepted(5, b"older")) == []


class TestColdAgain:
    """The warm-up of a searcher may begin again at any time."""

    def test_new_warm_up_is_sent_at_once(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, row(sequence=1)))
        again = row(sequence=2, cold_left_s=3.0)
        out = bench.step(m.SearcherAnnounced(2, again), after=1.0)
        assert rows_to(out) == [again]

    def test_continued_warm_up_is_not_sent(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, row(sequence=1, cold_left_s=3.0)))
        later = row(sequence=2, cold_left_s=2.0)
        assert not rows_to(bench.step(m.SearcherAnnounced(2, later), after=1.0))
