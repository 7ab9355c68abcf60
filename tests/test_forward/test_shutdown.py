"""Requests of an entry that is shutting down."""

from __future__ import annotations

import pytest

from greengagemoor.forward import messages as m
from greengagemoor.forward import part_messages as p
from greengagemoor.forward.messages import Ending
from greengagemoor.routing.routes import Grade
from tests.test_forward.helpers import (
    Bench,
    answers,
    gather,
    single,
    starts,
    warm,
)

REMAINING_S = 6.0
"""Time from the start of the shutdown until the last answer."""
LONG = single(grade=Grade.ONCE_PER_ATTEMPT, time_limit_s=20.0, objective_s=0.8)


def shut_down(bench):
    """Starts the shutdown; returns when the last answer is due."""
    ends_at = bench.now + REMAINING_S
    bench.step(m.ShutdownStarted(ends_at))
    return ends_at


class TestRunningRequests:
    """Guards against ending the process before a request is answered."""

    @pytest.mark.parametrize("before_s", [0.0, 2.0])
    def test_answered_when_the_entry_ends(self, before_s):
        """The request arrives before or during the shutdown."""
        bench = Bench()
        if before_s:
            ends_at = shut_down(bench)
            bench.step(after=before_s)
            assert starts(bench.arrive(LONG))
        else:
            assert starts(bench.arrive(LONG))
            ends_at = shut_down(bench)
        assert answers(bench.outputs) == []
        assert bench.decider.next_wake() <= ends_at
        bench.now = ends_at
        (answer,) = answers(bench.step())
        assert answer.ending is Ending.NO_ANSWER
        assert bench.decider.is_idle

    def test_answer_just_before_the_end_is_delivered(self):
        bench = Bench()
        (start,) = starts(bench.arrive(LONG))
        bench.now = shut_down(bench) - 0.001
        (answer,) = answers(bench.answer(start))
        assert answer.ending is Ending.ANSWERED

    def test_gather_is_answered_with_the_shards_so_far(self):
        route = gather(least=0.5, time_limit_s=20.0, objective_s=15.0)
        bench = Bench(services=4)
        sends = starts(bench.arrive(route))
        ends_at = shut_down(bench)
        for start in sends[:3]:
            bench.answer(start)
        bench.now = ends_at
        (answer,) = answers(bench.step())
        assert answer.ending is Ending.PARTIAL
        assert answer.merged.missing == 1

    def test_part_for_another_entry_is_reported(self):
        bench = Bench()
        bench.decider.tables.accepts_parts = True
        bench.step(p.PeerUp("e2"))
        ask = p.AskPart(
            part_id=7,
            request_id="r",
            route="all",
            services=("s0",),
            top=3,
            attempts=1,
            rank=1,
            objective_s=15.0,
            give_in_s=15.0,
            end_in_s=20.0,
            copy=p.RequestCopy("GET", "/", b"", b""),
        )
        assert starts(bench.step(p.FromPeer("e2", ask)))
        bench.now = shut_down(bench)
        sent = [x.payload for x in bench.step() if isinstance(x, p.ToPeer)]
        assert [(x.part_id, x.over) for x in sent] == [(7, True)]

    def test_searcher_gets_the_time_that_is_left(self):
        bench = Bench()
        ends_at = shut_down(bench)
        (start,) = starts(bench.arrive(LONG))
        assert start.deadline == ends_at


class TestLateArrivals:
    """A request whose answer would come too late is rejected at once."""

    def arrive_late(self, left_s, remaining_wait_s=None):
        """Returns the output for a request on a route that takes one second."""
        bench = Bench()
        warm(bench, LONG, seconds=1.0)
        bench.outputs.clear()
        bench.now = shut_down(bench) - left_s
        return bench.arrive(LONG, remaining_wait_s)

    def test_rejected_before_anything_is_sent(self):
        out = self.arrive_late(0.9)
        assert starts(out) == []
        (answer,) = answers(out)
        assert answer.ending is Ending.NOT_RUN_LEAVING
        assert answer.ending in m.NOT_RUN

    def test_accepted_if_there_is_time_for_it(self):
        assert starts(self.arrive_late(1.1))

    def test_accepted_if_its_own_limit_is_sooner(self):
        assert starts(self.arrive_late(0.5, remaining_wait_s=0.4))

    def test_rejected_after_the_last_answer(self):
        (answer,) = answers(self.arrive_late(-0.01))
        assert answer.ending is Ending.NOT_RUN_LEAVING
