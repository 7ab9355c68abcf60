"""Turns the result of a send into a message for the forward decider."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.aio.client import HttpFailure, HttpResponse
from greengagemoor.forward.messages import AttemptEnded, Outcome

if TYPE_CHECKING:
    from greengagemoor.serving.dialect import Dialect


def attempt_ended(
    attempt_id: int, result: HttpResponse | HttpFailure, dialect: Dialect
) -> AttemptEnded:
    """Returns the end of a send.

    Args:
        attempt_id: identifies the send.
        result: the searcher's answer, or why there is none.
        dialect: reads the answer.
    """
    if isinstance(result, HttpFailure):
        return AttemptEnded(
            attempt_id,
            Outcome.BROKEN if result.sent else Outcome.NOT_SENT,
            stale=result.stale,
            reason=result.reason,
            response_began=result.response_began,
        )
    info = dialect.read_answer(result)
    return AttemptEnded(
        attempt_id, info.outcome, info.answer, reason=info.reason
    )
