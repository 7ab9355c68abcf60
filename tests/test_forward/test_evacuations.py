"""An evacuated data centre receives no sends of any kind."""

from __future__ import annotations

from greengagemoor.control.evacuations import Evacuation
from greengagemoor.feed.messages import EvacuationsUpdated, SearcherState
from greengagemoor.forward import messages as m
from greengagemoor.forward.messages import Ending, Outcome
from tests.test_forward.helpers import Bench, answers, gather, single, starts

START = EvacuationsUpdated((Evacuation("dc2", 1, True),))
END = EvacuationsUpdated((Evacuation("dc2", 2, False),))


def two_data_centres(services=1, here=1, there=2):
    """Returns a bench with searchers in dc1 and dc2, and those of dc2."""
    bench = Bench(services=services, searchers=here)
    far = set()
    for number in range(services):
        for i in range(there):
            name = f"s{number}.far{i}"
            bench.learn(name, f"s{number}", data_centre="dc2")
            far.add(name)
    return bench, far


def asked(out):
    return {start.searcher_id for start in starts(out)}


class TestSends:
    """First sends, retries, hedges and requests that wait for a place."""

    def test_first_sends(self):
        bench, far = two_data_centres(here=0)
        assert asked(bench.arrive(single())) <= far
        out = bench.step(START) + bench.arrive(single())
        (answer,) = answers(out)
        assert answer.ending is Ending.NOT_RUN_NO_SEARCHER
        bench.step(END)
        assert asked(bench.arrive(single())) <= far

    def test_retries_and_hedges(self):
        bench, far = two_data_centres()
        bench.step(START)
        (first,) = starts(bench.arrive(single(attempts=3)))
        out = bench.pass_time(0.15)
        out += bench.end(first, Outcome.BROKEN)
        assert not asked(out) & far

    def test_stale_connection(self):
        """Guards against a resend to an evacuated searcher."""
        bench, _ = two_data_centres(here=0, there=1)
        (first,) = starts(bench.arrive(single()))
        bench.step(START)
        out = bench.end(first, Outcome.BROKEN, stale=True)
        assert not starts(out)

    def test_requests_that_wait_for_a_place(self):
        bench, far = two_data_centres(here=1, there=1)
        busy = [bench.arrive(single(objective_s=2.0)) for _ in range(8)]
        running = [start for out in busy for start in starts(out)]
        bench.step(START)
        out = []
        for start in running:
            out += bench.answer(start)
        assert not asked(out) & far

    def test_running_requests_are_not_cancelled(self):
        bench, _ = two_data_centres(here=0, there=1)
        (first,) = starts(bench.arrive(single()))
        out = bench.step(START)
        assert not [msg for msg in out if isinstance(msg, m.CancelAttempt)]
        (answer,) = answers(bench.answer(first))
        assert answer.ending is Ending.ANSWERED

    def test_idle_connections_are_closed(self):
        bench, far = two_data_centres()
        out = bench.step(START)
        closed = {msg.address for msg in out if isinstance(msg, m.CloseIdle)}
        assert closed == {f"{name}:1" for name in far}

    def test_searcher_that_joins_later(self):
        bench, _ = two_data_centres(here=0, there=0)
        bench.step(START)
        bench.learn("late", "s0", SearcherState.READY, data_centre="dc2")
        assert not starts(bench.arrive(single()))


class TestCoverage:
    """Gathers whose shards are in the evacuated data centre."""

    def test_rejected_at_once_if_too_few_shards_are_left(self):
        bench, _ = two_data_centres(services=4, here=0, there=1)
        bench.step(START)
        out = bench.arrive(gather(4))
        (answer,) = answers(out)
        assert answer.ending is Ending.NOT_RUN_NO_SEARCHER
        assert not starts(out)

    def test_order_of_updates_does_not_matter(self):
        bench, far = two_data_centres(here=0)
        bench.step(END)
        bench.step(START)
        assert asked(bench.arrive(single())) <= far
