"""Scenarios of the policy benchmark: load and faults, by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.model import SHARDS, SPIKE_S, SPIKING_CALLER
from greengagemoor.registry import Registry

if TYPE_CHECKING:
    from bench.model import Bench

scenarios: Registry = Registry("scenario")

CALLERS = 6
RUN_S = 10.0
FAULT_AT_S = 3.0
SPIKE_FACTOR = 10


def offer_load(
    bench: Bench,
    share: float,
    start: float = 0.0,
    end: float = RUN_S,
    caller: str = "",
    body: str = "",
) -> None:
    """Schedules requests as a Poisson process.

    Args:
        bench: the simulation that receives the requests.
        share: rate as a share of the capacity; 1 keeps all slots busy.
        start: start of the load, in seconds.
        end: end of the load, in seconds.
        caller: name of the caller; if empty, each request draws one at random.
        body: query text; if empty, each request has its own.
    """
    rate = share * bench.kind.capacity
    time = start
    number = 0
    while (time := time + bench.rng.expovariate(rate)) < end:
        number += 1
        name = caller or f"c{bench.rng.randrange(CALLERS)}"
        bench.at(time, bench.send_request, name, body or f"{start}/{number}")


@scenarios.register("steady-30")
def _steady_30(bench: Bench) -> None:
    offer_load(bench, 0.3)


@scenarios.register("steady-70")
def _steady_70(bench: Bench) -> None:
    offer_load(bench, 0.7)


@scenarios.register("steady-95")
def _steady_95(bench: Bench) -> None:
    offer_load(bench, 0.95)


@scenarios.register("one-slow")
def _one_slow(bench: Bench) -> None:
    offer_load(bench, 0.3)
    bench.at(0.0, setattr, bench.searchers[0], "factor", 20.0)


@scenarios.register("one-gone")
def _one_gone(bench: Bench) -> None:
    offer_load(bench, 0.3)
    bench.at(FAULT_AT_S, setattr, bench.searchers[0], "silent", True)


@scenarios.register("shed-storm")
def _shed_storm(bench: Bench) -> None:
    offer_load(bench, 0.3)
    for searcher in bench.searchers:
        bench.at(FAULT_AT_S, setattr, searcher, "shed_share", 0.5)
        bench.at(2 * FAULT_AT_S, setattr, searcher, "shed_share", 0.0)


@scenarios.register("lying-load")
def _lying_load(bench: Bench) -> None:
    offer_load(bench, 0.3)
    slow, *good = bench.searchers
    bench.at(0.0, setattr, slow, "factor", 20.0)
    bench.announce(slow, load=0.0)
    for searcher in good:
        bench.announce(searcher, load=1.0)


@scenarios.register("cold-start")
def _cold_start(bench: Bench) -> None:
    offer_load(bench, 0.3)
    searcher = bench.searchers[0]
    bench.withdraw(searcher)

    def join() -> None:
        searcher.cold_since = bench.now
        bench.announce(searcher)

    bench.at(FAULT_AT_S, join)


@scenarios.register("repartition")
def _repartition(bench: Bench) -> None:
    """Searchers load a version with more shards, then drop the old one."""
    offer_load(bench, 0.3)
    shard_count = 2 * SHARDS
    for index, searcher in enumerate(bench.searchers):
        held = bench.held_shards(index, shard_count)
        bench.at(
            FAULT_AT_S + index,
            _add_version,
            bench,
            searcher,
            2,
            shard_count,
            held,
        )
        bench.at(2 * FAULT_AT_S + index, _remove_version, bench, searcher, 1)


def _add_version(
    bench: Bench, searcher, version: int, shards: int, held
) -> None:
    searcher.versions = {**searcher.versions, version: (shards, held)}
    bench.announce(searcher)


def _remove_version(bench: Bench, searcher, version: int) -> None:
    remaining = {
        v: held for v, held in searcher.versions.items() if v != version
    }
    searcher.versions = remaining
    # Entries receive the new row 0.5 s after the version is gone.
    bench.at(bench.now + 0.5, bench.announce, searcher)


@scenarios.register("spike-one-query")
def _spike_one_query(bench: Bench) -> None:
    offer_load(bench, 0.3)
    start, end = SPIKE_S
    offer_load(bench, SPIKE_FACTOR, start, end, SPIKING_CALLER, "the event")


@scenarios.register("spike-one-caller")
def _spike_one_caller(bench: Bench) -> None:
    offer_load(bench, 0.3)
    start, end = SPIKE_S
    offer_load(bench, SPIKE_FACTOR, start, end, SPIKING_CALLER)


@scenarios.register("two-faults")
def _two_faults(bench: Bench) -> None:
    """One searcher is slow, another stops answering.

    Both replicas of some shards are affected.
    """
    offer_load(bench, 0.2)
    bench.at(FAULT_AT_S, setattr, bench.searchers[0], "factor", 20.0)
    bench.at(FAULT_AT_S + 1, setattr, bench.searchers[1], "silent", True)
