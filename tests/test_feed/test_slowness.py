"""Searchers that several entries find slow."""

from __future__ import annotations

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.slowness import (
    FIRST_AVOID_S,
    MAX_AVOID_S,
    SlowSearcherTable,
)
from tests.test_feed.helpers import HubBench, ViewBench

KEY = m.SearcherKey("i1")


def note_at(table, *times):
    """Returns the results of reports at the given times."""
    return [table.note(at, KEY) for at in times]


class TestSlowTable:
    """Only reports spread over time make a searcher slow."""

    def test_pause_does_not_count(self):
        """A pause delays several sends at the same time."""
        times = [1.0 + 0.05 * i for i in range(12)]
        assert note_at(SlowSearcherTable(), *times, 2.1) == [None] * 13

    def test_reports_over_time_count(self):
        times = [1.1 + 0.2 * i for i in range(5)]
        assert note_at(SlowSearcherTable(), *times) == [None] * 4 + [
            FIRST_AVOID_S
        ]

    def test_old_reports_do_not_count(self):
        times = [1.1, 1.3, 1.5, 1.7, 5.1, 5.3, 5.5, 5.7]
        assert note_at(SlowSearcherTable(), *times) == [None] * 8

    def test_relapse_is_avoided_longer_up_to_a_bound(self):
        table = SlowSearcherTable()
        now, spans = 0.0, []
        for _ in range(4):
            *_, span = note_at(table, *(now + 0.1 + 0.2 * i for i in range(5)))
            spans.append(span)
            now = round(now + 1.0 + span, 1)
        assert spans == [2.0, 4.0, MAX_AVOID_S, MAX_AVOID_S]


class TestPropagation:
    """From the late answers at one entry to all entries."""

    def test_entry_reports_and_hub_notifies_all(self):
        """Guards against each of 78 entries detecting a slow searcher alone."""
        view = ViewBench()
        view.step(m.LinkUp("c1"))
        sent = []
        for _ in range(9):
            sent += view.step(m.SlowSendObserved(KEY), after=0.15)
        reports = [x for x in sent if isinstance(x.payload, m.SlowReport)]
        assert reports
        bench = HubBench()
        bench.subscribe("e1")
        bench.subscribe("e2")
        out = []
        for msg in reports:
            out += bench.step(Received("e1", msg.payload), after=0.2)
        slow = m.SlowSearchers((KEY,), FIRST_AVOID_S)
        assert Send("e1", slow) in out
        assert Send("e2", slow) in out
