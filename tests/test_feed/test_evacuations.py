"""Transfer of evacuations from a control instance to an entry."""

from __future__ import annotations

from greengagemoor.codes import Code
from greengagemoor.control.evacuations import Evacuation
from greengagemoor.control.messages import EvacuationsAccepted, OpReply, Send
from greengagemoor.feed import messages as m
from tests.test_feed.helpers import HubBench, ViewBench

FIRST = Evacuation("dc1", 1, True)
ENDED = Evacuation("dc1", 2, False)


def sent_rows(out, name="e1"):
    """Returns the rows of each message of evacuations to an entry."""
    return [
        msg.payload.rows
        for msg in out
        if isinstance(msg, Send)
        and msg.to == name
        and isinstance(msg.payload, m.Evacuations)
    ]


def learnt_rows(out):
    return [msg.rows for msg in out if isinstance(msg, m.EvacuationsUpdated)]


class TestHub:
    """The control side."""

    def test_sent_at_once_and_only_once(self):
        bench = HubBench()
        bench.subscribe()
        assert sent_rows(bench.step(EvacuationsAccepted((FIRST,)))) == [
            (FIRST,)
        ]
        assert sent_rows(bench.step(EvacuationsAccepted((FIRST,)))) == []

    def test_sent_to_later_subscribers(self):
        bench = HubBench()
        bench.step(EvacuationsAccepted((FIRST,)))
        assert sent_rows(bench.subscribe()) == [(FIRST,)]

    def test_outdated_member_reverts_nothing(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(EvacuationsAccepted((ENDED,)))
        assert sent_rows(bench.step(EvacuationsAccepted((FIRST,)))) == []


class TestView:
    """The entry side."""

    def test_newest_row_wins_from_any_sender(self):
        bench = ViewBench()
        out = bench.receive(m.Evacuations((ENDED,)), sender="c2")
        assert learnt_rows(out) == [(ENDED,)]
        assert (
            learnt_rows(bench.receive(m.Evacuations((FIRST,)), sender="c1"))
            == []
        )

    def test_known_before_the_entry_serves(self):
        """Guards against sends to an evacuated data centre after a start."""
        bench = ViewBench()
        reply = OpReply(
            1,
            Code.CURRENT,
            version=1,
            packed=b"doc",
            evacuations=(FIRST,),
        )
        assert learnt_rows(bench.receive(reply)) == [(FIRST,)]
        assert bench.view.is_confirmed
