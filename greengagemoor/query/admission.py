"""Whether a request may wait, and for how long it would."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code

if TYPE_CHECKING:
    from greengagemoor.document import RequestClass
    from greengagemoor.query.tables import ServiceRow


@attrs.frozen
class Refusal:
    """Why a request is refused at once, and when to come back."""

    code: Code
    retry_after_s: float


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
    wait = expected_wait(service, caller, cls.priority)
    if cls.refuse_late and wait + service.query_time > remaining:
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
