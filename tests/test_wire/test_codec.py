"""Messages to protobuf and back."""

from __future__ import annotations

import attrs

from greengagemoor.feed.messages import (
    SearcherRow,
    SearcherRows,
    SearcherState,
)
from greengagemoor.wire import codec
from greengagemoor.wire import peers_pb2 as pb

ROW = SearcherRow(
    "i1", "s", "10.0.0.1:80", "dc1", SearcherState.READY, 1, 2, 0.5, 7
)


def carried(*rows):
    """Returns rows as another process gets them."""
    data = codec.to_batch("c1", "", [SearcherRows(1, True, rows)])
    batch = pb.Batch.FromString(data.SerializeToString())
    (payload,) = codec.from_batch(batch)
    return payload.rows


class TestRowsToldBySeveral:
    """Each control instance tells a starting entry the same rows."""

    def test_are_built_once(self):
        """After a loss of power 200 entries built 320 rows nine times each.

        Callers wait for the first entries meanwhile: nine tables took 33 ms
        of processor time beside load, 29 of them for rows that were known.
        """
        (first,), (again,) = carried(ROW), carried(ROW)
        assert again is first
        assert first == ROW

    def test_another_word_is_another_row(self):
        rows = [
            attrs.evolve(ROW, **change)
            for change in (
                {"sequence": 2},
                {"state": SearcherState.DRAINING},
                {"start": 8},
                {"cold_left_s": 0.0},
                {},
            )
        ]
        assert list(carried(*rows)) == rows
