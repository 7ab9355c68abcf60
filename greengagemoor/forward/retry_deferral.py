"""Decides whether to resend a request after a searcher ended while running it.

A retry saves a harmless request whose searcher ended by chance, but ends one
more searcher if the request itself was the cause. An answer of a searcher of
another shard proves that the request is harmless, and takes only part of the
request's time. Retries therefore wait for the first answer while other sends
are in flight. A request during which several searchers ended is given up when
none of its sends is left, because no searcher has answered it.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import sending
from greengagemoor.forward.messages import Outcome

if TYPE_CHECKING:
    from greengagemoor.forward.messages import AttemptEnded
    from greengagemoor.forward.tables import Attempt, Leg, Request, Tables

GIVE_UP_ENDS = 2
"""A request is given up when so many searchers have ended while running it. One
sometimes ends by chance; that two do and none answers is rare."""


def record_end(attempt: Attempt, msg: AttemptEnded) -> None:
    """Records a searcher that seems to have ended while running a request.

    If an idle connection broke, the searcher may merely have closed it; it is
    counted only if it then can't be reached any more.
    """
    leg, searcher = attempt.leg, attempt.searcher
    if msg.outcome is Outcome.BROKEN and not msg.response_began:
        leg.broken_by = searcher
        ended = not msg.stale
    else:
        ended = msg.outcome is Outcome.NOT_SENT and leg.broken_by is searcher
    if ended:
        leg.request.ended_searchers |= {searcher.searcher_id}


def defer_retry(tables: Tables, leg: Leg, outcome: Outcome) -> None:
    """Defers a leg's retry until a searcher has answered its request."""
    request = leg.request
    request.deferred_legs.append((leg, outcome))
    if any(other.attempts for other in request.legs):
        at = tables.now + sending.hedge_delay(tables, request.route)
        tables.set_timer(at, partial(_stop_waiting, tables, request))
    else:
        _release_or_give_up(tables, request)


def _stop_waiting(tables: Tables, request: Request) -> None:
    """Stops waiting if all other shards are slow: one end is weak evidence."""
    if request.deferred_legs and not request.done:
        _release_or_give_up(tables, request)


def _release_or_give_up(tables: Tables, request: Request) -> None:
    if len(request.ended_searchers) < GIVE_UP_ENDS:
        send_deferred(tables, request)
    elif not any(leg.attempts for leg in request.legs):
        deferred, request.deferred_legs = request.deferred_legs, []
        for leg, _ in deferred:
            leg.give_up()


def send_deferred(tables: Tables, request: Request) -> None:
    """Sends the deferred retries."""
    deferred, request.deferred_legs = request.deferred_legs, []
    for leg, outcome in deferred:
        if not leg.is_open or leg.attempts:
            continue
        if not leg.sends:
            sending.enqueue(tables, leg)
        elif not sending.retry(tables, leg, outcome, stale=False):
            leg.give_up()
