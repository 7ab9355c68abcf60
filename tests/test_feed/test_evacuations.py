"""Evacuations on their way from a control instance to an entry."""

from __future__ import annotations

from greengagemoor.codes import Code
from greengagemoor.control.evacuations import Evacuation
from greengagemoor.control.messages import EvacuationsAccepted, OpReply, Send
from greengagemoor.feed import messages as m
from tests.test_feed.helpers import HubBench, ViewBench

FIRST = Evacuation("dc1", 1, True)
ENDED = Evacuation("dc1", 2, False)


def told(out, name="e1"):
    """Returns the rows sent to an entry, a message each."""
    return [
        msg.payload.rows
        for msg in out
        if isinstance(msg, Send)
        and msg.to == name
        and isinstance(msg.payload, m.Evacuations)
    ]


def learnt(out):
    return [msg.rows for msg in out if isinstance(msg, m.EvacuationsLearnt)]


class TestHub:
    """The control side."""

    def test_pushed_at_once_and_once(self):
        bench = HubBench()
        bench.subscribe()
        assert told(bench.step(EvacuationsAccepted((FIRST,)))) == [(FIRST,)]
        assert told(bench.step(EvacuationsAccepted((FIRST,)))) == []

    def test_told_to_who_subscribes_later(self):
        bench = HubBench()
        bench.step(EvacuationsAccepted((FIRST,)))
        assert told(bench.subscribe()) == [(FIRST,)]

    def test_a_member_that_is_behind_takes_nothing_back(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(EvacuationsAccepted((ENDED,)))
        assert told(bench.step(EvacuationsAccepted((FIRST,)))) == []


class TestView:
    """The entry's side."""

    def test_newest_word_holds_whoever_told_it(self):
        bench = ViewBench()
        out = bench.hear(m.Evacuations((ENDED,)), sender="c2")
        assert learnt(out) == [(ENDED,)]
        assert learnt(bench.hear(m.Evacuations((FIRST,)), sender="c1")) == []

    def test_known_before_it_serves(self):
        """Guards against a starting entry that sends to an evacuated place."""
        bench = ViewBench()
        reply = OpReply(
            1,
            Code.CURRENT,
            version=1,
            packed=b"doc",
            evacuations=(FIRST,),
        )
        assert learnt(bench.hear(reply)) == [(FIRST,)]
        assert bench.view.is_confirmed
