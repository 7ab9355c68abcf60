"""Handles arriving requests of callers: rejects, holds or sends each."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import (
    admitting,
    completion,
    evidence,
    first_sends,
    selection,
    shutdown,
    trial_table,
    trials,
)
from greengagemoor.forward.mergers import RECORD_BYTES
from greengagemoor.forward.messages import Ending, Step, StepKind
from greengagemoor.forward.tables import Leg, Request

if TYPE_CHECKING:
    from greengagemoor.forward.messages import Arrived
    from greengagemoor.forward.tables import Tables
    from greengagemoor.routing.routes import Route

SIGNATURE_BYTES = 32
HEAD_BYTES = 300
"""Size of an answer's status line and headers, network headers included."""
QUEUED_BYTES = 2500
"""Bytes usually queued on the link before an answer, by sends of the next
query."""
END_MARGIN_S = 0.01
"""Seconds before the time limit at which a request ends, so that its answer
reaches the caller in time."""


def accept(tables: Tables, msg: Arrived) -> None:
    """Rejects a request at once, holds it, or sends it."""
    request = _create_request(tables, msg)
    tables.requests[msg.token] = request
    if shutdown.is_too_late(tables, request):
        completion.finish(tables, request, Ending.NOT_RUN_LEAVING)
        return
    shutdown.limit(tables, request)
    if tables.now >= request.deadline:
        completion.finish(tables, request, Ending.NOT_RUN_DEADLINE)
        return
    if trial_table.is_refused(tables, request.fingerprint):
        completion.finish(tables, request, Ending.NOT_RUN_QUARANTINED)
        return
    if not _can_serve(tables, request):
        completion.finish(tables, request, Ending.NOT_RUN_NO_SEARCHER)
        return
    if admitting.refuse(tables, request):
        return
    if evidence.is_suspect(tables, request.fingerprint):
        trials.hold(tables, request)
    else:
        first_sends.start(tables, request)
    if not request.done:
        _set_timers(tables, request)


def _create_request(tables: Tables, msg: Arrived) -> Request:
    """Creates the request with its deadlines, and a leg for each service."""
    route = msg.route
    now = tables.now - msg.held_s
    waited = 0.0
    overhead = _caller_overhead_s(tables, msg)
    deadline = now + route.time_limit_s - END_MARGIN_S
    if msg.remaining_wait_s is not None:
        # A caller that retries states a shorter remaining wait than others on
        # this route; the difference is the time that it has already waited.
        longest = max(
            tables.max_remaining_wait_s.get(route.name, 0.0),
            msg.remaining_wait_s,
        )
        tables.max_remaining_wait_s[route.name] = longest
        waited = longest - msg.remaining_wait_s
        deadline = min(deadline, now + msg.remaining_wait_s - overhead / 2)
    left = route.objective_s - waited - overhead
    left -= tables.answer_delay.margin_s(route.objective_s)
    if left <= 0:
        # The objective is missed already: a complete answer is worth waiting
        # for as long as the whole objective again.
        left = route.objective_s
    request = Request(
        token=msg.token,
        request_id=msg.request_id,
        route=route,
        arrived_at=now,
        soft_deadline=min(deadline, now + left),
        deadline=deadline,
        fingerprint=msg.fingerprint,
        account=msg.account,
        waited_s=waited,
    )
    if msg.held_s:
        request.steps.append(Step(StepKind.QUOTA, msg.held_s, ""))
    request.legs = [Leg(request, name) for name in _services(tables, route)]
    return request


def _caller_overhead_s(tables: Tables, msg: Arrived) -> float:
    """Returns the caller's time outside this process, in seconds.

    That is the network, the answer on this entry's link, and the time until
    the request is read.
    """
    policy = tables.policy
    network = (
        policy.caller_network_s if msg.network_s is None else msg.network_s
    )
    limit = policy.max_network_share * msg.route.objective_s
    network = min(network + _transmission_s(tables, msg.route), limit)
    return network + policy.caller_read_s


def _transmission_s(tables: Tables, route: Route) -> float:
    """Returns the seconds that a gather's answer takes on this entry's link."""
    if route.gather is None or not tables.link_bytes_per_s:
        return 0.0
    records = RECORD_BYTES * route.gather.top
    headers = HEAD_BYTES + SIGNATURE_BYTES * len(route.gather.services)
    return (QUEUED_BYTES + records + headers) / tables.link_bytes_per_s


def _services(tables: Tables, route: Route) -> tuple[str, ...]:
    if route.gather is not None:
        return route.gather.services
    if len(route.split) == 1:
        return (route.split[0].service,)
    weights = [part.weight for part in route.split]
    part = tables.rng.choices(route.split, weights)[0]
    return (part.service,)


def _can_serve(tables: Tables, request: Request) -> bool:
    """Whether enough services have a usable searcher.

    Checked before anything is sent: if the coverage can't be reached, the work
    of the other shards would be wasted.
    """
    usable = sum(
        selection.has_usable(tables, leg.service) for leg in request.legs
    )
    if request.route.gather is None:
        return usable > 0
    return completion.is_coverage_reached(request, usable)


def _set_timers(tables: Tables, request: Request) -> None:
    check = partial(completion.check, tables, request)
    if request.route.gather is not None:
        tables.set_timer(request.soft_deadline, check)
    else:
        max_wait = tables.policy.max_wait_share * request.route.objective_s
        at = tables.now + max_wait
        tables.set_timer(at, partial(_reject_unsent, tables, request))
    end = partial(completion.end_at_limit, tables, request)
    tables.set_timer(request.deadline, end)


def _reject_unsent(tables: Tables, request: Request) -> None:
    """Rejects a request that found no free connection in time.

    The caller then has time left to retry.
    """
    if not request.done and not request.sends:
        completion.finish(tables, request, completion.unsent_ending(request))
