"""Scenarios of the policy bench: load and faults, by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.model import SHARDS, SPIKE, SPIKING_CALLER
from greengagemoor.registry import Registry

if TYPE_CHECKING:
    from bench.model import Bench

scenarios: Registry = Registry("scenario")

CALLERS = 6
RUN_S = 10.0
FAULT_AT_S = 3.0
SPIKE_FACTOR = 10


def offer(
    bench: Bench,
    share: float,
    start: float = 0.0,
    end: float = RUN_S,
    caller: str = "",
    body: str = "",
) -> None:
    """Offers a share of capacity as a Poisson stream.

    Args:
        bench: where the requests go.
        share: 1 is all that the slots can work off.
        start: first second.
        end: last second.
        caller: one caller's name; several take turns if empty.
        body: the query; each request has its own if empty.
    """
    rate = share * bench.kind.capacity
    time = start
    number = 0
    while (time := time + bench.rng.expovariate(rate)) < end:
        number += 1
        name = caller or f"c{bench.rng.randrange(CALLERS)}"
        bench.at(time, bench.ask, name, body or f"{start}/{number}")


@scenarios.register("steady-30")
def _steady_30(bench: Bench) -> None:
    offer(bench, 0.3)


@scenarios.register("steady-70")
def _steady_70(bench: Bench) -> None:
    offer(bench, 0.7)


@scenarios.register("steady-95")
def _steady_95(bench: Bench) -> None:
    offer(bench, 0.95)


@scenarios.register("one-slow")
def _one_slow(bench: Bench) -> None:
    offer(bench, 0.3)
    bench.at(0.0, setattr, bench.searchers[0], "factor", 20.0)


@scenarios.register("one-gone")
def _one_gone(bench: Bench) -> None:
    offer(bench, 0.3)
    bench.at(FAULT_AT_S, setattr, bench.searchers[0], "silent", True)


@scenarios.register("shed-storm")
def _shed_storm(bench: Bench) -> None:
    offer(bench, 0.3)
    for searcher in bench.searchers:
        bench.at(FAULT_AT_S, setattr, searcher, "shed_share", 0.5)
        bench.at(2 * FAULT_AT_S, setattr, searcher, "shed_share", 0.0)


@scenarios.register("lying-load")
def _lying_load(bench: Bench) -> None:
    offer(bench, 0.3)
    slow, *good = bench.searchers
    bench.at(0.0, setattr, slow, "factor", 20.0)
    bench.announce(slow, load=0.0)
    for searcher in good:
        bench.announce(searcher, load=1.0)


@scenarios.register("cold-start")
def _cold_start(bench: Bench) -> None:
    offer(bench, 0.3)
    cold = bench.searchers[0]
    bench.withdraw(cold)

    def join() -> None:
        cold.cold_since = bench.now
        bench.announce(cold)

    bench.at(FAULT_AT_S, join)


@scenarios.register("repartition")
def _repartition(bench: Bench) -> None:
    """Searchers take a version with other shards, and drop the old one."""
    offer(bench, 0.3)
    more = 2 * SHARDS
    for index, searcher in enumerate(bench.searchers):
        held = bench.held(index, more)
        bench.at(FAULT_AT_S + index, _hold, bench, searcher, 2, more, held)
        bench.at(2 * FAULT_AT_S + index, _drop, bench, searcher, 1)


def _hold(bench: Bench, searcher, version: int, shards: int, held) -> None:
    searcher.versions = {**searcher.versions, version: (shards, held)}
    bench.announce(searcher)


def _drop(bench: Bench, searcher, version: int) -> None:
    left = {v: held for v, held in searcher.versions.items() if v != version}
    searcher.versions = left
    # The word of it comes later than the fact.
    bench.at(bench.now + 0.5, bench.announce, searcher)


@scenarios.register("spike-one-query")
def _spike_one_query(bench: Bench) -> None:
    offer(bench, 0.3)
    start, end = SPIKE
    offer(bench, SPIKE_FACTOR, start, end, SPIKING_CALLER, "the event")


@scenarios.register("spike-one-caller")
def _spike_one_caller(bench: Bench) -> None:
    offer(bench, 0.3)
    start, end = SPIKE
    offer(bench, SPIKE_FACTOR, start, end, SPIKING_CALLER)


@scenarios.register("two-faults")
def _two_faults(bench: Bench) -> None:
    """A slow searcher while another goes silent: some shards have neither."""
    offer(bench, 0.2)
    bench.at(FAULT_AT_S, setattr, bench.searchers[0], "factor", 20.0)
    bench.at(FAULT_AT_S + 1, setattr, bench.searchers[1], "silent", True)
