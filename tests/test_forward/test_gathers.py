"""Hedges and queries over many shards, under a fake clock."""

from __future__ import annotations

import pytest

from greengagemoor.forward import messages as m
from greengagemoor.forward.messages import Ending
from tests.test_forward.helpers import (
    Bench,
    answers,
    gather,
    single,
    starts,
    warm,
)


class TestSecondSends:
    """Hedges beside a late send."""

    def test_late_send_is_hedged(self):
        """A searcher pauses for 250 ms; the answer comes from another."""
        bench = Bench()
        route = single()
        warm(bench, route)
        (first,) = starts(bench.arrive(route))
        (second,) = starts(bench.pass_time(0.1))
        assert second.searcher_id != first.searcher_id
        (end,) = answers(bench.answer(second, b"fast"))
        assert end.answer.body == b"fast"

    def test_slow_searchers_do_not_delay_hedges(self):
        """Slow searchers don't change when a send counts as late.

        Guards against answers without a shard although the budget is not used
        up: with one searcher in seven slow, the 0.9 quantile of the route's
        times, after which a send is hedged, is the time of the slow ones.
        """
        bench = Bench(searchers=3, retry_slack=100.0)
        route = single(time_limit_s=5.0, objective_s=1.0)
        for i in range(60):
            (start,) = starts(bench.arrive(route))[:1]
            bench.now += 0.2 if i % 5 == 0 else 0.02
            bench.answer(start)
        bench.arrive(route)
        assert starts(bench.pass_time(0.06))

    def test_slower_send_is_cancelled(self):
        bench = Bench()
        route = single()
        warm(bench, route)
        (first,) = starts(bench.arrive(route))
        (second,) = starts(bench.pass_time(0.1))
        bench.answer(second)
        found = [x for x in bench.pass_time(0.1) if type(x) is m.CancelAttempt]
        assert [one.attempt_id for one in found] == [first.attempt_id]

    def test_sends_stay_within_the_attempts_of_the_route(self):
        bench = Bench()
        warm(bench, single())
        first = starts(bench.arrive(single()))
        rest = starts(bench.pass_time(0.9))
        assert len(first + rest) == 2

    def test_budget_under_a_brown_out(self):
        """All searchers become slow at once.

        Guards against a hedge for each request, as each is late: that doubles
        the load when there is no capacity for it.
        """
        bench = Bench(retry_ratio=0.17, retry_slack=20.0, searchers=9)
        warm(bench, single())
        sends = []
        for _ in range(100):
            sends += starts(bench.arrive(single()))
            sends += starts(bench.pass_time(0.02))
        assert len(sends) <= 100 * 1.17 + 2


class TestGather:
    """Queries over many shards."""

    def test_greatest_records_of_all_shards(self):
        bench = Bench(services=4)
        sends = starts(bench.arrive(gather()))
        assert len(sends) == 4
        out = []
        for i, start in enumerate(sends):
            out += bench.answer(start, bytes([i]) * 16 + b"rest")
        (end,) = answers(out)
        assert end.ending is Ending.ANSWERED
        assert end.merged.body == b"".join(bytes([i]) * 16 for i in (3, 2, 1))
        assert end.merged.missing == 0
        assert len(end.merged.signatures) == 4

    def test_partial_before_the_objective(self):
        """One shard is late; three of four are enough for an answer."""
        bench = Bench(services=4, searchers=1)
        route = gather()
        *most, late = starts(bench.arrive(route))
        for start in most:
            bench.answer(start, b"x" * 16)
        began = bench.now
        (end,) = answers(bench.pass_time(0.3))
        assert end.ending is Ending.PARTIAL
        assert end.merged.missing == 1
        assert end.elapsed_s < route.objective_s
        assert bench.now > began
        assert late.searcher_id not in end.merged.signatures

    def test_below_the_required_coverage_waits_for_more(self):
        bench = Bench(services=4, searchers=1)
        sends = starts(bench.arrive(gather()))
        for start in sends[:2]:
            bench.answer(start, b"x" * 16)
        assert not answers(bench.pass_time(0.4))
        (end,) = answers(bench.answer(sends[2], b"x" * 16))
        assert end.merged.missing == 1

    def test_shards_without_searchers_are_rejected_before_any_send(self):
        bench = Bench(services=2)
        out = bench.arrive(gather(shards=4, least=0.75))
        assert not starts(out)
        assert answers(out)[0].ending is Ending.NOT_RUN_NO_SEARCHER

    def test_failed_answer_is_not_merged(self):
        """An error page isn't merged, although it is signed."""
        bench = Bench(services=4, searchers=1)
        sends = starts(bench.arrive(gather(least=0.75)))
        (again,) = starts(bench.answer(sends[0], b"y" * 16, status=500))
        out = bench.answer(again, b"y" * 16, status=500)
        for start in sends[1:]:
            out += bench.answer(start, b"x" * 16)
        (end,) = answers(out)
        assert end.merged.missing == 1
        assert b"y" not in end.merged.body

    @pytest.mark.parametrize("more", [{"is_plain": False}, {"signature": ""}])
    def test_unsigned_or_encoded_answer_is_not_merged(self, more):
        bench = Bench(services=1, searchers=1)
        (start,) = starts(bench.arrive(gather(shards=1, least=1.0)))
        (again,) = starts(bench.answer(start, b"x" * 16, **more))
        (end,) = answers(bench.answer(again, b"x" * 16, **more))
        assert end.merged is None
