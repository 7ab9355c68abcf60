"""Admission control: rejects requests that would miss their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code

if TYPE_CHECKING:
    from greengagemoor.document import RequestClass
    from greengagemoor.query.tables import ServiceRow


WAIT_SAFETY_FACTOR = 1.5
"""Factor on the expected wait, a mean that about half of the waits exceed."""

QUERY_TIME_SAFETY_FACTOR = 2.0
"""Factor on the mean query time; the tail is about twice as long."""


@attrs.frozen
class Rejection:
    """Why a request is rejected at once, and after how long to retry."""

    code: Code
    retry_after_s: float
    detail: str = ""


def expected_wait(service: ServiceRow, caller: str, priority: int) -> float:
    """Returns the seconds a new query of this caller would wait.

    By Little's law, ``running`` queries of ``mean_query_time_s`` seconds each
    complete at a rate of running / mean_query_time_s per second.
    """
    if not service.running:
        return 0.0
    ahead = service.queue.count_ahead(caller, priority)
    return ahead * service.mean_query_time_s / service.running


def check_admission(
    service: ServiceRow, cls: RequestClass, caller: str, remaining: float
) -> Rejection | None:
    """Returns a rejection if the wait is too long or the queue is full.

    Without the deadline check, the queue fills with queries that will be late:
    searchers are fully loaded with answers that no caller waits for any more,
    and goodput is close to zero.
    """
    if not service.running:
        # The expected times are estimated from running queries. With none
        # running, a rejection would leave the estimate unchanged: after a slow
        # period the service would reject every request while searchers idle.
        return None
    wait = expected_wait(service, caller, cls.priority)
    needed = (
        WAIT_SAFETY_FACTOR * wait
        + QUERY_TIME_SAFETY_FACTOR * service.mean_query_time_s
    )
    if cls.refuse_late and needed > remaining:
        return Rejection(Code.NOT_RUN_DEADLINE, wait)
    if len(service.queue) >= cls.max_queue and not _can_displace(
        service, cls, caller
    ):
        return Rejection(
            Code.NOT_RUN_OVERLOAD, max(wait, service.mean_query_time_s)
        )
    return None


def _can_displace(service: ServiceRow, cls: RequestClass, caller: str) -> bool:
    victim = service.queue.displacement_candidate(cls.priority)
    return (
        victim is not None
        and cls.max_queue > 0
        and (
            victim.request_class_rules.priority < cls.priority
            or victim.request.caller != caller
        )
    )
