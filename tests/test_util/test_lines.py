"""Log lines: bounded and written without blocking."""

from __future__ import annotations

import os

import pytest

from greengagemoor.util.line_budget import LineBudget
from greengagemoor.util.line_writer import MAX_QUEUED_LINES, LineWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def drain(reader, lines):
    """Flushes and reads until the pipe is empty."""
    seen = b""
    while True:
        lines.flush()
        try:
            seen += os.read(reader, 1 << 16)
        except BlockingIOError:
            return seen


class TestBlockedReader:
    """A reader that stops reading loses lines but does not block the writer.

    Guards against an entry that stops answering on an idle machine: the log's
    reader hangs, the pipe fills and writing the next line blocks.
    """

    def test_writes_do_not_block_and_drops_are_reported(self, pipe):
        reader, descriptor = pipe
        lines = LineWriter(descriptor, "e1")
        total = 3 * MAX_QUEUED_LINES
        for _ in range(total):
            lines.write("INFO", "event=x text=" + 100 * "y")
            lines.flush()
        assert lines.dropped > 0
        seen = drain(reader, lines)
        kept = seen.count(b"event=x")
        assert kept + lines.dropped == total
        assert f"number={lines.dropped}".encode() in seen

    def test_line_stays_whole_over_partial_writes(self, pipe):
        reader, descriptor = pipe
        lines = LineWriter(descriptor, "e1")
        for i in range(500):
            lines.write("INFO", f"event=x number={i} " + 150 * "z")
        seen = drain(reader, lines)
        assert [x.count(b"event=") for x in seen.splitlines()] == [1] * 500


class TestLineBudget:
    """Sustained rate and burst."""

    def test_burst_then_rate(self):
        budget = LineBudget(per_s=10.0, burst=5.0)
        results = [budget.try_take(100.0) for _ in range(8)]
        assert results == [True] * 5 + [False] * 3
        assert budget.try_take(100.2)
        assert budget.reset_dropped() == 3
        assert budget.reset_dropped() == 0
