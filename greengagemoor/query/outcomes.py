"""Handles the answers and failures of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.backends import ServerState
from greengagemoor.query import attempts, completing, limits, servers
from greengagemoor.query.messages import AttemptFailed, Failure
from greengagemoor.query.tables import Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.query.messages import AttemptAnswer
    from greengagemoor.query.state import State
    from greengagemoor.query.tables import Attempt, Query

IDLE_LATENCY_QUANTILE = 0.2
"""Quantile of the latencies that stands for an idle searcher's."""

ABSENT = "absent"


def handle_answer(state: State, msg: AttemptAnswer) -> None:
    """Handles a searcher's answer, after checking that it fits its attempt.

    A connection that is reused while an old answer is outstanding delivers the
    old answer to the new attempt, and a caller would get the results of another
    request. Request id, snapshot and shards of the answer are checked for this.
    """
    attempt = state.tables.attempts.get(msg.attempt_id)
    if attempt is None:
        state.counters.late_answers += 1
        return
    if not _matches_attempt(attempt, msg):
        state.counters.mismatches += 1
        handle_failure(state, AttemptFailed(msg.attempt_id, Failure.MISMATCH))
        return
    attempts.end(state, attempt.id)
    _record_latency(state, attempt)
    if msg.server_state is ServerState.DRAINING:
        servers.mark_draining(state, attempt.searcher)
    if _is_current(state, attempt):
        _add_results(state, attempt, msg)


def _matches_attempt(attempt: Attempt, msg: AttemptAnswer) -> bool:
    answered = [result.shard for result in msg.results]
    return (
        msg.request_id == attempt.query.request.request_id
        and msg.snapshot == attempt.snapshot
        and len(answered) == len(set(answered))
        and set(answered) <= set(attempt.shards)
    )


def _record_latency(state: State, attempt: Attempt) -> None:
    latency = state.now - attempt.started
    window = attempt.query.service.latency
    window.add(latency)
    idle_latency = window.quantile(IDLE_LATENCY_QUANTILE) or latency
    limits.record_answer(attempt.searcher, latency, idle_latency)


def _is_current(state: State, attempt: Attempt) -> bool:
    """Returns whether the attempt's results may still be added to its query."""
    query = attempt.query
    if attempt.snapshot != query.snapshot:
        state.counters.late_answers += 1
        return False
    if query.phase is Phase.DONE:
        state.counters.late_answers += 1
        return query.is_claimed
    return True


def _add_results(state: State, attempt: Attempt, msg: AttemptAnswer) -> None:
    query = attempt.query
    # Even an answer without results shows that the attempt may have run.
    query.may_have_run = True
    for result in msg.results:
        query.results.setdefault(result.shard, result.value)
    if query.is_claimed:
        _end_claimed(state, query)
        return
    answered = {result.shard for result in msg.results}
    missing = [shard for shard in attempt.shards if shard not in answered]
    if missing:
        _retry(state, attempt, missing, ABSENT, free=False)
    _cancel_redundant(state, query)
    completing.settle(state, query)


def _cancel_redundant(state: State, query: Query) -> None:
    for attempt in list(query.attempts.values()):
        if all(shard in query.results for shard in attempt.shards):
            limits.record_overdue(attempt.searcher, state.now - attempt.started)
            attempts.cancel(state, attempt)


def handle_failure(state: State, msg: AttemptFailed) -> None:
    """Handles a failed attempt: updates its searcher, retries its shards."""
    attempt = attempts.end(state, msg.attempt_id)
    if attempt is None:
        state.counters.late_answers += 1
        return
    _update_searcher(state, attempt, msg)
    query = attempt.query
    _record_history(query, msg.failure)
    if query.is_claimed:
        _end_claimed(state, query)
        return
    if query.phase is not Phase.RUNNING or attempt.cancelled:
        completing.settle(state, query)
        return
    if attempt.snapshot == query.snapshot:
        _retry(
            state,
            attempt,
            attempt.shards,
            msg.failure.value,
            free=msg.failure.is_not_run,
        )
    completing.settle(state, query)


def _record_history(query: Query, failure: Failure) -> None:
    """Records that an attempt ran or may have run; refusals don't reset it."""
    if failure is Failure.ERROR:
        query.ran_and_failed = True
    elif not failure.is_not_run:
        query.may_have_run = True


def _update_searcher(
    state: State, attempt: Attempt, msg: AttemptFailed
) -> None:
    searcher = attempt.searcher
    failure = msg.failure
    if msg.server_state is ServerState.DRAINING or (
        failure is Failure.DRAINING
    ):
        servers.mark_draining(state, searcher)
    elif failure is Failure.SHED:
        limits.record_shed(searcher, state.now)
        wait = min(msg.retry_after_s, limits.BACKOFF_MAX_S)
        attempt.query.paused_until[searcher.info.name] = state.now + wait
    elif failure is Failure.VERSION_GONE:
        servers.remove_version(state, searcher, attempt.snapshot)
    elif failure is Failure.TIMEOUT:
        limits.record_overdue(searcher, state.now - attempt.started)
        limits.record_failure(searcher, state.now)
    elif failure is not Failure.CANCELLED:
        limits.record_failure(searcher, state.now)


def _retry(
    state: State,
    attempt: Attempt,
    shards: Iterable[int],
    reason: str,
    *,
    free: bool,
) -> None:
    """Marks shards as unplaced again, within the limits of the class.

    A refusal is free: the searcher did no work, and its pause delays the next
    attempt. Any other failure may have cost work and takes budget tokens.
    """
    query = attempt.query
    due = {
        shard
        for other in query.attempts.values()
        if not other.cancelled
        for shard in other.shards
    }
    wanted = [s for s in shards if s not in query.results and s not in due]
    query.missing_reasons.update(dict.fromkeys(wanted, reason))
    if free:
        query.refusal_counts.update(wanted)
    retryable = [s for s in wanted if _tries_left(query, s)]
    if not retryable or not (
        free or _spend_retry_budget(query, len(retryable))
    ):
        return
    query.unplaced.update(retryable)
    query.service.unplaced[query.id] = query
    state.mark_dirty(query.service)


def _tries_left(query: Query, shard: int) -> bool:
    """Whether a shard may be asked again; refusals have their own limit."""
    refusals = query.refusal_counts[shard]
    charged = query.attempt_counts[shard] - refusals
    limit = query.request_class_rules.max_attempts
    return (
        charged < limit and refusals <= query.request_class_rules.max_refusals
    )


def _spend_retry_budget(query: Query, shards: int) -> bool:
    service = query.service
    return not service.is_overloaded and (
        service.retry_budget(query.request_class_rules).spend(shards)
    )


def _end_claimed(state: State, query: Query) -> None:
    """Finishes a claimed query after its only attempt; records the outcome."""
    if query.phase is Phase.DONE:
        completing.record_late_outcome(state, query)
    else:
        completing.finish(state, query)
