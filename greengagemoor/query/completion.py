"""Policies for when to answer a query with missing shards, by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.registry import completions

if TYPE_CHECKING:
    from greengagemoor.query.tables import Query

TAIL_QUANTILE = 0.99
"""Quantile of the attempt latencies that counts as the tail."""

TAIL_MARGIN = 1.5
"""Factor on the tail latency after which a query is cut."""


@completions.register("wait_for_all")
def wait_for_all(query: Query) -> float:
    """Returns the deadline: coverage takes precedence over latency."""
    return query.deadline


@completions.register("cut_at_tail")
def cut_at_tail(query: Query) -> float:
    """Returns the time to answer once the class's least coverage is met.

    Tail latency takes precedence over coverage: the query is cut after the
    class's ``cut_after_s``, or else at a multiple of the service's tail
    latency.
    """
    if query.coverage < query.request_class_rules.least_coverage:
        return query.deadline
    if query.request_class_rules.cut_after_s > 0:
        return query.run_started + query.request_class_rules.cut_after_s
    tail = query.service.latency.quantile(TAIL_QUANTILE)
    if tail is None:
        return query.deadline
    return min(query.deadline, query.run_started + TAIL_MARGIN * tail)
