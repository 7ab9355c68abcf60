"""Requests through the forward decider, under a fake clock."""

from __future__ import annotations

import pytest

from greengagemoor.feed.messages import (
    SearcherKey,
    SearcherState,
    SlowSearchers,
)
from greengagemoor.forward import messages as m
from greengagemoor.forward.messages import Ending, Outcome
from greengagemoor.routing.routes import Grade, WeightedService
from tests.test_forward.helpers import (
    Bench,
    answers,
    gather,
    single,
    starts,
)


class TestSingle:
    """Requests to one service."""

    def test_answer_is_returned(self):
        bench = Bench()
        (start,) = starts(bench.arrive(single()))
        (end,) = answers(bench.answer(start, b"body"))
        assert end.ending is Ending.ANSWERED
        assert end.answer.body == b"body"

    def test_refused_send_is_retried_at_another_searcher(self):
        """A searcher without capacity reports that it did not run it."""
        bench = Bench()
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(bench.end(first, Outcome.NOT_RUN))
        assert second.searcher_id != first.searcher_id

    def test_stale_connection_is_retried_without_budget(self):
        """A searcher has closed an idle connection.

        The request is retried even if the budget is used up.
        """
        bench = Bench(retry_slack=0.0, retry_ratio=0.0)
        (first,) = starts(bench.arrive(single()))
        out = bench.end(first, Outcome.BROKEN, stale=True)
        assert starts(out)

    def test_send_after_a_stale_connection_is_counted(self):
        """A reset by a searcher that has the request looks like a stale one.

        Guards against 244 retries in a window that allows 242: 29 searchers
        take requests and reset the kept connections instead of answering, and
        the retries are not counted.
        """
        bench = Bench(retry_slack=10.0, retry_ratio=0.0)
        bench.arrive(single())
        (first,) = starts(bench.outputs)
        before = bench.decider.gauges()["least_budget_left"]
        bench.end(first, Outcome.BROKEN, stale=True)
        assert bench.decider.gauges()["least_budget_left"] == before - 1

    def test_stale_connection_on_a_route_of_one_attempt(self):
        """The request is retried at the same searcher on a new connection.

        Guards against a 502 after 0.7 ms because the broken connection counted
        as the only attempt that the route allows.
        """
        bench = Bench()
        (first,) = starts(bench.arrive(single(attempts=1)))
        (again,) = starts(bench.end(first, Outcome.BROKEN, stale=True))
        assert again.searcher_id == first.searcher_id
        assert not starts(bench.end(again, Outcome.BROKEN))

    def test_failure_of_all_searchers_is_returned(self):
        bench = Bench()
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(bench.answer(first, status=500))
        (end,) = answers(bench.answer(second, status=500))
        assert end.ending is Ending.SEARCHER_FAILED
        assert end.answer.status == 500

    def test_no_searcher_is_rejected_at_once(self):
        bench = Bench(searchers=0)
        (end,) = answers(bench.arrive(single()))
        assert end.ending is Ending.NOT_RUN_NO_SEARCHER
        assert end.retry_after_s > 0

    def test_split_keeps_weights(self):
        bench = Bench(services=2)
        parts = (WeightedService("s0", 1.0), WeightedService("s1", 3.0))
        route = single(split=parts)
        count = 0
        for _ in range(400):
            (start,) = starts(bench.arrive(route))
            count += start.searcher_id.startswith("s1")
            bench.now += 0.02
            bench.answer(start)
        assert 270 <= count <= 330


class TestOncePerAttempt:
    """Requests that must not run twice."""

    ROUTE = single(grade=Grade.ONCE_PER_ATTEMPT)

    def test_no_retry_after_a_broken_connection(self):
        """Guards against a request that runs twice.

        The searcher runs the request, its answer is lost, and the entry takes
        the broken connection for *not run* and retries.
        """
        bench = Bench()
        (start,) = starts(bench.arrive(self.ROUTE))
        out = bench.end(start, Outcome.BROKEN)
        assert not starts(out)
        assert answers(out)[0].ending is Ending.BROKEN

    def test_no_retry_after_a_stale_connection(self):
        bench = Bench()
        (start,) = starts(bench.arrive(self.ROUTE))
        out = bench.end(start, Outcome.BROKEN, stale=True)
        assert not starts(out)

    def test_no_hedge_when_late(self):
        bench = Bench()
        bench.arrive(self.ROUTE)
        assert not starts(bench.pass_time(0.5))

    def test_retry_after_not_run(self):
        bench = Bench()
        (start,) = starts(bench.arrive(self.ROUTE))
        assert starts(bench.end(start, Outcome.NOT_RUN))


class TestCallers:
    """Callers that disconnect, and deadlines."""

    def test_disconnected_caller_cancels_all_sends(self):
        bench = Bench(services=4)
        sends = starts(bench.arrive(gather()))
        out = bench.step(m.CallerGone(1))
        cancelled = {x.attempt_id for x in out if type(x) is m.CancelAttempt}
        assert cancelled == {start.attempt_id for start in sends}
        assert not answers(out)

    def test_final_answer_before_the_deadline(self):
        bench = Bench()
        bench.arrive(single(), remaining_wait_s=0.3)
        (end,) = answers(bench.pass_time(0.3))
        assert end.ending is Ending.NO_ANSWER
        assert end.elapsed_s < 0.3

    def test_route_limit_holds_without_a_deadline(self):
        bench = Bench()
        bench.arrive(single(time_limit_s=0.2))
        (end,) = answers(bench.pass_time(0.25))
        assert end.ending is Ending.NO_ANSWER


