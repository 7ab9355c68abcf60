"""Places waiting queries on searchers with room; hedges late attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.query import attempts, completing, limits
from greengagemoor.query.choosers import PlacementInput
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

MAX_PARTLY_PLACED = 4
"""Partly placed queries of a service at which no further query starts."""

PAUSE_WAKE_DELAY_S = 0.001
"""Seconds from the end of a pause until shards are placed again."""


def place_waiting(state: State) -> None:
    """Places waiting queries of every service that is marked dirty."""
    while state.tables.dirty:
        _, service = state.tables.dirty.popitem()
        _place_started(state, service)
        _start_queued(state, service)


def _place_started(state: State, service: ServiceRow) -> None:
    for query in list(service.unplaced.values()):
        place(state, query)


def _start_queued(state: State, service: ServiceRow) -> None:
    """Starts queued queries while the searchers have room.

    A partly placed query holds slots while it waits for others, so their
    number is bounded: otherwise many queries each hold some searchers and none
    can finish. Queries that pause after a refusal do not count: they wait for
    a time and not for room, and many refusals would otherwise block the queue.
    """
    partly_placed = sum(
        not query.is_paused(state.now) for query in service.unplaced.values()
    )
    while len(service.queue) and partly_placed < MAX_PARTLY_PLACED:
        if not _any_room(service, state.now):
            break
        query = service.queue.pop()
        _start_query(state, query)
        partly_placed += query.id in service.unplaced


def _any_room(service: ServiceRow, now: float) -> bool:
    return any(limits.has_room(s, now) for s in service.searchers.values())


def _start_query(state: State, query: Query) -> None:
    if completing.reject_if_late(state, query):
        return
    query.phase = Phase.RUNNING
    query.run_started = state.now
    query.service.running += 1
    query.unplaced = set(query.needed)
    query.service.unplaced[query.id] = query
    place(state, query)


def place(state: State, query: Query) -> None:
    """Starts attempts for the unplaced shards that have a holder with room."""
    if query.phase is not Phase.RUNNING or not query.unplaced:
        return
    if state.now >= query.send_before:
        completing.finish(state, query)
        return
    snapshot = query.service.snapshots.get(query.snapshot)
    placeable = [
        shard
        for shard in query.unplaced
        if snapshot and shard in snapshot.holders
    ]
    if not placeable:
        query.service.unplaced.pop(query.id, None)
        completing.settle(state, query)
        return
    plan = _plan(state, query, placeable)
    for name, shards in plan.items():
        _start_planned(state, query, name, shards)
    if query.unplaced:
        _schedule_after_pause(state, query)
    else:
        query.service.unplaced.pop(query.id, None)


def _plan(
    state: State, query: Query, shards: Iterable[int]
) -> dict[str, list[int]]:
    inputs = PlacementInput(
        service=query.service,
        snapshot=query.service.snapshots[query.snapshot],
        now=state.now,
        data_centre=state.data_centre,
        rng=state.rng,
        tried_searchers=query.tried_searchers,
        paused=query.paused_until,
    )
    return choosers.get(query.request_class_rules.chooser)(inputs, shards)


def _start_planned(
    state: State, query: Query, name: str, shards: list[int]
) -> None:
    searcher = query.service.searchers[name]
    is_retry = query.restarts or any(
        query.attempt_counts[shard] for shard in shards
    )
    kind = AttemptKind.RETRY if is_retry else AttemptKind.FIRST
    query.unplaced.difference_update(shards)
    attempts.start(state, query, searcher, shards, kind)
    if not is_retry:
        query.service.hedge_budget(query.request_class_rules).earn(len(shards))
        query.service.retry_budget(query.request_class_rules).earn(len(shards))


def _schedule_after_pause(state: State, query: Query) -> None:
    """Sets a timer for the end of the next pause of a searcher."""
    searchers = query.service.searchers.values()
    pauses = [
        until
        for until in (
            *(searcher.backoff_until for searcher in searchers),
            *query.paused_until.values(),
        )
        if until > state.now
    ]
    if pauses:
        state.tables.set_timer(
            min(pauses) + PAUSE_WAKE_DELAY_S,
            TimerKind.DISPATCH,
            query.service.settings.name,
        )


def hedge(state: State, attempt: Attempt) -> None:
    """Asks other searchers for the shards of a late attempt.

    No hedge starts under overload: while queries wait for room, it would take
    the slot of a first attempt and delay them all. Shards that can't be hedged
    now are checked again soon; with a single check, an attempt would stay late
    if the other searchers were full at that moment.
    """
    query = attempt.query
    if attempt.cancelled or query.phase is not Phase.RUNNING:
        return
    if query.snapshot != attempt.snapshot:
        return
    limits.record_overdue(attempt.searcher, state.now - attempt.started)
    late = _shards_to_hedge(query, attempt)
    if not late:
        return
    if not query.service.is_overloaded:
        _start_hedges(state, query, late)
    if _shards_to_hedge(query, attempt):
        attempts.reschedule_hedge(state, attempt)


def _start_hedges(state: State, query: Query, late: list[int]) -> None:
    budget = query.service.hedge_budget(query.request_class_rules)
    for name, shards in _plan(state, query, late).items():
        if not budget.spend(len(shards)):
            return
        searcher = query.service.searchers[name]
        attempts.start(state, query, searcher, shards, AttemptKind.HEDGE)


def _shards_to_hedge(query: Query, attempt: Attempt) -> list[int]:
    """Returns the missing shards that an untried searcher could answer."""
    snapshot = query.service.snapshots.get(query.snapshot)
    if snapshot is None:
        return []
    return [
        shard
        for shard in attempt.shards
        if shard not in query.results
        and query.attempt_counts[shard] < query.request_class_rules.max_attempts
        and set(snapshot.holders.get(shard, ())) - query.tried_searchers[shard]
    ]
