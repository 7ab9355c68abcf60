"""Reports answers, sheds and the ends of requests to admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.admission.messages import Load
from greengagemoor.forward.messages import Ending, Outcome

if TYPE_CHECKING:
    from greengagemoor.forward.messages import AttemptEnded
    from greengagemoor.forward.tables import Attempt, Request, Tables


def note_send_end(tables: Tables, attempt: Attempt, msg: AttemptEnded) -> None:
    """Reports the answer to a send, or that it was shed."""
    if tables.admission is None:
        return
    load = None
    if msg.answer is not None and msg.answer.load is not None:
        reported = msg.answer.load
        load = Load(reported.running, reported.waiting, reported.slots)
    service = attempt.leg.service
    searcher_id = attempt.searcher.searcher_id
    if msg.outcome is Outcome.ANSWERED:
        took_s = tables.now - attempt.sent_at
        tables.admission.note_answer(
            tables.now, service, searcher_id, took_s, load
        )
    elif msg.outcome is Outcome.NOT_RUN:
        tables.admission.note_shed(tables.now, service, searcher_id, load)


def note_request_end(tables: Tables, request: Request, ending: Ending) -> None:
    """Reports the time of an answered request."""
    if request.offer is not None and ending in (
        Ending.ANSWERED,
        Ending.PARTIAL,
    ):
        elapsed_s = tables.now - request.arrived_at
        tables.admission.note_end(tables.now, request.offer, elapsed_s)
