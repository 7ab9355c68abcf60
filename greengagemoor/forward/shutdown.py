"""Ends all requests of an entry before its process ends."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import completion

if TYPE_CHECKING:
    from greengagemoor.forward.messages import ShutdownStarted
    from greengagemoor.forward.tables import Request, Tables

FIT_QUANTILE = 0.95
"""Quantile of a route's response times that must fit into the time left. A
caller that is rejected loses a round trip; one that gets no answer loses more,
and does not know whether its request has run."""


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
    """Whether a new request is not expected to end before the process does.

    Another entry can serve it.
    """
    if request.deadline <= tables.ends_at:
        return False
    needed_s = tables.times_of(request.route).quantile(FIT_QUANTILE)
    return tables.now + needed_s > tables.ends_at
