"""Starts, ends and cancels attempts; maintains the in-flight counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.query.messages import CancelAttempt, StartAttempt
from greengagemoor.query.tables import Attempt, AttemptKind, TimerKind

if TYPE_CHECKING:
    from greengagemoor.query.state import State
    from greengagemoor.query.tables import Query, Searcher

DEFAULT_HEDGE_DELAY_S = 0.05
"""Hedge delay, in seconds, while there are too few latency samples."""

MIN_HEDGE_RECHECK_S = 0.01
"""Shortest time, in seconds, until a late attempt is checked again."""

SLOW_FACTOR = 3.0
"""A searcher this many times slower than the median counts as slow."""

EXPIRY_GRACE_S = 0.5
"""Seconds after its deadline at which an unreported attempt times out."""


def start(
    state: State,
    query: Query,
    searcher: Searcher,
    shards: list[int],
    kind: AttemptKind,
) -> None:
    """Starts one attempt that asks the searcher for all of ``shards``."""
    now = state.now
    attempt = Attempt(
        id=state.next_attempt_id(),
        query=query,
        searcher=searcher,
        shards=tuple(shards),
        snapshot=query.snapshot,
        kind=kind,
        started=now,
        deadline=query.deadline,
    )
    query.attempts[attempt.id] = attempt
    state.tables.attempts[attempt.id] = attempt
    _count_start(query, searcher, shards, now)
    state.count_attempt(kind, len(shards))
    state.tables.set_timer(
        attempt.deadline + EXPIRY_GRACE_S, TimerKind.ATTEMPT, attempt.id
    )
    _schedule_hedge(state, attempt)
    state.out.append(_start_message(query, attempt))


def _count_start(
    query: Query, searcher: Searcher, shards: list[int], now: float
) -> None:
    query.attempts_made += 1
    query.attempt_counts.update(shards)
    for shard in shards:
        query.tried_searchers.setdefault(shard, set()).add(searcher.info.name)
    searcher.in_flight += 1
    searcher.peak_connections = max(
        searcher.peak_connections, searcher.in_flight
    )
    searcher.last_used = now


def _start_message(query: Query, attempt: Attempt) -> StartAttempt:
    searcher = attempt.searcher
    return StartAttempt(
        attempt_id=attempt.id,
        server=searcher.info.name,
        address=searcher.info.address,
        share=searcher.share,
        service=query.request.service,
        caller=query.request.caller,
        request_id=query.request.request_id,
        snapshot=attempt.snapshot,
        shards=attempt.shards,
        deadline=attempt.deadline,
        send_before=min(attempt.deadline, query.send_before),
        repeatable=not query.is_claimed,
        body=query.request.body,
    )


def _schedule_hedge(state: State, attempt: Attempt) -> None:
    """Sets the timer for hedging an attempt; claimed queries are not hedged."""
    query = attempt.query
    if query.is_claimed:
        return
    at = state.now + _hedge_delay(attempt)
    if at < attempt.deadline:
        state.tables.set_timer(at, TimerKind.HEDGE, attempt.id)


def _hedge_delay(attempt: Attempt) -> float:
    """Returns after how many seconds an attempt counts as late.

    A searcher that was slow gets an occasional attempt, which shows whether it
    has recovered; such an attempt is hedged early, after the median latency.
    """
    window = attempt.query.service.latency
    late_after = window.quantile(
        attempt.query.request_class_rules.hedge_quantile
    )
    if late_after is None:
        return DEFAULT_HEDGE_DELAY_S
    median = window.quantile(0.5)
    was_slow = attempt.searcher.latency > SLOW_FACTOR * median
    return median if was_slow else late_after


def reschedule_hedge(state: State, attempt: Attempt) -> None:
    """Sets the timer to check a late attempt again."""
    pause = max(MIN_HEDGE_RECHECK_S, (state.now - attempt.started) / 8)
    at = state.now + pause
    if at < attempt.deadline:
        state.tables.set_timer(at, TimerKind.HEDGE, attempt.id)


def end(state: State, attempt_id: int) -> Attempt | None:
    """Removes an ended attempt from the tables; returns None if it is unknown.

    An answer for an attempt that is no longer in the table is late or a
    duplicate. It must not change the query, which may have moved on since.
    """
    attempt = state.tables.attempts.pop(attempt_id, None)
    if attempt is None:
        return None
    attempt.query.attempts.pop(attempt_id, None)
    attempt.searcher.in_flight -= 1
    state.mark_dirty(attempt.query.service)
    return attempt


def cancel(state: State, attempt: Attempt) -> None:
    """Notifies the searcher that the answer is no longer needed.

    The attempt stays in the in-flight count until it ends: its connection
    still has an answer outstanding, and counting it as free would let the
    total number of connections exceed the cap.
    """
    if attempt.cancelled:
        return
    attempt.cancelled = True
    state.counters.cancelled += 1
    state.out.append(
        CancelAttempt(
            attempt_id=attempt.id,
            server=attempt.searcher.info.name,
            address=attempt.searcher.info.address,
        )
    )


def cancel_all(state: State, query: Query) -> None:
    """Cancels every attempt of a query that has finished or restarts."""
    for attempt in list(query.attempts.values()):
        cancel(state, attempt)
