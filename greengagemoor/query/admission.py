"""Whether a request may wait, and for how long it would."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code

if TYPE_CHECKING:
    from greengagemoor.document import RequestClass
    from greengagemoor.query.tables import ServiceRow


WAIT_MARGIN = 1.5
"""The wait is a mean: half of those admitted just at it would be late."""

WORK_MARGIN = 2.0
"""A query's own time is a mean too; the tail is about twice as long."""


@attrs.frozen
class Refusal:
    """Why a request is refused at once, and when to come back."""

    code: Code
    retry_after_s: float
    detail: str = ""


def expected_wait(service: ServiceRow, caller: str, priority: int) -> float:
    """Returns the seconds a new query of this caller would wait.

    By Little's law: ``running`` queries of ``query_time`` seconds each leave
    at running / query_time a second.
    """
    if not service.running:
        return 0.0
    ahead = service.queue.ahead_of(caller, priority)
    return ahead * service.query_time / service.running


def check_admission(
    service: ServiceRow, cls: RequestClass, caller: str, remaining: float
) -> Refusal | None:
    """Returns a refusal when waiting would pass the deadline.

    A queue without this rule fills with queries that will be late: all the
    work goes to answers that nobody waits for any more. One would see full
    searchers and almost no goodput.
    """
    if not service.running:
        # The expected times are learnt from queries that run. With none
        # running, a refusal would keep it so, for ever: after a slow time one
        # would see a service that refuses everybody beside idle searchers.
        return None
    wait = expected_wait(service, caller, cls.priority)
    needed = WAIT_MARGIN * wait + WORK_MARGIN * service.query_time
    if cls.refuse_late and needed > remaining:
        return Refusal(Code.NOT_RUN_DEADLINE, wait)
    if len(service.queue) >= cls.max_queue and not _can_displace(
        service, cls, caller
    ):
        return Refusal(Code.NOT_RUN_OVERLOAD, max(wait, service.query_time))
    return None


def _can_displace(service: ServiceRow, cls: RequestClass, caller: str) -> bool:
    victim = service.queue.newest_of_longest(cls.priority)
    return (
        victim is not None
        and cls.max_queue > 0
        and (
            victim.cls.priority < cls.priority
            or victim.request.caller != caller
        )
    )
