"""Ends all requests of an entry before its process ends."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import completion

if TYPE_CHECKING:
    from greengagemoor.forward.messages import ShutdownStarted
    from greengagemoor.forward.tables import Request, Tables

EXPECTED_OBJECTIVES = 3.0
"""Multiple of its latency objective within which a request is answered as a
rule, also by a slow searcher that has just started."""


def start(tables: Tables, msg: ShutdownStarted) -> None:
    """Limits the time of all running requests, and of those still to come."""
    tables.ends_at = msg.ends_at
    for request in tables.requests.values():
        if limit(tables, request):
            end = partial(completion.end_at_limit, tables, request)
            tables.set_timer(request.deadline, end)


def limit(tables: Tables, request: Request) -> bool:
    """Moves a deadline after the end of the process to that end.

    Returns:
        Whether it was moved.
    """
    if request.deadline <= tables.ends_at:
        return False
    request.deadline = tables.ends_at
    request.soft_deadline = min(request.soft_deadline, tables.ends_at)
    return True


def is_too_late(tables: Tables, request: Request) -> bool:
    """Whether a new request might still be running when the process ends.

    Another entry can serve it. Here its caller might learn only that the
    outcome is unknown, after the whole time that is left.
    """
    if request.deadline <= tables.ends_at:
        return False
    expected_s = EXPECTED_OBJECTIVES * request.route.objective_s
    return tables.now + expected_s > tables.ends_at
