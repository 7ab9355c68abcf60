"""Ends queries: whole, cut, given up or dropped; answers every waiter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.query import admission, answers, attempts
from greengagemoor.query.messages import (
    Answer,
    ClaimVerdict,
    OutcomeKnown,
    Reply,
    Request,
)
from greengagemoor.query.snapshots import pick_snapshot, pin
from greengagemoor.query.tables import Phase, Query, TimerKind, Waiter
from greengagemoor.registry import completions
from greengagemoor.util import shape

if TYPE_CHECKING:
    from greengagemoor.query.messages import ClaimDecided
    from greengagemoor.query.state import State

QUERY_TIME_WEIGHT = 0.1
FASTER_WEIGHT = 0.2
MOST_RESTARTS = 1
NO_CONTROL_RETRY_S = 1.0

_CLAIM_CODES = {
    ClaimVerdict.IN_PROGRESS: Code.IN_PROGRESS,
    ClaimVerdict.EXPIRED: Code.UNKNOWN_EXPIRED,
    ClaimVerdict.UNKNOWN: Code.UNKNOWN,
    ClaimVerdict.UNAVAILABLE: Code.NOT_RUN_NO_CONTROL,
}


def end_unclaimed(state: State, query: Query, msg: ClaimDecided) -> None:
    """Answers a request whose claim was not granted.

    The recorded outcome goes to a resend whole, under its own request id.
    """
    if msg.verdict is ClaimVerdict.DONE:
        answer = shape.parse_json(msg.outcome, Answer)
    else:
        answer = answers.refusal(
            query.request, _CLAIM_CODES[msg.verdict], NO_CONTROL_RETRY_S
        )
    for waiter in list(query.waiters.values()):
        _reply(state, query, waiter, answer)
    _close(state, query)


def refuse_hopeless(state: State, query: Query) -> bool:
    """Refuses a queued query that can't be answered in time any more."""
    needed = admission.WORK_MARGIN * query.service.query_time
    late = (
        query.cls.refuse_late
        and query.service.running > 0
        and state.now + needed > query.deadline
    )
    if not late and query.waiters:
        return False
    drop(state, query, Code.NOT_RUN_DEADLINE)
    return True


def drop(state: State, query: Query, code: Code) -> None:
    """Answers every waiter of a query that never started."""
    wait = admission.expected_wait(
        query.service, query.request.caller, query.cls.priority
    )
    for waiter in list(query.waiters.values()):
        request = _request_of(query, waiter)
        answer = answers.refusal(request, code, wait)
        state.counters.refused += 1
        _reply(state, query, waiter, answer)
    _close(state, query)
    if query.is_claimed:
        _record(state, query, answers.refusal(query.request, code, wait))


def _request_of(query: Query, waiter: Waiter) -> Request:
    return Request(
        token=waiter.token,
        caller=waiter.caller,
        request_class=query.cls.name,
        request_id=waiter.request_id,
        service=query.request.service,
    )


def settle(state: State, query: Query) -> None:
    """Ends a query that is whole, cut, or has nothing left to hope for."""
    if query.phase is not Phase.RUNNING:
        return
    if len(query.reflected) == len(query.needed):
        finish(state, query)
    elif not _pending(query) and not _has_holder(query):
        if not _restart(state, query):
            finish(state, query)
    elif query.reflected:
        _cut_when_due(state, query)


def _pending(query: Query) -> bool:
    return any(not a.cancelled for a in query.attempts.values())


def _has_holder(query: Query) -> bool:
    snapshot = query.service.snapshots.get(query.snapshot)
    return snapshot is not None and any(
        shard in snapshot.holders for shard in query.unplaced
    )


def _cut_when_due(state: State, query: Query) -> None:
    cut = completions.get(query.cls.completion)(query)
    if state.now >= cut:
        finish(state, query)
    elif cut < query.deadline:
        state.tables.set_timer(cut, TimerKind.CUT, query.id)


