"""One snapshot per answer, through changes of version and shard count."""

from __future__ import annotations

from greengagemoor.backends import ServerState
from greengagemoor.codes import Code
from greengagemoor.query.messages import Failure, ServerGone
from tests.test_query.helpers import Driver

PAIR = {"a": (0, 1), "b": (0, 1)}


def versions_in(answer) -> set[str]:
    """Returns the index versions that the results came from."""
    return {result.value.split("/")[1] for result in answer.results}


class TestOneSnapshot:
    """An answer never combines results of two versions."""

    def test_version_change_while_a_query_runs(self):
        """Guards against a retry on a newer version than the first results.

        Shard 0 answers on version 1, the searchers change to version 2, and
        shard 1 is asked again and answers on version 2. The answer would be
        inconsistent, such as a record that is both open and closed.
        """
        driver = Driver(searchers={"a": (0,), "b": (1,)})
        token = driver.ask()
        first, second = driver.under_way()
        driver.answer(first)
        driver.announce("a", (0,), version=2, sequence=2)
        driver.announce("b", (1,), version=2, sequence=2)
        driver.fail(second, Failure.VERSION_GONE)
        driver.answer_all()
        answer = driver.reply(token)
        assert answer.code == Code.WHOLE
        assert answer.snapshot == 2
        assert versions_in(answer) == {"v2"}

    def test_late_answer_of_the_old_version_after_a_restart(self):
        """Guards against adding a result of the old version after a restart.

        A hedge answers first and the late attempt is cancelled. The version is
        dropped, the query restarts, and the cancelled attempt answers.
        """
        driver = Driver(searchers={"a": (0,), "b": (0,), "c": (1,)})
        token = driver.ask()
        late = next(a for a in driver.under_way() if a.server in "ab")
        last = next(a for a in driver.under_way() if a.server == "c")
        driver.send(at=0.06)
        hedge = driver.under_way()[-1]
        assert {late.server, hedge.server} == {"a", "b"}
        driver.answer(hedge)
        for name, shards in (("a", (0,)), ("b", (0,)), ("c", (1,))):
            driver.announce(name, shards, version=2, sequence=2)
        driver.fail(last, Failure.VERSION_GONE)
        driver.answer(late)
        driver.answer_all()
        answer = driver.reply(token)
        assert versions_in(answer) == {"v2"}
        assert answer.coverage.reflected == (0, 1)

    def test_change_of_shard_count_restarts_the_query(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask()
        driver.announce("a", (0, 1, 2), version=2, shard_count=3, sequence=2)
        driver.fail(driver.under_way()[0], Failure.VERSION_GONE)
        driver.answer_all()
        answer = driver.reply(token)
        assert answer.coverage.shards == 3
        assert answer.coverage.reflected == (0, 1, 2)
        assert versions_in(answer) == {"v2"}

    def test_version_is_dropped_without_a_newer_one(self):
        driver = Driver(searchers={"a": (0,), "b": (1,)})
        token = driver.ask()
        first, second = driver.under_way()
        driver.answer(first)
        driver.send(ServerGone("b", "s"))
        driver.fail(second, Failure.VERSION_GONE)
        answer = driver.reply(token)
        assert answer.code == Code.BELOW_COVERAGE
        assert answer.snapshot == 1
        assert [m.shard for m in answer.coverage.missing] == [1]

    def test_version_with_two_shard_counts_is_not_used(self):
        """Guards against wrong coverage after conflicting announcements.

        Two searchers announce one version with different shard counts to two
        entry instances that have not yet gossiped. Using either count could
        report 2 of 2 shards where there are 3.
        """
        driver = Driver(searchers={"a": (0, 1)})
        driver.announce("b", (0, 1, 2), shard_count=3)
        token = driver.ask()
        assert driver.reply(token).code == Code.NOT_RUN_NO_REPLICA
        driver.announce("b", (0, 1), shard_count=2, sequence=2)
        token = driver.ask()
        driver.answer_all()
        assert driver.reply(token).code == Code.WHOLE


class TestChoice:
    """Selection of the snapshot for a new query."""

    def test_newest_with_enough_coverage(self):
        driver = Driver(searchers=PAIR)
        driver.announce("b", (0,), version=2, sequence=2)
        token = driver.ask()
        driver.answer_all()
        assert driver.reply(token).snapshot == 1

    def test_snapshot_is_not_older_than_the_caller_accepts(self):
        """Guards against an older version than the caller saw before.

        The newest version loses a shard, and a query falls back to an older
        version with full coverage, which lacks a record that the caller was
        shown. The caller sends the oldest version that it accepts.
        """
        driver = Driver(searchers={"a": (0, 1)})
        driver.announce("b", (0,), version=2)
        old = driver.ask(body='"any"')
        new = driver.ask(body='"new"', least_snapshot=2)
        driver.answer_all()
        assert driver.reply(old).snapshot == 1
        answer = driver.reply(new)
        assert answer.snapshot == 2
        assert answer.code == Code.BELOW_COVERAGE

    def test_least_snapshot_above_all_versions_is_not_run(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask(least_snapshot=5)
        assert driver.reply(token).code == Code.NOT_RUN_NO_REPLICA


class TestLeaving:
    """A searcher that reports that it drains gets no new attempts."""

    def test_drain_in_an_answer_applies_at_once(self):
        """Guards against attempts on a searcher that shuts down.

        The searcher drains while this entry instance is partitioned and gets
        no announcements. The state in the searcher's answers must be used too.
        """
        driver = Driver(searchers={"a": (0, 1)})
        driver.ask()
        first = driver.under_way()[0]
        driver.answer(first, server_state=ServerState.DRAINING)
        driver.announce("a", (0, 1))
        token = driver.ask(body='"next"')
        assert driver.reply(token).code == Code.NOT_RUN_NO_REPLICA
        assert not driver.under_way("a")

    def test_running_attempt_of_a_draining_searcher_finishes(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask()
        driver.announce("a", (0, 1), sequence=2, state=ServerState.DRAINING)
        driver.answer_all()
        assert driver.reply(token).code == Code.WHOLE
