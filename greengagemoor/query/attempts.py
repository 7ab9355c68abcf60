"""Starts, ends and cancels attempts; keeps the in-flight counts true."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.query.messages import CancelAttempt, StartAttempt
from greengagemoor.query.tables import Attempt, AttemptKind, TimerKind

if TYPE_CHECKING:
    from greengagemoor.query.state import State
    from greengagemoor.query.tables import Query, Searcher

FIRST_HEDGE_DELAY_S = 0.05
LEAST_LOOK_S = 0.01
SLOW_FACTOR = 3.0
CANCEL_GRACE_S = 0.5


def start(
    state: State,
    query: Query,
    searcher: Searcher,
    shards: list[int],
    kind: AttemptKind,
) -> None:
    """Starts one attempt that carries all of ``shards``."""
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
        attempt.deadline + CANCEL_GRACE_S, TimerKind.ATTEMPT, attempt.id
    )
    _watch(state, attempt)
    state.out.append(_message(query, attempt))


def _count_start(
    query: Query, searcher: Searcher, shards: list[int], now: float
) -> None:
    query.attempts_made += 1
    query.tries.update(shards)
    for shard in shards:
        query.tried.setdefault(shard, set()).add(searcher.info.name)
    searcher.in_flight += 1
    searcher.connections = max(searcher.connections, searcher.in_flight)
    searcher.last_used = now


def _message(query: Query, attempt: Attempt) -> StartAttempt:
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


def _watch(state: State, attempt: Attempt) -> None:
    """Sets the time at which the attempt counts as late."""
    query = attempt.query
    if query.is_claimed:
        return
    at = state.now + _patience(attempt)
    if at < attempt.deadline:
        state.tables.set_timer(at, TimerKind.HEDGE, attempt.id)


def _patience(attempt: Attempt) -> float:
    """Returns how long an attempt may take before it counts as late.

    A searcher that was slow gets an attempt now and then, to find out whether
    it still is; that one is given little time.
    """
    window = attempt.query.service.latency
    usual = window.quantile(attempt.query.cls.hedge_quantile)
    if usual is None:
        return FIRST_HEDGE_DELAY_S
    median = window.quantile(0.5)
    was_slow = attempt.searcher.latency > SLOW_FACTOR * median
    return median if was_slow else usual


def watch_again(state: State, attempt: Attempt) -> None:
    """Looks at a late attempt once more, a little later."""
    pause = max(LEAST_LOOK_S, (state.now - attempt.started) / 8)
    at = state.now + pause
    if at < attempt.deadline:
        state.tables.set_timer(at, TimerKind.HEDGE, attempt.id)


def end(state: State, attempt_id: int) -> Attempt | None:
    """Takes an ended attempt out of the tables; None if it is unknown.

    An answer for an attempt that is no longer in the table is late or
    doubled: it must not touch the query that may now stand elsewhere.
    """
    attempt = state.tables.attempts.pop(attempt_id, None)
    if attempt is None:
        return None
    attempt.query.attempts.pop(attempt_id, None)
    attempt.searcher.in_flight -= 1
    state.touch(attempt.query.service)
    return attempt


def cancel(state: State, attempt: Attempt) -> None:
    """Tells the searcher that the answer is not needed.

    The attempt keeps its place in the in-flight count until it ends: its
    connection still has an answer due, and counting it free would let the
    sum of connections pass the cap.
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
    """Cancels every attempt of a query that is done or restarts."""
    for attempt in list(query.attempts.values()):
        cancel(state, attempt)
