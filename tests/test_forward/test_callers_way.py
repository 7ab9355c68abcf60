"""When an answer must leave, by how far away its caller is."""

from __future__ import annotations

import pytest

from greengagemoor.forward import messages as m
from tests.test_forward.helpers import Bench, answers, gather, starts

ROUTE = gather(4, objective_s=0.2, time_limit_s=1.0)


def given_after(way_s, objective_s=0.2):
    """Returns when an answer without its last shard leaves."""
    bench = Bench(services=4)
    route = gather(4, objective_s=objective_s, time_limit_s=1.0)
    begin = bench.now
    out = bench.step(m.Arrived(1, "r1", route, None, b"", way_s))
    for start in starts(out)[:3]:
        bench.answer(start)
    while not answers(bench.step(after=0.0005)):
        assert bench.now < begin + 1.0
    return bench.now - begin


class TestWay:
    """Partial answers leave as late as their caller's way allows."""

    @pytest.mark.parametrize("way_s", [0.002, 0.006, 0.012, 0.03])
    def test_a_near_caller_gets_more_shards(self, way_s):
        """Guards against one guess for callers of all distances."""
        assert given_after(way_s) + way_s == pytest.approx(0.184, abs=0.002)

    def test_unknown_way_is_guessed(self):
        assert given_after(None) == pytest.approx(given_after(0.012))

    def test_a_lossy_way_leaves_time_for_searchers(self):
        """Guards against an answer that leaves before any shard could."""
        assert given_after(0.5) >= 0.2 * 0.65
