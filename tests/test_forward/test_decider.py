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
    warm,
)


class TestSingle:
    """Requests to one service."""

    def test_answer_is_handed_on(self):
        bench = Bench()
        (start,) = starts(bench.arrive(single()))
        (end,) = answers(bench.answer(start, b"body"))
        assert end.ending is Ending.ANSWERED
        assert end.answer.body == b"body"

    def test_refused_send_goes_elsewhere(self):
        """A searcher that is full says that it did not run the request."""
        bench = Bench()
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(bench.end(first, Outcome.NOT_RUN))
        assert second.searcher_id != first.searcher_id

    def test_stale_connection_costs_nothing(self):
        """A searcher forgot an idle connection.

        The request goes out again also when no second send is left.
        """
        bench = Bench(retry_slack=0.0, retry_ratio=0.0)
        (first,) = starts(bench.arrive(single()))
        out = bench.end(first, Outcome.BROKEN, stale=True)
        assert starts(out)

    def test_send_after_a_stale_connection_is_counted(self):
        """A searcher that has the request resets just like one that hasn't.

        Symptom: 244 second sends in a window that allows 242. Sequence: 29
        searchers take requests and reset kept connections in place of an
        answer; each such request goes out again, and is not counted.
        Cause: a break on a used connection was taken for one that the
        searcher had dropped while it was idle.
        """
        bench = Bench(retry_slack=10.0, retry_ratio=0.0)
        bench.arrive(single())
        (first,) = starts(bench.said)
        before = bench.decider.gauges()["least_budget_left"]
        bench.end(first, Outcome.BROKEN, stale=True)
        assert bench.decider.gauges()["least_budget_left"] == before - 1

    def test_stale_connection_on_a_route_of_one_attempt(self):
        """The same searcher gets it again, on a fresh connection.

        Symptom: a lookup was answered 502 after 0.7 ms. Sequence: its route
        allows one searcher; the searcher had dropped the idle connection.
        Cause: the broken connection counted as the one attempt.
        """
        bench = Bench()
        (first,) = starts(bench.arrive(single(attempts=1)))
        (again,) = starts(bench.end(first, Outcome.BROKEN, stale=True))
        assert again.searcher_id == first.searcher_id
        assert not starts(bench.end(again, Outcome.BROKEN))

    def test_failure_of_every_searcher_is_handed_on(self):
        bench = Bench()
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(bench.answer(first, status=500))
        (end,) = answers(bench.answer(second, status=500))
        assert end.ending is Ending.SEARCHER_FAILED
        assert end.answer.status == 500

    def test_no_searcher_is_refused_at_once(self):
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

    def test_no_second_send_after_a_break(self):
        """Symptom: a pickup was booked twice.

        Sequence: the searcher runs the request, its answer is lost, the entry
        sends again. Cause: a broken connection was taken for *not run*.
        """
        bench = Bench()
        (start,) = starts(bench.arrive(self.ROUTE))
        out = bench.end(start, Outcome.BROKEN)
        assert not starts(out)
        assert answers(out)[0].ending is Ending.BROKEN

    def test_no_second_send_after_a_stale_connection(self):
        bench = Bench()
        (start,) = starts(bench.arrive(self.ROUTE))
        out = bench.end(start, Outcome.BROKEN, stale=True)
        assert not starts(out)

    def test_no_second_send_when_late(self):
        bench = Bench()
        bench.arrive(self.ROUTE)
        assert not starts(bench.pass_time(0.5))

    def test_again_after_not_run(self):
        bench = Bench()
        (start,) = starts(bench.arrive(self.ROUTE))
        assert starts(bench.end(start, Outcome.NOT_RUN))


