"""Retries within a request during which a searcher crashed."""

from __future__ import annotations

from greengagemoor.forward.messages import Ending, Outcome
from tests.test_forward.helpers import (
    Bench,
    answers,
    gather,
    single,
    starts,
    warm,
)


class TestRetries:
    """Retries within one request."""

    def test_no_second_send_while_others_may_answer(self):
        """One shard's searcher crashes; the query may be the cause."""
        bench = Bench(services=4)
        sent = starts(bench.arrive(gather()))
        assert not starts(bench.end(sent[0], Outcome.BROKEN))

    def test_first_answer_releases_retries(self):
        bench = Bench(services=4)
        sent = starts(bench.arrive(gather()))
        bench.end(sent[0], Outcome.BROKEN)
        bench.end(sent[1], Outcome.BROKEN)
        again = starts(bench.answer(sent[2]))
        assert len(again) == 2

    def test_slow_shards_do_not_defer_a_retry_for_long(self):
        """One crash is weak evidence where all other shards are slow."""
        bench = Bench(services=4)
        warm(bench, gather())
        sent = starts(bench.arrive(gather()))
        out = bench.end(sent[0], Outcome.BROKEN)
        assert not starts(out)
        again = starts(bench.pass_time(0.03))
        ended = sent[0].searcher_id.partition(".")[0]
        assert ended in {one.searcher_id.partition(".")[0] for one in again}

    def test_given_up_once_all_sends_have_ended(self):
        """Guards against a query that crashes two searchers of each shard."""
        bench = Bench(services=4)
        sent = starts(bench.arrive(gather()))
        out = [msg for one in sent for msg in bench.end(one, Outcome.BROKEN)]
        assert not starts(out)
        (end,) = answers(out)
        assert end.ending is Ending.BELOW_COVERAGE

    def test_closed_idle_connection_is_not_an_end(self):
        """A shard of a gather is resent to the same searcher at once, too."""
        bench = Bench(services=4)
        sent = starts(bench.arrive(gather()))
        (again,) = starts(bench.end(sent[0], Outcome.BROKEN, stale=True))
        assert again.searcher_id == sent[0].searcher_id

    def test_shard_without_a_place_waits_as_well(self):
        """If sent, it might crash one more searcher; it expires instead."""
        bench = Bench(services=2, searchers=1, cap=10)
        bench.arrive(single())
        sent = starts(bench.arrive(gather(2, least=1.0)))
        assert [one.searcher_id for one in sent] == ["s1.0"]
        bench.end(sent[0], Outcome.BROKEN)
        (first, *_) = starts(bench.outputs)
        assert not starts(bench.answer(first))
        out = bench.pass_time(1.0)
        assert [end.ending for end in answers(out)] == [Ending.NO_ANSWER]

    def test_shard_without_a_place_is_sent_after_an_answer(self):
        bench = Bench(services=3, searchers=1, cap=10)
        bench.arrive(single())
        route = gather(3, least=0.6)
        sent = starts(bench.arrive(route))
        bench.end(sent[0], Outcome.BROKEN)
        (first, *_) = starts(bench.outputs)
        bench.answer(first)
        out = bench.answer(sent[1]) + bench.pass_time(0.05)
        assert "s0.0" in {one.searcher_id for one in starts(out)}
