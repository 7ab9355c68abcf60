"""Receives and runs the parts of queries that other entries delegate."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import completion, evidence, first_sends, trial_table
from greengagemoor.forward.messages import Ending
from greengagemoor.forward.part_messages import (
    AskPart,
    FromPeer,
    PartAnswered,
    PartConfirmed,
    PartDropped,
    PartOpened,
    PartTaken,
    PeerDown,
    ToPeer,
)
from greengagemoor.forward.parts import Origin
from greengagemoor.forward.tables import Leg, Request
from greengagemoor.routing.routes import Gather, Grade, Route

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.forward.tables import Tables


def filter_dropped(msgs: Iterable[object]) -> list[object]:
    """Filters out parts that are requested and dropped in the same tick.

    An entry that was frozen reads both messages when it resumes; without the
    filter its searchers would receive requests whose callers left long ago.
    """
    msgs = list(msgs)
    dropped = {
        (msg.name, msg.payload.part_id)
        for msg in msgs
        if isinstance(msg, FromPeer) and isinstance(msg.payload, PartDropped)
    }
    gone = {msg.name for msg in msgs if isinstance(msg, PeerDown)}
    if not dropped and not gone:
        return msgs
    return [msg for msg in msgs if not _is_obsolete(msg, dropped, gone)]


def _is_obsolete(
    msg: object, dropped: set[tuple[str, int]], gone: set[str]
) -> bool:
    if not isinstance(msg, FromPeer) or not isinstance(msg.payload, AskPart):
        return False
    return msg.name in gone or (msg.name, msg.payload.part_id) in dropped


def accept_part(tables: Tables, peer: str, msg: AskPart) -> None:
    """Queries some shards for another entry, or rejects the part at once."""
    if (peer, msg.part_id) in tables.origins:
        return
    if not _may_accept(tables, msg):
        refused = PartAnswered(msg.part_id, over=True, refused=True)
        tables.out.append(ToPeer(peer, refused))
        return
    request = _open_part(tables, peer, msg)
    tables.requests[request.token] = request
    tables.origins[(peer, msg.part_id)] = request
    tables.out.append(PartOpened(request.token, msg.copy))
    tables.out.append(ToPeer(peer, PartTaken(msg.part_id)))
    first_sends.start(tables, request)
    if not request.done:
        check = partial(completion.check, tables, request)
        tables.set_timer(request.soft_deadline, check)
        end = partial(completion.end_at_limit, tables, request)
        tables.set_timer(request.deadline, end)


def _may_accept(tables: Tables, msg: AskPart) -> bool:
    """Whether this entry is ready, and the request in time and not suspect."""
    if not tables.accepts_parts or msg.end_in_s <= 0:
        return False
    if trial_table.is_refused(tables, msg.fingerprint):
        return False
    return not evidence.is_suspect(tables, msg.fingerprint)


def _open_part(tables: Tables, peer: str, msg: AskPart) -> Request:
    now = tables.now
    route = Route(
        name=msg.route,
        host="",
        prefix="",
        grade=Grade.REPEATABLE,
        time_limit_s=msg.end_in_s,
        objective_s=msg.objective_s,
        rank=msg.rank,
        attempts=msg.attempts,
        gather=Gather(msg.services, msg.top, 0.0),
    )
    request = Request(
        token=-next(tables.ids),
        request_id=msg.request_id,
        route=route,
        arrived_at=now,
        soft_deadline=now + msg.give_in_s,
        deadline=now + msg.end_in_s,
        fingerprint=msg.fingerprint,
        origin=Origin(peer, msg.part_id),
        is_confirmed=False,
    )
    request.legs = [Leg(request, name) for name in msg.services]
    return request


def allow_second_sends(tables: Tables, peer: str, msg: PartConfirmed) -> None:
    """Allows retries and hedges for the shards of a part."""
    request = tables.origins.get((peer, msg.part_id))
    if request is not None:
        request.is_confirmed = True


def end_dropped_part(tables: Tables, peer: str, msg: PartDropped) -> None:
    """Ends a part that is no longer wanted."""
    request = tables.origins.get((peer, msg.part_id))
    if request is not None:
        _drop_part(tables, request, answered=msg.answered)


def end_parts_of(tables: Tables, peer: str) -> None:
    """Ends all parts of an entry whose link is down."""
    orphaned = [
        request for (name, _), request in tables.origins.items() if name == peer
    ]
    for request in orphaned:
        _drop_part(tables, request, answered=False)


def _drop_part(tables: Tables, request: Request, *, answered: bool) -> None:
    # If the caller has its answer, sends in flight may linger for a while.
    request.is_dropped = True
    ending = Ending.PARTIAL if answered else Ending.CALLER_GONE
    completion.finish(tables, request, ending)
