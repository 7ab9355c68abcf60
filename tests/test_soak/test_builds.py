"""Patterns that ``soak.builds`` searches for in the logs of processes."""

from __future__ import annotations

from greengagemoor.log import pairs
from soak.builds import PART_ANSWERED, REJECTIONS


class TestPatterns:
    """Log lines that the checks search for."""

    def test_part_answered_for_a_peer(self):
        line = pairs(event="part", peer="127.0.0.1:7740", shards=9, answered=8)
        assert PART_ANSWERED.search(line)[1] == "127.0.0.1:7740"

    def test_part_without_an_answer(self):
        line = pairs(event="part", peer="127.0.0.1:7740", shards=9, answered=0)
        assert PART_ANSWERED.search(line) is None

    def test_rejected_data_of_the_other_build(self):
        for event in ("link_bad_batch", "document_unreadable", "disk_damaged"):
            line = pairs(event=event, reason="unknown field")
            assert REJECTIONS.search(line)[1] == event

    def test_unrelated_line(self):
        assert REJECTIONS.search(pairs(event="link_down", peer="a")) is None
