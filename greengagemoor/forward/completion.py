"""Decides when a request ends, and with which answer."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import (
    admission_reports,
    attempt_end,
    part_reports,
    parts,
    retry_deferral,
    sending,
)
from greengagemoor.forward.mergers import GREATEST_RECORDS, mergers
from greengagemoor.forward.messages import (
    Ending,
    Merged,
    Outcome,
    Respond,
)

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Leg, Request, Tables

EPSILON = 1e-9
"""Tolerance of the comparison of shard counts, for rounding errors."""
TRIAL_LINGER_S = 2.0
"""Seconds for which the send of a trial goes on after its request has ended; a
trial without an answer is decided after that time at most."""
RETRY_AFTER_S = {
    Ending.NOT_RUN_NO_SEARCHER: 0.25,
    Ending.NOT_RUN_BUSY: 0.1,
    Ending.NOT_RUN_REFUSED: 0.1,
    Ending.NOT_RUN_DEADLINE: 0.0,
    Ending.NOT_RUN_SUSPECT: 0.3,
    Ending.NOT_RUN_QUARANTINED: 60.0,
    Ending.NOT_RUN_LEAVING: 0.01,
}
"""Seconds after which a caller should retry, for endings with a fixed time; the
admission controller chooses that of ``NOT_RUN_OVERLOAD``. A searcher restarts
in about the time of its longest pauses, and a queue drains in the time of a few
requests. Another entry can serve what one that is shutting down rejects."""


def check(tables: Tables, request: Request) -> None:
    """Ends a request if its outcome is certain or it is due."""
    if request.done:
        return
    if request.origin is not None:
        _check_part(tables, request)
    elif request.route.gather is None:
        _check_single(tables, request)
    else:
        _check_gather(tables, request)


def _check_single(tables: Tables, request: Request) -> None:
    leg = request.legs[0]
    if leg.answer is not None:
        finish(tables, request, Ending.ANSWERED)
    elif leg.dead and leg.failure is not None:
        finish(tables, request, Ending.SEARCHER_FAILED)
    elif leg.dead:
        finish(tables, request, _ending_without_answer(leg))


def _ending_without_answer(leg: Leg) -> Ending:
    """Returns the ending of a leg without an answer.

    *Not run* only if it is certain that no searcher ran the request.
    """
    if leg.broken or leg.runs > 0:
        return Ending.BROKEN
    if leg.sends:
        return Ending.NOT_RUN_REFUSED
    return Ending.NOT_RUN_NO_SEARCHER


def _check_gather(tables: Tables, request: Request) -> None:
    if not request.is_open or (
        tables.now >= request.soft_deadline
        and is_coverage_reached(request, request.answered)
    ):
        _finish_gather(tables, request)
    elif _is_coverage_impossible(request):
        finish(tables, request, Ending.BELOW_COVERAGE)


def _check_part(tables: Tables, request: Request) -> None:
    if request.is_open:
        part_reports.report_results(tables, request)
    else:
        finish(tables, request, Ending.PARTIAL)


def is_coverage_reached(request: Request, answered: int) -> bool:
    """Whether that many answered shards reach the required coverage."""
    required = request.route.gather.least_coverage * len(request.legs)
    return answered > 0 and answered >= required - EPSILON


def _is_coverage_impossible(request: Request) -> bool:
    possible = len(request.legs) - request.given_up
    return not is_coverage_reached(request, possible)


def _finish_gather(tables: Tables, request: Request) -> None:
    if not is_coverage_reached(request, request.answered):
        ran = any(leg.runs > 0 or leg.broken for leg in request.legs)
        ending = Ending.BELOW_COVERAGE if ran else Ending.NOT_RUN_REFUSED
        finish(tables, request, ending)
    elif request.answered == len(request.legs):
        finish(tables, request, Ending.ANSWERED)
    else:
        finish(tables, request, Ending.PARTIAL)


def end_at_limit(tables: Tables, request: Request) -> None:
    """Ends a request whose time is up, with the answers so far."""
    if request.done:
        return
    if request.origin is not None:
        finish(tables, request, Ending.NO_ANSWER)
    elif request.route.gather is not None and is_coverage_reached(
        request, request.answered
    ):
        finish(tables, request, Ending.PARTIAL)
    elif request.sends:
        finish(tables, request, Ending.NO_ANSWER)
    else:
        finish(tables, request, unsent_ending(request))


def unsent_ending(request: Request) -> Ending:
    """Returns the ending of a request that was never sent."""
    held = request.is_held
    return Ending.NOT_RUN_SUSPECT if held else Ending.NOT_RUN_BUSY


def finish(tables: Tables, request: Request, ending: Ending) -> None:
    """Sends the final answer.

    Sends still under way are cancelled, at once or after ``_linger_s``.
    """
    request.done = True
    tables.requests.pop(request.token, None)
    admission_reports.note_request_end(tables, request, ending)
    answered = ending in (Ending.ANSWERED, Ending.PARTIAL)
    parts.drop_all(tables, request, answered=answered)
    if request.origin is not None:
        part_reports.close(tables, request, wanted=not request.is_dropped)
    elif ending is not Ending.CALLER_GONE:
        tables.out.append(_respond(tables, request, ending))
    linger_s = _linger_s(tables, request, ending)
    for leg in request.legs:
        for attempt in list(leg.attempts):
            if linger_s:
                at = tables.now + linger_s
                callback = partial(_cancel_lingering, tables, attempt)
                tables.set_timer(at, callback)
            else:
                sending.cancel(tables, attempt)


def _linger_s(tables: Tables, request: Request, ending: Ending) -> float:
    """Returns the seconds after which remaining sends are cancelled."""
    if request.is_trial:
        # All entries wait for the result of the trial.
        return TRIAL_LINGER_S
    if ending in (Ending.ANSWERED, Ending.PARTIAL):
        # The connection of a send that is answered within this time can be
        # kept.
        return tables.policy.linger_s
    return 0.0


def _cancel_lingering(tables: Tables, attempt) -> None:
    if attempt.attempt_id in tables.attempts:
        attempt_end.note_time(tables, attempt)
        sending.cancel(tables, attempt)


def _respond(tables: Tables, request: Request, ending: Ending) -> Respond:
    gather = request.route.gather
    answer = None
    merged = None
    if gather is None:
        leg = request.legs[0] if request.legs else None
        answer = (leg.answer or leg.failure) if leg else None
    elif ending in (Ending.ANSWERED, Ending.PARTIAL):
        merged = _merge(request)
    return Respond(
        token=request.token,
        request_id=request.request_id,
        route=request.route,
        ending=ending,
        elapsed_s=tables.now - request.arrived_at,
        sends=request.sends + request.helper_sends,
        answer=answer,
        merged=merged,
        retry_after_s=RETRY_AFTER_S.get(ending, request.retry_after_s),
        detail=_describe(request),
        steps=tuple(request.steps),
        due_at=tables.due_at,
        fingerprint=request.fingerprint,
    )


def _merge(request: Request) -> Merged:
    good = [leg.answer for leg in request.legs if leg.answer is not None]
    merge = mergers.get(GREATEST_RECORDS)
    return Merged(
        body=merge((a.body for a in good), request.route.gather.top),
        signatures=tuple(answer.signature for answer in good),
        missing=len(request.legs) - len(good),
    )


def _describe(request: Request) -> str:
    """Returns log text: services without an answer, and the last to answer."""
    missing = (leg for leg in request.legs if leg.answer is None)
    words = [f"{leg.service}:{_leg_state(leg)}" for leg in missing]
    answered = [leg for leg in request.legs if leg.answer is not None]
    if answered:
        last = max(answered, key=lambda leg: leg.answered_at)
        after = 1000 * (last.answered_at - request.arrived_at)
        words.append(f"{last.service}:{last.answered_by}+{after:.0f}ms")
    return ",".join(words)


def _leg_state(leg: Leg) -> str:
    if leg.waiting:
        return "waits"
    if leg.attempts:
        asked = "+".join(a.searcher.searcher_id for a in leg.attempts)
        return f"late/{asked}"
    if leg.helper:
        return f"at/{leg.helper}"
    if leg.failure is not None:
        return f"failed{leg.failure.status}"
    if leg.broken:
        return "broken"
    return "refused" if leg.sends else "none"


def end_leg(tables: Tables, leg: Leg, outcome: Outcome, *, stale: bool) -> None:
    """Retries a leg after its send ended, or gives it up."""
    request = leg.request
    if leg.answer is not None:
        retry_deferral.send_deferred(tables, request)
    elif request.needs_first_answer and not (leg.attempts or leg.waiting):
        # A closed idle connection is no sign that the request crashed its
        # searcher.
        if not (stale and sending.resend_after_stale(tables, leg)):
            retry_deferral.defer_retry(tables, leg, outcome)
    elif not sending.retry(tables, leg, outcome, stale=stale):
        leg.give_up()
    check(tables, request)
