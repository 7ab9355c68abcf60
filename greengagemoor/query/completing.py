"""Finishes, restarts or rejects queries, and answers their waiters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.query import admission, answers, attempts
from greengagemoor.query.messages import (
    Answer,
    ClaimVerdict,
    RecordOutcomeWanted,
    Reply,
    Request,
)
from greengagemoor.query.snapshots import pick_snapshot, pin_snapshot
from greengagemoor.query.tables import Phase, Query, TimerKind, Waiter
from greengagemoor.registry import completions
from greengagemoor.util import json_conversion

if TYPE_CHECKING:
    from greengagemoor.query.messages import ClaimDecided
    from greengagemoor.query.state import State

QUERY_TIME_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the query time."""

FASTER_QUERY_WEIGHT = 0.2
"""Weight of a sample that is below the average."""

MAX_RESTARTS = 1
"""Most restarts of a query on a newer snapshot."""

NO_CONTROL_RETRY_S = 1.0
"""Retry-after, in seconds, where no wait can be estimated."""

_CLAIM_CODES = {
    ClaimVerdict.IN_PROGRESS: Code.IN_PROGRESS,
    ClaimVerdict.EXPIRED: Code.UNKNOWN_EXPIRED,
    ClaimVerdict.UNKNOWN: Code.UNKNOWN,
    ClaimVerdict.UNAVAILABLE: Code.NOT_RUN_NO_CONTROL,
}


def answer_unclaimed(state: State, query: Query, msg: ClaimDecided) -> None:
    """Answers a request whose claim was not granted.

    A resend of a completed request gets the recorded answer unchanged, with
    the request id of the recorded request.
    """
    if msg.verdict is ClaimVerdict.DONE:
        answer = json_conversion.decode_json(msg.outcome, Answer)
    else:
        answer = answers.build_rejection(
            query.request, _CLAIM_CODES[msg.verdict], NO_CONTROL_RETRY_S
        )
    for waiter in list(query.waiters.values()):
        _reply(state, query, waiter, answer)
    _close(state, query)


def reject_if_late(state: State, query: Query) -> bool:
    """Rejects a queued query that is too late or has no waiter left."""
    needed = (
        admission.QUERY_TIME_SAFETY_FACTOR * query.service.mean_query_time_s
    )
    late = (
        query.request_class_rules.refuse_late
        and query.service.running > 0
        and state.now + needed > query.deadline
    )
    if not late and query.waiters:
        return False
    reject_queued(state, query, Code.NOT_RUN_DEADLINE)
    return True


def reject_queued(state: State, query: Query, code: Code) -> None:
    """Rejects a query that has not started; its waiters get ``code``."""
    wait = admission.expected_wait(
        query.service, query.request.caller, query.request_class_rules.priority
    )
    for waiter in list(query.waiters.values()):
        request = _request_of(query, waiter)
        answer = answers.build_rejection(request, code, wait)
        state.counters.refused += 1
        _reply(state, query, waiter, answer)
    _close(state, query)
    if query.is_claimed:
        _emit_outcome(
            state, query, answers.build_rejection(query.request, code, wait)
        )


def _request_of(query: Query, waiter: Waiter) -> Request:
    return Request(
        token=waiter.token,
        caller=waiter.caller,
        request_class=query.request_class_rules.name,
        request_id=waiter.request_id,
        service=query.request.service,
    )


def settle(state: State, query: Query) -> None:
    """Finishes a query that is complete, cut, or can't get further results."""
    if query.phase is not Phase.RUNNING:
        return
    if len(query.results) == len(query.needed):
        finish(state, query)
    elif not _has_pending_attempt(query) and not _has_holder(query):
        if not _restart(state, query):
            finish(state, query)
    elif query.results:
        _finish_at_cut(state, query)


def _has_pending_attempt(query: Query) -> bool:
    return any(not a.cancelled for a in query.attempts.values())


def _has_holder(query: Query) -> bool:
    snapshot = query.service.snapshots.get(query.snapshot)
    return snapshot is not None and any(
        shard in snapshot.holders for shard in query.unplaced
    )


def _finish_at_cut(state: State, query: Query) -> None:
    cut = completions.get(query.request_class_rules.completion)(query)
    if state.now >= cut:
        finish(state, query)
    elif cut < query.deadline:
        state.tables.set_timer(cut, TimerKind.CUT, query.id)


