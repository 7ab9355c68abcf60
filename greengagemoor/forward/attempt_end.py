"""Handles the end of sends, and updates the searchers' statistics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.forward import (
    admission_reports,
    evidence,
    retry_deferral,
    selection,
    sending,
)
from greengagemoor.forward.messages import (
    CloseIdle,
    Outcome,
    Step,
    StepKind,
)

SIZE_SMOOTHING = 0.05
"""Weight of the last answer in the smoothed size of a route's answers."""
FRAMING_BYTES = 100
"""Size of the status line, line ends and network headers of an answer."""

if TYPE_CHECKING:
    from greengagemoor.forward.messages import AttemptEnded, SearcherAnswer
    from greengagemoor.forward.tables import Attempt, Leg, Tables


def take_ended(tables: Tables, msg: AttemptEnded) -> Leg | None:
    """Handles the end of a send.

    Returns:
        Its leg, or None if the request has ended or the send is unknown.
    """
    attempt = tables.attempts.pop(msg.attempt_id, None)
    if attempt is None:
        return None
    leg, searcher = attempt.leg, attempt.searcher
    searcher.attempts.pop(msg.attempt_id, None)
    leg.attempts.remove(attempt)
    _add_step(tables, attempt, _end_text(msg))
    if msg.answer is not None and msg.answer.load is not None:
        selection.note_load(tables, searcher, msg.answer.load)
    admission_reports.note_send_end(tables, attempt, msg)
    _update_searcher(tables, attempt, msg)
    if not searcher.cap and tables.place is not None:
        # Its connections are assigned to other entries. While the place is not
        # known, a connection for each send would cost the searcher more.
        tables.out.append(CloseIdle(searcher.address))
    _update_evidence(tables, attempt, msg)
    if msg.outcome in (
        Outcome.NOT_RUN,
        Outcome.NOT_SENT,
        Outcome.WRONG_SEARCHER,
    ):
        leg.runs -= 1
    if msg.outcome is Outcome.ANSWERED:
        _take_answer(tables, attempt, msg.answer)
    elif msg.outcome is Outcome.BROKEN:
        leg.broken = True
    sending.send_queued(tables, leg.service)
    return None if leg.request.done else leg


def _end_text(msg: AttemptEnded) -> str:
    if msg.outcome is Outcome.ANSWERED:
        return str(msg.answer.status)
    stale = " on an idle connection" if msg.stale else ""
    return f"{msg.outcome.value}: {msg.reason}{stale}"


def _add_step(tables: Tables, attempt: Attempt, note: str) -> None:
    request = attempt.leg.request
    if request.done:
        return
    request.steps.append(
        Step(
            StepKind.ENDED,
            tables.now - request.arrived_at,
            attempt.leg.service,
            attempt.searcher.searcher_id,
            note=note,
        )
    )


def _update_evidence(
    tables: Tables, attempt: Attempt, msg: AttemptEnded
) -> None:
    """Updates the evidence on whether the request crashes searchers."""
    if msg.outcome is Outcome.ANSWERED:
        if tables.possible_crashes:
            evidence.discard_possible_crash(tables, attempt)
        if tables.suspects.changes and is_good(msg.answer):
            fingerprint = attempt.leg.request.fingerprint
            evidence.clear_suspect(tables, fingerprint)
        return
    retry_deferral.record_end(attempt, msg)
    if msg.outcome is Outcome.BROKEN and not msg.response_began:
        evidence.record_broken_send(tables, attempt)


def _take_answer(
    tables: Tables, attempt: Attempt, answer: SearcherAnswer
) -> None:
    leg = attempt.leg
    _update_size(tables, leg, answer)
    if not is_good(answer):
        leg.failure = answer
    elif leg.answer is None:
        leg.accept_answer(answer, attempt.searcher.searcher_id, tables.now)


def _update_size(tables: Tables, leg: Leg, answer: SearcherAnswer) -> None:
    """Updates the average size of the route's answers on this entry's link."""
    if leg.request.route.gather is None:
        return
    heads = sum(len(name) + len(value) for name, value in answer.headers)
    size = len(answer.body) + heads + FRAMING_BYTES
    average = tables.answer_bytes.get(leg.request.route.name, float(size))
    average += SIZE_SMOOTHING * (size - average)
    tables.answer_bytes[leg.request.route.name] = average


def is_good(answer: SearcherAnswer) -> bool:
    """Whether an answer is successful, signed, and not encoded."""
    return (
        200 <= answer.status < 300
        and bool(answer.signature)
        and answer.is_plain
    )


def _update_searcher(
    tables: Tables, attempt: Attempt, msg: AttemptEnded
) -> None:
    searcher = attempt.searcher
    if msg.outcome is Outcome.WRONG_SEARCHER:
        # Another process has the address now; this one has ended.
        searcher.avoid_until = float("inf")
    elif msg.outcome is Outcome.NOT_SENT:
        selection.note_failure(tables, searcher, unreachable=True)
    elif msg.outcome is Outcome.BROKEN:
        if not msg.stale:
            selection.note_failure(tables, searcher, unreachable=False)
    elif msg.outcome is Outcome.NOT_RUN:
        selection.note_refusal(tables, searcher)
    elif not is_good(msg.answer):
        selection.note_failure(tables, searcher, unreachable=False)
    else:
        note_time(tables, attempt)


def note_time(tables: Tables, attempt: Attempt) -> None:
    """Records the time of a send, or its time so far when it is cancelled."""
    times = tables.times_of(attempt.leg.request.route)
    elapsed = tables.now - attempt.sent_at
    ratio = elapsed / max(times.median, 0.0005)
    selection.note_answer(tables, attempt.searcher, ratio)
    times.note(elapsed)
