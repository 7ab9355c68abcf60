"""Searchers that restart under the same ID."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as m
from greengagemoor.feed.messages import SearcherState
from greengagemoor.feed.peer_rows import newer
from greengagemoor.feed.slowness import MIN_SLICES, SLICE_S
from greengagemoor.wire import codec
from tests.test_feed.helpers import (
    ANNOUNCE_S,
    HubBench,
    ViewBench,
    acknowledged,
    row,
    rows_to,
)

OLD = row(start=1_000, sequence=40)
NEW = row(start=2_000, sequence=1)


def states(bench):
    """Returns start and state by ID, as sent to a new subscriber."""
    bench.step(m.LinkDown("late"))
    rows = rows_to(bench.subscribe("late"), "late")
    return {r.searcher_id: (r.start, r.state) for r in rows}


class TestAnnouncements:
    """The first announcement of a new incarnation is accepted.

    Guards against a restarted searcher that gets no requests: it counts its
    announcements from 1 again, and they were ordered by that count alone, so
    they were discarded for 18 to 28 s until the count passed the old one.
    """

    def test_first_announcement_of_a_new_start_is_sent(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, OLD))
        out = bench.step(m.SearcherAnnounced(2, NEW), after=0.1)
        assert rows_to(out) == [NEW]

    def test_new_start_is_sent_after_the_old_one_was_lost_and_gone(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, OLD))
        bench.step(after=4 * ANNOUNCE_S)
        bench.step(m.SearcherLeaving(2, "i1", 1_000))
        assert rows_to(bench.step(m.SearcherAnnounced(3, NEW))) == [NEW]

    def test_announcement_of_an_older_start_is_ignored(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, NEW))
        late = row(start=1_000, sequence=99, state=SearcherState.DRAINING)
        out = bench.step(m.SearcherAnnounced(2, late))
        assert rows_to(out) == []
        assert acknowledged(out) == [2]

    def test_leave_of_an_older_start_is_ignored(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, NEW))
        bench.step(m.SearcherLeaving(2, "i1", 1_000))
        assert states(bench) == {"i1": (2_000, SearcherState.READY)}

    def test_leave_of_an_unknown_start_ends_it(self):
        bench = HubBench()
        bench.subscribe()
        bench.step(m.SearcherAnnounced(1, OLD))
        bench.step(m.SearcherLeaving(2, "i1", 2_000))
        assert rows_to(bench.step(m.SearcherAnnounced(3, NEW))) == []
        assert states(bench) == {"i1": (2_000, SearcherState.GONE)}

    def test_leave_without_a_start_ends_the_newest(self):
        bench = HubBench()
        bench.step(m.SearcherAnnounced(1, NEW))
        bench.step(m.SearcherLeaving(2, "i1"))
        assert states(bench) == {"i1": (2_000, SearcherState.GONE)}

    def test_leave_without_a_start_of_a_searcher_known_from_a_peer(self):
        bench = HubBench()
        bench.hub.set_peers(("10.0.0.2:1",), frozenset({"c2"}))
        bench.step(m.LinkUp("c2"))
        bench.step(Received("c2", m.SearcherRows(1, True, (NEW,))))
        bench.step(m.SearcherLeaving(1, "i1"))
        assert states(bench)["i1"] == (2_000, SearcherState.GONE)

    def test_new_start_replaces_a_restored_row(self):
        first = HubBench()
        first.step(m.SearcherAnnounced(1, OLD))
        bench = HubBench()
        kept = codec.decode(
            codec.encode(first.hub.rows_to_store()), m.SearcherRows
        )
        bench.hub.restore(bench.now, kept.rows)
        bench.step(m.SearcherAnnounced(1, NEW))
        assert states(bench) == {"i1": (2_000, SearcherState.READY)}


class TestAddresses:
    """Reuse of an address by another searcher, and restart of an ID."""

    SUCCESSOR = row(searcher_id="i2", service="t", start=1_500)

    def test_address_is_reused_then_the_id_restarts_elsewhere(self):
        bench = HubBench()
        bench.step(m.SearcherAnnounced(1, OLD))
        bench.step(m.SearcherAnnounced(2, self.SUCCESSOR))
        bench.step(
            m.SearcherAnnounced(
                3, row(start=2_000, sequence=1, address="10.0.0.7:80")
            )
        )
        assert states(bench) == {
            "i1": (2_000, SearcherState.READY),
            "i2": (1_500, SearcherState.READY),
        }

    def test_id_restarts_elsewhere_then_the_address_is_reused(self):
        """Guards against marking a searcher gone that has moved.

        It restarts at another address, and another searcher announces itself
        at the old one. The table of addresses still named the first searcher,
        which was marked gone and got no more requests.
        """
        bench = HubBench()
        bench.step(m.SearcherAnnounced(1, OLD))
        bench.step(
            m.SearcherAnnounced(
                2, row(start=2_000, sequence=1, address="10.0.0.7:80")
            )
        )
        bench.step(m.SearcherAnnounced(3, self.SUCCESSOR))
        assert states(bench) == {
            "i1": (2_000, SearcherState.READY),
            "i2": (1_500, SearcherState.READY),
        }

    def test_id_restarts_at_the_address_it_had_lost(self):
        bench = HubBench()
        bench.step(m.SearcherAnnounced(1, OLD))
        bench.step(m.SearcherAnnounced(2, self.SUCCESSOR))
        bench.step(m.SearcherAnnounced(3, NEW))
        assert states(bench) == {
            "i1": (2_000, SearcherState.READY),
            "i2": (1_500, SearcherState.LOST),
        }

    def test_undefined_service_displaces_no_searcher(self):
        """Such an announcement may come from a writer that is no searcher."""
        bench = HubBench()
        bench.hub.set_services(frozenset({"s"}))
        bench.step(m.SearcherAnnounced(1, OLD))
        bench.step(m.SearcherAnnounced(2, self.SUCCESSOR))
        assert states(bench)["i1"] == (1_000, SearcherState.READY)
        bench.hub.set_services(frozenset({"s", "t"}))
        again = row(searcher_id="i2", service="t", start=1_500, sequence=2)
        bench.step(m.SearcherAnnounced(3, again))
        assert states(bench)["i1"] == (1_000, SearcherState.LOST)


class TestSlowness:
    """Reports about one incarnation do not count for the next."""

    def test_reports_of_an_older_start_do_not_count(self):
        bench = HubBench()
        bench.subscribe()
        out = []
        for i in range(2 * MIN_SLICES - 2):
            report = m.SlowReport((m.SearcherKey("i1", 1_000 + i % 2),))
            out += bench.step(Received("e1", report), after=SLICE_S / 2)
        assert not [
            x
            for x in out
            if isinstance(x, Send) and isinstance(x.payload, m.SlowSearchers)
        ]

    def test_key_survives_encoding(self):
        report = m.SlowReport((m.SearcherKey("i1", 1_700_000_000_123),))
        assert codec.decode(codec.encode(report), m.SlowReport) == report


ROWS = st.builds(
    row,
    start=st.integers(0, 2),
    sequence=st.integers(0, 3),
    state=st.sampled_from(SearcherState),
)


class TestView:
    """The result does not depend on the order in which rows arrive."""

    @pytest.mark.parametrize("order", [(0, 1), (1, 0)])
    def test_newest_start_wins_in_any_order(self, order):
        bench = ViewBench()
        sent = [OLD, NEW]
        for i in order:
            bench.receive(m.SearcherRows(1, False, (sent[i],)), f"c{i}")
        late = row(start=1_000, sequence=99)
        out = bench.receive(m.SearcherRows(2, False, (late,)))
        assert not [x for x in out if isinstance(x, m.SearcherUpdated)]

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