def _restart(state: State, query: Query) -> bool:
    """Restarts a query on a newer snapshot that has more coverage, if any.

    Results of the old snapshot are discarded: an answer never mixes two
    snapshots.
    """
    if query.is_claimed or query.restarts >= MAX_RESTARTS:
        return False
    newer = pick_snapshot(
        query.service,
        query.request_class_rules.least_coverage,
        query.snapshot + 1,
    )
    has_time = query.deadline - state.now > query.service.mean_query_time_s
    if (
        newer is None
        or newer.version <= query.snapshot
        or newer.coverage <= query.coverage
        or not has_time
    ):
        return False
    attempts.cancel_all(state, query)
    query.restarts += 1
    state.counters.restarts += 1
    pin_snapshot(query)
    query.results.clear()
    query.missing_reasons.clear()
    query.attempt_counts.clear()
    query.tried_searchers.clear()
    query.unplaced = set(query.needed)
    query.service.unplaced[query.id] = query
    state.mark_dirty(query.service)
    return True


def finish(state: State, query: Query) -> None:
    """Answers every waiter with the results so far and cancels what remains."""
    if query.phase is Phase.DONE:
        return
    retry_after = query.service.mean_query_time_s
    for waiter in list(query.waiters.values()):
        answer = answers.build_answer(query, waiter.request_id, retry_after)
        _reply(state, query, waiter, answer)
    if query.is_claimed and not query.attempts:
        _emit_outcome(state, query, _final_answer(query))
    elif not query.is_claimed:
        attempts.cancel_all(state, query)
    _record_query_time(state, query)
    _close(state, query)


def _final_answer(query: Query) -> Answer:
    request_id = query.request.request_id
    return answers.build_answer(
        query, request_id, query.service.mean_query_time_s
    )


def _record_query_time(state: State, query: Query) -> None:
    if query.phase is Phase.RUNNING and query.results:
        taken = state.now - query.run_started
        service = query.service
        faster = taken < service.mean_query_time_s
        weight = FASTER_QUERY_WEIGHT if faster else QUERY_TIME_WEIGHT
        service.mean_query_time_s += weight * (
            taken - service.mean_query_time_s
        )


def _emit_outcome(state: State, query: Query, answer: Answer) -> None:
    state.out.append(
        RecordOutcomeWanted(
            token=query.request.token,
            caller=query.request.caller,
            request_id=query.request.request_id,
            code=answer.code,
            outcome=json_conversion.encode_json(answer),
        )
    )


def release_claim(state: State, msg: ClaimDecided) -> None:
    """Records "not run" for a granted claim whose query has ended."""
    if msg.verdict is not ClaimVerdict.GRANTED:
        return
    code = Code.NOT_RUN_NO_CONTROL
    answer = Answer(code, msg.request_id, retry_after_s=NO_CONTROL_RETRY_S)
    state.out.append(
        RecordOutcomeWanted(
            token=msg.token,
            caller=msg.caller,
            request_id=msg.request_id,
            code=code,
            outcome=json_conversion.encode_json(answer),
        )
    )


def record_late_outcome(state: State, query: Query) -> None:
    """Records the outcome of a claimed query that was already answered."""
    _emit_outcome(state, query, _final_answer(query))


def _reply(state: State, query: Query, waiter: Waiter, answer: Answer) -> None:
    state.tables.queries_by_token.pop(waiter.token, None)
    query.waiters.pop(waiter.token, None)
    state.out.append(
        Reply(
            token=waiter.token,
            caller=waiter.caller,
            request_class=query.request_class_rules.name,
            answer=answer,
            elapsed_s=state.now - waiter.started,
        )
    )


def _close(state: State, query: Query) -> None:
    service = query.service
    if query.phase is Phase.RUNNING:
        service.running -= 1
    query.phase = Phase.DONE
    service.queue.remove(query)
    service.unplaced.pop(query.id, None)
    if (
        query.join_key
        and service.queries_by_join_key.get(query.join_key) is query
    ):
        del service.queries_by_join_key[query.join_key]
    state.tables.queries.pop(query.id, None)
    state.mark_dirty(service)


def expire_waiter(state: State, token: int) -> None:
    """Answers a waiter at its deadline with the results so far."""
    query = state.tables.queries_by_token.get(token)
    if query is None:
        return
    waiter = query.waiters[token]
    if len(query.waiters) == 1:
        finish(state, query)
        return
    answer = answers.build_answer(
        query, waiter.request_id, query.service.mean_query_time_s
    )
    _reply(state, query, waiter, answer)


def remove_waiter(state: State, token: int) -> None:
    """Removes a waiter whose connection closed; ends a query without waiters.

    A claimed query continues: its outcome must be recorded for a resend.
    """
    query = state.tables.queries_by_token.pop(token, None)
    if query is None:
        return
    query.waiters.pop(token, None)
    if query.waiters or query.is_claimed or query.phase is Phase.CLAIMING:
        return
    finish(state, query)
