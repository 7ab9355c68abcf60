"""Sends a leg's request, again or a second time where that is allowed."""

from __future__ import annotations

import heapq
from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import choosing, coldstart
from greengagemoor.forward.messages import (
    CancelAttempt,
    Outcome,
    StartAttempt,
    Step,
    StepKind,
)
from greengagemoor.forward.tables import Attempt
from greengagemoor.routing.routes import Grade

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Leg, Tables
    from greengagemoor.routing.routes import Route

MOST_SENDS = 5
"""Most sends of one leg, those included that never ran."""
LEAST_HEDGE_S = 0.004
"""A second send sooner than a network round trip can't tell a late answer."""
LOOK_AGAIN_S = 0.01
"""Interval of looking for a place or a token; a tenth of a work time."""


def send(tables: Tables, leg: Leg, *, second: bool = False) -> bool:
    """Sends to the best searcher that has a place; False if none has."""
    choice = choosing.choose(tables, leg)
    if choice is None:
        return False
    _send_to(tables, leg, choice, second=second)
    return True


def _send_to(
    tables: Tables, leg: Leg, choice: choosing.Choice, *, second: bool = False
) -> None:
    searcher = choice.searcher
    request = leg.request
    request.steps.append(_sent_step(tables, leg, choice, second=second))
    attempt = Attempt(
        next(tables.ids), leg, searcher, tables.now, is_second=second
    )
    tables.attempts[attempt.attempt_id] = attempt
    searcher.attempts[attempt.attempt_id] = attempt
    searcher.sent_at = tables.now
    if not leg.sends:
        leg.first_sent_at = tables.now
    leg.attempts.append(attempt)
    leg.asked.append(searcher)
    leg.runs += 1
    leg.sends += 1
    tables.out.append(
        StartAttempt(
            attempt.attempt_id,
            request.token,
            request.request_id,
            searcher.searcher_id,
            searcher.address,
            request.ends_at,
        )
    )
    if request.route.grade is Grade.REPEATABLE:
        _arm_hedge(tables, leg)


def _sent_step(
    tables: Tables, leg: Leg, choice: choosing.Choice, *, second: bool
) -> Step:
    row = choice.searcher
    return Step(
        StepKind.SENT_BESIDE if second else StepKind.SENT,
        tables.now - leg.request.arrived_at,
        leg.service,
        row.searcher_id,
        cost=choice.cost,
        own=len(row.attempts),
        others=row.others,
        load_age_s=tables.now - row.load_at,
    )


def wait_for_place(tables: Tables, leg: Leg) -> None:
    """Queues a leg until a searcher has a place, most urgent first.

    Answers a burst: without the queue every leg beyond the places would be
    missing from its answer, also when a place is free a millisecond later.
    """
    if leg.waiting:
        return
    leg.waiting = True
    after = tables.now - leg.request.arrived_at
    leg.request.steps.append(Step(StepKind.WAITS, after, leg.service))
    queue = tables.waiting.setdefault(leg.service, [])
    item = (leg.request.route.rank, next(tables.ids), leg)
    heapq.heappush(queue, item)
    if len(queue) == 1:
        _look_again(tables, leg.service)


def _look_again(tables: Tables, service: str) -> None:
    at = tables.now + LOOK_AGAIN_S
    tables.set_timer(at, partial(_serve_on_time, tables, service))


def _serve_on_time(tables: Tables, service: str) -> None:
    serve_waiting(tables, service)
    if tables.waiting.get(service):
        _look_again(tables, service)


def serve_waiting(tables: Tables, service: str) -> None:
    """Sends what waits for the service while there are places."""
    queue = tables.waiting.get(service)
    while queue:
        leg = queue[0][2]
        request = leg.request
        wanted = leg.is_open and not leg.attempts and not request.done
        if wanted and request.is_unproved:
            # Sent now, it might end one more searcher.
            request.unproved_legs.append((leg, Outcome.NOT_RUN))
        elif wanted and not send(tables, leg):
            return
        heapq.heappop(queue)
        leg.waiting = False


def hedge_delay(tables: Tables, route: Route) -> float:
    """Returns the seconds after which a send on the route is late."""
    times = tables.times_of(route)
    quantile = times.quantile(tables.policy.hedge_quantile)
    longest = tables.policy.hedge_medians * times.median
    return max(min(quantile, longest), LEAST_HEDGE_S)