class TestPlaces:
    """Shares of a searcher's connection cap."""

    def test_share_of_the_cap_is_kept(self):
        bench = Bench(searchers=1, cap=40)
        sends = []
        for _ in range(20):
            sends += starts(bench.arrive(single(objective_s=10.0)))
        assert len(sends) == 4

    def test_waiting_request_is_sent_when_a_connection_is_free(self):
        bench = Bench(searchers=1, cap=10)
        (first,) = starts(bench.arrive(single()))
        assert not starts(bench.arrive(single()))
        assert starts(bench.answer(first))

    def test_no_free_connection_in_time_is_rejected(self):
        bench = Bench(searchers=1, cap=10)
        bench.arrive(single())
        bench.arrive(single())
        ends = answers(bench.pass_time(0.1))
        assert [end.ending for end in ends] == [Ending.NOT_RUN_BUSY]

    def test_share_shrinks_with_more_entries(self):
        bench = Bench(searchers=1, cap=40)
        bench.decider.set_entries(20)
        bench.decider.set_entries(5)
        sends = []
        for _ in range(20):
            sends += starts(bench.arrive(single(objective_s=10.0)))
        assert len(sends) == 2


class TestSearchers:
    """Searchers that start, stop, fail or are slow."""

    @pytest.mark.parametrize(
        "state", [SearcherState.DRAINING, SearcherState.GONE]
    )
    def test_draining_or_gone_searcher_gets_no_sends(self, state):
        bench = Bench(searchers=1)
        bench.learn("s0.0", "s0", state, seq=2)
        assert not starts(bench.arrive(single()))

    def test_crashed_searcher_is_avoided(self):
        """Each send to an address where nothing listens costs time."""
        bench = Bench(searchers=2)
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(bench.end(first, Outcome.NOT_SENT))
        bench.answer(second)
        for _ in range(5):
            (start,) = starts(bench.arrive(single()))
            assert start.searcher_id == second.searcher_id
            bench.answer(start)

    def test_wrong_searcher_gets_no_more_sends(self):
        bench = Bench(searchers=2)
        (first,) = starts(bench.arrive(single()))
        bench.end(first, Outcome.WRONG_SEARCHER)
        bench.now += 60.0
        for _ in range(20):
            for start in starts(bench.arrive(single())):
                assert start.searcher_id != first.searcher_id
                bench.answer(start)

    def test_slow_searcher_gets_few_sends(self):
        bench = Bench(searchers=3)
        counts = {f"s0.{i}": 0 for i in range(3)}
        for _ in range(120):
            (start,) = starts(bench.arrive(single(objective_s=0.12)))
            counts[start.searcher_id] += 1
            slow = start.searcher_id == "s0.0"
            bench.now += 0.045 if slow else 0.015
            bench.answer(start)
        assert counts["s0.0"] < 20

    def test_one_slow_answer_is_enough_where_answers_are_rare(self):
        """With many entries, each sends to a searcher every few seconds.

        Guards against an entry that keeps choosing a slow searcher, every four
        seconds: an answer changed the smoothed slowness by a seventh only, and
        that decayed before the next answer.
        """
        bench = Bench(searchers=1)
        for seconds in (0.05, 0.4):
            bench.now += 4.0
            (start,) = starts(bench.arrive(single()))
            bench.now += seconds
            bench.answer(start)
        bench.learn("s0.far", "s0", data_centre="dc2")
        for _ in range(2):
            bench.now += 4.0
            (start,) = starts(bench.arrive(single()))
            assert start.searcher_id == "s0.far"
            bench.now += 0.05
            bench.answer(start)

    def test_shedding_searcher_gets_little(self):
        """One searcher refuses half of its sends although it has capacity.

        Guards against answers below the required coverage although two healthy
        searchers are available: refusals had no effect on the selection, so
        each cost a retry until the budget was used up.
        """
        bench = Bench(searchers=3)
        counts = {f"s0.{i}": 0 for i in range(3)}
        for _ in range(300):
            (start,) = starts(bench.arrive(single(objective_s=0.12)))
            counts[start.searcher_id] += 1
            bench.now += 0.02
            if start.searcher_id == "s0.0" and counts["s0.0"] % 2:
                for again in starts(bench.end(start, Outcome.NOT_RUN)):
                    bench.answer(again)
            else:
                bench.answer(start)
        assert counts["s0.0"] < 20

    def test_own_recent_answer_overrides_reports_of_others(self):
        bench = Bench(searchers=1)
        (start,) = starts(bench.arrive(single()))
        bench.now += 0.01
        bench.answer(start)
        bench.step(SlowSearchers((SearcherKey("s0.0"),), 2.0))
        bench.learn("s0.1", "s0")
        bench.decider.tables.searchers["s0.1"].slowness.value = 2.0
        bench.decider.tables.searchers["s0.1"].answered_at = bench.now
        (start,) = starts(bench.arrive(single()))
        assert start.searcher_id == "s0.0"

    def test_reported_slow_searcher_is_avoided_until_the_report_expires(self):
        bench = Bench(searchers=2)
        bench.step(SlowSearchers((SearcherKey("s0.0"),), 2.0))
        seen = set()
        for _ in range(20):
            (start,) = starts(bench.arrive(single()))
            seen.add(start.searcher_id)
            bench.now += 0.01
            bench.answer(start)
        assert seen == {"s0.1"}
        bench.now += 10.0
        for _ in range(20):
            (start,) = starts(bench.arrive(single()))
            seen.add(start.searcher_id)
            bench.now += 0.01
            bench.answer(start)
        assert seen == {"s0.0", "s0.1"}
