"""Selects the searcher of a service for a send."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from greengagemoor.feed.messages import SearcherState, SlowSendObserved
from greengagemoor.forward import cold_start
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.forward.messages import SearcherLoad
    from greengagemoor.forward.tables import Leg, Searcher, Tables

REPORTED_SLOWNESS = 4.0
"""Least slowness assumed of a searcher that other entries report as slow; the
usual faults make requests take 4 to 9 times as long."""
OWN_ANSWER_FRESH_S = 1.0
"""Age in seconds up to which this entry's own last answer from a searcher
overrides reports of slowness by other entries."""
SLOW_RATIO = 3.0
"""Multiple of the route's median from which a send counts as slow; 2 of 100
sends exceed it at a searcher without a fault."""
DECAY_S = 8.0
"""Time constant, in seconds, of the exponential decay of a searcher's observed
slowness and failure rate, so that one that recovers gets sends again."""
LATE_FACTOR = 2.5
"""Multiple of the route's median after which a send under way raises the cost
of its searcher, which may have paused. Each send made there before the answer
would wait for the end of the pause too."""
COST_JITTER = 0.15
"""Largest random share added to a cost, so that entries don't all choose the
same searcher."""
OTHER_DATA_CENTRE_FACTOR = 1.7
"""Factor on the cost of a searcher in another data centre."""
COLD_FACTOR = 1.6
"""Factor on the cost of a cold searcher: one that has just started, or had no
requests during an evacuation."""
FAILURE_WEIGHT = 6.0
"""Increase of the factor on a searcher's cost if all its sends fail."""
FAILURE_SMOOTHING = 0.2
"""Weight of the last send in the smoothed share of failed sends."""
REFUSED_AVOID_S = 0.02
"""Seconds for which a searcher is avoided after it refused a send."""
FIRST_AVOID_S = 0.25
LONGEST_AVOID_S = 2.0
"""First and longest time, in seconds, for which a searcher is avoided after
failures; it doubles with each failure in a row."""
UNASSIGNED_FACTOR = 2.0
"""Factor on the cost of a searcher that is not assigned to this entry, as each
send there opens a connection."""
ANSWERED_RECENTLY_S = 1.5
"""Seconds after an answer during which a searcher counts as running although
the control instances report it as lost."""


@values.frozen
class Choice:
    """A searcher, and the expected time of a send in medians of the route."""

    searcher: Searcher
    cost: float


def choose(tables: Tables, leg: Leg) -> Choice | None:
    """Returns the searcher with the lowest cost, or None.

    Leaves out searchers that were tried before for this leg, and those that
    have no free connection. Searchers that are not assigned to this entry are
    used if no other is left for this leg, or at a much lower cost.
    """
    rows = tables.by_service.get(leg.service, ())
    usable = [
        row for row in rows if row not in leg.tried and is_usable(tables, row)
    ]
    available = [
        row
        for row in usable
        if len(row.attempts) < row.cap
        and cold_start.is_within_rate(tables, row)
    ]
    if all(row.cap for row in usable):
        return _cheapest(tables, leg, available)
    assigned = [row for row in usable if row.cap]
    best = _cheapest(tables, leg, available)
    median = tables.times_of(leg.request.route).median
    if best is None and any(not _lateness(tables, r, median) for r in assigned):
        # An assigned searcher will have a free connection soon.
        return None
    unassigned = _cheapest(tables, leg, _unassigned_free(tables, usable))
    if unassigned is None:
        return best
    cost = UNASSIGNED_FACTOR * unassigned.cost
    if best is not None and best.cost <= cost:
        return best
    return Choice(unassigned.searcher, cost)


def _cheapest(tables: Tables, leg: Leg, rows: list[Searcher]) -> Choice | None:
    median = tables.times_of(leg.request.route).median
    choices = (Choice(row, _cost(tables, row, median)) for row in rows)
    return min(choices, key=lambda choice: choice.cost, default=None)


def _unassigned_free(tables: Tables, usable: list[Searcher]) -> list[Searcher]:
    """Returns the unassigned searchers that may be sent to now.

    One send at a time is allowed to the unassigned searchers of a service, or
    to each of them while the place of this entry is not known.
    """
    free = [
        row
        for row in usable
        if not row.cap
        and not row.attempts
        and cold_start.is_within_rate(tables, row)
    ]
    if not free or tables.place is None:
        return free
    rows = tables.by_service[free[0].service]
    is_busy = any(row.attempts for row in rows if not row.cap)
    return [] if is_busy else free


