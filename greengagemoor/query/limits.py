"""Concurrency limits for each searcher, adapted to its latency and sheds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.query.tables import Searcher

SHED_FACTOR = 0.85
QUEUE_LOW = 0.5
QUEUE_HIGH = 1.5
EWMA_WEIGHT = 0.2
SLOW_START_S = 5.0
OVERDUE_FACTOR = 2.0
BACKOFF_FIRST_S = 0.005
SHEDS_BEFORE_DOUBLING = 3
BACKOFF_MAX_S = 1.0
EJECT_AFTER_FAILURES = 3
EJECT_MAX_S = 30.0
IDLE_HALF_LIFE_S = 5.0


def most_in_flight(searcher: Searcher) -> int:
    """Returns how many attempts this entry may have on the searcher."""
    if not searcher.adaptive:
        return searcher.share
    return max(1, min(searcher.share, round(searcher.limit)))


def has_room(searcher: Searcher, now: float) -> bool:
    """Tells whether a new attempt may start on the searcher now."""
    return (
        searcher.in_flight < most_in_flight(searcher)
        and searcher.backoff_until <= now
    )


def note_answer(searcher: Searcher, latency: float, floor: float) -> None:
    """Learns from an answer.

    Args:
        searcher: the row that answered.
        latency: seconds from send to answer.
        floor: seconds that an answer takes on an idle searcher of the service.
    """
    searcher.failures = 0
    searcher.sheds = 0
    searcher.latency += EWMA_WEIGHT * (latency - searcher.latency)
    ceiling = min(searcher.share, searcher.info.slots)
    queued = searcher.in_flight * (1.0 - min(1.0, floor / searcher.latency))
    if queued < QUEUE_LOW:
        searcher.limit = min(ceiling, searcher.limit + 1.0 / searcher.limit)
    elif queued > QUEUE_HIGH:
        searcher.limit = max(1.0, searcher.limit - 1.0 / searcher.limit)


def note_overdue(searcher: Searcher, elapsed: float) -> None:
    """Learns that an answer still due took at least ``elapsed`` seconds.

    A silent searcher never gives a sample; without this its old good latency
    would go on drawing attempts. One would see hedges stay high on one row.
    The true time is longer than what has passed: a hedge ends the wait, so
    that taking it as it is makes a slow searcher look better the earlier it
    is hedged.
    """
    expected = OVERDUE_FACTOR * elapsed
    if expected > searcher.latency:
        searcher.latency += EWMA_WEIGHT * 2 * (expected - searcher.latency)


def note_shed(searcher: Searcher, now: float) -> None:
    """Learns from a refusal: smaller limit, and a pause that doubles.

    The time that the refusal names holds for the refused query only: one
    shed attempt does not show that the next one would be.
    """
    # Refusals of attempts sent together tell of one moment; cutting for each
    # of them would take the limit to one at the first burst.
    if now - searcher.limit_cut_at > searcher.latency:
        searcher.limit = max(1.0, searcher.limit * SHED_FACTOR)
        searcher.limit_cut_at = now
    searcher.sheds += 1
    doublings = min(max(0, searcher.sheds - SHEDS_BEFORE_DOUBLING), 16)
    pause = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**doublings)
    searcher.backoff_until = now + pause


def note_failure(searcher: Searcher, now: float) -> None:
    """Learns from a failure; several in a row eject the searcher."""
    searcher.failures += 1
    if searcher.failures >= EJECT_AFTER_FAILURES:
        power = min(searcher.failures - EJECT_AFTER_FAILURES, 10)
        searcher.ejected_until = now + min(EJECT_MAX_S, 0.5 * 2**power)
