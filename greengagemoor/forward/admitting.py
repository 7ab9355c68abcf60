"""Consults admission control about requests that have just arrived."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from greengagemoor.admission.messages import Offer
from greengagemoor.forward import completion
from greengagemoor.forward.messages import Ending, Step, StepKind

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Request, Tables


def refuse(tables: Tables, request: Request) -> bool:
    """Refuses a request of which nothing was sent, if capacity is short.

    Returns:
        Whether it was refused.
    """
    if tables.admission is None:
        return False
    request.offer = _offer(tables, request)
    rejection = tables.admission.decide(tables.now, request.offer)
    if rejection is None:
        return False
    after_s = tables.now - request.arrived_at
    request.steps.append(
        Step(StepKind.REFUSED, after_s, "", note=rejection.reason)
    )
    request.retry_after_s = rejection.retry_after_s
    completion.finish(tables, request, Ending.NOT_RUN_OVERLOAD)
    return True


def _offer(tables: Tables, request: Request) -> Offer:
    least = 1
    gather = request.route.gather
    if gather is not None:
        required = gather.least_coverage * len(request.legs)
        least = max(1, math.ceil(required - completion.EPSILON))
    return Offer(
        route=request.route.name,
        services=tuple(leg.service for leg in request.legs),
        rank=request.rank,
        left_s=request.soft_deadline - tables.now,
        wait_s=request.deadline - tables.now,
        account="" if request.account is None else request.account.name,
        waited_s=request.waited_s,
        least_answers=least,
    )
