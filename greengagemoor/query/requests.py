"""Takes in requests: refuses them, joins them to a flight, or queues them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.query import admission, answers, endings
from greengagemoor.query.admission import Refusal
from greengagemoor.query.endings import NO_CONTROL_RETRY_S
from greengagemoor.query.messages import ClaimWanted, Reply, Request
from greengagemoor.query.snapshots import pin
from greengagemoor.query.tables import Phase, Query, TimerKind, Waiter
from greengagemoor.util.request_ids import issue_time

if TYPE_CHECKING:
    from greengagemoor.document import RequestClass
    from greengagemoor.query.state import State
    from greengagemoor.query.tables import ServiceRow

LEAVING_RETRY_S = 0.05


def take(state: State, request: Request) -> None:
    """Takes in a request: refuses it, joins it to a flight, or queues it."""
    refusal = _check_request(state, request)
    if refusal:
        _refuse(state, request, refusal)
        return
    service = state.tables.services[request.service]
    cls = service.rules.request_class(request.request_class)
    wanted = request.deadline_s or cls.default_deadline_s
    deadline = state.now + min(wanted, cls.max_deadline_s)
    if request.repeatable and cls.repeatable:
        _take_repeatable(state, request, service, cls, deadline)
    else:
        _take_claimed(state, request, service, cls, deadline)


def _check_request(state: State, request: Request) -> Refusal | None:
    if state.closing:
        leaving = "this entry is leaving"
        return Refusal(Code.NOT_RUN_LEAVING, LEAVING_RETRY_S, leaving)
    if state.document is None:
        none_yet = "no document yet"
        return Refusal(Code.NOT_RUN_NOT_READY, NO_CONTROL_RETRY_S, none_yet)
    service = state.tables.services.get(request.service)
    if service is None or not service.rules.request_class(
        request.request_class
    ):
        return Refusal(
            Code.NOT_RUN_UNKNOWN_SERVICE,
            NO_CONTROL_RETRY_S,
            "no such service or request class",
        )
    return None


def _refuse(state: State, request: Request, refusal: Refusal) -> None:
    state.counters.refused += 1
    state.out.append(
        Reply(
            token=request.token,
            caller=request.caller,
            request_class=request.request_class,
            answer=answers.refusal(
                request, refusal.code, refusal.retry_after_s, refusal.detail
            ),
            elapsed_s=0.0,
        )
    )


def _take_repeatable(
    state: State,
    request: Request,
    service: ServiceRow,
    cls: RequestClass,
    deadline: float,
) -> None:
    query = _new_query(state, request, service, cls, deadline)
    if not pin(query):
        none = Refusal(Code.NOT_RUN_NO_REPLICA, service.query_time)
        _refuse(state, request, none)
        return
    if _join(state, query):
        return
    refusal = admission.check_admission(
        service, cls, request.caller, deadline - state.now
    )
    if refusal:
        _refuse(state, request, refusal)
        return
    _make_room(state, query)
    _enter(state, query)
    if query.flight_key:
        service.flights[query.flight_key] = query


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
        cls=cls,
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
    """Adds the request to an equal one in flight on the same snapshot.

    The caller is part of the key unless the class lets callers share: they
    are rivals, and an answer must not cross between them.
    """
    if not query.cls.join_equal:
        return False
    request = query.request
    owner = None if query.cls.share_answers else request.caller
    key = (
        request.request_class,
        query.snapshot,
        owner,
        request.key,
        request.body,
    )
    flight = query.service.flights.get(key)
    if flight is None or flight.phase is Phase.DONE:
        query.flight_key = key
        return False
    _follow(state, flight, query.waiters[request.token])
    return True


def _follow(state: State, flight: Query, waiter: Waiter) -> None:
    flight.waiters[waiter.token] = waiter
    flight.deadline = max(flight.deadline, waiter.deadline)
    state.tables.by_token[waiter.token] = flight
    state.tables.set_timer(waiter.deadline, TimerKind.WAITER, waiter.token)
    state.counters.joined += 1


def _make_room(state: State, query: Query) -> None:
    """Displaces the newest query of whoever waits most in a full queue."""
    queue = query.service.queue
    if len(queue) < query.cls.max_queue:
        return
    victim = queue.newest_of_longest(query.cls.priority)
    if victim is None:
        return
    queue.remove(victim)
    state.counters.displaced += 1
    endings.drop(state, victim, Code.NOT_RUN_OVERLOAD)


def _enter(state: State, query: Query) -> None:
    state.tables.queries[query.id] = query
    for waiter in query.waiters.values():
        state.tables.by_token[waiter.token] = query
        state.tables.set_timer(waiter.deadline, TimerKind.WAITER, waiter.token)
    _queue(state, query)


def _queue(state: State, query: Query) -> None:
    query.phase = Phase.QUEUED
    query.service.queue.push(query)
    state.touch(query.service)


def _take_claimed(
    state: State,
    request: Request,
    service: ServiceRow,
    cls: RequestClass,
    deadline: float,
) -> None:
    """Asks the ledger first: nothing is sent before a claim is granted."""
    fault = _claim_fault(request)
    if fault:
        code = Code.NOT_RUN_BAD_REQUEST
        _refuse(state, request, Refusal(code, NO_CONTROL_RETRY_S, fault))
        return
    if not state.control_ready:
        code = Code.NOT_RUN_NO_CONTROL
        _refuse(state, request, Refusal(code, NO_CONTROL_RETRY_S))
        return
    query = _new_query(state, request, service, cls, deadline)
    query.phase = Phase.CLAIMING
    state.tables.queries[query.id] = query
    state.tables.by_token[request.token] = query
    state.tables.set_timer(deadline, TimerKind.WAITER, request.token)
    state.out.append(
        ClaimWanted(request.token, request.caller, request.request_id)
    )


def _claim_fault(request: Request) -> str:
    if request.key is None:
        return "a request that is not repeatable needs a key"
    if issue_time(request.request_id) is None:
        return "its id must be <unix milliseconds>-<anything unique>"
    return ""


def start_claimed(state: State, query: Query, send_before: float) -> None:
    """Queues a query whose claim was granted."""
    query.send_before = send_before
    if not pin(query):
        endings.finish(state, query)
        return
    _queue(state, query)
