"""Entries that one append carries."""

from __future__ import annotations

import os

from greengagemoor.aio.links import MAX_FRAME_BYTES
from greengagemoor.control.commands import LogEntry, PutDocument
from greengagemoor.control.log import MAX_APPEND_BYTES, Log
from greengagemoor.control.messages import AppendRequest
from greengagemoor.wire import codec


def log_of(count, size):
    """Returns a log of documents of a size in bytes."""
    log = Log()
    for index in range(1, count + 1):
        document = PutDocument(index, os.urandom(size), 0.0)
        log.append(LogEntry(index, 1, document))
    return log


class TestAppend:
    """An append is bounded by bytes as well as by entries."""

    def test_many_large_documents_fit_a_frame(self):
        """Guards against a member that can never catch up.

        A frame beyond the limit closes the link, and the leader would send the
        same entries again.
        """
        log = log_of(256, 100_000)
        entries = log.slice_for_append(1)
        request = AppendRequest(
            group="g",
            source="a",
            target="b",
            term=1,
            prev_index=0,
            prev_term=0,
            entries=entries,
            commit=1,
            round=1,
        )
        batch = codec.to_batch("a", "", [request]).SerializeToString()
        assert len(batch) <= MAX_FRAME_BYTES
        assert len(entries) == MAX_APPEND_BYTES // 100_000

    def test_document_above_the_limit_is_sent_alone(self):
        log = log_of(2, MAX_APPEND_BYTES + 1)
        assert [entry.index for entry in log.slice_for_append(2)] == [2]

    def test_small_entries_are_sent_together(self):
        assert len(log_of(300, 100).slice_for_append(1)) == 256
        assert log_of(3, 100).slice_for_append(4) == ()
