"""Conversion of messages to protobuf and back."""

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


def round_trip(*rows):
    """Returns rows as another instance receives them."""
    data = codec.to_batch("c1", "", [SearcherRows(1, True, rows)])
    batch = pb.Batch.FromString(data.SerializeToString())
    (payload,) = codec.from_batch(batch)
    return payload.rows


class TestRowsFromSeveralInstances:
    """A starting entry receives the same rows from each control instance."""

    def test_equal_rows_are_built_once(self):
        """Guards against a slow start of entries after a power loss.

        200 entries built 320 rows nine times each while callers waited: 33 ms
        of processor time under load, 29 ms of them for rows already built.
        """
        (first,), (second,) = round_trip(ROW), round_trip(ROW)
        assert second is first
        assert first == ROW

    def test_changed_row_is_another_row(self):
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
        assert list(round_trip(*rows)) == rows
