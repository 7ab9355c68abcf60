"""What the play of two builds finds in the logs of their processes."""

from __future__ import annotations

from greengagemoor.log import pairs
from soak.builds import PART, REFUSALS


class TestPatterns:
    """Log lines that the checks look for."""

    def test_part_answered_for_a_peer(self):
        line = pairs(event="part", peer="127.0.0.1:7740", shards=9, answered=8)
        assert PART.search(line)[1] == "127.0.0.1:7740"

    def test_part_without_an_answer(self):
        line = pairs(event="part", peer="127.0.0.1:7740", shards=9, answered=0)
        assert PART.search(line) is None

    def test_data_of_the_other_build_refused(self):
        for event in ("link_bad_batch", "document_unreadable", "disk_damaged"):
            line = pairs(event=event, reason="unknown field")
            assert REFUSALS.search(line)[1] == event

    def test_ordinary_line(self):
        assert REFUSALS.search(pairs(event="link_down", peer="a")) is None
