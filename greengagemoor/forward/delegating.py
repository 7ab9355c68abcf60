"""Hands parts of a query's shards to other entries.

The answers of all shards come over this entry's own link. Where that takes a
good part of the objective, a few other entries ask most of the shards and each
hands back the greatest records of its part in one message, so that several
links carry what one would.
"""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import choosing, completion, parts, sending
from greengagemoor.forward.messages import SearcherAnswer, Step, StepKind
from greengagemoor.forward.partmessages import (
    AskPart,
    PartAnswered,
    PartConfirmed,
    PartTaken,
    ToPeer,
)
from greengagemoor.forward.parts import Helper, Part
from greengagemoor.routing.routes import Grade

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Leg, Request, Tables

LEAST_LINK_S = 0.01
"""A query whose answers keep the own link busy for less isn't shared: what a
helper saves is the way to it and back, and the time it takes to read."""
SHARDS_EACH = 14
"""Shards that an entry asks at the most; fewer, and more helpers, make an
answer wait for the slowest of more entries."""
TAKEN_SHARE = 0.2
LEAST_TAKEN_S = 0.012
MOST_TAKEN_S = 0.04
"""A helper that has not read its part within this share of the objective may be
frozen or cut off; there is time to ask its shards from here."""
SPARE_SHARE = 0.5
"""Of the second sends of a window, what parts that are taken back leave."""
RETURN_S = 0.006
"""A part is told this long before it is due here: its way, and a tick."""
FIRST_AVOID_S = 1.0
LONGEST_AVOID_S = 8.0
REFUSED_AVOID_S = 0.5


def hand_out(tables: Tables, request: Request) -> None:
    """Hands most of a query's shards to helpers, where that is worth it.

    The legs that it hands out count as sent once, as they may have run.
    """
    legs = [leg for leg in request.legs if leg.is_open and not leg.sends]
    if not _is_worth_it(tables, request, legs):
        return
    wanted = math.ceil(len(legs) / SHARDS_EACH) - 1
    helpers = _choose(tables, wanted)
    if not helpers:
        return
    # Each time other shards are asked from here, so that what is learnt of
    # searchers is learnt of all.
    turn = tables.rng.randrange(len(legs))
    legs = legs[turn:] + legs[:turn]
    each = math.ceil(len(legs) / (len(helpers) + 1))
    request.is_shared = True
    for number, helper in enumerate(helpers, 1):
        group = legs[number * each : (number + 1) * each]
        _ask(tables, request, helper, group)


def _is_worth_it(tables: Tables, request: Request, legs: list[Leg]) -> bool:
    if request.origin is not None or request.route.gather is None:
        return False
    if request.route.grade is not Grade.REPEATABLE or request.is_trial:
        return False
    if not tables.link_bytes_per_s or len(legs) <= SHARDS_EACH:
        return False
    size = tables.answer_bytes.get(request.route.name, 0.0)
    return len(legs) * size / tables.link_bytes_per_s >= LEAST_LINK_S


def _choose(tables: Tables, wanted: int) -> list[Helper]:
    """Returns the helpers that are free and quick, ties by lot."""
    free = [h for h in tables.helpers.values() if h.avoid_until <= tables.now]
    cost = {
        h.name: h.slowness.value * (1 + h.running) + 0.3 * tables.rng.random()
        for h in free
    }
    return sorted(free, key=lambda h: cost[h.name])[:wanted]


def _ask(
    tables: Tables, request: Request, helper: Helper, legs: list[Leg]
) -> None:
    route = request.route
    part = Part(
        next(tables.ids),
        request,
        helper,
        {leg.service: leg for leg in legs},
        tables.now,
    )
    tables.parts[part.part_id] = part
    helper.running += 1
    for leg in legs:
        leg.runs = leg.sends = 1
        leg.helper = helper.name
    ask = AskPart(
        part_id=part.part_id,
        request_id=request.request_id,
        route=route.name,
        services=tuple(part.legs),
        top=route.gather.top,
        attempts=route.attempts,
        rank=route.rank,
        objective_s=route.objective_s,
        give_in_s=request.give_at - tables.now - RETURN_S,
        end_in_s=request.ends_at - tables.now,
        fingerprint=request.fingerprint,
    )
    tables.out.append(ToPeer(helper.name, ask, request.token))
    after = tables.now - request.arrived_at
    words = f"{legs[0].service} and {len(legs) - 1} more"
    request.steps.append(Step(StepKind.SHARED, after, words, note=helper.name))
    look = partial(_look_taken, tables, part)
    tables.set_timer(tables.now + _taken_within(request), look)


def _taken_within(request: Request) -> float:
    share = TAKEN_SHARE * request.route.objective_s
    return min(max(share, LEAST_TAKEN_S), MOST_TAKEN_S)


