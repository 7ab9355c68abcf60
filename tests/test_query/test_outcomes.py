"""Coverage, answers per caller, result codes, and bounds on extra attempts."""

from __future__ import annotations

import pytest

from greengagemoor.codes import Code
from greengagemoor.query.messages import (
    CallerGone,
    CancelAttempt,
    Failure,
    ServerGone,
    ShardResult,
)
from tests.fakes import DOCUMENT, answer_to, of_kind
from tests.test_query.helpers import Driver

PAIR = {"a": (0, 1), "b": (0, 1)}
NO_RETRY = DOCUMENT.replace(
    '{"name": "read"}',
    '{"name": "read", "max_attempts": 1, "max_refusals": 0,'
    ' "least_coverage": 0.5}',
)


class TestCoverage:
    """Shards with a result, and missing shards with their reasons."""

    def test_shard_without_any_replica_is_counted_as_missing(self):
        """Guards against a "whole" answer that lacks a shard.

        The last searcher of a shard leaves. Counting only shards that have a
        searcher would make the answer look complete.
        """
        driver = Driver(NO_RETRY, {"a": (0,), "b": (1, 2)}, shard_count=3)
        driver.announce("b", (1,), shard_count=3, sequence=2)
        token = driver.ask()
        driver.answer_all()
        answer = driver.reply(token)
        assert answer.code == Code.PARTIAL
        assert answer.coverage.shards == 3
        missing = answer.coverage.missing
        assert [(m.shard, m.reason) for m in missing] == [
            (2, "no_live_replica")
        ]

    def test_answer_after_the_reply_is_not_counted_in_coverage(self):
        driver = Driver(NO_RETRY, {"a": (0,), "b": (1,)})
        token = driver.ask(deadline_s=0.1)
        first, second = driver.under_way()
        driver.answer(first)
        driver.send(at=0.2)
        answer = driver.reply(token)
        assert answer.code == Code.PARTIAL
        assert answer.coverage.missing[0].reason == "still_due"
        driver.answer(second)
        assert len(driver.replies) == 1

    @pytest.mark.parametrize(
        "changes",
        [
            {"snapshot": 9},
            {"request_id": "other"},
            {"results": (ShardResult(7, '"x"'),)},
            {"results": (ShardResult(0, '"x"'), ShardResult(0, '"y"'))},
        ],
        ids=["version", "request", "shard", "doubled shard"],
    )
    def test_answer_that_does_not_match_its_attempt(self, changes):
        """Guards against answering a caller with another request's results.

        A connection is reused while an old answer is outstanding, and the old
        answer is read as the answer to the new attempt. Request id, snapshot
        and shards of the answer must be checked.
        """
        driver = Driver(NO_RETRY, {"a": (0, 1)})
        token = driver.ask()
        driver.answer(driver.under_way()[0], **changes)
        answer = driver.reply(token)
        assert answer.code == Code.UNKNOWN
        assert answer.results == ()

    def test_shard_missing_in_an_answer_is_retried_elsewhere(self):
        driver = Driver(searchers=PAIR)
        token = driver.ask()
        first = driver.under_way()[0]
        one = ShardResult(0, f'"{first.server}/v1/0"')
        driver.answer(first, results=(one,))
        (retry,) = driver.under_way()
        assert retry.shards == (1,)
        assert retry.server != first.server
        driver.answer_all()
        assert driver.reply(token).code == Code.WHOLE

    def test_below_least_coverage_withholds_results(self):
        driver = Driver(searchers={"a": (0,)})
        token = driver.ask()
        driver.answer_all()
        answer = driver.reply(token)
        assert answer.code == Code.BELOW_COVERAGE
        assert answer.results == ()
        assert answer.coverage.reflected == (0,)


