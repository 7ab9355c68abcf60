"""Sends a leg's request to searchers: first sends, retries and hedges."""

from __future__ import annotations

import heapq
from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import cold_start, selection
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

MAX_SENDS = 5
"""Maximum sends of one leg, those that never ran included."""
MIN_HEDGE_DELAY_S = 0.004
"""Least delay of a hedge in seconds: before a network round trip has passed, no
answer can be late."""
RECHECK_INTERVAL_S = 0.01
"""Interval in seconds at which waiting legs check for a free connection, and
late ones for budget; a tenth of the time that a request usually takes."""


def send(tables: Tables, leg: Leg, *, hedge: bool = False) -> bool:
    """Sends to the cheapest searcher with a free connection.

    Returns:
        False if no searcher is available.
    """
    choice = selection.choose(tables, leg)
    if choice is None:
        return False
    _send_to(tables, leg, choice, hedge=hedge)
    return True


def _send_to(
    tables: Tables, leg: Leg, choice: selection.Choice, *, hedge: bool = False
) -> None:
    searcher = choice.searcher
    request = leg.request
    request.steps.append(_sent_step(tables, leg, choice, hedge=hedge))
    attempt = Attempt(
        next(tables.ids), leg, searcher, tables.now, is_hedge=hedge
    )
    tables.attempts[attempt.attempt_id] = attempt
    searcher.attempts[attempt.attempt_id] = attempt
    searcher.sent_at = tables.now
    if not leg.sends:
        leg.first_sent_at = tables.now
    leg.attempts.append(attempt)
    leg.tried.append(searcher)
    leg.runs += 1
    leg.sends += 1
    tables.out.append(
        StartAttempt(
            attempt.attempt_id,
            request.token,
            request.request_id,
            searcher.searcher_id,
            searcher.address,
            request.deadline,
        )
    )
    if request.route.grade is Grade.REPEATABLE:
        _arm_hedge(tables, leg)


def _sent_step(
    tables: Tables, leg: Leg, choice: selection.Choice, *, hedge: bool
) -> Step:
    chosen = choice.searcher
    return Step(
        StepKind.SENT_BESIDE if hedge else StepKind.SENT,
        tables.now - leg.request.arrived_at,
        leg.service,
        chosen.searcher_id,
        cost=choice.cost,
        own=len(chosen.attempts),
        others=chosen.others,
        load_age_s=tables.now - chosen.load_at,
    )


def enqueue(tables: Tables, leg: Leg) -> None:
    """Queues a leg until a searcher has a free connection, by route rank.

    Absorbs bursts: without the queue each leg beyond the free connections
    would be missing from its answer, even if one is free a millisecond later.
    """
    if leg.waiting:
        return
    leg.waiting = True
    after = tables.now - leg.request.arrived_at
    leg.request.steps.append(Step(StepKind.WAITS, after, leg.service))
    queue = tables.waiting.setdefault(leg.service, [])
    item = (leg.request.rank, next(tables.ids), leg)
    heapq.heappush(queue, item)
    if len(queue) == 1:
        _arm_queue_timer(tables, leg.service)


def _arm_queue_timer(tables: Tables, service: str) -> None:
    at = tables.now + RECHECK_INTERVAL_S
    tables.set_timer(at, partial(_serve_queue_on_timer, tables, service))


def _serve_queue_on_timer(tables: Tables, service: str) -> None:
    send_queued(tables, service)
    if tables.waiting.get(service):
        _arm_queue_timer(tables, service)


def send_queued(tables: Tables, service: str) -> None:
    """Sends queued legs of the service while connections are free."""
    queue = tables.waiting.get(service)
    while queue:
        leg = queue[0][2]
        request = leg.request
        wanted = leg.is_open and not leg.attempts and not request.done
        if wanted and request.needs_first_answer:
            # Searchers seem to have ended while running this request. Until
            # one has answered it, sending it might end another.
            request.deferred_legs.append((leg, Outcome.NOT_RUN))
        elif wanted and not send(tables, leg):
            return
        heapq.heappop(queue)
        leg.waiting = False


def hedge_delay(tables: Tables, route: Route) -> float:
    """Returns the seconds after which a send on the route is hedged."""
    times = tables.times_of(route)
    quantile = times.quantile(tables.policy.hedge_quantile)
    max_delay = tables.policy.hedge_medians * times.median
    return max(min(quantile, max_delay), MIN_HEDGE_DELAY_S)


