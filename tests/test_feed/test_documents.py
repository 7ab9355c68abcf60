"""Transfer of documents from control instances to entries."""

from __future__ import annotations

import zlib

from greengagemoor.codes import Code
from greengagemoor.control.messages import (
    NumberedDocumentAccepted,
    OpReply,
    OpRequest,
    Received,
    Send,
)
from greengagemoor.feed import messages as m
from greengagemoor.feed.history import MAX_BASE_DOCUMENTS
from tests.test_feed.helpers import HubBench, ViewBench


def text(number):
    """Returns a long document; any two of them differ in a few bytes."""
    routes = (f'{{"name":"r-{i * 7919 % 10007}"}}' for i in range(2000))
    return f'{{"version":{number},"routes":[{",".join(routes)}]}}'.encode()


def packed(number):
    return zlib.compress(text(number), 6)


def ask(bench, known):
    """Returns the answer of a hub to an entry that has document ``known``."""
    out = bench.step(Received("e1", m.WantNumbered(known)))
    found = [x.payload for x in out if isinstance(x, Send)]
    return next(x for x in found if isinstance(x, m.NumberedDocument))


def hub_with(*numbers):
    bench = HubBench()
    bench.subscribe("e1")
    for number in numbers:
        bench.step(NumberedDocumentAccepted(number, packed(number)))
    return bench


def accepted(out):
    """Returns the documents that an entry accepted."""
    return [
        (x.number, zlib.decompress(x.packed))
        for x in out
        if isinstance(x, m.DocumentUpdated)
    ]


class TestDifferences:
    """Guards against sending the whole document for a change of a few bytes.

    With 25 successive changes of a document of 1,800 routes, 191 entries
    fetched 28 KB each time: 0.25 GB between data centres, four times the
    traffic of the queries and the largest part of the cost.
    """

    def test_only_what_differs_is_sent(self):
        bench = hub_with(7, 9)
        whole, differing = ask(bench, 0), ask(bench, 7)
        assert (whole.base, differing.base) == (0, 7)
        assert len(differing.packed) < len(whole.packed) / 5

    def test_entry_applies_it(self):
        hub, view = hub_with(7, 9, 12), ViewBench()
        view.receive(m.NumberedDocument(7, packed(7)))
        out = view.receive(ask(hub, 7))
        assert accepted(out) == [(12, text(12))]
        hub.step(NumberedDocumentAccepted(13, packed(13)))
        assert accepted(view.receive(ask(hub, 12))) == [(13, text(13))]

    def test_entry_far_behind_gets_the_whole_document(self):
        bench = hub_with(*range(1, MAX_BASE_DOCUMENTS + 3))
        assert ask(bench, 1).base == 0
        assert ask(bench, 2).base == 2

    def test_restarted_hub_sends_the_whole_document(self):
        """A restarted hub has the newest document only."""
        assert ask(hub_with(9), 7).base == 0


class TestDifferenceThatDoesNotFit:
    """The entry requests the whole document and serves no corrupted text."""

    def view_and_output(self, document):
        view = ViewBench()
        view.step(m.LinkUp("c1"))
        view.receive(m.NumberedDocument(7, packed(7)))
        view.receive(m.DocumentNumber(9))
        return view, view.receive(document)

    def test_packed_against_another_document(self):
        other = ask(hub_with(8, 9), 8)
        view, out = self.view_and_output(other)
        assert accepted(out) == []
        assert Send("c1", m.WantNumbered(0)) in out
        out = view.receive(m.NumberedDocument(9, packed(9)))
        assert accepted(out) == [(9, text(9))]

    def test_damaged(self):
        whole = ask(hub_with(7, 9), 7)
        bad = m.NumberedDocument(9, whole.packed[:-3] + b"abc", 7)
        view, out = self.view_and_output(bad)
        assert accepted(out) == []
        (rejection,) = [x for x in out if isinstance(x, m.DifferenceRejected)]
        assert (rejection.source, rejection.number) == ("c1", 9)
        assert Send("c1", m.WantNumbered(0)) in out
        assert view.view.number == 7

    def test_late_difference_is_ignored(self):
        view = ViewBench()
        view.receive(m.NumberedDocument(12, packed(12)))
        out = view.receive(ask(hub_with(7, 9), 7))
        assert accepted(out) == []
        assert view.view.number == 12


class TestReads:
    """A read requests the number of the current document, not its text.

    Guards against redundant transfers: after a power loss each of 191 entries
    asked nine control instances and got the whole document from each, while
    callers waited.
    """

    def reads(self, out):
        return [
            x.payload
            for x in out
            if isinstance(x, Send) and isinstance(x.payload, OpRequest)
        ]

    def test_document_being_fetched_is_not_requested_again(self):
        view = ViewBench()
        view.step(m.LinkUp("c1"), m.LinkUp("c2"))
        out = view.receive(m.DocumentNumber(9), after=0.2)
        assert Send("c1", m.WantNumbered(0)) in out
        assert {read.known_version for read in self.reads(out)} == {9}

    def test_document_is_requested_after_its_holder_disconnected(self):
        view = ViewBench()
        view.step(m.LinkUp("c1"), m.LinkUp("c2"))
        view.receive(m.DocumentNumber(9), "c1")
        out = view.step(m.LinkDown("c1"), after=0.2)
        assert {read.known_version for read in self.reads(out)} == {0}

    def test_confirmed_once_reply_and_document_arrived(self):
        view = ViewBench()
        view.step(m.LinkUp("c1"))
        view.receive(m.DocumentNumber(9))
        view.receive(OpReply(1, Code.CURRENT, version=9))
        assert not view.view.is_confirmed
        view.receive(m.NumberedDocument(9, packed(9)))
        assert view.view.is_confirmed
