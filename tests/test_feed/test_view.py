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
    """What an entry believes of several control instances' words."""

    @pytest.mark.parametrize("order", [(0, 1), (1, 0)])
    def test_higher_sequence_wins_in_any_order(self, order):
        bench = ViewBench()
        said = [
            ("c1", row(state=SearcherState.LOST, sequence=4)),
            ("c2", row(sequence=9)),
        ]
        for i in order:
            sender, one = said[i]
            bench.hear(m.SearcherRows(1, False, (one,)), sender)
        out = bench.hear(m.SearcherRows(2, False, (row(sequence=5),)))
        assert not [x for x in out if isinstance(x, m.SearcherLearnt)]

    def test_gone_is_final(self):
        bench = ViewBench()
        gone = row(state=SearcherState.GONE, sequence=2)
        bench.hear(m.SearcherRows(1, False, (gone,)))
        out = bench.hear(m.SearcherRows(1, False, (row(sequence=8),)), "c2")
        assert not [x for x in out if isinstance(x, m.SearcherLearnt)]

    def test_fetches_elsewhere_when_a_source_is_silent(self):
        bench = ViewBench()
        out = bench.hear(m.DocumentNumber(3), "c1")
        assert Send("c1", m.WantNumbered(0)) in out
        bench.hear(m.DocumentNumber(3), "c2")
        assert Send("c2", m.WantNumbered(0)) in bench.step(after=0.6)

    def test_older_document_changes_nothing(self):
        bench = ViewBench()
        bench.hear(m.NumberedDocument(5, b"five"))
        out = bench.hear(m.NumberedDocument(4, b"four"))
        assert not [x for x in out if isinstance(x, m.DocumentLearnt)]
        assert bench.view.number == 5


class TestPeers:
    """Which control instances an entry keeps links to.

    The list only grew, so machines that had been replaced stayed in it.
    """

    def told(self, bench, name, *addresses):
        return bench.step(Received(name, m.KnownPeers(addresses, 1)))

    def test_replaced_instance_leaves_the_list(self):
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        self.told(bench, "c1", "a:1", "b:1")
        self.told(bench, "c1", "a:1", "c:1")
        assert bench.view.peers == ("a:1", "c:1")

    def test_what_any_linked_instance_names_stays(self):
        """One of them may be cut off, and know an older list."""
        bench = ViewBench()
        bench.step(m.LinkUp("c1"), m.LinkUp("c2"))
        self.told(bench, "c1", "a:1", "b:1")
        self.told(bench, "c2", "a:1", "c:1")
        assert bench.view.peers == ("a:1", "b:1", "c:1")

    def test_without_links_the_list_stays(self):
        """After a loss of power of all of them they are found again."""
        bench = ViewBench()
        bench.step(m.LinkUp("c1"), m.LinkUp("c2"))
        self.told(bench, "c1", "a:1")
        self.told(bench, "c2", "b:1")
        bench.step(m.LinkDown("c1"))
        bench.step(m.LinkDown("c2"))
        assert bench.view.peers == ("a:1", "b:1")
        bench.step(m.LinkUp("c1"))
        assert bench.view.peers == ("a:1", "b:1")

    def test_instance_outside_any_group_names_nobody(self):
        """It knows no list yet; the others' lists hold."""
        bench = ViewBench()
        bench.step(m.LinkUp("c1"), m.LinkUp("c9"))
        self.told(bench, "c1", "a:1", "b:1")
        self.told(bench, "c9")
        bench.step(m.LinkDown("c1"))
        assert bench.view.peers == ("a:1", "b:1")


class TestReady:
    """Ready means: confirmed by a quorum, and the searchers known.

    Symptom: a restarted entry answered 404 for a route that was in force.
    Sequence: it restarts, and hears first a control instance that is cut off
    from the others and has an old document.
    """

    def test_not_before_a_quorum_confirmed(self):
        bench = ViewBench()
        assert reads(bench.step(m.LinkUp("c1")))
        bench.hear(m.SearcherRows(1, True, (ROW,)))
        bench.hear(m.NumberedDocument(1, b"doc"))
        bench.step(after=5.0)
        assert not bench.view.me.ready
        bench.confirm()
        assert bench.view.me.ready

    def test_asks_at_once_when_a_control_instance_has_a_document(self):
        """After a kill of everything each moment is a caller's.

        Symptom: callers were refused for a tenth of a second although the
        control group had a leader. Cause: the entry asked on its own beat.
        """
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        assert not reads(bench.step(after=0.03))
        assert reads(bench.hear(m.DocumentNumber(3)))
        assert not reads(bench.hear(m.DocumentNumber(3), "c2"))

    def test_not_with_an_older_document_than_confirmed(self):
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        bench.hear(m.SearcherRows(1, True, (ROW,)))
        bench.hear(m.NumberedDocument(1, b"doc"))
        bench.hear(OpReply(1, Code.CURRENT, version=2, packed=b""))
        assert not bench.view.is_confirmed

    def test_waits_a_moment_for_silent_control_instances(self):
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        bench.hear(m.KnownPeers(("10.0.0.1:1", "10.0.0.2:1"), 1))
        bench.hear(m.SearcherRows(1, True, (ROW,)))
        bench.confirm()
        assert not bench.view.me.ready
        bench.step(after=2.0)
        assert bench.view.me.ready

    def test_leaving_is_said_at_once(self):
        bench = ViewBench()
        bench.step(m.LinkUp("c1"))
        bench.hear(m.SearcherRows(1, True, (ROW,)))
        bench.confirm()
        bench.view.leave()
        out = bench.step()
        assert m.ReadyChanged(False) in out
        assert Send("c1", bench.view.me) in out
