"""Searchers that start again under the id they had."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.rows import newer
from greengagemoor.feed.slowness import LEAST_SLICES, SLICE_S
from greengagemoor.wire import codec
from tests.test_feed.helpers import (
    ANNOUNCE_S,
    HubBench,
    ViewBench,
    row,
    rows_to,
    taken,
)

OLD = row(start=1_000, sequence=40)
NEW = row(start=2_000, sequence=1)


def states(bench):
    """Returns start and state by id, as an entry that asks now gets them."""
    bench.step(m.LinkDown("late"))
    told = rows_to(bench.subscribe("late"), "late")
    return {r.searcher_id: (r.start, r.state) for r in told}


class TestAnnouncements:
    """The first word of a new start counts.

    Symptom: a searcher that had started again got no request for the 18 to
    28 s that were left. Sequence: it announces itself under its id, counting
    from 1 again. Cause: words were ordered by that count alone, so they
    looked late until the count passed the old one.
    """

    def test_first_word_of_a_new_start_is_told(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, OLD))
        out = bench.step(m.Announced(2, NEW), after=0.1)
        assert rows_to(out) == [NEW]

    def test_also_after_it_was_lost_or_gone(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, OLD))
        bench.step(after=4 * ANNOUNCE_S)
        bench.step(m.Leaving(2, "i1", 1_000))
        assert rows_to(bench.step(m.Announced(3, NEW))) == [NEW]

    def test_word_of_an_older_start_changes_nothing(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, NEW))
        late = row(start=1_000, sequence=99, state=SearcherState.DRAINING)
        out = bench.step(m.Announced(2, late))
        assert rows_to(out) == []
        assert taken(out) == [2]

    def test_leave_of_an_older_start_changes_nothing(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, NEW))
        bench.step(m.Leaving(2, "i1", 1_000))
        assert states(bench) == {"i1": (2_000, SearcherState.READY)}

    def test_leave_of_a_start_that_was_never_heard_ends_it(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.Announced(1, OLD))
        bench.step(m.Leaving(2, "i1", 2_000))
        assert rows_to(bench.step(m.Announced(3, NEW))) == []
        assert states(bench) == {"i1": (2_000, SearcherState.GONE)}

    def test_leave_that_names_no_start_ends_the_newest(self):
        bench = HubBench()
        bench.step(m.Announced(1, NEW))
        bench.step(m.Leaving(2, "i1"))
        assert states(bench) == {"i1": (2_000, SearcherState.GONE)}

    def test_leave_that_names_no_start_of_one_heard_elsewhere(self):
        bench = HubBench()
        bench.hub.set_peers(("10.0.0.2:1",), frozenset({"c2"}))
        bench.step(m.LinkUp("c2"))
        bench.step(Received("c2", m.SearcherRows(1, True, (NEW,))))
        bench.step(m.Leaving(1, "i1"))
        assert states(bench)["i1"] == (2_000, SearcherState.GONE)

    def test_kept_row_does_not_hide_a_new_start(self):
        first = HubBench()
        first.step(m.Announced(1, OLD))
        bench = HubBench()
        kept = codec.decode(codec.encode(first.hub.kept_rows()), m.SearcherRows)
        bench.hub.begin_with(bench.now, kept.rows)
        bench.step(m.Announced(1, NEW))
        assert states(bench) == {"i1": (2_000, SearcherState.READY)}


class TestAddresses:
    """An address that changes hands and an id that starts again."""

    THIEF = row(searcher_id="i2", service="t", start=1_500)

    def test_address_is_taken_then_the_id_starts_elsewhere(self):
        bench = HubBench()
        bench.step(m.Announced(1, OLD))
        bench.step(m.Announced(2, self.THIEF))
        bench.step(
            m.Announced(3, row(start=2_000, sequence=1, address="10.0.0.7:80"))
        )
        assert states(bench) == {
            "i1": (2_000, SearcherState.READY),
            "i2": (1_500, SearcherState.READY),
        }

    def test_id_starts_elsewhere_then_the_address_is_taken(self):
        """Symptom: a ready searcher got no request any more.

        Sequence: it starts again at another address; another one announces
        itself at the old address. Cause: the table of addresses still named
        the first one, which was then ended as displaced.
        """
        bench = HubBench()
        bench.step(m.Announced(1, OLD))
        bench.step(
            m.Announced(2, row(start=2_000, sequence=1, address="10.0.0.7:80"))
        )
        bench.step(m.Announced(3, self.THIEF))
        assert states(bench) == {
            "i1": (2_000, SearcherState.READY),
            "i2": (1_500, SearcherState.READY),
        }

    def test_id_starts_again_at_the_address_it_had_lost(self):
        bench = HubBench()
        bench.step(m.Announced(1, OLD))
        bench.step(m.Announced(2, self.THIEF))
        bench.step(m.Announced(3, NEW))
        assert states(bench) == {
            "i1": (2_000, SearcherState.READY),
            "i2": (1_500, SearcherState.GONE),
        }

    def test_service_that_no_document_names_ends_nobody(self):
        """Such an announcement may come from another writer."""
        bench = HubBench()
        bench.hub.set_services(frozenset({"s"}))
        bench.step(m.Announced(1, OLD))
        bench.step(m.Announced(2, self.THIEF))
        assert states(bench)["i1"] == (1_000, SearcherState.READY)
        bench.hub.set_services(frozenset({"s", "t"}))
        again = row(searcher_id="i2", service="t", start=1_500, sequence=2)
        bench.step(m.Announced(3, again))
        assert states(bench)["i1"] == (1_000, SearcherState.GONE)


class TestSlowness:
    """What was found of one start says nothing of the next."""

    def test_reports_of_an_older_start_do_not_count(self):
        bench = HubBench()
        bench.subscribe()
        out = []
        for i in range(2 * LEAST_SLICES - 2):
            report = m.SlowReport((m.SearcherKey("i1", 1_000 + i % 2),))
            out += bench.step(Received("e1", report), after=SLICE_S / 2)
        assert not [
            x
            for x in out
            if isinstance(x, Send) and isinstance(x.payload, m.SlowSearchers)
        ]

    def test_key_crosses_the_wire(self):
        report = m.SlowReport((m.SearcherKey("i1", 1_700_000_000_123),))
        assert codec.decode(codec.encode(report), m.SlowReport) == report


ROWS = st.builds(
    row,
    start=st.integers(0, 2),
    sequence=st.integers(0, 3),
    state=st.sampled_from(SearcherState),
)


class TestView:
    """Entries agree, in whatever order words reach them."""

    @pytest.mark.parametrize("order", [(0, 1), (1, 0)])
    def test_newest_start_wins_in_any_order(self, order):
        bench = ViewBench()
        said = [OLD, NEW]
        for i in order:
            bench.hear(m.SearcherRows(1, False, (said[i],)), f"c{i}")
        late = row(start=1_000, sequence=99)
        out = bench.hear(m.SearcherRows(2, False, (late,)))
        assert not [x for x in out if isinstance(x, m.SearcherLearnt)]

    @given(a=ROWS, b=ROWS, c=ROWS)
    def test_no_older_start_ever_wins(self, a, b, c):
        held = newer(newer(a, b), c)
        assert held.start == max(a.start, b.start, c.start)

    @given(a=ROWS, b=ROWS, c=ROWS)
    def test_ended_start_stays_ended(self, a, b, c):
        held = newer(newer(a, b), c)
        ended = {r.start for r in (a, b, c) if r.state is SearcherState.GONE}
        if held.start in ended:
            assert held.state is SearcherState.GONE
