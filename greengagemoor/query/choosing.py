"""Ways to place missing shards on searchers, by name."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from greengagemoor.query import limits
from greengagemoor.registry import choosers

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from greengagemoor.query.tables import Searcher, ServiceRow, Snapshot

FEW_HOLDERS = 4
REMOTE_PENALTY_S = 0.002
COLD_FACTOR = 4.0
LOAD_HINT_WEIGHT = 0.1
WORTH_WAITING = 3.0
"""A searcher with room that costs this many times a full one is left idle.

Without it, the slow searcher is the one that always has room: one would see
the worst latencies just when the good searchers are full.
"""


@attrs.frozen
class Choice:
    """What a chooser knows when it places shards.

    Attributes:
        home: data centre of this entry.
        avoid: for each shard, names of searchers already tried for it.
        paused: until when a searcher that refused this query is left alone.
    """

    service: ServiceRow
    snapshot: Snapshot
    now: float
    home: str
    rng: random.Random
    avoid: dict[int, set[str]] = attrs.field(factory=dict)
    paused: dict[str, float] = attrs.field(factory=dict)

    def has_room(self, searcher: Searcher) -> bool:
        """Whether the query may start an attempt on the searcher now."""
        rested = self.paused.get(searcher.info.name, 0.0) <= self.now
        return rested and limits.has_room(searcher, self.now)


@choosers.register("random")
def choose_random(
    choice: Choice, shards: Iterable[int]
) -> dict[str, list[int]]:
    """Places each shard on any holder; the naive baseline."""
    plan: dict[str, list[int]] = {}
    for shard in shards:
        holders = choice.snapshot.holders.get(shard)
        if holders:
            name = choice.rng.choice(list(holders))
            plan.setdefault(name, []).append(shard)
    return plan


@choosers.register("least_cost")
def choose_least_cost(
    choice: Choice, shards: Iterable[int]
) -> dict[str, list[int]]:
    """Places shards on few searchers of least expected cost with room.

    A searcher already in the plan is taken before a new one, because slots
    and connections are spent for each searcher and not for each shard.
    """
    plan: dict[str, list[int]] = {}
    costs: dict[str, float] = {}
    for shard in sorted(shards):
        holders = choice.snapshot.holders.get(shard)
        if not holders:
            continue
        name = _planned_holder(plan, holders, choice.avoid.get(shard, ()))
        if name is None:
            name = _cheapest(choice, holders, shard, costs)
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
    choice: Choice,
    holders: dict[str, Searcher],
    shard: int,
    costs: dict[str, float],
) -> str | None:
    candidates = _candidates(choice, holders, choice.avoid.get(shard, ()))
    if len(candidates) > FEW_HOLDERS:
        candidates = _sample(choice, candidates)
    for searcher in candidates:
        if searcher.info.name not in costs:
            costs[searcher.info.name] = cost_of(searcher, choice)
    with_room = [s for s in candidates if choice.has_room(s)]
    if not with_room:
        return None
    best = min(with_room, key=lambda s: costs[s.info.name])
    least = min(costs[s.info.name] for s in candidates)
    if costs[best.info.name] > WORTH_WAITING * least:
        return None
    return best.info.name


def _sample(choice: Choice, candidates: list[Searcher]) -> list[Searcher]:
    """Takes two at random, with room if there are such."""
    with_room = [s for s in candidates if choice.has_room(s)]
    return choice.rng.sample(with_room if len(with_room) > 1 else candidates, 2)


def _candidates(
    choice: Choice, holders: dict[str, Searcher], avoid: Collection[str]
) -> list[Searcher]:
    """Drops tried and ejected holders, but never all of them.

    Ejection without that floor turns a burst of failures of every replica
    into a shard that is missing although searchers live: one would see
    coverage fall with no searcher gone.
    """
    fresh = [s for name, s in holders.items() if name not in avoid]
    tried_or_fresh = fresh or list(holders.values())
    healthy = [s for s in tried_or_fresh if s.ejected_until <= choice.now]
    return healthy or tried_or_fresh


def cost_of(searcher: Searcher, choice: Choice) -> float:
    """Returns the expected seconds of one more attempt on the searcher."""
    base = _rested_latency(searcher, choice)
    cost = base * (1 + searcher.in_flight / limits.most_in_flight(searcher))
    if searcher.in_flight >= searcher.connections:
        cost += searcher.info.connect_cost_s
    if searcher.info.data_centre != choice.home:
        cost += REMOTE_PENALTY_S
    age = choice.now - searcher.ready_since
    if age < limits.SLOW_START_S:
        cost *= 1 + COLD_FACTOR * (1 - age / limits.SLOW_START_S)
    cost *= 1 + LOAD_HINT_WEIGHT * min(1.0, searcher.info.load)
    return cost * (1 + 0.02 * choice.rng.random())


def _rested_latency(searcher: Searcher, choice: Choice) -> float:
    """Lets a bad measure fade while the searcher is unused.

    A searcher that was slow once gets no attempts and so no better sample;
    one would see it idle for ever after it recovered.
    """
    usual = choice.service.latency.quantile(0.5)
    if usual is None or searcher.latency <= usual:
        return searcher.latency
    idle = max(0.0, choice.now - searcher.last_used)
    faded = 0.5 ** (idle / limits.IDLE_HALF_LIFE_S)
    return usual + (searcher.latency - usual) * faded
