"""Which control instances a starting entry asks for the current document."""

from __future__ import annotations

from greengagemoor.codes import Code
from greengagemoor.control.messages import OpReply, OpRequest, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.document_reads import (
    MIN_READ_INTERVAL_S,
    OTHERS_PER_ROUND,
    READ_INTERVAL_S,
)
from tests.test_feed.helpers import ViewBench

NINE = tuple(f"c{i}" for i in range(1, 10))


def asked(out):
    """Returns the control instances that are asked."""
    return [
        x.to
        for x in out
        if isinstance(x, Send) and isinstance(x.payload, OpRequest)
    ]


def linked():
    bench = ViewBench()
    first = bench.step(*(m.LinkUp(name) for name in NINE))
    return bench, asked(first)


def refuse(bench, sender, leader=""):
    reply = OpReply(1, Code.NOT_LEADER, leader=leader)
    return asked(bench.receive(reply, sender, after=1.05 * MIN_READ_INTERVAL_S))


class TestManyEntriesStartTogether:
    """After a power loss all entries ask while the group elects a leader.

    Guards against overload of the control instances: 191 entries asked each of
    nine of them ten times a second, so each, with 0.645 of a core, got 1,900
    requests per second while it had to accept 191 links, send all rows and
    elect a leader. A leader was elected 0.25 s after the first process ran, but
    the median entry had its first link after 0.35 s, the document 0.38 s later,
    and was ready 0.92 s after its start, while callers were refused or waited.
    """

    def test_few_are_asked_in_a_round(self):
        bench, first = linked()
        assert len(first) == OTHERS_PER_ROUND
        for _ in range(5):
            out = asked(bench.step(after=READ_INTERVAL_S))
            assert len(out) == OTHERS_PER_ROUND

    def test_all_are_asked_in_rotation(self):
        bench, first = linked()
        seen = set(first)
        for _ in range(4):
            seen.update(asked(bench.step(after=READ_INTERVAL_S)))
        assert seen == set(NINE)

    def test_reported_leader_is_asked_at_once(self):
        bench, first = linked()
        assert refuse(bench, first[0], "c7")[0] == "c7"
        again = asked(bench.step(after=READ_INTERVAL_S))
        assert again[0] == "c7"
        assert len(again) == 1 + OTHERS_PER_ROUND

    def test_leader_without_a_link_is_not_waited_for(self):
        bench, first = linked()
        refuse(bench, first[0], "c7")
        bench.step(m.LinkDown("c7"))
        seen = set()
        for _ in range(4):
            seen.update(asked(bench.step(after=READ_INTERVAL_S)))
        assert seen == set(NINE) - {"c7"}

    def test_a_later_leader_is_asked(self):
        """The previous leader is frozen, and others name the new one."""
        bench, first = linked()
        refuse(bench, first[0], "c7")
        assert refuse(bench, first[1], "c8")[0] == "c8"

    def test_no_requests_once_confirmed(self):
        bench, _ = linked()
        bench.confirm()
        assert asked(bench.step(after=1.0)) == []
