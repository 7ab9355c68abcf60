"""What follows from an attempt's answer or failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.backends import ServerState
from greengagemoor.query import attempts, endings, limits, servers
from greengagemoor.query.messages import AttemptFailed, Failure
from greengagemoor.query.tables import Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.query.messages import AttemptAnswer
    from greengagemoor.query.state import State
    from greengagemoor.query.tables import Attempt, Query

FLOOR_QUANTILE = 0.2
ABSENT = "absent"


def take_answer(state: State, msg: AttemptAnswer) -> None:
    """Takes in a searcher's answer, after checking that it echoes its attempt.

    A connection that is used again with an old answer still due gives the old
    answer to the new attempt: a caller would read another request's results.
    The echo of request, snapshot and shards shows it.
    """
    attempt = state.tables.attempts.get(msg.attempt_id)
    if attempt is None:
        state.counters.late_answers += 1
        return
    if not _echoes(attempt, msg):
        state.counters.mismatches += 1
        take_failure(state, AttemptFailed(msg.attempt_id, Failure.MISMATCH))
        return
    attempts.end(state, attempt.id)
    _learn(state, attempt)
    if msg.server_state is ServerState.DRAINING:
        servers.drain(state, attempt.searcher)
    if _is_current(state, attempt):
        _reflect(state, attempt, msg)


def _echoes(attempt: Attempt, msg: AttemptAnswer) -> bool:
    answered = [result.shard for result in msg.results]
    return (
        msg.request_id == attempt.query.request.request_id
        and msg.snapshot == attempt.snapshot
        and len(answered) == len(set(answered))
        and set(answered) <= set(attempt.shards)
    )


def _learn(state: State, attempt: Attempt) -> None:
    latency = state.now - attempt.started
    window = attempt.query.service.latency
    window.add(latency)
    floor = window.quantile(FLOOR_QUANTILE) or latency
    limits.note_answer(attempt.searcher, latency, floor)


def _is_current(state: State, attempt: Attempt) -> bool:
    """Tells whether the attempt's results may still enter its query."""
    query = attempt.query
    if attempt.snapshot != query.snapshot:
        state.counters.late_answers += 1
        return False
    if query.phase is Phase.DONE:
        state.counters.late_answers += 1
        return query.is_claimed
    return True


def _reflect(state: State, attempt: Attempt, msg: AttemptAnswer) -> None:
    query = attempt.query
    # Whatever the answer holds, the searcher took the attempt in.
    query.may_have_run = True
    for result in msg.results:
        query.reflected.setdefault(result.shard, result.value)
    if query.is_claimed:
        _end_claimed(state, query)
        return
    answered = {result.shard for result in msg.results}
    lacking = [shard for shard in attempt.shards if shard not in answered]
    if lacking:
        _retry(state, attempt, lacking, ABSENT, free=False)
    _cancel_needless(state, query)
    endings.settle(state, query)


def _cancel_needless(state: State, query: Query) -> None:
    for attempt in list(query.attempts.values()):
        if all(shard in query.reflected for shard in attempt.shards):
            limits.note_overdue(attempt.searcher, state.now - attempt.started)
            attempts.cancel(state, attempt)


def take_failure(state: State, msg: AttemptFailed) -> None:
    """Takes in a failed attempt: what it proves, and what to do next."""
    attempt = attempts.end(state, msg.attempt_id)
    if attempt is None:
        state.counters.late_answers += 1
        return
    _blame(state, attempt, msg)
    query = attempt.query
    _note_history(query, msg.failure)
    if query.is_claimed:
        _end_claimed(state, query)
        return
    if query.phase is not Phase.RUNNING or attempt.cancelled:
        endings.settle(state, query)
        return
    if attempt.snapshot == query.snapshot:
        _retry(
            state,
            attempt,
            attempt.shards,
            msg.failure.value,
            free=msg.failure.is_not_run,
        )
    endings.settle(state, query)


def _note_history(query: Query, failure: Failure) -> None:
    """Keeps what the whole history proves; a later refusal can't undo it."""
    if failure is Failure.ERROR:
        query.ran_and_failed = True
    elif not failure.is_not_run:
        query.may_have_run = True


def _blame(state: State, attempt: Attempt, msg: AttemptFailed) -> None:
    searcher = attempt.searcher
    failure = msg.failure
    if msg.server_state is ServerState.DRAINING or (
        failure is Failure.DRAINING
    ):
        servers.drain(state, searcher)
    elif failure is Failure.SHED:
        limits.note_shed(searcher, state.now)
        wait = min(msg.retry_after_s, limits.BACKOFF_MAX_S)
        attempt.query.paused[searcher.info.name] = state.now + wait
    elif failure is Failure.VERSION_GONE:
        servers.drop_version(state, searcher, attempt.snapshot)
    elif failure is Failure.TIMEOUT:
        limits.note_overdue(searcher, state.now - attempt.started)
        limits.note_failure(searcher, state.now)
    elif failure is not Failure.CANCELLED:
        limits.note_failure(searcher, state.now)


def _retry(
    state: State,
    attempt: Attempt,
    shards: Iterable[int],
    reason: str,
    *,
    free: bool,
) -> None:
    """Puts shards back to be placed again, within the class's rules.

    A refusal is free: the searcher did no work, and its pause holds the next
    try back. Anything else may have cost work and takes a budget token.
    """
    query = attempt.query
    due = {
        shard
        for other in query.attempts.values()
        if not other.cancelled
        for shard in other.shards
    }
    wanted = [s for s in shards if s not in query.reflected and s not in due]
    query.reasons.update(dict.fromkeys(wanted, reason))
    if free:
        query.refusals.update(wanted)
    able = [s for s in wanted if _tries_left(query, s)]
    if not able or not (free or _may_retry(query, len(able))):
        return
    query.unplaced.update(able)
    query.service.unplaced[query.id] = query
    state.touch(query.service)


def _tries_left(query: Query, shard: int) -> bool:
    """Whether a shard may be asked once more; refusals count for little."""
    refusals = query.refusals[shard]
    worked = query.tries[shard] - refusals
    most = query.cls.max_attempts
    return worked < most and refusals <= query.cls.max_refusals


def _may_retry(query: Query, shards: int) -> bool:
    service = query.service
    return not service.is_overloaded and (
        service.retry_budget(query.cls).spend(shards)
    )


def _end_claimed(state: State, query: Query) -> None:
    """Ends a claimed query with its only attempt, and records the outcome."""
    if query.phase is Phase.DONE:
        endings.record_late(state, query)
    else:
        endings.finish(state, query)
