"""Handles requests: rejects them, joins them to equal ones or queues them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.query import admission, answers, completing
from greengagemoor.query.admission import Rejection
from greengagemoor.query.completing import NO_CONTROL_RETRY_S
from greengagemoor.query.messages import ClaimWanted, Reply, Request
from greengagemoor.query.snapshots import pin_snapshot
from greengagemoor.query.tables import Phase, Query, TimerKind, Waiter
from greengagemoor.util.request_ids import issue_time

if TYPE_CHECKING:
    from greengagemoor.document import RequestClass
    from greengagemoor.query.state import State
    from greengagemoor.query.tables import ServiceRow

LEAVING_RETRY_S = 0.05
"""Retry-after, in seconds, of an entry instance that shuts down."""


def handle_request(state: State, request: Request) -> None:
    """Rejects, joins or queues a request, or asks for its claim."""
    rejection = _check_request(state, request)
    if rejection:
        _reject(state, request, rejection)
        return
    service = state.tables.services[request.service]
    cls = service.settings.request_class(request.request_class)
    wanted = request.deadline_s or cls.default_deadline_s
    deadline = state.now + min(wanted, cls.max_deadline_s)
    if request.repeatable and cls.repeatable:
        _accept_repeatable(state, request, service, cls, deadline)
    else:
        _request_claim(state, request, service, cls, deadline)


def _check_request(state: State, request: Request) -> Rejection | None:
    if state.closing:
        leaving = "this entry instance is shutting down"
        return Rejection(Code.NOT_RUN_LEAVING, LEAVING_RETRY_S, leaving)
    if state.document is None:
        no_document = "no document received yet"
        return Rejection(
            Code.NOT_RUN_NOT_READY, NO_CONTROL_RETRY_S, no_document
        )
    service = state.tables.services.get(request.service)
    if service is None or not service.settings.request_class(
        request.request_class
    ):
        return Rejection(
            Code.NOT_RUN_UNKNOWN_SERVICE,
            NO_CONTROL_RETRY_S,
            "no such service or request class",
        )
    return None


def _reject(state: State, request: Request, rejection: Rejection) -> None:
    state.counters.refused += 1
    state.out.append(
        Reply(
            token=request.token,
            caller=request.caller,
            request_class=request.request_class,
            answer=answers.build_rejection(
                request,
                rejection.code,
                rejection.retry_after_s,
                rejection.detail,
            ),
            elapsed_s=0.0,
        )
    )


def _accept_repeatable(
    state: State,
    request: Request,
    service: ServiceRow,
    cls: RequestClass,
    deadline: float,
) -> None:
    query = _new_query(state, request, service, cls, deadline)
    if not pin_snapshot(query):
        no_replica = Rejection(
            Code.NOT_RUN_NO_REPLICA, service.mean_query_time_s
        )
        _reject(state, request, no_replica)
        return
    if _join(state, query):
        return
    rejection = admission.check_admission(
        service, cls, request.caller, deadline - state.now
    )
    if rejection:
        _reject(state, request, rejection)
        return
    _make_room(state, query)
    _register(state, query)
    if query.join_key:
        service.queries_by_join_key[query.join_key] = query


def _new_query(
    state: State,
    request: Request,
    service: ServiceRow,
    cls: RequestClass,
    deadline: float,
) -> Query:
    query = Query(
        id=state.next_query_id(),
        request=request,
        request_class_rules=cls,
        service=service,
        started=state.now,
        deadline=deadline,
    )
    waiter = Waiter(
        token=request.token,
        caller=request.caller,
        request_id=request.request_id,
        started=state.now,
        deadline=deadline,
    )
    query.waiters[request.token] = waiter
    return query


def _join(state: State, query: Query) -> bool:
    """Joins the request to an equal one in flight on the same snapshot.

    The caller is part of the key unless the class shares answers: callers may
    be competitors, and an answer to one must not reach another.
    """
    if not query.request_class_rules.join_equal:
        return False
    request = query.request
    owner = None if query.request_class_rules.share_answers else request.caller
    key = (
        request.request_class,
        query.snapshot,
        owner,
        request.key,
        request.body,
    )
    existing = query.service.queries_by_join_key.get(key)
    if existing is None or existing.phase is Phase.DONE:
        query.join_key = key
        return False
    _attach_waiter(state, existing, query.waiters[request.token])
    return True


def _attach_waiter(state: State, existing: Query, waiter: Waiter) -> None:
    existing.waiters[waiter.token] = waiter
    existing.deadline = max(existing.deadline, waiter.deadline)
    state.tables.queries_by_token[waiter.token] = existing
    state.tables.set_timer(waiter.deadline, TimerKind.WAITER, waiter.token)
    state.counters.joined += 1


def _make_room(state: State, query: Query) -> None:
    """Displaces a query from a full queue: its ``displacement_candidate``."""
    queue = query.service.queue
    if len(queue) < query.request_class_rules.max_queue:
        return
    victim = queue.displacement_candidate(query.request_class_rules.priority)
    if victim is None:
        return
    queue.remove(victim)
    state.counters.displaced_queries += 1
    completing.reject_queued(state, victim, Code.NOT_RUN_OVERLOAD)


def _register(state: State, query: Query) -> None:
    state.tables.queries[query.id] = query
    for waiter in query.waiters.values():
        state.tables.queries_by_token[waiter.token] = query
        state.tables.set_timer(waiter.deadline, TimerKind.WAITER, waiter.token)
    _enqueue(state, query)


def _enqueue(state: State, query: Query) -> None:
    query.phase = Phase.QUEUED
    query.service.queue.push(query)
    state.mark_dirty(query.service)


def _request_claim(
    state: State,
    request: Request,
    service: ServiceRow,
    cls: RequestClass,
    deadline: float,
) -> None:
    """Asks the ledger for a claim; nothing is sent before it is granted."""
    error = _claim_error(request)
    if error:
        code = Code.NOT_RUN_BAD_REQUEST
        _reject(state, request, Rejection(code, NO_CONTROL_RETRY_S, error))
        return
    if not state.control_ready:
        code = Code.NOT_RUN_NO_CONTROL
        _reject(state, request, Rejection(code, NO_CONTROL_RETRY_S))
        return
    query = _new_query(state, request, service, cls, deadline)
    query.phase = Phase.CLAIMING
    state.tables.queries[query.id] = query
    state.tables.queries_by_token[request.token] = query
    state.tables.set_timer(deadline, TimerKind.WAITER, request.token)
    state.out.append(
        ClaimWanted(request.token, request.caller, request.request_id)
    )


def _claim_error(request: Request) -> str:
    if request.key is None:
        return "a request that is not repeatable needs a key"
    if issue_time(request.request_id) is None:
        return "the request id must be <unix milliseconds>-<unique text>"
    return ""


def start_claimed(state: State, query: Query, send_before: float) -> None:
    """Queues a query whose claim was granted."""
    query.send_before = send_before
    if not pin_snapshot(query):
        completing.finish(state, query)
        return
    _enqueue(state, query)
