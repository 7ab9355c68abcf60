"""Concurrency limits per searcher, adapted to latency and shed attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.query.tables import Searcher

SHED_LIMIT_FACTOR = 0.85
"""Factor on the limit of a searcher that sheds an attempt."""

QUEUE_LOW = 0.5
"""Estimated attempts queued on the searcher below which its limit grows."""

QUEUE_HIGH = 1.5
"""Estimated attempts queued on the searcher above which its limit shrinks."""

LATENCY_EWMA_WEIGHT = 0.2
"""Weight of a new sample in a searcher's moving average of latency."""

SLOW_START_S = 5.0
"""Seconds for which a searcher that became ready has a raised cost."""

OVERDUE_FACTOR = 2.0
"""Expected latency of an overdue answer, as a multiple of the time elapsed."""

BACKOFF_MIN_S = 0.005
"""Shortest pause, in seconds, after a shed attempt."""

SHEDS_BEFORE_DOUBLING = 3
"""Consecutive sheds after which the pause starts to double."""

BACKOFF_MAX_S = 1.0
"""Longest pause, in seconds, after a shed attempt."""

EJECT_AFTER_FAILURES = 3
"""Consecutive failures after which a searcher is ejected."""

EJECT_MAX_S = 30.0
"""Longest ejection, in seconds."""

IDLE_HALF_LIFE_S = 5.0
"""Seconds in which the excess latency of an unused searcher halves."""


def max_in_flight(searcher: Searcher) -> int:
    """Returns how many attempts may be in flight on the searcher."""
    if not searcher.adaptive:
        return searcher.share
    return max(1, min(searcher.share, round(searcher.limit)))


def has_room(searcher: Searcher, now: float) -> bool:
    """Returns whether a new attempt may start on the searcher now."""
    return (
        searcher.in_flight < max_in_flight(searcher)
        and searcher.backoff_until <= now
    )


def record_answer(
    searcher: Searcher, latency: float, idle_latency: float
) -> None:
    """Records the latency of an answer and adapts the concurrency limit.

    Args:
        searcher: the row that answered.
        latency: seconds from send to answer.
        idle_latency: seconds that an answer takes on an idle searcher of the
            service.
    """
    searcher.consecutive_failures = 0
    searcher.consecutive_sheds = 0
    searcher.latency += LATENCY_EWMA_WEIGHT * (latency - searcher.latency)
    ceiling = min(searcher.share, searcher.info.slots)
    queued = searcher.in_flight * (
        1.0 - min(1.0, idle_latency / searcher.latency)
    )
    if queued < QUEUE_LOW:
        searcher.limit = min(ceiling, searcher.limit + 1.0 / searcher.limit)
    elif queued > QUEUE_HIGH:
        searcher.limit = max(1.0, searcher.limit - 1.0 / searcher.limit)


def record_overdue(searcher: Searcher, elapsed: float) -> None:
    """Records that an answer is outstanding after ``elapsed`` seconds.

    A searcher that does not answer gives no sample. Without this, its old low
    latency would keep attracting attempts, most of which need a hedge.

    The true latency is longer than ``elapsed``, since a hedge ends the wait.
    Recording ``elapsed`` itself would make a slow searcher look the faster the
    earlier it is hedged.
    """
    expected = OVERDUE_FACTOR * elapsed
    if expected > searcher.latency:
        searcher.latency += (
            LATENCY_EWMA_WEIGHT * 2 * (expected - searcher.latency)
        )


def record_shed(searcher: Searcher, now: float) -> None:
    """Records a shed attempt: lowers the limit and pauses the searcher.

    The pause doubles with consecutive sheds. The retry-after of the refusal
    applies to the refused query only: one shed attempt does not show that the
    next one would be shed.
    """
    # Attempts sent together are shed for the same cause. Lowering the limit
    # for each of them would bring it to 1 at the first burst.
    if now - searcher.limit_cut_at > searcher.latency:
        searcher.limit = max(1.0, searcher.limit * SHED_LIMIT_FACTOR)
        searcher.limit_cut_at = now
    searcher.consecutive_sheds += 1
    doublings = min(
        max(0, searcher.consecutive_sheds - SHEDS_BEFORE_DOUBLING), 16
    )
    pause = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**doublings)
    searcher.backoff_until = now + pause


def record_failure(searcher: Searcher, now: float) -> None:
    """Records a failure; several consecutive failures eject the searcher."""
    searcher.consecutive_failures += 1
    if searcher.consecutive_failures >= EJECT_AFTER_FAILURES:
        doublings = min(
            searcher.consecutive_failures - EJECT_AFTER_FAILURES, 10
        )
        searcher.ejected_until = now + min(EJECT_MAX_S, 0.5 * 2**doublings)
