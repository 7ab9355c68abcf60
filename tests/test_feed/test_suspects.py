"""Merging and distribution of requests during which searchers terminated."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import suspects
from greengagemoor.feed.messages import (
    ClearSuspect,
    LinkUp,
    SearcherKey,
    StandingChanged,
    Subscribe,
    Suspect,
    SuspectRows,
)
from greengagemoor.feed.suspects import (
    MAX_ROWS,
    Standing,
    SuspectTable,
    cleared,
    join,
)
from greengagemoor.wire import codec
from greengagemoor.wire import peers_pb2 as pb
from tests.test_feed.helpers import HubBench, ViewBench

KEYS = st.builds(SearcherKey, st.sampled_from("abcdef"), st.integers(0, 2))
SOME_KEYS = st.lists(KEYS, max_size=3, unique=True).map(
    lambda keys: tuple(sorted(keys, key=lambda k: (k.searcher_id, k.start)))
)
ROWS = st.builds(
    Suspect,
    st.just(b"f"),
    epoch=st.integers(0, 2),
    ended=SOME_KEYS,
    failed=SOME_KEYS.map(lambda keys: keys[: suspects.QUARANTINE_THRESHOLD]),
    sure=st.booleans(),
    route=st.just("r"),
)


def ended(*names, fingerprint=b"f", **more):
    keys = tuple(SearcherKey(name) for name in names)
    return Suspect(fingerprint, ended=keys, **more)


def ended_series(start, number, *names, **more):
    return [
        ended(*names, fingerprint=i.to_bytes(8, "big"), **more)
        for i in range(start, start + number)
    ]


def sent(out, name):
    """Returns the rows sent to one process."""
    return [
        row
        for msg in out
        if isinstance(msg, Send)
        and msg.to == name
        and isinstance(msg.payload, SuspectRows)
        for row in msg.payload.rows
    ]


class TestJoin:
    """Rows may be merged in any order and repeatedly."""

    @given(ROWS, ROWS, ROWS)
    def test_order_does_not_matter(self, one, two, three):
        assert join(one, two) == join(two, one)
        assert join(join(one, two), three) == join(one, join(two, three))
        assert join(join(one, two), two) == join(one, two)

    @given(ROWS, ROWS)
    def test_only_clearing_removes_terminations(self, one, two):
        joined = join(one, two)
        if one.epoch == two.epoch:
            least = min(3, len({*one.ended, *two.ended}))
            assert len(joined.ended) == least
        assert joined.epoch == max(one.epoch, two.epoch)

    @given(ROWS)
    def test_cleared_row_wins(self, row):
        again = join(row, cleared(row))
        assert not again.ended
        assert not again.failed


class TestTable:
    """Standing of requests, and bounds of the table."""

    def test_each_incarnation_counts_once(self):
        """Nine entries report the termination of the same searcher."""
        table = SuspectTable()
        for _ in range(9):
            table.join(ended("a"))
        table.join(ended("b"))
        assert table.standing(b"f") is Standing.WATCHED
        table.join(ended("c"))
        assert table.standing(b"f") is Standing.SUSPECT

    def test_restarted_searcher_counts_again(self):
        """It may restart under the same ID."""
        table = SuspectTable()
        for start in range(3):
            key = SearcherKey("a", start)
            table.join(Suspect(b"f", ended=(key,)))
        assert table.standing(b"f") is Standing.SUSPECT

    def test_flood_of_watched_requests(self):
        """A fleet-wide crash makes thousands of harmless requests watched."""
        table = SuspectTable()
        key = (SearcherKey("a"),)
        table.join(ended("a", "b", "c", failed=key, sure=True))
        table.join(ended("a", "b", "c", fingerprint=b"g"))
        for row in ended_series(0, 3 * MAX_ROWS[Standing.WATCHED], "a"):
            table.join(row)
        assert len(table) == MAX_ROWS[Standing.WATCHED] + 2
        assert table.standing(b"f") is Standing.QUARANTINED
        assert table.standing(b"g") is Standing.SUSPECT

    def test_flood_of_quarantined_requests(self):
        """New rows must not evict a quarantined one."""
        table = SuspectTable()
        most = MAX_ROWS[Standing.QUARANTINED]
        for row in ended_series(
            0, most + 9, "a", failed=(SearcherKey("a"),), sure=True
        ):
            table.join(row)
        first = (0).to_bytes(8, "big")
        assert table.standing(first) is Standing.QUARANTINED
        assert len(table) == most


class TestSpread:
    """From entries through control instances to all."""

    def test_terminations_reported_by_several_entries_add_up(self):
        bench = HubBench()
        bench.subscribe("e1")
        bench.subscribe("e2")
        bench.step(Received("e1", SuspectRows((ended("a"),))))
        bench.step(Received("e2", SuspectRows((ended("b"),))))
        out = bench.step(Received("e1", SuspectRows((ended("c"),))))
        (row,) = sent(out, "e2")
        assert len(row.ended) == 3
        assert not sent(out, "e1")
        assert any(isinstance(msg, StandingChanged) for msg in out)

    def test_watched_requests_go_to_control_instances_only(self):
        bench = HubBench()
        bench.subscribe("e1")
        bench.step(Received("c2", Subscribe("c2", "", "", ready=False)))
        out = bench.step(Received("e2", SuspectRows((ended("a"),))))
        assert not sent(out, "e1")
        assert sent(out, "c2")

    def test_suspects_are_sent_before_the_searchers(self):
        """A starting entry serves as soon as it has the searchers."""
        bench = HubBench()
        bench.step(Received("e1", SuspectRows((ended("a", "b", "c"),))))
        out = bench.subscribe("e2")
        assert sent(out, "e2")
        kinds = [type(msg.payload).__name__ for msg in out]
        assert kinds.index("SuspectRows") < kinds.index("SearcherRows")

    def test_entry_sends_rows_to_an_instance_that_lost_its_disk(self):
        bench = ViewBench()
        bench.view._suspects.join(ended("a", "b", "c"))
        out = bench.step(LinkUp("c2"))
        assert sent(out, "c2")

    def test_operator_clears_a_request(self):
        bench = HubBench()
        bench.subscribe("e1")
        row = ended("a", "b", "c", failed=(SearcherKey("a"),), sure=True)
        bench.step(Received("e2", SuspectRows((row,))))
        out = bench.step(ClearSuspect(b"f"))
        (cleared_row,) = sent(out, "e1")
        assert cleared_row.epoch == 1
        assert not cleared_row.failed
        late = bench.step(Received("e2", SuspectRows((row,))))
        assert not sent(late, "e1")

    def test_rows_survive_encoding(self):
        rows = SuspectRows(
            (ended("a", failed=(SearcherKey("b", 7),), sure=True),)
        )
        batch = codec.to_batch("e1", "", [rows])
        data = pb.Batch.FromString(batch.SerializeToString())
        assert codec.from_batch(data) == [rows]


class TestStoredRows:
    """Rows survive a restart of a control instance."""

    def test_all_rows_are_restored(self):
        bench, other = HubBench(), HubBench()
        rows = (ended("a"), ended("a", "b", "c", fingerprint=b"g"))
        bench.step(Received("e1", SuspectRows(rows)))
        kept = bench.hub.suspects.rows_to_store()
        read = codec.decode(codec.encode(kept), SuspectRows)
        other.hub.suspects.restore(read.rows)
        assert other.hub.suspects.rows_to_store() == kept
