"""Refusals by the quota gate, and the answers to their callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.forward.messages import Ending, Respond, Step, StepKind
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.forward.messages import Arrived


@values.frozen
class QuotaRejected:
    """A request that is refused; it has not run.

    Attributes:
        msg: the request.
        held_s: seconds since it arrived.
        over_quota: True if the account has no token left, False if no control
            instance could tell.
        retry_after_s: seconds after which the caller should retry.
    """

    msg: Arrived
    held_s: float
    over_quota: bool
    retry_after_s: float


def build_answer(now: float, rejected: QuotaRejected) -> Respond:
    """Returns the answer to the caller of a refused request."""
    msg = rejected.msg
    over = rejected.over_quota
    return Respond(
        token=msg.token,
        request_id=msg.request_id,
        route=msg.route,
        ending=Ending.NOT_RUN_QUOTA if over else Ending.NOT_RUN_NO_QUOTA,
        elapsed_s=rejected.held_s,
        sends=0,
        retry_after_s=rejected.retry_after_s,
        detail=f"account:{msg.account.name}",
        steps=(Step(StepKind.QUOTA, rejected.held_s, ""),),
        due_at=now,
        fingerprint=msg.fingerprint,
    )
