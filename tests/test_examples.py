"""The demo, in separate processes, as a newcomer runs it."""

from __future__ import annotations

from examples import demo
from examples.fleet import Fleet


class TestDemo:
    """One query through control, entries and searchers."""

    def test_answer_is_whole(self, tmp_path):
        with Fleet(tmp_path) as fleet:
            answer = demo.run(fleet)
        assert answer["code"] == 100
        assert answer["coverage"]["reflected"] == [0, 1, 2, 3, 4, 5]
        assert answer["coverage"]["missing"] == []
        assert all(p.poll() is not None for p in fleet.processes.values())
