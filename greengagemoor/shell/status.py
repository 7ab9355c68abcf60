"""Status and gauges of an instance, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from greengagemoor.node import Node

# Bounds ``control_heard_s_ago``, infinite before the first confirmation.
MAX_CONTROL_AGE_S = 1e9


def build_status(node: Node, now: float) -> dict[str, Any]:
    """Returns the JSON object of ``/v1/status``."""
    state = node.membership.state
    control_age = min(now - state.fresh_at, MAX_CONTROL_AGE_S)
    return {
        "instance": state.me.name,
        "state": state.me.state.value,
        "data_centre": state.me.data_centre,
        "roles": list(state.me.roles),
        "document_version": state.document_version,
        "confirmed": state.confirmed,
        "control_ready": state.control_ready,
        "control_heard_s_ago": round(control_age, 3),
        "instances": {
            row.name: row.state.value
            for row in list(state.table.live_instances.values())
        },
        "backend_servers": {
            key: shown.server.state.value
            for key, shown in list(state.shown.items())
        },
    }


def gauges(node: Node) -> dict[str, float]:
    """Returns the deciders' current gauges and counters for ``/metrics``."""
    state = node.membership.state
    values: dict[str, float] = {
        "instances": len(state.table.live_instances),
        "backend_servers": len(state.shown),
        "document_version": state.document_version,
    }
    if node.query is not None:
        counters = node.query.state.counters
        values |= {
            "attempts_total": counters.attempts,
            "hedged_shards_total": counters.hedge_shards,
            "retried_shards_total": counters.retry_shards,
            "cancelled_attempts_total": counters.cancelled,
            "late_answers_total": counters.late_answers,
            "joined_requests_total": counters.joined,
            "refused_requests_total": counters.refused,
        }
    return values
