"""Documents on their way from control instances to entries."""

from __future__ import annotations

import zlib

from greengagemoor.codes import Code
from greengagemoor.control.messages import (
    NumberedAccepted,
    OpReply,
    OpRequest,
    Received,
    Send,
)
from greengagemoor.feed import messages as m
from greengagemoor.feed.history import KEPT
from tests.test_feed.helpers import HubBench, ViewBench


def text(number):
    """Returns a long document; two numbers differ in a few bytes."""
    routes = (f'{{"name":"r-{i * 7919 % 10007}"}}' for i in range(2000))
    return f'{{"version":{number},"routes":[{",".join(routes)}]}}'.encode()


def packed(number):
    return zlib.compress(text(number), 6)


def ask(bench, known):
    """Returns what a hub answers to an entry that has a document."""
    out = bench.step(Received("e1", m.WantNumbered(known)))
    found = [x.payload for x in out if isinstance(x, Send)]
    return next(x for x in found if isinstance(x, m.NumberedDocument))


def hub_with(*numbers):
    bench = HubBench()
    bench.subscribe("e1")
    for number in numbers:
        bench.step(NumberedAccepted(number, packed(number)))
    return bench


def learnt(out):
    """Returns the documents that an entry took over."""
    return [
        (x.number, zlib.decompress(x.packed))
        for x in out
        if isinstance(x, m.DocumentLearnt)
    ]


class TestDifferences:
    """A change of a few bytes costs a few bytes at each entry.

    On a day with 25 changes in a row of a document of 1,800 routes, 191
    entries fetched 28 KB each time: 0.25 GB between data centres, four times
    what the queries needed, and the largest price of that day.
    """

    def test_only_what_differs_is_sent(self):
        bench = hub_with(7, 9)
        whole, differing = ask(bench, 0), ask(bench, 7)
        assert (whole.base, differing.base) == (0, 7)
        assert len(differing.packed) < len(whole.packed) / 5

    def test_entry_takes_it_over(self):
        hub, view = hub_with(7, 9, 12), ViewBench()
        view.hear(m.NumberedDocument(7, packed(7)))
        out = view.hear(ask(hub, 7))
        assert learnt(out) == [(12, text(12))]
        hub.step(NumberedAccepted(13, packed(13)))
        assert learnt(view.hear(ask(hub, 12))) == [(13, text(13))]

    def test_who_is_far_behind_gets_the_whole(self):
        bench = hub_with(*range(1, KEPT + 3))
        assert ask(bench, 1).base == 0
        assert ask(bench, 2).base == 2

    def test_after_a_restart_of_the_hub(self):
        """It knows the newest document only."""
        assert ask(hub_with(9), 7).base == 0


class TestDifferenceThatDoesNotFit:
    """The entry asks for the whole, and never serves a mixture."""

    def refused(self, document):
        view = ViewBench()
        view.step(m.LinkUp("c1"))
        view.hear(m.NumberedDocument(7, packed(7)))
        view.hear(m.DocumentNumber(9))
        return view, view.hear(document)

    def test_of_another_document(self):
        other = ask(hub_with(8, 9), 8)
        view, out = self.refused(other)
        assert learnt(out) == []
        assert Send("c1", m.WantNumbered(0)) in out
        out = view.hear(m.NumberedDocument(9, packed(9)))
        assert learnt(out) == [(9, text(9))]

    def test_damaged(self):
        whole = ask(hub_with(7, 9), 7)
        bad = m.NumberedDocument(9, whole.packed[:-3] + b"abc", 7)
        view, out = self.refused(bad)
        assert learnt(out) == []
        (told,) = [x for x in out if isinstance(x, m.DifferenceRefused)]
        assert (told.source, told.number) == ("c1", 9)
        assert Send("c1", m.WantNumbered(0)) in out
        assert view.view.number == 7

    def test_late_one_changes_nothing(self):
        view = ViewBench()
        view.hear(m.NumberedDocument(12, packed(12)))
        out = view.hear(ask(hub_with(7, 9), 7))
        assert learnt(out) == []
        assert view.view.number == 12


class TestReads:
    """A read asks which document is current, not for the document.

    After a loss of power each of 191 entries asked nine control instances and
    got the whole document from each, while callers waited.
    """

    def reads(self, out):
        return [
            x.payload
            for x in out
            if isinstance(x, Send) and isinstance(x.payload, OpRequest)
        ]

    def test_what_is_fetched_already_is_not_asked_for(self):
        view = ViewBench()
        view.step(m.LinkUp("c1"), m.LinkUp("c2"))
        out = view.hear(m.DocumentNumber(9), after=0.2)
        assert Send("c1", m.WantNumbered(0)) in out
        assert {read.known_version for read in self.reads(out)} == {9}

    def test_who_had_it_is_gone(self):
        view = ViewBench()
        view.step(m.LinkUp("c1"), m.LinkUp("c2"))
        view.hear(m.DocumentNumber(9), "c1")
        out = view.step(m.LinkDown("c1"), after=0.2)
        assert {read.known_version for read in self.reads(out)} == {0}

    def test_is_ready_once_both_are_there(self):
        view = ViewBench()
        view.step(m.LinkUp("c1"))
        view.hear(m.DocumentNumber(9))
        view.hear(OpReply(1, Code.CURRENT, version=9))
        assert not view.view.is_confirmed
        view.hear(m.NumberedDocument(9, packed(9)))
        assert view.view.is_confirmed