def is_usable(tables: Tables, row: Searcher) -> bool:
    """Whether a searcher may be sent to now.

    Free connections and the assignment to this entry are not considered.
    """
    if row.state in (SearcherState.DRAINING, SearcherState.GONE):
        return False
    if row.data_centre in tables.evacuated:
        return False
    if not cold_start.is_selected(tables, row):
        return False
    if tables.now < row.avoid_until:
        return False
    if row.state is SearcherState.LOST:
        return row.answered_at > tables.now - ANSWERED_RECENTLY_S
    return True


def has_usable(tables: Tables, service: str) -> bool:
    """Whether any searcher of the service may be sent to now.

    Searchers that are not assigned to this entry count, as ``choose`` returns
    them if no assigned one is usable.
    """
    return any(is_usable(tables, r) for r in tables.by_service.get(service, ()))


def _cost(tables: Tables, row: Searcher, median: float) -> float:
    """Returns the expected time of a send in medians of its route."""
    cost = _slowness(tables, row) * (1.0 + _queue(row))
    cost *= 1.0 + FAILURE_WEIGHT * _failure_rate(tables, row)
    if tables.now < row.cold_until:
        cost *= COLD_FACTOR
    if row.data_centre != tables.data_centre:
        cost *= OTHER_DATA_CENTRE_FACTOR
    cost += _lateness(tables, row, median)
    return cost * (1.0 + COST_JITTER * tables.rng.random())


def _slowness(tables: Tables, row: Searcher) -> float:
    age = max(0.0, tables.now - row.answered_at)
    decay = math.exp(-age / DECAY_S)
    if tables.now < row.slow_until and age > OWN_ANSWER_FRESH_S:
        return max(row.slowness.value, REPORTED_SLOWNESS)
    return 1.0 + (row.slowness.value - 1.0) * decay


def _failure_rate(tables: Tables, row: Searcher) -> float:
    age = max(0.0, tables.now - row.failure_rate_at)
    return row.failure_rate * math.exp(-age / DECAY_S)


def _update_failure_rate(
    tables: Tables, row: Searcher, *, failed: bool
) -> None:
    """Updates the smoothed share of failed sends."""
    before = _failure_rate(tables, row)
    row.failure_rate = before + FAILURE_SMOOTHING * (failed - before)
    row.failure_rate_at = tables.now


def _queue(row: Searcher) -> float:
    """Returns a send's expected queueing time, in work times of a request.

    Counts this entry's own sends only. The load that a searcher reports is
    out of date by the next send, and all entries receive it: where few
    searchers of a shard are fast, all entries would avoid these at once and
    send to slow ones.
    """
    busy = len(row.attempts)
    slots = max(1, row.slots)
    return max(0.0, busy + 1 - slots) / slots + 0.2 * busy / slots


def _lateness(tables: Tables, row: Searcher, median: float) -> float:
    if not row.attempts:
        return 0.0
    oldest = next(iter(row.attempts.values()))
    elapsed = (tables.now - oldest.sent_at) / median
    return elapsed if elapsed > LATE_FACTOR else 0.0


def note_answer(tables: Tables, row: Searcher, ratio: float) -> None:
    """Records an answer that took ``ratio`` medians of its route."""
    age = tables.now - row.answered_at
    row.slowness.value = _slowness(tables, row)
    row.slowness.note(ratio, age)
    row.answered_at = tables.now
    row.failures = 0
    if ratio >= SLOW_RATIO:
        tables.out.append(SlowSendObserved(row.key))
    _update_failure_rate(tables, row, failed=False)


def note_failure(tables: Tables, row: Searcher, *, unreachable: bool) -> None:
    """Records a send that failed.

    Args:
        tables: the tables.
        row: the searcher that failed.
        unreachable: whether no connection could be opened, as after a crash;
            the searcher is then avoided from the first failure, with
            exponential backoff.
    """
    _update_failure_rate(tables, row, failed=True)
    row.failures += 1
    if unreachable or row.failures > 2:
        pause = FIRST_AVOID_S * 2 ** min(row.failures - 1, 6)
        row.avoid_until = tables.now + min(pause, LONGEST_AVOID_S)


def note_refusal(tables: Tables, row: Searcher) -> None:
    """Records that a searcher refused to run a send.

    Each refusal costs a retry. A searcher that refuses a part of its requests
    although it is healthy and its load low would otherwise be selected as often
    as the others, and use up the retry budget within a second.
    """
    row.avoid_until = max(row.avoid_until, tables.now + REFUSED_AVOID_S)
    _update_failure_rate(tables, row, failed=True)


def note_load(tables: Tables, row: Searcher, load: SearcherLoad) -> None:
    """Records the load that a searcher reports, for the log, and its slots."""
    row.others = max(0.0, load.running + load.waiting - len(row.attempts))
    row.slots = load.slots or row.slots
    row.load_at = tables.now