def _restart(state: State, query: Query) -> bool:
    """Starts the whole query again on a newer snapshot, if there is one.

    Nothing gathered on the old snapshot is kept: an answer never mixes two.
    """
    if query.is_claimed or query.restarts >= MOST_RESTARTS:
        return False
    newer = pick_snapshot(
        query.service, query.cls.least_coverage, query.snapshot + 1
    )
    time_left = query.deadline - state.now > query.service.query_time
    if (
        newer is None
        or newer.version <= query.snapshot
        or newer.coverage <= query.coverage
        or not time_left
    ):
        return False
    attempts.cancel_all(state, query)
    query.restarts += 1
    state.counters.restarts += 1
    pin(query)
    query.reflected.clear()
    query.reasons.clear()
    query.tries.clear()
    query.tried.clear()
    query.unplaced = set(query.needed)
    query.service.unplaced[query.id] = query
    state.touch(query.service)
    return True


def finish(state: State, query: Query) -> None:
    """Gives every waiter the answer as it stands, and cancels the rest."""
    if query.phase is Phase.DONE:
        return
    retry_after = query.service.query_time
    for waiter in list(query.waiters.values()):
        answer = answers.build_answer(query, waiter.request_id, retry_after)
        _reply(state, query, waiter, answer)
    if query.is_claimed and not query.attempts:
        _record(state, query, _final_answer(query))
    elif not query.is_claimed:
        attempts.cancel_all(state, query)
    _note_time(state, query)
    _close(state, query)


def _final_answer(query: Query) -> Answer:
    request_id = query.request.request_id
    return answers.build_answer(query, request_id, query.service.query_time)


def _note_time(state: State, query: Query) -> None:
    if query.phase is Phase.RUNNING and query.reflected:
        taken = state.now - query.began
        service = query.service
        faster = taken < service.query_time
        weight = FASTER_WEIGHT if faster else QUERY_TIME_WEIGHT
        service.query_time += weight * (taken - service.query_time)


def _record(state: State, query: Query, answer: Answer) -> None:
    state.out.append(
        OutcomeKnown(
            token=query.request.token,
            caller=query.request.caller,
            request_id=query.request.request_id,
            code=answer.code,
            outcome=shape.dump_json(answer),
        )
    )


def release_claim(state: State, msg: ClaimDecided) -> None:
    """Records "not run" for a claim that nobody waits for any more."""
    if msg.verdict is not ClaimVerdict.GRANTED:
        return
    code = Code.NOT_RUN_NO_CONTROL
    answer = Answer(code, msg.request_id, retry_after_s=NO_CONTROL_RETRY_S)
    state.out.append(
        OutcomeKnown(
            token=msg.token,
            caller=msg.caller,
            request_id=msg.request_id,
            code=code,
            outcome=shape.dump_json(answer),
        )
    )


def record_late(state: State, query: Query) -> None:
    """Records the outcome of a claimed query that ended after its answer."""
    _record(state, query, _final_answer(query))


def _reply(state: State, query: Query, waiter: Waiter, answer: Answer) -> None:
    state.tables.by_token.pop(waiter.token, None)
    query.waiters.pop(waiter.token, None)
    state.out.append(
        Reply(
            token=waiter.token,
            caller=waiter.caller,
            request_class=query.cls.name,
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
    if query.flight_key and service.flights.get(query.flight_key) is query:
        del service.flights[query.flight_key]
    state.tables.queries.pop(query.id, None)
    state.touch(service)


def end_waiter(state: State, token: int) -> None:
    """Answers one waiter at its deadline with what there is."""
    query = state.tables.by_token.get(token)
    if query is None:
        return
    waiter = query.waiters[token]
    if len(query.waiters) == 1:
        finish(state, query)
        return
    answer = answers.build_answer(
        query, waiter.request_id, query.service.query_time
    )
    _reply(state, query, waiter, answer)


def forget_waiter(state: State, token: int) -> None:
    """Drops a waiter whose connection closed; ends a flight without any.

    A claimed request goes on: its outcome must be recorded for the resend.
    """
    query = state.tables.by_token.pop(token, None)
    if query is None:
        return
    query.waiters.pop(token, None)
    if query.waiters or query.is_claimed or query.phase is Phase.CLAIMING:
        return
    finish(state, query)