def _arm_hedge(tables: Tables, leg: Leg) -> None:
    request = leg.request
    at = tables.now + hedge_delay(tables, request.route)
    tables.set_timer(at, partial(_hedge, tables, leg, leg.sends))


def _hedge(tables: Tables, leg: Leg, sends: int) -> None:
    """Sends a hedge beside a late send, or checks again later.

    Each searcher pauses from time to time, and a pause in one of a query's
    shards delays the whole answer. Both sends run until one is answered.
    """
    request = leg.request
    if request.done or not leg.is_open or leg.sends != sends:
        return
    if not _has_attempts_left(tables, leg) or request.is_trial:
        return
    budget = tables.budget_of(leg.service)
    if (
        request.needs_first_answer
        or not request.is_confirmed
        or not budget.may_take(tables.now)
        or not send(tables, leg, hedge=True)
    ):
        at = tables.now + RECHECK_INTERVAL_S
        tables.set_timer(at, partial(_hedge, tables, leg, sends))
    else:
        budget.take(tables.now)


def may_send_more(tables: Tables, leg: Leg) -> bool:
    """Whether the leg may be sent to one more searcher now."""
    if leg.runs and not leg.request.is_confirmed:
        return False
    return _has_attempts_left(tables, leg)


def _has_attempts_left(tables: Tables, leg: Leg) -> bool:
    request = leg.request
    return (
        leg.runs < request.route.attempts
        and leg.sends < MAX_SENDS
        and tables.now < request.deadline
    )


def retry(tables: Tables, leg: Leg, outcome: Outcome, *, stale: bool) -> bool:
    """Retries a leg after a send that ended without a good answer.

    Returns:
        Whether the leg is still open: retried, queued, or with another send
        under way.
    """
    if leg.attempts or leg.waiting:
        return True
    if leg.broken and leg.request.route.grade is not Grade.REPEATABLE:
        return False
    if outcome is Outcome.ANSWERED and (
        leg.request.route.grade is not Grade.REPEATABLE
    ):
        return False
    if stale and resend_after_stale(tables, leg):
        return True
    if not may_send_more(tables, leg):
        return False
    if not _may_retry(tables, leg, outcome, stale=stale):
        return False
    if send(tables, leg):
        return True
    return _send_to_tried(tables, leg, outcome)


def _may_retry(
    tables: Tables, leg: Leg, outcome: Outcome, *, stale: bool
) -> bool:
    """Whether the budget allows a retry; counts it.

    If nothing was sent, it is not counted. If an idle connection broke, it is
    allowed even if the budget is used up.
    """
    if outcome is Outcome.NOT_SENT:
        return True
    budget = tables.budget_of(leg.service)
    if stale:
        budget.count(tables.now)
        return True
    return budget.take(tables.now)


def resend_after_stale(tables: Tables, leg: Leg) -> bool:
    """Sends again to a searcher that had closed an idle connection.

    As it is the same searcher, this is no further attempt: a route that allows
    one attempt gets an answer too, instead of a broken connection. It counts
    against the retry budget, because a searcher that received the request and
    reset the connection looks the same: uncounted, such retries would exceed
    the budget (244 sends where 242 are allowed).
    """
    searcher = leg.tried[-1]
    if tables.searchers.get(searcher.searcher_id) is not searcher:
        return False
    if not selection.is_usable(tables, searcher):
        return False
    if not cold_start.is_within_rate(tables, searcher):
        return False
    if leg.sends >= MAX_SENDS or tables.now >= leg.request.deadline:
        return False
    tables.budget_of(leg.service).count(tables.now)
    leg.runs -= 1
    leg.tried.pop()
    _send_to(tables, leg, selection.Choice(searcher, 0.0))
    return True


def _send_to_tried(tables: Tables, leg: Leg, outcome: Outcome) -> bool:
    """Retries at searchers tried before, as no other one is available."""
    if outcome not in (Outcome.NOT_RUN, Outcome.BROKEN, Outcome.ANSWERED):
        return False
    leg.tried.clear()
    return send(tables, leg)


def cancel(tables: Tables, attempt: Attempt) -> None:
    """Cancels a send that is under way."""
    if tables.attempts.pop(attempt.attempt_id, None) is None:
        return
    attempt.searcher.attempts.pop(attempt.attempt_id, None)
    if attempt in attempt.leg.attempts:
        attempt.leg.attempts.remove(attempt)
    tables.out.append(CancelAttempt(attempt.attempt_id))
