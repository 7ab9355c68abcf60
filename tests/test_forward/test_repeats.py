"""Searchers that lose answers: which sends follow, and how many."""

from __future__ import annotations

import random

from greengagemoor.forward.messages import Ending, Outcome
from greengagemoor.routing.routes import Grade
from tests.test_forward.helpers import (
    Bench,
    answers,
    gather,
    single,
    starts,
    warm,
)

LOSS = 0.15


class TestLostAnswers:
    """A route's bound is on searchers, not on sends.

    Symptom: one gather in ten left a shard out, 10 to 20 ms after it came,
    while searchers lost 8 of 100 answers. Sequence: two searchers run the
    request, and both connections are reset. Cause: two sends had run, as many
    as the route allows searchers, so the shard was given up.
    """

    def broken_at(self, bench, start, times=1):
        """Ends a send broken, and those that follow it."""
        sent = [start]
        for _ in range(times):
            (again,) = starts(bench.end(sent[-1], Outcome.BROKEN))
            sent.append(again)
        return sent

    def test_third_send_goes_where_it_has_run(self):
        bench = Bench(searchers=3)
        (first,) = starts(bench.arrive(single(attempts=2)))
        sent = self.broken_at(bench, first, times=2)
        assert len({start.searcher_id for start in sent}) == 2
        (end,) = answers(bench.answer(sent[-1]))
        assert end.ending is Ending.ANSWERED

    def test_never_on_more_searchers_than_the_route_allows(self):
        bench = Bench(searchers=5)
        (first,) = starts(bench.arrive(single(attempts=2)))
        out, ran = [first], set()
        while out:
            start = out.pop()
            ran.add(start.searcher_id)
            out = starts(bench.end(start, Outcome.BROKEN))
        assert len(ran) == 2

    def test_refusal_there_does_not_open_a_third_searcher(self):
        bench = Bench(searchers=5)
        (first,) = starts(bench.arrive(single(attempts=2)))
        sent = self.broken_at(bench, first, times=2)
        ran = {start.searcher_id for start in sent}
        out = starts(bench.end(sent[-1], Outcome.NOT_RUN))
        assert {start.searcher_id for start in out} <= ran

    def test_each_is_counted(self):
        bench = Bench(searchers=2, retry_slack=100.0, retry_ratio=0.0)
        (first,) = starts(bench.arrive(single(attempts=2)))
        before = bench.decider.gauges()["least_budget_left"]
        self.broken_at(bench, first, times=2)
        assert bench.decider.gauges()["least_budget_left"] == before - 2

    def test_none_without_allowance(self):
        bench = Bench(searchers=3, retry_slack=0.0, retry_ratio=0.0)
        (first,) = starts(bench.arrive(single(attempts=2)))
        assert not starts(bench.end(first, Outcome.BROKEN))

    def test_shard_waits_for_allowance(self):
        """Allowance grows with each request; the objective is still far."""
        bench = Bench(services=2, retry_slack=0.0, retry_ratio=0.25)
        route = gather(shards=2, least=0.5)
        sends = starts(bench.arrive(route))
        assert not answers(bench.end(sends[0], Outcome.BROKEN))
        assert not answers(bench.answer(sends[1], b"x" * 16))
        for _ in range(4):
            bench.arrive(route)
        (again,) = [
            start
            for start in starts(bench.pass_time(0.03))
            if start.token == sends[0].token
        ]
        (end,) = answers(bench.answer(again, b"x" * 16))
        assert end.merged.missing == 0

    def test_shard_without_allowance_is_left_out_in_time(self):
        bench = Bench(services=2, retry_slack=0.0, retry_ratio=0.0)
        route = gather(shards=2, least=0.5)
        sends = starts(bench.arrive(route))
        bench.end(sends[0], Outcome.BROKEN)
        bench.answer(sends[1], b"x" * 16)
        (end,) = answers(bench.pass_time(0.3))
        assert end.merged.missing == 1
        assert end.elapsed_s < route.objective_s

    def test_never_where_a_request_may_run_once(self):
        bench = Bench(searchers=3)
        route = single(attempts=2, grade=Grade.ONCE_PER_ATTEMPT)
        (first,) = starts(bench.arrive(route))
        assert not starts(bench.end(first, Outcome.BROKEN))

    def test_load_with_lost_answers(self):
        """All searchers lose 15 of 100 answers for a while."""
        rng = random.Random(5)
        bench = Bench(services=8, retry_slack=4000.0)
        route = gather(shards=8)
        missing = 0
        for _ in range(100):
            sends = starts(bench.arrive(route))
            while sends:
                bench.now += 0.001
                start = sends.pop()
                if rng.random() < LOSS:
                    out = bench.end(start, Outcome.BROKEN)
                else:
                    out = bench.answer(start, b"x" * 16)
                sends += starts(out)
                missing += sum(end.merged.missing for end in answers(out))
        # Given up after two, 800 shards would lack 0.15 squared: 18.
        assert missing <= 4


class TestSecondSendThatFails:
    """A second send that fails is replaced while the first still runs.

    Symptom: a gather left out a shard whose first searcher was slow, 75 ms
    after its second send had failed. Sequence: the second send meets a
    connection that its searcher has dropped. Cause: a leg with any send under
    way was left alone.
    """

    def late(self, bench, route):
        """Returns a first send that is late and the one beside it."""
        warm(bench, route)
        (first,) = starts(bench.arrive(route))
        (second,) = starts(bench.pass_time(0.1))
        return first, second

    def test_dropped_connection(self):
        bench = Bench()
        _, second = self.late(bench, single())
        (again,) = starts(bench.end(second, Outcome.BROKEN, stale=True))
        assert again.searcher_id == second.searcher_id

    def test_refused(self):
        bench = Bench()
        first, second = self.late(bench, single())
        (again,) = starts(bench.end(second, Outcome.NOT_RUN))
        assert again.searcher_id not in (first.searcher_id, second.searcher_id)

    def test_dropped_connection_of_the_first(self):
        bench = Bench()
        first, _ = self.late(bench, single())
        (again,) = starts(bench.end(first, Outcome.BROKEN, stale=True))
        assert again.searcher_id == first.searcher_id

    def test_first_goes_on_without_allowance(self):
        bench = Bench(retry_slack=1.0, retry_ratio=0.0, places=1)
        first, second = self.late(bench, single())
        assert not answers(bench.end(second, Outcome.NOT_RUN))
        (end,) = answers(bench.answer(first))
        assert end.ending is Ending.ANSWERED
