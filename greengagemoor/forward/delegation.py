"""Delegates parts of a query's shards to other entries.

The answers of all shards arrive over this entry's link. Where that takes a
large share of the objective, a few other entries query most of the shards, and
each returns the greatest records of its part in one message. The load is thus
spread over several links.
"""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.forward import completion, parts, selection, sending
from greengagemoor.forward.messages import SearcherAnswer, Step, StepKind
from greengagemoor.forward.part_messages import (
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

MIN_SHARED_LINK_S = 0.01
"""A query is shared if its answers occupy this entry's link for so many seconds
or more; below that, the round trip to a helper and the time it takes to read
the part cost as much as they save."""
MAX_SHARDS_PER_ENTRY = 14
"""Most shards for each entry if enough helpers are available; a query with at
most this many is not shared. With fewer shards each, an answer waits for the
slowest of more helpers."""
ACK_TIMEOUT_SHARE = 0.2
MIN_ACK_TIMEOUT_S = 0.012
MAX_ACK_TIMEOUT_S = 0.04
"""A helper that does not acknowledge its part within this share of the
objective, bounded by the two times in seconds, may be frozen or unreachable;
enough time is left to query its shards from here."""
MIN_BUDGET_SHARE = 0.5
"""Share of a window's retry budget that must be left before the shards of an
unacknowledged part are queried from here."""
RETURN_MARGIN_S = 0.006
"""Seconds before the answer is due at which a helper returns its part: the
network delay and one tick."""
FIRST_AVOID_S = 1.0
LONGEST_AVOID_S = 8.0
"""First and longest time, in seconds, for which a helper that did not
acknowledge a part is avoided; it doubles with each such part in a row."""
REFUSED_AVOID_S = 0.5
"""Seconds for which a helper is avoided after it rejected a part."""


def delegate(tables: Tables, request: Request) -> None:
    """Delegates most of a query's shards to helpers, where that saves time.

    Delegated legs count as sent once, because they may have run.
    """
    legs = [leg for leg in request.legs if leg.is_open and not leg.sends]
    if not _is_worth_sharing(tables, request, legs):
        return
    wanted = math.ceil(len(legs) / MAX_SHARDS_PER_ENTRY) - 1
    helpers = _choose_helpers(tables, wanted)
    if not helpers:
        return
    # A random rotation makes this entry query different shards each time, so
    # that it collects statistics on the searchers of all shards.
    offset = tables.rng.randrange(len(legs))
    legs = legs[offset:] + legs[:offset]
    part_size = math.ceil(len(legs) / (len(helpers) + 1))
    request.is_shared = True
    for number, helper in enumerate(helpers, 1):
        group = legs[number * part_size : (number + 1) * part_size]
        _send_part(tables, request, helper, group)


def _is_worth_sharing(
    tables: Tables, request: Request, legs: list[Leg]
) -> bool:
    if request.origin is not None or request.route.gather is None:
        return False
    if request.route.grade is not Grade.REPEATABLE or request.is_trial:
        return False
    if not tables.link_bytes_per_s or len(legs) <= MAX_SHARDS_PER_ENTRY:
        return False
    size = tables.answer_bytes.get(request.route.name, 0.0)
    return len(legs) * size / tables.link_bytes_per_s >= MIN_SHARED_LINK_S


def _choose_helpers(tables: Tables, wanted: int) -> list[Helper]:
    """Returns the available helpers of lowest cost, similar ones at random."""
    free = [h for h in tables.helpers.values() if h.avoid_until <= tables.now]
    cost = {
        h.name: h.slowness.value * (1 + h.running) + 0.3 * tables.rng.random()
        for h in free
    }
    return sorted(free, key=lambda h: cost[h.name])[:wanted]


def _send_part(
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
    msg = AskPart(
        part_id=part.part_id,
        request_id=request.request_id,
        route=route.name,
        services=tuple(part.legs),
        top=route.gather.top,
        attempts=route.attempts,
        rank=request.rank,
        objective_s=route.objective_s,
        give_in_s=request.soft_deadline - tables.now - RETURN_MARGIN_S,
        end_in_s=request.deadline - tables.now,
        fingerprint=request.fingerprint,
    )
    tables.out.append(ToPeer(helper.name, msg, request.token))
    after = tables.now - request.arrived_at
    shards = f"{legs[0].service} and {len(legs) - 1} more"
    request.steps.append(Step(StepKind.SHARED, after, shards, note=helper.name))
    check = partial(_check_acknowledged, tables, part)
    tables.set_timer(tables.now + _ack_timeout_s(request), check)


def _ack_timeout_s(request: Request) -> float:
    timeout = ACK_TIMEOUT_SHARE * request.route.objective_s
    return min(max(timeout, MIN_ACK_TIMEOUT_S), MAX_ACK_TIMEOUT_S)


def _check_acknowledged(tables: Tables, part: Part) -> None:
    """Queries the shards from here if the helper has not acknowledged them.

    That counts as a retry for each shard. If much of the retry budget is
    used already, the helper is more likely overloaded than unreachable, and
    this entry keeps waiting for its answer.
    """
    if part.is_acknowledged or part.part_id not in tables.parts:
        return
    helper = part.helper
    pause = FIRST_AVOID_S * 2 ** min(helper.failures, 6)
    helper.failures += 1
    helper.avoid_until = tables.now + min(pause, LONGEST_AVOID_S)
    if not all(_has_budget(tables, leg) for leg in part.legs.values()):
        return
    request = part.request
    after = tables.now - request.arrived_at
    shards = f"{len(part.legs)} shards"
    request.steps.append(
        Step(StepKind.TAKEN_BACK, after, shards, note=helper.name)
    )
    parts.drop(tables, part, answered=False)
    _query_locally(tables, part, dict.fromkeys(part.legs, 1))


def _has_budget(tables: Tables, leg: Leg) -> bool:
    budget = tables.budget_of(leg.service)
    return budget.share_left(tables.now) >= MIN_BUDGET_SHARE


def add_helper(tables: Tables, name: str) -> None:
    """Adds a helper whose link has come up."""
    tables.helpers[name] = Helper(name)


def remove_helper(tables: Tables, name: str) -> None:
    """Removes a helper whose link is down, and queries its parts' shards."""
    if tables.helpers.pop(name, None) is None:
        return
    lost = [p for p in tables.parts.values() if p.helper.name == name]
    for part in lost:
        parts.close(tables, part)
        # A helper sends each shard of an unconfirmed part at most once.
        runs = part.request.route.attempts if part.is_acknowledged else 1
        _query_locally(tables, part, dict.fromkeys(part.legs, runs))


def confirm_part(tables: Tables, name: str, msg: PartTaken) -> None:
    """Confirms a part that its helper has acknowledged."""
    part = tables.parts.get(msg.part_id)
    if part is not None and part.helper.name == name:
        part.is_acknowledged = True
        part.helper.failures = 0
        confirmation = PartConfirmed(part.part_id)
        tables.out.append(ToPeer(name, confirmation))


def receive_answers(tables: Tables, name: str, msg: PartAnswered) -> None:
    """Receives the answers of some shards of a part."""
    part = tables.parts.get(msg.part_id)
    if part is None or part.helper.name != name:
        return
    part.is_acknowledged = True
    _accept_answers(tables, part, msg)
    if msg.over:
        _finish_part(tables, part, msg)
    runs = {end.service: end.runs for end in msg.missing}
    if msg.refused:
        runs = dict.fromkeys(part.legs, 0)
    _query_locally(tables, part, runs)


def _accept_answers(tables: Tables, part: Part, msg: PartAnswered) -> None:
    legs = [part.legs.get(service) for service in msg.services]
    if not all(leg is not None and leg.is_open for leg in legs):
        # The records are merged and can't be attributed to single shards, so
        # the answer counts for all of these shards or for none.
        return
    name, body = part.helper.name, msg.body
    for leg, signature in zip(legs, msg.signatures, strict=True):
        answer = SearcherAnswer(200, signature, (), body)
        leg.accept_answer(answer, name, tables.now)
        body = b""


def _finish_part(tables: Tables, part: Part, msg: PartAnswered) -> None:
    parts.close(tables, part)
    part.request.helper_sends += max(0, msg.sends - len(part.legs))
    helper = part.helper
    if msg.refused:
        helper.avoid_until = tables.now + REFUSED_AVOID_S
    elif not msg.missing:
        times = tables.times_of_parts(part.request.route)
        took = tables.now - part.asked_at
        helper.slowness.note(took / max(times.median, 0.001), 0.0)
        times.note(took)


def _query_locally(tables: Tables, part: Part, runs: dict[str, int]) -> None:
    """Queries the shards that a helper left unanswered, within the limits.

    Args:
        tables: the tables.
        part: the part that was delegated.
        runs: by service, how often the request may have run there.
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
    completion.check(tables, request)


def _send(tables: Tables, leg: Leg) -> None:
    if not _may_send(tables, leg):
        leg.give_up()
    elif not sending.send(tables, leg):
        sending.enqueue(tables, leg)


def _may_send(tables: Tables, leg: Leg) -> bool:
    """Whether a shard may be queried from here; if so, counts the send.

    If the request has not run there, it counts as a first send.
    """
    if leg.request.needs_first_answer or not sending.may_send_more(tables, leg):
        return False
    if not selection.has_usable(tables, leg.service):
        return False
    budget = tables.budget_of(leg.service)
    if leg.runs:
        return budget.take(tables.now)
    budget.note_request(tables.now)
    return True
