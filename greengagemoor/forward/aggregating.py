"""What an entry tells of shards that it asks for another entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.forward.mergers import GREATEST_RECORDS, mergers
from greengagemoor.forward.partmessages import (
    LegEnd,
    PartAnswered,
    PartClosed,
    ToPeer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.forward.tables import Leg, Request, Tables


def tell(tables: Tables, request: Request) -> None:
    """Tells what was not told yet, in one message.

    Before they are due answers wait for each other: told one by one, they
    would take as much of the asking entry's link as from the searchers. That
    a shard will have none is told at once: where too many have none, a caller
    that hears of it soon has time for another try.
    """
    is_due = tables.now >= request.give_at
    answered = [leg for leg in _untold(request) if leg.answer is not None]
    dead = [leg for leg in _untold(request) if leg.dead]
    if dead or (answered and is_due):
        msg = _merged(request, answered if is_due else [])
        request.origin.told.update(leg.service for leg in dead)
        _send(tables, request, attrs.evolve(msg, missing=_ends(dead)))


def close(tables: Tables, request: Request, *, wanted: bool) -> None:
    """Ends a part.

    Args:
        tables: the tables.
        request: the part.
        wanted: whether the asking entry still waits for it.
    """
    origin = request.origin
    tables.origins.pop((origin.peer, origin.part_id), None)
    if wanted:
        _send(tables, request, _last(request))
    tables.out.append(
        PartClosed(
            request.token,
            request.request_id,
            request.route.name,
            origin.peer,
            shards=len(request.legs),
            answered=request.answered,
            sends=request.sends,
            elapsed_s=tables.now - request.arrived_at,
        )
    )


def _last(request: Request) -> PartAnswered:
    untold = _untold(request)
    merged = _merged(request, [leg for leg in untold if leg.answer is not None])
    missing = _ends(leg for leg in untold if leg.answer is None)
    return attrs.evolve(merged, over=True, missing=missing, sends=request.sends)


def _untold(request: Request) -> list[Leg]:
    told = request.origin.told
    return [leg for leg in request.legs if leg.service not in told]


def _ends(legs: Iterable[Leg]) -> tuple[LegEnd, ...]:
    return tuple(LegEnd(leg.service, leg.runs) for leg in legs)


def _merged(request: Request, legs: list[Leg]) -> PartAnswered:
    merge = mergers.get(GREATEST_RECORDS)
    request.origin.told.update(leg.service for leg in legs)
    return PartAnswered(
        request.origin.part_id,
        tuple(leg.service for leg in legs),
        tuple(leg.answer.signature for leg in legs),
        merge((leg.answer.body for leg in legs), request.route.gather.top),
    )


def _send(tables: Tables, request: Request, msg: PartAnswered) -> None:
    tables.out.append(ToPeer(request.origin.peer, msg))
