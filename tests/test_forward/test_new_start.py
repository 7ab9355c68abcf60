"""An entry's handling of a searcher that restarts under its id."""

from __future__ import annotations

from greengagemoor.feed.messages import (
    SearcherKey,
    SearcherRow,
    SearcherState,
    SearcherUpdated,
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


def restart(bench, searcher_id="s0.0", start=2_000, **changes):
    """Reports a new process of the searcher to the decider."""
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
    return bench.step(SearcherUpdated(SearcherRow(**{**values, **changes})))


class TestSendsUnderWay:
    """Sends to the old process have ended with an unknown outcome.

    Guards against requests that wait until their deadline for a process that
    no longer exists: a searcher crashes behind a network partition, so nothing
    resets its connections, and the entry takes the new process for the old.
    """

    def test_repeatable_request_is_retried(self):
        bench = Bench(searchers=2)
        (first,) = starts(bench.arrive(single()))
        out = restart(bench, first.searcher_id)
        assert CancelAttempt(first.attempt_id) in out
        (second,) = starts(out)
        assert second.searcher_id != first.searcher_id

    def test_retry_may_go_to_the_new_process(self):
        bench = Bench(searchers=1)
        (first,) = starts(bench.arrive(single()))
        (second,) = starts(restart(bench, first.searcher_id))
        assert second.searcher_id == first.searcher_id

    def test_other_request_is_not_retried(self):
        bench = Bench()
        route = single(grade=Grade.ONCE_PER_ATTEMPT)
        (first,) = starts(bench.arrive(route))
        out = restart(bench, first.searcher_id)
        assert not starts(out)
        (answer,) = answers(out)
        assert answer.ending is Ending.BROKEN

    def test_late_answer_of_the_old_process_is_ignored(self):
        bench = Bench(searchers=1)
        (first,) = starts(bench.arrive(single()))
        restart(bench, first.searcher_id)
        assert bench.answer(first) == []

    def test_idle_connections_are_closed(self):
        bench = Bench()
        assert CloseIdle("s0.0:1") in restart(bench)


class TestStateIsReset:
    """No state of the old process is used for the new one."""

    def test_connections_are_free(self):
        bench = Bench(searchers=1, cap=1)
        (first,) = starts(bench.arrive(single()))
        bench.arrive(single())
        restart(bench, first.searcher_id)
        row = bench.decider.tables.searchers["s0.0"]
        assert len(row.attempts) <= row.cap
        assert first.attempt_id not in row.attempts

    def test_failures_and_slowness_are_reset(self):
        bench = Bench(searchers=1)
        warm(bench, single())
        row = bench.decider.tables.searchers["s0.0"]
        row.slowness.value = 9.0
        (start,) = starts(bench.arrive(single()))
        bench.end(start, Outcome.NOT_SENT)
        assert row.avoid_until > bench.now
        restart(bench)
        row = bench.decider.tables.searchers["s0.0"]
        assert row.slowness.value == 1.0
        assert row.avoid_until < bench.now

    def test_new_process_is_used_after_a_wrong_searcher(self):
        bench = Bench(searchers=1)
        (start,) = starts(bench.arrive(single()))
        bench.end(start, Outcome.WRONG_SEARCHER)
        restart(bench)
        assert starts(bench.arrive(single()))

    def test_reported_slowness_of_the_old_process_is_ignored(self):
        bench = Bench(searchers=1)
        restart(bench)
        bench.step(SlowSearchers((SearcherKey("s0.0", 1_000),), 2.0))
        row = bench.decider.tables.searchers["s0.0"]
        assert row.slow_until < bench.now

    def test_new_process_is_cold(self):
        bench = Bench(searchers=1)
        restart(bench, cold_left_s=3.0)
        row = bench.decider.tables.searchers["s0.0"]
        assert row.cold_until == bench.now + 3.0

    def test_new_process_may_serve_another_service(self):
        bench = Bench(services=2, searchers=1)
        restart(bench, service="s1")
        tables = bench.decider.tables
        assert tables.by_service["s0"] == []
        assert len(tables.by_service["s1"]) == 2

    def test_gone_new_process_removes_the_old_one(self):
        bench = Bench(searchers=1)
        restart(bench, state=SearcherState.GONE, address="")
        assert "s0.0" not in bench.decider.tables.searchers