class TestSecondSends:
    """Sends beside a late one."""

    def test_late_searcher_is_overtaken(self):
        """A searcher pauses for 250 ms; the answer comes from another."""
        bench = Bench()
        route = single()
        warm(bench, route)
        (first,) = starts(bench.arrive(route))
        (second,) = starts(bench.pass_time(0.1))
        assert second.searcher_id != first.searcher_id
        (end,) = answers(bench.answer(second, b"fast"))
        assert end.answer.body == b"fast"

    def test_slow_searchers_do_not_delay_second_sends(self):
        """A slow searcher doesn't change when a send counts as late.

        Symptom: with one searcher in seven slow, a shard was missing from
        most answers although second sends were left.
        Cause: a send counted as late after the 0.9 quantile of its route's
        times, and that was the time of the slow ones.
        """
        bench = Bench(searchers=3, retry_slack=100.0)
        route = single(time_limit_s=5.0, objective_s=1.0)
        for i in range(60):
            (start,) = starts(bench.arrive(route))[:1]
            bench.now += 0.2 if i % 5 == 0 else 0.02
            bench.answer(start)
        bench.arrive(route)
        assert starts(bench.pass_time(0.06))

    def test_loser_is_let_go(self):
        bench = Bench()
        route = single()
        warm(bench, route)
        (first,) = starts(bench.arrive(route))
        (second,) = starts(bench.pass_time(0.1))
        bench.answer(second)
        cuts = [x for x in bench.pass_time(0.1) if type(x) is m.CancelAttempt]
        assert [cut.attempt_id for cut in cuts] == [first.attempt_id]

    def test_never_more_searchers_than_the_route_allows(self):
        bench = Bench()
        warm(bench, single())
        first = starts(bench.arrive(single()))
        rest = starts(bench.pass_time(0.9))
        assert len(first + rest) == 2

    def test_budget_under_a_brown_out(self):
        """All searchers turn slow at once.

        Symptom: load doubled when there was no room for it. Each request got
        a second send, because each was late.
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
        """One shard is late; three of four make an answer in time."""
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

    def test_below_the_floor_waits_for_more(self):
        bench = Bench(services=4, searchers=1)
        sends = starts(bench.arrive(gather()))
        for start in sends[:2]:
            bench.answer(start, b"x" * 16)
        assert not answers(bench.pass_time(0.4))
        (end,) = answers(bench.answer(sends[2], b"x" * 16))
        assert end.merged.missing == 1

    def test_shards_without_searchers_are_refused_before_any_work(self):
        bench = Bench(services=2)
        out = bench.arrive(gather(shards=4, least=0.75))
        assert not starts(out)
        assert answers(out)[0].ending is Ending.NOT_RUN_NO_SEARCHER

    def test_failure_is_no_part(self):
        """A searcher's error page carries a signature, and is no part."""
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
    def test_unsigned_or_encoded_is_no_part(self, more):
        bench = Bench(services=1, searchers=1)
        (start,) = starts(bench.arrive(gather(shards=1, least=1.0)))
        (again,) = starts(bench.answer(start, b"x" * 16, **more))
        (end,) = answers(bench.answer(again, b"x" * 16, **more))
        assert end.merged is None


class TestCallers:
    """Callers that leave, and deadlines."""

    def test_gone_caller_cancels_all(self):
        bench = Bench(services=4)
        sends = starts(bench.arrive(gather()))
        out = bench.step(m.CallerGone(1))
        cuts = {x.attempt_id for x in out if type(x) is m.CancelAttempt}
        assert cuts == {start.attempt_id for start in sends}
        assert not answers(out)

    def test_final_answer_before_the_deadline(self):
        bench = Bench()
        bench.arrive(single(), patience=0.3)
        (end,) = answers(bench.pass_time(0.3))
        assert end.ending is Ending.NO_ANSWER
        assert end.elapsed_s < 0.3

    def test_route_limit_holds_without_a_deadline(self):
        bench = Bench()
        bench.arrive(single(time_limit_s=0.2))
        (end,) = answers(bench.pass_time(0.25))
        assert end.ending is Ending.NO_ANSWER


class TestPlaces:
    """Connection shares."""

    def test_share_of_the_cap_is_kept(self):
        bench = Bench(searchers=1, cap=40)
        sends = []
        for _ in range(20):
            sends += starts(bench.arrive(single(objective_s=10.0)))
        assert len(sends) == 4

    def test_waiting_request_is_sent_when_a_place_is_free(self):
        bench = Bench(searchers=1, cap=10)
        (first,) = starts(bench.arrive(single()))
        assert not starts(bench.arrive(single()))
        assert starts(bench.answer(first))

    def test_no_place_in_time_is_refused(self):
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
    """Searchers that come, leave and fail."""

    @pytest.mark.parametrize(
        "state", [SearcherState.DRAINING, SearcherState.GONE]
    )
    def test_leaving_searcher_gets_nothing(self, state):
        bench = Bench(searchers=1)
        bench.learn("s0.0", "s0", state, seq=2)
        assert not starts(bench.arrive(single()))

    def test_crashed_searcher_is_left_alone(self):
        """Each send to a dead address would cost a pause."""
        bench = Bench(searchers=2)
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(bench.end(first, Outcome.NOT_SENT))
        bench.answer(second)
        for _ in range(5):
            (start,) = starts(bench.arrive(single()))
            assert start.searcher_id == second.searcher_id
            bench.answer(start)

    def test_wrong_searcher_is_never_asked_again(self):
        bench = Bench(searchers=2)
        (first,) = starts(bench.arrive(single()))
        bench.end(first, Outcome.WRONG_SEARCHER)
        bench.now += 60.0
        for _ in range(20):
            for start in starts(bench.arrive(single())):
                assert start.searcher_id != first.searcher_id
                bench.answer(start)

    def test_slow_searcher_gets_little(self):
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
        """With many entries each one asks a searcher every few seconds.

        Symptom: an entry went on choosing a slow searcher, once in four
        seconds each. Cause: an answer changed what is known by a seventh,
        and that faded before the next one.
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
        """One searcher refuses half of its sends although it has room.

        Symptom: answers below the coverage floor although two sound searchers
        stood beside it. Cause: a refusal taught nothing, so each one cost a
        second send until the budget was gone.
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

    def test_own_fresh_answer_outweighs_what_others_find(self):
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

    def test_slow_for_others_is_avoided_for_a_while(self):
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
