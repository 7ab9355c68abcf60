"""Time at which an answer is sent, by the network time of its caller."""

from __future__ import annotations

import pytest

from greengagemoor.forward import messages as m
from tests.test_forward.helpers import Bench, answers, gather, starts

ROUTE = gather(4, objective_s=0.2, time_limit_s=1.0)


def answered_after(network_s, objective_s=0.2):
    """Returns the seconds until an answer without its last shard is sent."""
    bench = Bench(services=4)
    route = gather(4, objective_s=objective_s, time_limit_s=1.0)
    begin = bench.now
    out = bench.step(m.Arrived(1, "r1", route, None, b"", network_s))
    for start in starts(out)[:3]:
        bench.answer(start)
    while not answers(bench.step(after=0.0005)):
        assert bench.now < begin + 1.0
    return bench.now - begin


class TestNetworkTime:
    """Partial answers are sent as late as the caller's network time allows."""

    @pytest.mark.parametrize("network_s", [0.002, 0.006, 0.012, 0.03])
    def test_nearer_callers_are_answered_later(self, network_s):
        """Guards against one assumed network time for all callers."""
        assert answered_after(network_s) + network_s == pytest.approx(
            0.184, abs=0.002
        )

    def test_unknown_network_time_uses_the_default(self):
        assert answered_after(None) == pytest.approx(answered_after(0.012))

    def test_lossy_link_leaves_time_for_searchers(self):
        """Guards against an answer that is sent before any shard can answer."""
        assert answered_after(0.5) >= 0.2 * 0.65
