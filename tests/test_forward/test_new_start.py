"""A searcher that starts again under its id, as an entry treats it."""

from __future__ import annotations

from greengagemoor.feed.messages import (
    SearcherKey,
    SearcherLearnt,
    SearcherRow,
    SearcherState,
    SlowSearchers,
)
from greengagemoor.forward.messages import (
    CancelAttempt,
    CloseIdle,
    Ending,
    Outcome,
)
from greengagemoor.routing.routes import Grade
from tests.test_forward.helpers import Bench, answers, single, starts, warm


def again(bench, searcher_id="s0.0", start=2_000, **changes):
    """The searcher's new start is learnt."""
    values = {
        "searcher_id": searcher_id,
        "service": "s0",
        "address": f"{searcher_id}:1",
        "data_centre": "dc1",
        "state": SearcherState.READY,
        "sequence": 1,
        "slots": 5,
        "cold_left_s": 0.0,
        "start": start,
    }
    return bench.step(SearcherLearnt(SearcherRow(**{**values, **changes})))


class TestSendsUnderWay:
    """What runs at the old start has ended, unknown how.

    Symptom: requests waited for a process that was gone until their deadline.
    Sequence: a searcher crashes behind a cut, so nothing resets its
    connections, and starts again under its id. Cause: the entry took the new
    start for the one that it had sent to.
    """

    def test_repeatable_request_goes_again(self):
        bench = Bench(searchers=2)
        (first,) = starts(bench.arrive(single()))
        out = again(bench, first.searcher_id)
        assert CancelAttempt(first.attempt_id) in out
        (second,) = starts(out)
        assert second.searcher_id != first.searcher_id

    def test_also_to_the_new_start_itself(self):
        bench = Bench(searchers=1)
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(again(bench, first.searcher_id))
        assert second.searcher_id == first.searcher_id

    def test_other_request_never_does(self):
        bench = Bench()
        route = single(grade=Grade.ONCE_PER_ATTEMPT)
        (first,) = starts(bench.arrive(route))
        out = again(bench, first.searcher_id)
        assert not starts(out)
        (answer,) = answers(out)
        assert answer.ending is Ending.BROKEN

    def test_late_answer_of_the_old_start_changes_nothing(self):
        bench = Bench(searchers=1)
        (first,) = starts(bench.arrive(single()))
        again(bench, first.searcher_id)
        assert bench.answer(first) == []

    def test_idle_connections_are_closed(self):
        bench = Bench()
        assert CloseIdle("s0.0:1") in again(bench)


class TestCleanRecord:
    """Nothing that was learnt of the old start holds for the new one."""

    def test_places_are_free(self):
        bench = Bench(searchers=1, cap=1)
        (first,) = starts(bench.arrive(single()))
        bench.arrive(single())
        again(bench, first.searcher_id)
        row = bench.decider.tables.searchers["s0.0"]
        assert len(row.attempts) <= row.cap
        assert first.attempt_id not in row.attempts

    def test_failures_and_slowness_are_forgotten(self):
        bench = Bench(searchers=1)
        warm(bench, single())
        row = bench.decider.tables.searchers["s0.0"]
        row.slowness.value = 9.0
        (start,) = starts(bench.arrive(single()))
        bench.end(start, Outcome.NOT_SENT)
        assert row.avoid_until > bench.now
        again(bench)
        row = bench.decider.tables.searchers["s0.0"]
        assert row.slowness.value == 1.0
        assert row.avoid_until < bench.now

    def test_wrong_searcher_at_the_old_start_is_asked_again(self):
        bench = Bench(searchers=1)
        (start,) = starts(bench.arrive(single()))
        bench.end(start, Outcome.WRONG_SEARCHER)
        again(bench)
        assert starts(bench.arrive(single()))

    def test_slowness_that_others_saw_of_the_old_start(self):
        bench = Bench(searchers=1)
        again(bench)
        bench.step(SlowSearchers((SearcherKey("s0.0", 1_000),), 2.0))
        row = bench.decider.tables.searchers["s0.0"]
        assert row.slow_until < bench.now

    def test_new_start_is_cold(self):
        bench = Bench(searchers=1)
        again(bench, cold_left_s=3.0)
        row = bench.decider.tables.searchers["s0.0"]
        assert row.cold_until == bench.now + 3.0

    def test_new_start_may_serve_another_service(self):
        bench = Bench(services=2, searchers=1)
        again(bench, service="s1")
        tables = bench.decider.tables
        assert tables.by_service["s0"] == []
        assert len(tables.by_service["s1"]) == 2

    def test_new_start_that_is_gone_takes_the_old_one_along(self):
        bench = Bench(searchers=1)
        again(bench, state=SearcherState.GONE, address="")
        assert "s0.0" not in bench.decider.tables.searchers
