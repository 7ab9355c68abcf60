"""Which searcher of a service gets a send."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from greengagemoor.feed.messages import SearcherState, SlowSeen
from greengagemoor.forward import coldstart
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.forward.messages import SearcherLoad
    from greengagemoor.forward.tables import Leg, Searcher, Tables

SLOW_FOR_OTHERS = 4.0
"""Slowness of a searcher that other entries find slow; the usual trouble makes
work 4 to 9 times as long."""
FRESH_S = 1.0
"""An own answer so lately says more than what others find."""
SLOW_RATIO = 3.0
"""A send that takes so many medians of its route counts as slow; two of 100
sends do so by their own work."""
RELAX_S = 8.0
"""In this time most of what was learnt of a searcher's slowness fades, so that
one that recovers gets sends again."""
LATE_FACTOR = 2.5
"""A send that takes this many times the usual says that its searcher pauses;
waiting for the answer to say so costs a pause for each further send."""
NOISE = 0.15
"""Spread of costs, so that entries don't all choose the same searcher."""
OTHER_DATA_CENTRE = 1.7
COLD = 1.6
FAILING_WEIGHT = 6.0
FAILING_SMOOTHING = 0.2
REFUSED_AVOID_S = 0.02
FIRST_AVOID_S = 0.25
LONGEST_AVOID_S = 2.0
TRUSTED_S = 1.5
"""A searcher that answered so lately is alive, whoever says it is lost."""


@values.frozen
class Choice:
    """A searcher, and the expected time in medians of the route."""

    searcher: Searcher
    cost: float


def choose(tables: Tables, leg: Leg) -> Choice | None:
    """Returns the searcher with the lowest cost, None if none has a place.

    A searcher that was asked before for this leg is left out.
    """
    rows = tables.by_service.get(leg.service, ())
    fit = [
        row for row in rows if row not in leg.asked and is_usable(tables, row)
    ]
    free = [
        row
        for row in fit
        if len(row.attempts) < row.cap and coldstart.has_turn(tables, row)
    ]
    if not free:
        return None
    median = tables.times_of(leg.request.route).median
    choices = (Choice(row, _cost(tables, row, median)) for row in free)
    return min(choices, key=lambda choice: choice.cost)


def is_usable(tables: Tables, row: Searcher) -> bool:
    """Whether a searcher may be sent to now, places aside."""
    if row.state in (SearcherState.DRAINING, SearcherState.GONE):
        return False
    if row.data_centre in tables.evacuated:
        return False
    if not coldstart.may_use(tables, row):
        return False
    if tables.now < row.avoid_until:
        return False
    if row.state is SearcherState.LOST:
        return row.answered_at > tables.now - TRUSTED_S
    return True


def has_usable(tables: Tables, service: str) -> bool:
    """Whether any searcher of the service may be sent to now."""
    return any(is_usable(tables, r) for r in tables.by_service.get(service, ()))


def _cost(tables: Tables, row: Searcher, median: float) -> float:
    """Returns the expected time of a send in medians of its route."""
    cost = _slowness(tables, row) * (1.0 + _queue(row))
    cost *= 1.0 + FAILING_WEIGHT * _failing(tables, row)
    if tables.now < row.cold_until:
        cost *= COLD
    if row.data_centre != tables.data_centre:
        cost *= OTHER_DATA_CENTRE
    cost += _lateness(tables, row, median)
    return cost * (1.0 + NOISE * tables.rng.random())


def _slowness(tables: Tables, row: Searcher) -> float:
    age = max(0.0, tables.now - row.answered_at)
    faded = math.exp(-age / RELAX_S)
    if tables.now < row.slow_until and age > FRESH_S:
        return max(row.slowness.value, SLOW_FOR_OTHERS)
    return 1.0 + (row.slowness.value - 1.0) * faded


def _failing(tables: Tables, row: Searcher) -> float:
    age = max(0.0, tables.now - row.judged_at)
    return row.failing * math.exp(-age / RELAX_S)


def _judge(tables: Tables, row: Searcher, *, failed: bool) -> None:
    """Moves the smoothed share of failed sends."""
    before = _failing(tables, row)
    row.failing = before + FAILING_SMOOTHING * (failed - before)
    row.judged_at = tables.now


def _queue(row: Searcher) -> float:
    """Returns how many work times a further request would wait there.

    Own sends alone count. What a searcher said of its load is over when the
    next send comes, and all entries hear it: where few searchers of a shard
    are quick, each entry would leave them to the others and go to slow ones.
    """
    busy = len(row.attempts)
    slots = max(1, row.slots)
    return max(0.0, busy + 1 - slots) / slots + 0.2 * busy / slots


def _lateness(tables: Tables, row: Searcher, median: float) -> float:
    if not row.attempts:
        return 0.0
    oldest = next(iter(row.attempts.values()))
    ages = (tables.now - oldest.sent_at) / median
    return ages if ages > LATE_FACTOR else 0.0


def note_answer(tables: Tables, row: Searcher, ratio: float) -> None:
    """Learns from an answer that took ``ratio`` medians of its route."""
    age = tables.now - row.answered_at
    row.slowness.value = _slowness(tables, row)
    row.slowness.note(ratio, age)
    row.answered_at = tables.now
    row.failures = 0
    if ratio >= SLOW_RATIO:
        tables.out.append(SlowSeen(row.key))
    _judge(tables, row, failed=False)


def note_failure(tables: Tables, row: Searcher, *, unreachable: bool) -> None:
    """Learns from a send that failed.

    Args:
        tables: the tables.
        row: who failed.
        unreachable: whether no connection stood, as after a crash; then the
            searcher is left alone at once, and asked again ever more rarely.
    """
    _judge(tables, row, failed=True)
    row.failures += 1
    if unreachable or row.failures > 2:
        pause = FIRST_AVOID_S * 2 ** min(row.failures - 1, 6)
        row.avoid_until = tables.now + min(pause, LONGEST_AVOID_S)


def note_refusal(tables: Tables, row: Searcher) -> None:
    """Learns from a searcher that refused to run a send.

    One that sheds a part of its requests, its health good and its load low,
    costs a second send each time; without this it would be chosen as often as
    the others, and the budget for second sends would be gone in a second.
    """
    row.avoid_until = max(row.avoid_until, tables.now + REFUSED_AVOID_S)
    _judge(tables, row, failed=True)


def note_load(tables: Tables, row: Searcher, load: SearcherLoad) -> None:
    """Learns a searcher's own count, for the log, and its slots."""
    row.others = max(0.0, load.running + load.waiting - len(row.attempts))
    row.slots = load.slots or row.slots
    row.load_at = tables.now
