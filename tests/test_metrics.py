"""Metrics, and the format of log lines."""

from __future__ import annotations

from greengagemoor import log
from greengagemoor.codes import Code
from greengagemoor.metrics import MAX_SERIES, Metrics
from greengagemoor.query.messages import Answer, Reply


def reply(caller: str) -> Reply:
    """Returns a complete answer to a caller."""
    return Reply(1, caller, "read", Answer(Code.WHOLE, "r"), 0.01)


class TestSeries:
    """The number of series is bounded."""

    def test_callers_beyond_the_bound_share_a_series(self):
        """Guards against unbounded memory.

        A faulty caller sends a new name with every request; a series for each
        name would exhaust the entry's memory.
        """
        metrics = Metrics()
        for number in range(MAX_SERIES * 3):
            metrics.record_reply(reply(f"caller-{number}"))
        rows = metrics.rows()
        assert len({(r.caller, r.request_class) for r in rows}) == (
            MAX_SERIES + 1
        )
        others = [r for r in rows if r.caller == "others"]
        assert others[0].count == 2 * MAX_SERIES

    def test_text_format_escapes_names(self):
        metrics = Metrics()
        metrics.record_reply(reply('a"b\n'))
        assert 'caller="a\\"b\\n"' in metrics.text({"up": 1})


class TestLog:
    """An event is one line of key=value pairs."""

    def test_values_are_quoted_when_needed(self):
        line = log.pairs(event="x", reason="two words", n=1, empty="", t=0.5)
        assert line == 'event=x reason="two words" n=1 empty="" t=0.5'

    def test_line_breaks_are_escaped(self):
        assert "\n" not in log.pairs(reason="a\nb")