def _look_taken(tables: Tables, part: Part) -> None:
    """Asks the shards from here if the helper has not read its part.

    That takes a second send of each. Where many of these are used already,
    the helper is more likely busy than gone, and its answer is waited for.
    """
    if part.taken or part.part_id not in tables.parts:
        return
    helper = part.helper
    pause = FIRST_AVOID_S * 2 ** min(helper.failures, 6)
    helper.failures += 1
    helper.avoid_until = tables.now + min(pause, LONGEST_AVOID_S)
    if not all(_has_spare(tables, leg) for leg in part.legs.values()):
        return
    request = part.request
    after = tables.now - request.arrived_at
    words = f"{len(part.legs)} shards"
    request.steps.append(
        Step(StepKind.TAKEN_BACK, after, words, note=helper.name)
    )
    parts.drop(tables, part, answered=False)
    _ask_from_here(tables, part, dict.fromkeys(part.legs, 1))


def _has_spare(tables: Tables, leg: Leg) -> bool:
    budget = tables.budget_of(leg.service)
    return budget.share_left(tables.now) >= SPARE_SHARE


def take_up(tables: Tables, name: str) -> None:
    """Takes in that a link to another entry works."""
    tables.helpers[name] = Helper(name)


def take_down(tables: Tables, name: str) -> None:
    """Takes in that the link to another entry is gone."""
    if tables.helpers.pop(name, None) is None:
        return
    lost = [p for p in tables.parts.values() if p.helper.name == name]
    for part in lost:
        parts.close(tables, part)
        # Unconfirmed it has sent nothing twice.
        runs = part.request.route.attempts if part.taken else 1
        _ask_from_here(tables, part, dict.fromkeys(part.legs, runs))


def take_taken(tables: Tables, name: str, msg: PartTaken) -> None:
    """Takes in that a helper has read its part."""
    part = tables.parts.get(msg.part_id)
    if part is not None and part.helper.name == name:
        part.taken = True
        part.helper.failures = 0
        confirmed = PartConfirmed(part.part_id)
        tables.out.append(ToPeer(name, confirmed))


def take_answered(tables: Tables, name: str, msg: PartAnswered) -> None:
    """Takes in the answers of some shards of a part."""
    part = tables.parts.get(msg.part_id)
    if part is None or part.helper.name != name:
        return
    part.taken = True
    _take_legs(tables, part, msg)
    if msg.over:
        _take_over(tables, part, msg)
    runs = {end.service: end.runs for end in msg.missing}
    if msg.refused:
        runs = dict.fromkeys(part.legs, 0)
    _ask_from_here(tables, part, runs)


def _take_legs(tables: Tables, part: Part, msg: PartAnswered) -> None:
    legs = [part.legs.get(service) for service in msg.services]
    if not all(leg is not None and leg.is_open for leg in legs):
        # The records can't be told apart: all of these shards or none.
        return
    name, body = part.helper.name, msg.body
    for leg, signature in zip(legs, msg.signatures, strict=True):
        answer = SearcherAnswer(200, signature, (), body)
        leg.take(answer, name, tables.now)
        body = b""


def _take_over(tables: Tables, part: Part, msg: PartAnswered) -> None:
    parts.close(tables, part)
    part.request.part_sends += max(0, msg.sends - len(part.legs))
    helper = part.helper
    if msg.refused:
        helper.avoid_until = tables.now + REFUSED_AVOID_S
    elif not msg.missing:
        times = tables.times_of_parts(part.request.route)
        took = tables.now - part.asked_at
        helper.slowness.note(took / max(times.median, 0.001), 0.0)
        times.note(took)


def _ask_from_here(tables: Tables, part: Part, runs: dict[str, int]) -> None:
    """Asks the shards that a helper left open, as far as that is allowed.

    Args:
        tables: the tables.
        part: what the helper was asked for.
        runs: how often each of these may have run.
    """
    request = part.request
    if request.done:
        return
    for service, number in runs.items():
        leg = part.legs.get(service)
        if leg is None or not leg.is_open or leg.helper != part.helper.name:
            continue
        leg.helper = ""
        leg.runs = leg.sends = number
        _send(tables, leg)
    completion.look(tables, request)


def _send(tables: Tables, leg: Leg) -> None:
    if not _may_send(tables, leg):
        leg.give_up()
    elif not sending.send(tables, leg):
        sending.wait_for_place(tables, leg)


def _may_send(tables: Tables, leg: Leg) -> bool:
    """Whether a shard may be asked from here; counts it.

    Where nothing of it has run, this is its first send.
    """
    if leg.request.is_unproved or not sending.may_send_more(tables, leg):
        return False
    if not choosing.has_usable(tables, leg.service):
        return False
    budget = tables.budget_of(leg.service)
    if leg.runs:
        return budget.take(tables.now)
    budget.note_request(tables.now)
    return True
