"""One snapshot an answer, through changes of version and partition."""

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
    """Results of two versions never meet in one answer."""

    def test_version_change_while_a_query_runs(self):
        """An answer of two versions.

        Symptom: a contract appears as both open and closed in one answer.
        Sequence: shard 0 answers on version 1; the searchers change to
        version 2; shard 1 is asked again and answers on version 2.
        Cause: the retry goes to whatever version is newest.
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
        """An old result in a new answer.

        Symptom: one shard of an answer is a version behind.
        Sequence: a hedge wins and the late attempt is cancelled; the version
        goes and the query starts again; the cancelled attempt answers.
        Cause: an answer is taken in by its query, whatever it now asks.
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

    def test_repartition_restarts_the_whole_query(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask()
        driver.announce("a", (0, 1, 2), version=2, shard_count=3, sequence=2)
        driver.fail(driver.under_way()[0], Failure.VERSION_GONE)
        driver.answer_all()
        answer = driver.reply(token)
        assert answer.coverage.shards == 3
        assert answer.coverage.reflected == (0, 1, 2)
        assert versions_in(answer) == {"v2"}

    def test_version_vanishes_and_nothing_newer_is_there(self):
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

    def test_two_shard_counts_for_one_version(self):
        """Coverage that can't be told.

        Symptom: an answer says 2 of 2 shards, while another index has 3.
        Sequence: two searchers announce one version with different counts,
        to two entries that had not yet heard of each other's word.
        Cause: one of the counts is taken for true.
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
    """Which snapshot a new query is pinned to."""

    def test_newest_that_meets_the_coverage_rule(self):
        driver = Driver(searchers=PAIR)
        driver.announce("b", (0,), version=2, sequence=2)
        token = driver.ask()
        driver.answer_all()
        assert driver.reply(token).snapshot == 1

    def test_a_caller_does_not_go_back(self):
        """A record that disappears.

        Symptom: a contract that was shown a second ago is not found.
        Sequence: the newest version loses a shard; the query falls back to an
        older whole one, which lacks what the caller has seen.
        Cause: nobody says what the caller has seen, at any entry.
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

    def test_floor_above_all_versions_is_not_run(self):
        driver = Driver(searchers={"a": (0, 1)})
        token = driver.ask(least_snapshot=5)
        assert driver.reply(token).code == Code.NOT_RUN_NO_REPLICA


class TestLeaving:
    """A searcher that says it drains gets no new work."""

    def test_drain_in_an_answer_acts_at_once(self):
        """Work for a searcher that leaves.

        Symptom: attempts fail at a searcher that shut down minutes ago.
        Sequence: the searcher drains; this entry is cut off from the others
        and hears no announcement; attempts go on.
        Cause: only announcements are listened to.
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