class TestOwnAnswer:
    """Each caller gets the answer to its own request."""

    def test_equal_request_ids_of_two_callers(self):
        driver = Driver(searchers=PAIR)
        mine = driver.ask("atlas", request_id="same", body='"mine"')
        theirs = driver.ask("rival", request_id="same", body='"theirs"')
        by_caller = {a.caller: a for a in driver.under_way()}
        value = ShardResult(0, '"a"'), ShardResult(1, '"b"')
        driver.answer(by_caller["rival"], results=value)
        assert mine not in driver.replies
        driver.answer(by_caller["atlas"])
        assert driver.reply(theirs).results == value
        assert driver.reply(mine).results != value

    def test_equal_queries_of_two_callers_do_not_join(self):
        """Guards against an answer to one caller reaching a competitor.

        Two callers send equal requests within milliseconds. If both join one
        query, the answer of one shows the attempt count of the other.
        """
        driver = Driver(searchers=PAIR)
        driver.ask("atlas", body='"q"')
        driver.ask("rival", body='"q"')
        assert {a.caller for a in driver.under_way()} == {"atlas", "rival"}

    def test_equal_queries_of_one_caller_join(self):
        driver = Driver(searchers=PAIR)
        tokens = [driver.ask(body='"q"') for _ in range(5)]
        assert len(driver.under_way()) == 1
        driver.answer_all()
        for token in tokens:
            answer = driver.reply(token)
            assert answer.code == Code.WHOLE
            assert answer.request_id == f"r{token}"

    def test_class_may_let_callers_share(self):
        shared = DOCUMENT.replace(
            '{"name": "read"}', '{"name": "read", "share_answers": true}'
        )
        driver = Driver(shared, PAIR)
        driver.ask("atlas", body='"q"')
        driver.ask("rival", body='"q"')
        assert len(driver.under_way()) == 1

    def test_a_joined_waiter_is_answered_at_its_own_deadline(self):
        driver = Driver(searchers=PAIR)
        patient = driver.ask(body='"q"', deadline_s=5.0)
        hasty = driver.ask(body='"q"', deadline_s=0.1)
        driver.send(at=0.1)
        assert driver.reply(hasty).code == Code.UNKNOWN
        assert patient not in driver.replies
        driver.answer_all()
        assert driver.reply(patient).code == Code.WHOLE

    def test_duplicate_answer_changes_nothing(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask()
        attempt = driver.under_way()[0]
        driver.answer(attempt)
        driver.answer(attempt)
        assert driver.reply(token).code == Code.WHOLE
        assert driver.decider.state.counters.late_answers == 1

    def test_closed_connection_ends_only_its_own_wait(self):
        driver = Driver(searchers=PAIR)
        gone = driver.ask(body='"q"')
        stays = driver.ask(body='"q"')
        driver.send(CallerGone(gone))
        driver.answer_all()
        assert gone not in driver.replies
        assert driver.reply(stays).code == Code.WHOLE


class TestNotRun:
    """A "not run" code requires that no attempt of the query may have run."""

    def test_refused_by_every_searcher_is_not_run(self):
        driver = Driver(NO_RETRY, {"a": (0, 1)})
        token = driver.ask()
        driver.fail(driver.under_way()[0], Failure.SHED)
        answer = driver.reply(token)
        assert answer.code == Code.NOT_RUN_REFUSED
        assert answer.retry_after_s > 0

    def test_timeout_then_refusals_is_unknown(self):
        """Guards against "not run" after an attempt that timed out.

        The first attempt times out and the retries are refused. If the code
        depended on the last attempt only, the caller would send again and the
        request could run twice.
        """
        driver = Driver(searchers=PAIR)
        token = driver.ask()
        driver.fail(driver.under_way()[0], Failure.TIMEOUT)
        while driver.under_way():
            driver.fail(driver.under_way()[0], Failure.DRAINING)
        assert driver.reply(token).code == Code.UNKNOWN

    def test_cancelled_attempt_is_unknown(self):
        driver = Driver(NO_RETRY, {"a": (0, 1)})
        token = driver.ask()
        driver.fail(driver.under_way()[0], Failure.CANCELLED)
        assert driver.reply(token).code == Code.UNKNOWN

    def test_attempt_in_flight_at_the_deadline_is_unknown(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask(deadline_s=0.2)
        driver.send(at=0.2)
        assert driver.reply(token).code == Code.UNKNOWN
        assert of_kind(driver.out, CancelAttempt)

    def test_empty_answer_is_unknown(self):
        """Guards against "not run" after an answer without results.

        The searcher answers 200 with no result for the shard, and no other
        searcher holds it. The attempt may have run, so a caller that sends
        again could run the request twice.
        """
        driver = Driver(NO_RETRY, {"a": (0, 1)})
        token = driver.ask()
        driver.answer(driver.under_way()[0], results=())
        assert driver.reply(token).code == Code.UNKNOWN

    def test_backend_error_is_failed(self):
        driver = Driver(NO_RETRY, {"a": (0, 1)})
        token = driver.ask()
        driver.fail(driver.under_way()[0], Failure.ERROR)
        assert driver.reply(token).code == Code.FAILED


class TestGivenUp:
    """A request that can't get further results is answered at once."""

    def test_final_answer_does_not_wait_for_the_deadline(self):
        """Guards against delaying a certain rejection until the deadline.

        Every searcher refuses and no attempt is left, but the deadline is
        seconds away.
        """
        driver = Driver(NO_RETRY, {"a": (0, 1)})
        token = driver.ask(deadline_s=30.0)
        driver.fail(driver.under_way()[0], Failure.DRAINING)
        assert driver.replies[token].elapsed_s == 0
        assert driver.reply(token).retry_after_s > 0

    def test_every_rejection_has_a_retry_after(self):
        driver = Driver()
        tokens = [driver.ask(), driver.ask(service="none")]
        for token in tokens:
            assert driver.reply(token).retry_after_s > 0


class TestExtraWork:
    """Hedges and retries stay within budgets and stop under overload."""

    def test_first_answer_of_a_hedged_attempt_cancels_the_other(self):
        driver = Driver(searchers=PAIR)
        token = driver.ask()
        driver.send(at=0.06)
        first, hedge = driver.under_way()
        assert {first.server, hedge.server} == {"a", "b"}
        driver.answer(hedge)
        assert driver.reply(token).code == Code.WHOLE
        cancelled = of_kind(driver.out, CancelAttempt)
        assert [c.attempt_id for c in cancelled] == [first.attempt_id]

    def test_no_hedge_while_queries_wait_for_room(self):
        """Guards against hedges that add load while searchers are full.

        A slot becomes free at the moment when an attempt counts as late, while
        a query waits for its first attempt. The hedge must not take the slot.
        """
        driver = Driver(searchers=PAIR, share=1)
        for number in range(3):
            driver.ask(body=f'"{number}"')
        ends = driver.under_way()[1]
        driver.send(answer_to(ends), at=0.06)
        assert driver.under_way()[-1].body == '"2"'
        assert driver.decider.state.counters.hedge_shards == 0

    def test_cancelled_attempt_keeps_its_connection_counted(self):
        """Guards against exceeding the connection cap by cancelled attempts.

        A cancelled attempt still has its answer outstanding on its connection.
        If it counted as ended, new attempts would open further connections.
        """
        driver = Driver(searchers=PAIR, share=1)
        driver.ask()
        driver.send(at=0.06)
        first, hedge = driver.under_way()
        driver.answer(hedge)
        driver.send(ServerGone(hedge.server, "s"))
        driver.ask(body='"next"')
        assert [a.attempt_id for a in driver.under_way(first.server)] == [
            first.attempt_id
        ]

    def test_retries_stay_within_the_budget(self):
        driver = Driver(searchers=PAIR)
        for number in range(60):
            driver.ask(body=f'"{number}"')
            for attempt in driver.under_way():
                driver.fail(attempt, Failure.BROKEN)
            while driver.under_way():
                driver.fail(driver.under_way()[0], Failure.BROKEN)
        counters = driver.decider.state.counters
        allowed = 20 + 2 + 0.1 * counters.first_shards
        assert counters.retry_shards <= allowed
