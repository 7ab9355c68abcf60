"""Log lines of a member's notices."""

from __future__ import annotations

from greengagemoor.control.notices import JoinPending
from greengagemoor.shell import group_log


class TestJoinWaiting:
    """A wait names those asked to which a link is open."""

    def test_tells_silent_instances_from_unreachable_ones(self, monkeypatch):
        """Guards against ``no_answer`` alone, which has several causes."""
        lines = []
        monkeypatch.setattr(
            group_log.log, "event", lambda name, **fields: lines.append(fields)
        )
        pending = JoinPending(("a", "b"), "no_answer", 2.04, 3, 2)
        assert group_log.log_notice(pending, {"b", "c"})
        group_log.LOGGERS_BY_NOTICE[JoinPending](pending)
        assert [line["linked"] for line in lines] == ["b", "unknown"]
        assert (lines[0]["voters"], lines[0]["majority"]) == (3, 2)
