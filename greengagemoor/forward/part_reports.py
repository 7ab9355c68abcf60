"""Reports results of the shards that this entry queries for another entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.forward.mergers import GREATEST_RECORDS, mergers
from greengagemoor.forward.part_messages import (
    LegEnd,
    PartAnswered,
    PartClosed,
    ToPeer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.forward.tables import Leg, Request, Tables


def report_results(tables: Tables, request: Request) -> None:
    """Reports all results that were not reported yet, in one message.

    Answers are held, to be merged, until they are due: sent one by one, they
    would take as much of the asking entry's link as those of the searchers
    themselves. A shard without an answer is reported at once: if too many have
    none, the caller is notified early and has time to retry.
    """
    is_due = tables.now >= request.soft_deadline
    answered = [leg for leg in _unreported(request) if leg.answer is not None]
    failed = [leg for leg in _unreported(request) if leg.dead]
    if failed or (answered and is_due):
        msg = _merge_answers(request, answered if is_due else [])
        request.origin.reported.update(leg.service for leg in failed)
        _send(tables, request, attrs.evolve(msg, missing=_leg_ends(failed)))


def close(tables: Tables, request: Request, *, wanted: bool) -> None:
    """Ends a part (the shards queried for another entry) and reports the rest.

    Args:
        tables: the tables.
        request: the part.
        wanted: whether the asking entry still waits for the results.
    """
    origin = request.origin
    tables.origins.pop((origin.peer, origin.part_id), None)
    if wanted:
        _send(tables, request, _final_message(request))
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


def _final_message(request: Request) -> PartAnswered:
    rest = _unreported(request)
    merged = _merge_answers(
        request, [leg for leg in rest if leg.answer is not None]
    )
    missing = _leg_ends(leg for leg in rest if leg.answer is None)
    return attrs.evolve(merged, over=True, missing=missing, sends=request.sends)


def _unreported(request: Request) -> list[Leg]:
    reported = request.origin.reported
    return [leg for leg in request.legs if leg.service not in reported]


def _leg_ends(legs: Iterable[Leg]) -> tuple[LegEnd, ...]:
    return tuple(LegEnd(leg.service, leg.runs) for leg in legs)


def _merge_answers(request: Request, legs: list[Leg]) -> PartAnswered:
    merge = mergers.get(GREATEST_RECORDS)
    request.origin.reported.update(leg.service for leg in legs)
    return PartAnswered(
        request.origin.part_id,
        tuple(leg.service for leg in legs),
        tuple(leg.answer.signature for leg in legs),
        merge((leg.answer.body for leg in legs), request.route.gather.top),
    )


def _send(tables: Tables, request: Request, msg: PartAnswered) -> None:
    tables.out.append(ToPeer(request.origin.peer, msg))
