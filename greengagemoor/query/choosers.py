"""Algorithms that place missing shards on searchers, registered by name."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from greengagemoor.query import limits
from greengagemoor.registry import choosers

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from greengagemoor.query.tables import Searcher, ServiceRow, Snapshot

MAX_COMPARED_HOLDERS = 4
"""Holders of a shard that are all compared; of more, two are sampled."""

REMOTE_PENALTY_S = 0.002
"""Seconds added to the cost of a searcher in another data centre."""

COLD_FACTOR = 4.0
"""Cost multiples added while a searcher starts; falls linearly to 0."""

LOAD_HINT_WEIGHT = 0.1
"""Share by which an announced load of 1 raises the cost."""

MAX_COST_RATIO = 3.0
"""A searcher with room is not used if it costs this many times the cheapest.

Without this bound, attempts go to a slow searcher, which always has room,
whenever the fast searchers are full: latency is worst under load.
"""


@attrs.frozen
class PlacementInput:
    """The input of a chooser.

    Attributes:
        now: seconds on the decider's clock.
        data_centre: data centre of this entry instance.
        tried_searchers: for each shard, names of searchers already tried for
            it.
        paused: until when a searcher that refused this query is not asked.
    """

    service: ServiceRow
    snapshot: Snapshot
    now: float
    data_centre: str
    rng: random.Random
    tried_searchers: dict[int, set[str]] = attrs.field(factory=dict)
    paused: dict[str, float] = attrs.field(factory=dict)

    def has_room(self, searcher: Searcher) -> bool:
        """Whether the query may start an attempt on the searcher now."""
        pause_over = self.paused.get(searcher.info.name, 0.0) <= self.now
        return pause_over and limits.has_room(searcher, self.now)


@choosers.register("random")
def choose_random(
    inputs: PlacementInput, shards: Iterable[int]
) -> dict[str, list[int]]:
    """Places each shard on a random holder; a baseline for comparison."""
    plan: dict[str, list[int]] = {}
    for shard in shards:
        holders = inputs.snapshot.holders.get(shard)
        if holders:
            name = inputs.rng.choice(list(holders))
            plan.setdefault(name, []).append(shard)
    return plan


@choosers.register("least_cost")
def choose_least_cost(
    inputs: PlacementInput, shards: Iterable[int]
) -> dict[str, list[int]]:
    """Places shards on few searchers with room and the least expected cost.

    A searcher already in the plan is preferred to a new one, because an
    attempt takes one slot and one connection for any number of shards.
    """
    plan: dict[str, list[int]] = {}
    costs: dict[str, float] = {}
    for shard in sorted(shards):
        holders = inputs.snapshot.holders.get(shard)
        if not holders:
            continue
        name = _planned_holder(
            plan, holders, inputs.tried_searchers.get(shard, ())
        )
        if name is None:
            name = _cheapest(inputs, holders, shard, costs)
        if name is not None:
            plan.setdefault(name, []).append(shard)
    return plan


def _planned_holder(
    plan: dict[str, list[int]],
    holders: dict[str, Searcher],
    avoid: Collection[str],
) -> str | None:
    planned = [name for name in plan if name in holders and name not in avoid]
    return min(planned, key=lambda name: len(plan[name]), default=None)


def _cheapest(
    inputs: PlacementInput,
    holders: dict[str, Searcher],
    shard: int,
    costs: dict[str, float],
) -> str | None:
    candidates = _candidates(
        inputs, holders, inputs.tried_searchers.get(shard, ())
    )
    if len(candidates) > MAX_COMPARED_HOLDERS:
        candidates = _sample(inputs, candidates)
    for searcher in candidates:
        if searcher.info.name not in costs:
            costs[searcher.info.name] = expected_cost(searcher, inputs)
    with_room = [s for s in candidates if inputs.has_room(s)]
    if not with_room:
        return None
    best = min(with_room, key=lambda s: costs[s.info.name])
    least = min(costs[s.info.name] for s in candidates)
    if costs[best.info.name] > MAX_COST_RATIO * least:
        return None
    return best.info.name


def _sample(
    inputs: PlacementInput, candidates: list[Searcher]
) -> list[Searcher]:
    """Samples two candidates, from those with room if there are two."""
    with_room = [s for s in candidates if inputs.has_room(s)]
    return inputs.rng.sample(with_room if len(with_room) > 1 else candidates, 2)


def _candidates(
    inputs: PlacementInput, holders: dict[str, Searcher], avoid: Collection[str]
) -> list[Searcher]:
    """Excludes tried and ejected holders unless that would exclude all.

    Otherwise a burst of failures that ejects every replica makes the shard
    missing: coverage falls although no searcher is gone.
    """
    untried = [s for name, s in holders.items() if name not in avoid]
    eligible = untried or list(holders.values())
    healthy = [s for s in eligible if s.ejected_until <= inputs.now]
    return healthy or eligible


def expected_cost(searcher: Searcher, inputs: PlacementInput) -> float:
    """Returns the expected seconds of one more attempt on the searcher."""
    base = _decayed_latency(searcher, inputs)
    cost = base * (1 + searcher.in_flight / limits.max_in_flight(searcher))
    if searcher.in_flight >= searcher.peak_connections:
        cost += searcher.info.connect_cost_s
    if searcher.info.data_centre != inputs.data_centre:
        cost += REMOTE_PENALTY_S
    age = inputs.now - searcher.ready_since
    if age < limits.SLOW_START_S:
        cost *= 1 + COLD_FACTOR * (1 - age / limits.SLOW_START_S)
    cost *= 1 + LOAD_HINT_WEIGHT * min(1.0, searcher.info.load)
    return cost * (1 + 0.02 * inputs.rng.random())


def _decayed_latency(searcher: Searcher, inputs: PlacementInput) -> float:
    """Returns the searcher's latency, decayed to the median while it is unused.

    A slow searcher gets no attempts and so no new sample; without the decay it
    would stay unused after it recovered.
    """
    median = inputs.service.latency.quantile(0.5)
    if median is None or searcher.latency <= median:
        return searcher.latency
    idle = max(0.0, inputs.now - searcher.last_used)
    decay = 0.5 ** (idle / limits.IDLE_HALF_LIFE_S)
    return median + (searcher.latency - median) * decay