def _arm_hedge(tables: Tables, leg: Leg) -> None:
    request = leg.request
    at = tables.now + hedge_delay(tables, request.route)
    tables.set_timer(at, partial(_hedge, tables, leg, leg.sends))


def _hedge(tables: Tables, leg: Leg, sends: int) -> None:
    """Sends a second time, beside a send that is late.

    Each searcher pauses now and then; one pause in any of a query's shards
    delays the whole answer. Both sends run until one has answered.
    """
    request = leg.request
    if request.done or not leg.is_open or leg.sends != sends:
        return
    if not _has_attempts(tables, leg) or request.is_trial:
        return
    budget = tables.budget_of(leg.service)
    if (
        request.is_unproved
        or not request.is_confirmed
        or not budget.may_take(tables.now)
        or not send(tables, leg, second=True)
    ):
        at = tables.now + LOOK_AGAIN_S
        tables.set_timer(at, partial(_hedge, tables, leg, sends))
    else:
        budget.take(tables.now)


def may_send_more(tables: Tables, leg: Leg) -> bool:
    """Whether the rules allow one more searcher for this leg now."""
    if leg.runs and not leg.request.is_confirmed:
        return False
    return _has_attempts(tables, leg)


def _has_attempts(tables: Tables, leg: Leg) -> bool:
    request = leg.request
    return (
        leg.runs < request.route.attempts
        and leg.sends < MOST_SENDS
        and tables.now < request.ends_at
    )


def repeat(tables: Tables, leg: Leg, outcome: Outcome, *, stale: bool) -> bool:
    """Sends again after a send that ended without a good answer.

    Returns:
        Whether the leg goes on: by a new send, or by one still under way.
    """
    if leg.attempts or leg.waiting:
        return True
    if leg.broken and leg.request.route.grade is not Grade.REPEATABLE:
        return False
    if outcome is Outcome.ANSWERED and (
        leg.request.route.grade is not Grade.REPEATABLE
    ):
        return False
    if stale and send_afresh(tables, leg):
        return True
    if not may_send_more(tables, leg):
        return False
    if not _may_repeat(tables, leg, outcome, stale=stale):
        return False
    if send(tables, leg):
        return True
    return _send_to_asked(tables, leg, outcome)


def _may_repeat(
    tables: Tables, leg: Leg, outcome: Outcome, *, stale: bool
) -> bool:
    """Counts a second send, unless the first never reached a searcher."""
    if outcome is Outcome.NOT_SENT:
        return True
    budget = tables.budget_of(leg.service)
    if stale:
        budget.count(tables.now)
        return True
    return budget.take(tables.now)


def send_afresh(tables: Tables, leg: Leg) -> bool:
    """Sends to the searcher that had dropped an idle connection.

    It is the same searcher, so this is no further attempt: also a route that
    allows one gets its answer, where it would end with a broken connection.
    It is counted as a second send, as a searcher that has the request and
    breaks off looks the same: uncounted, 244 were sent where 242 are allowed.
    """
    row = leg.asked[-1]
    if tables.searchers.get(row.searcher_id) is not row:
        return False
    if not choosing.is_usable(tables, row):
        return False
    if not coldstart.has_turn(tables, row):
        return False
    if leg.sends >= MOST_SENDS or tables.now >= leg.request.ends_at:
        return False
    tables.budget_of(leg.service).count(tables.now)
    leg.runs -= 1
    leg.asked.pop()
    _send_to(tables, leg, choosing.Choice(row, 0.0))
    return True


def _send_to_asked(tables: Tables, leg: Leg, outcome: Outcome) -> bool:
    """Falls back to searchers that were asked before, for lack of others."""
    if outcome not in (Outcome.NOT_RUN, Outcome.BROKEN, Outcome.ANSWERED):
        return False
    leg.asked.clear()
    return send(tables, leg)


def cancel(tables: Tables, attempt: Attempt) -> None:
    """Closes a send; what it took so far is learnt."""
    if tables.attempts.pop(attempt.attempt_id, None) is None:
        return
    attempt.searcher.attempts.pop(attempt.attempt_id, None)
    if attempt in attempt.leg.attempts:
        attempt.leg.attempts.remove(attempt)
    tables.out.append(CancelAttempt(attempt.attempt_id))
