"""An entry's view of searchers, documents and control instances."""

from __future__ import annotations

import pytest

from greengagemoor.codes import Code
from greengagemoor.control.messages import (
    OpReply,
    OpRequest,
    Received,
    Send,
)
from greengagemoor.feed import messages as m
from greengagemoor.feed.messages import SearcherState
from tests.test_feed.helpers import (
    ROW,
    ViewBench,
    row,
)


def reads(out):
    """Returns the reads of the document among messages."""
    return [
        msg
        for msg in out
        if isinstance(msg, Send) and isinstance(msg.payload, OpRequest)
    ]


class TestView:
    """Merging of rows and documents from several control instances."""

    @pytest.mark.parametrize("order", [(0, 1), (1, 0)])
    def test_higher_sequence_wins_in_any_order(self, order):
        bench = ViewBench()
        sent = [
            ("c1", row(state=SearcherState.LOST, sequence=4)),
            ("c2", row(sequence=9)),
        ]
        for i in order:
            sender, sent_row = sent[i]
            bench.receive(m.SearcherRows(1, False, (sent_row,)), sender)
        out = bench.receive(m.SearcherRows(2, False, (row(sequence=5),)))
        assert not [x for x in out if isinstance(x, m.SearcherUpdated)]

    def test_gone_is_final(self):
        bench = ViewBench()
        gone = row(state=SearcherState.GONE, sequence=2)
        bench.receive(m.SearcherRows(1, False, (gone,)))
        out = bench.receive(m.SearcherRows(1, False, (row(sequence=8),)), "c2")
        assert not [x for x in out if isinstance(x, m.SearcherUpdated)]

    def test_fetches_elsewhere_when_a_source_is_silent(self):
        bench = ViewBench()
        out = bench.receive(m.DocumentNumber(3), "c1")
        assert Send("c1", m.WantNumbered(0)) in out
        bench.receive(m.DocumentNumber(3), "c2")
        assert Send("c2", m.WantNumbered(0)) in bench.step(after=0.6)

    def test_older_document_is_ignored(self):
        bench = ViewBench()
        bench.receive(m.NumberedDocument(5, b"five"))
        out = bench.receive(m.NumberedDocument(4, b"four"))
        assert not [x for x in out if isinstance(x, m.DocumentUpdated)]
        assert bench.view.number == 5


class TestPeers:
    """Which control instances an entry keeps links to.

    Guards against a list that only grows and keeps replaced machines.
    """

    def receive_peers(self, bench, name, *addresses):
        return bench.step(Received(name, m.KnownPeers(addresses, 1)))

    def test_replaced_instance_leaves_the_list(self):
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        self.receive_peers(bench, "c1", "a:1", "b:1")
        self.receive_peers(bench, "c1", "a:1", "c:1")
        assert bench.view.peers == ("a:1", "c:1")

    def test_address_named_by_any_linked_instance_stays(self):
        """One of them may be partitioned and have an outdated list."""
        bench = ViewBench()
        bench.step(m.LinkUp("c1"), m.LinkUp("c2"))
        self.receive_peers(bench, "c1", "a:1", "b:1")
        self.receive_peers(bench, "c2", "a:1", "c:1")
        assert bench.view.peers == ("a:1", "b:1", "c:1")

    def test_list_is_kept_without_links(self):
        """After a power loss of all of them they are reached again."""
        bench = ViewBench()
        bench.step(m.LinkUp("c1"), m.LinkUp("c2"))
        self.receive_peers(bench, "c1", "a:1")
        self.receive_peers(bench, "c2", "b:1")
        bench.step(m.LinkDown("c1"))
        bench.step(m.LinkDown("c2"))
        assert bench.view.peers == ("a:1", "b:1")
        bench.step(m.LinkUp("c1"))
        assert bench.view.peers == ("a:1", "b:1")

    def test_instance_outside_any_group_names_no_addresses(self):
        """It has no list yet; the lists of the others apply."""
        bench = ViewBench()
        bench.step(m.LinkUp("c1"), m.LinkUp("c9"))
        self.receive_peers(bench, "c1", "a:1", "b:1")
        self.receive_peers(bench, "c9")
        bench.step(m.LinkDown("c1"))
        assert bench.view.peers == ("a:1", "b:1")


class TestReady:
    """Ready means: document confirmed by a quorum, and searchers known.

    Guards against a restarted entry answering 404 for a route in force: it
    gets its first messages from a control instance that is partitioned from the
    others and has an old document.
    """

    def test_not_before_a_quorum_has_confirmed(self):
        bench = ViewBench()
        assert reads(bench.step(m.LinkUp("c1")))
        bench.receive(m.SearcherRows(1, True, (ROW,)))
        bench.receive(m.NumberedDocument(1, b"doc"))
        bench.step(after=5.0)
        assert not bench.view.me.ready
        bench.confirm()
        assert bench.view.me.ready

    def test_asks_at_once_when_a_control_instance_has_a_document(self):
        """Guards against a delay after a restart of all processes.

        Callers were refused for 0.1 s although the control group had a leader,
        as the entry asked only at its regular interval.
        """
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        assert not reads(bench.step(after=0.03))
        assert reads(bench.receive(m.DocumentNumber(3)))
        assert not reads(bench.receive(m.DocumentNumber(3), "c2"))

    def test_not_with_an_older_document_than_confirmed(self):
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        bench.receive(m.SearcherRows(1, True, (ROW,)))
        bench.receive(m.NumberedDocument(1, b"doc"))
        bench.receive(OpReply(1, Code.CURRENT, version=2, packed=b""))
        assert not bench.view.is_confirmed

    def test_wait_for_silent_control_instances_is_bounded(self):
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        bench.receive(m.KnownPeers(("10.0.0.1:1", "10.0.0.2:1"), 1))
        bench.receive(m.SearcherRows(1, True, (ROW,)))
        bench.confirm()
        assert not bench.view.me.ready
        bench.step(after=2.0)
        assert bench.view.me.ready

    def test_changed_capacity_is_sent_once(self):
        """Guards against reloaded settings that need a restart."""
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        bench.view.capacity = 0.5
        (sent,) = bench.step()
        assert sent.payload.capacity == 0.5
        assert bench.step() == []

    def test_leaving_is_sent_at_once(self):
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        bench.receive(m.SearcherRows(1, True, (ROW,)))
        bench.confirm()
        bench.view.leave()
        out = bench.step()
        assert m.ReadyChanged(False) in out
        assert Send("c1", bench.view.me) in out
