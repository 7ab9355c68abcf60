"""Places waiting queries on searchers with room, and hedges late attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.query import attempts, endings, limits
from greengagemoor.query.choosing import Choice
from greengagemoor.query.tables import (
    AttemptKind,
    Phase,
    TimerKind,
)
from greengagemoor.registry import choosers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.query.state import State
    from greengagemoor.query.tables import Attempt, Query, ServiceRow

MOST_PARTLY_PLACED = 4
EARLY_WAKE_S = 0.001


def place_waiting(state: State) -> None:
    """Places what it can of every service in which something changed."""
    while state.tables.dirty:
        _, service = state.tables.dirty.popitem()
        _place_started(state, service)
        _start_queued(state, service)


def _place_started(state: State, service: ServiceRow) -> None:
    for query in list(service.unplaced.values()):
        place(state, query)


def _start_queued(state: State, service: ServiceRow) -> None:
    """Starts queued queries while the searchers have room.

    Queries partly placed hold slots while they wait for others, so few may be
    in that state: without the bound, many queries each hold some searchers and
    none can finish. Queries that rest after a refusal do not count: they wait
    for a time and not for room, and a storm of refusals would else stop all.
    """
    partly_placed = sum(
        not query.is_resting(state.now) for query in service.unplaced.values()
    )
    while len(service.queue) and partly_placed < MOST_PARTLY_PLACED:
        if not _any_room(service, state.now):
            break
        query = service.queue.pop()
        _start(state, query)
        partly_placed += query.id in service.unplaced


def _any_room(service: ServiceRow, now: float) -> bool:
    return any(limits.has_room(s, now) for s in service.searchers.values())


def _start(state: State, query: Query) -> None:
    if endings.refuse_hopeless(state, query):
        return
    query.phase = Phase.RUNNING
    query.began = state.now
    query.service.running += 1
    query.unplaced = set(query.needed)
    query.service.unplaced[query.id] = query
    place(state, query)


def place(state: State, query: Query) -> None:
    """Starts attempts for the unplaced shards that have a holder with room."""
    if query.phase is not Phase.RUNNING or not query.unplaced:
        return
    if state.now >= query.send_before:
        endings.finish(state, query)
        return
    snapshot = query.service.snapshots.get(query.snapshot)
    placeable = [
        shard
        for shard in query.unplaced
        if snapshot and shard in snapshot.holders
    ]
    if not placeable:
        query.service.unplaced.pop(query.id, None)
        endings.settle(state, query)
        return
    plan = _plan(state, query, placeable)
    for name, shards in plan.items():
        _start_planned(state, query, name, shards)
    if query.unplaced:
        _wake_when_rested(state, query)
    else:
        query.service.unplaced.pop(query.id, None)


def _plan(
    state: State, query: Query, shards: Iterable[int]
) -> dict[str, list[int]]:
    choice = Choice(
        service=query.service,
        snapshot=query.service.snapshots[query.snapshot],
        now=state.now,
        home=state.home,
        rng=state.rng,
        avoid=query.tried,
        paused=query.paused,
    )
    return choosers.get(query.cls.chooser)(choice, shards)


def _start_planned(
    state: State, query: Query, name: str, shards: list[int]
) -> None:
    searcher = query.service.searchers[name]
    again = query.restarts or any(query.tries[shard] for shard in shards)
    kind = AttemptKind.RETRY if again else AttemptKind.FIRST
    query.unplaced.difference_update(shards)
    attempts.start(state, query, searcher, shards, kind)
    if not again:
        query.service.hedge_budget(query.cls).earn(len(shards))
        query.service.retry_budget(query.cls).earn(len(shards))


def _wake_when_rested(state: State, query: Query) -> None:
    """Looks again when the next pausing searcher may be asked."""
    searchers = query.service.searchers.values()
    pauses = [
        until
        for until in (
            *(searcher.backoff_until for searcher in searchers),
            *query.paused.values(),
        )
        if until > state.now
    ]
    if pauses:
        state.tables.set_timer(
            min(pauses) + EARLY_WAKE_S,
            TimerKind.DISPATCH,
            query.service.rules.name,
        )


def hedge(state: State, attempt: Attempt) -> None:
    """Asks other searchers for the shards of a late attempt.

    Off under overload: when queries wait for room, a hedge takes the room of
    a first attempt and makes all of them later. What can't be hedged now is
    looked at again soon; a late attempt that is looked at only once stays
    late when the other searchers were full at that moment.
    """
    query = attempt.query
    if attempt.cancelled or query.phase is not Phase.RUNNING:
        return
    if query.snapshot != attempt.snapshot:
        return
    limits.note_overdue(attempt.searcher, state.now - attempt.started)
    late = _shards_to_hedge(query, attempt)
    if not late:
        return
    if not query.service.is_overloaded:
        _start_hedges(state, query, late)
    if _shards_to_hedge(query, attempt):
        attempts.watch_again(state, attempt)


def _start_hedges(state: State, query: Query, late: list[int]) -> None:
    budget = query.service.hedge_budget(query.cls)
    for name, shards in _plan(state, query, late).items():
        if not budget.spend(len(shards)):
            return
        searcher = query.service.searchers[name]
        attempts.start(state, query, searcher, shards, AttemptKind.HEDGE)


def _shards_to_hedge(query: Query, attempt: Attempt) -> list[int]:
    """Returns shards still missing that another searcher could answer."""
    snapshot = query.service.snapshots.get(query.snapshot)
    if snapshot is None:
        return []
    return [
        shard
        for shard in attempt.shards
        if shard not in query.reflected
        and query.tries[shard] < query.cls.max_attempts
        and set(snapshot.holders.get(shard, ())) - query.tried[shard]
    ]
