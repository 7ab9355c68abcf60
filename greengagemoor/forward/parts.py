"""Rows of queries whose shards several entries share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.forward.partmessages import PartDropped, ToPeer
from greengagemoor.forward.timing import Slowness

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Leg, Request, Tables


@attrs.define(eq=False, repr=False)
class Helper:
    """Another entry that may be asked for a part of the shards.

    Attributes:
        running: parts that this entry has there.
        failures: parts in a row that it did not take in time.
        avoid_until: it isn't asked before.
        slowness: what its parts take, over what parts usually take.
    """

    name: str
    running: int = 0
    failures: int = 0
    avoid_until: float = float("-inf")
    slowness: Slowness = attrs.field(factory=Slowness)


@attrs.define(eq=False, repr=False)
class Part:
    """Shards of one query that a helper asks.

    Attributes:
        legs: by service.
        taken: whether the helper has read it.
    """

    part_id: int
    request: Request
    helper: Helper
    legs: dict[str, Leg]
    asked_at: float
    taken: bool = False


@attrs.define(eq=False, repr=False)
class Origin:
    """For whom this entry asks some shards.

    Attributes:
        told: services whose answers, or ends without one, were told.
    """

    peer: str
    part_id: int
    told: set[str] = attrs.field(factory=set)


def close(tables: Tables, part: Part) -> None:
    """Forgets a part; what its helper still says of it counts no more."""
    if tables.parts.pop(part.part_id, None) is not None:
        part.helper.running -= 1


def drop(tables: Tables, part: Part, *, answered: bool) -> None:
    """Tells a helper that a part is no longer wanted."""
    close(tables, part)
    told = PartDropped(part.part_id, answered)
    tables.out.append(ToPeer(part.helper.name, told))


def drop_all(tables: Tables, request: Request, *, answered: bool) -> None:
    """Drops the parts of a request that has its final answer."""
    if not request.is_shared:
        return
    mine = [p for p in tables.parts.values() if p.request is request]
    for part in mine:
        drop(tables, part, answered=answered)
