"""When a query that still misses shards may be answered, by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.registry import completions

if TYPE_CHECKING:
    from greengagemoor.query.tables import Query

TAIL_QUANTILE = 0.99
TAIL_MARGIN = 1.5


@completions.register("wait_for_all")
def wait_for_all(query: Query) -> float:
    """Waits for every shard up to the deadline: coverage first."""
    return query.deadline


@completions.register("cut_at_tail")
def cut_at_tail(query: Query) -> float:
    """Cuts at the class's tail once its least coverage is met: tail first."""
    if query.coverage < query.cls.least_coverage:
        return query.deadline
    if query.cls.cut_after_s > 0:
        return query.began + query.cls.cut_after_s
    tail = query.service.latency.quantile(TAIL_QUANTILE)
    if tail is None:
        return query.deadline
    return min(query.deadline, query.began + TAIL_MARGIN * tail)
