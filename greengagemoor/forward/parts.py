"""State of queries whose shards are shared among entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.forward.part_messages import PartDropped, ToPeer
from greengagemoor.forward.timing import Slowness

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Leg, Request, Tables


@attrs.define(eq=False, repr=False)
class Helper:
    """Another entry to which parts of a query may be delegated.

    Attributes:
        running: parts of this entry in progress there.
        failures: consecutive parts that it did not acknowledge in time.
        avoid_until: it is not asked before.
        slowness: time of its parts relative to the usual time of parts.
    """

    name: str
    running: int = 0
    failures: int = 0
    avoid_until: float = float("-inf")
    slowness: Slowness = attrs.field(factory=Slowness)


@attrs.define(eq=False, repr=False)
class Part:
    """Shards of one query that are delegated to a helper.

    Attributes:
        legs: legs by service.
        is_acknowledged: whether the helper has acknowledged the part.
    """

    part_id: int
    request: Request
    helper: Helper
    legs: dict[str, Leg]
    asked_at: float
    is_acknowledged: bool = False


@attrs.define(eq=False, repr=False)
class Origin:
    """The entry on whose behalf this one queries some shards.

    Attributes:
        peer: name of that entry.
        part_id: id of the part at that entry.
        reported: services whose answer, or end without one, has been reported.
    """

    peer: str
    part_id: int
    reported: set[str] = attrs.field(factory=set)


def close(tables: Tables, part: Part) -> None:
    """Removes a part; later messages of its helper about it are ignored."""
    if tables.parts.pop(part.part_id, None) is not None:
        part.helper.running -= 1


def drop(tables: Tables, part: Part, *, answered: bool) -> None:
    """Removes a part and notifies its helper that it is no longer wanted."""
    close(tables, part)
    msg = PartDropped(part.part_id, answered)
    tables.out.append(ToPeer(part.helper.name, msg))


def drop_all(tables: Tables, request: Request, *, answered: bool) -> None:
    """Drops the parts of a request that has its final answer."""
    if not request.is_shared:
        return
    open_parts = [p for p in tables.parts.values() if p.request is request]
    for part in open_parts:
        drop(tables, part, answered=answered)
