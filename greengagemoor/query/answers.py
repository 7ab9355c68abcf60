"""Builds answers; the code depends on the whole history of a query."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.query.messages import (
    Answer,
    Coverage,
    MissingShard,
    Request,
    ShardResult,
)
from greengagemoor.query.tables import Phase

if TYPE_CHECKING:
    from greengagemoor.query.tables import Query

MIN_RETRY_AFTER_S = 0.05
NO_LIVE_REPLICA = "no_live_replica"
NO_ROOM = "no_room"
STILL_DUE = "still_due"


def build_rejection(
    request: Request, code: Code, retry_after_s: float, detail: str = ""
) -> Answer:
    """Returns the answer to a request that did not run at all."""
    return Answer(
        code=code,
        request_id=request.request_id,
        retry_after_s=round(max(MIN_RETRY_AFTER_S, retry_after_s), 3),
        detail=detail,
    )


def build_answer(query: Query, request_id: str, retry_after_s: float) -> Answer:
    """Returns the answer for the results that a query has gathered so far."""
    coverage = _coverage(query)
    code = _code(query)
    withheld = code not in (Code.WHOLE, Code.PARTIAL)
    return Answer(
        code=code,
        request_id=request_id,
        snapshot=query.snapshot if query.needed else None,
        coverage=coverage,
        results=() if withheld else _results(query),
        attempts=query.attempts_made,
        retry_after_s=(
            None
            if code is Code.WHOLE
            else round(max(MIN_RETRY_AFTER_S, retry_after_s), 3)
        ),
    )


def _results(query: Query) -> tuple[ShardResult, ...]:
    return tuple(
        ShardResult(shard, value)
        for shard, value in sorted(query.results.items())
    )


def _coverage(query: Query) -> Coverage:
    missing = tuple(
        MissingShard(shard, _reason(query, shard))
        for shard in query.needed
        if shard not in query.results
    )
    return Coverage(
        shards=len(query.needed),
        reflected=tuple(sorted(query.results)),
        missing=missing,
    )


def _reason(query: Query, shard: int) -> str:
    due = any(
        shard in attempt.shards
        for attempt in query.attempts.values()
        if not attempt.cancelled
    )
    if due:
        return STILL_DUE
    snapshot = query.service.snapshots.get(query.snapshot)
    if snapshot is None or shard not in snapshot.holders:
        return NO_LIVE_REPLICA
    return query.missing_reasons.get(shard, NO_ROOM)


def _code(query: Query) -> Code:
    if query.needed and len(query.results) == len(query.needed):
        return Code.WHOLE
    if query.results:
        enough = query.coverage >= query.request_class_rules.least_coverage
        return Code.PARTIAL if enough else Code.BELOW_COVERAGE
    if query.may_have_run or any(True for attempt in query.attempts.values()):
        return Code.UNKNOWN
    if query.ran_and_failed:
        return Code.FAILED
    return _not_run_code(query)


def _not_run_code(query: Query) -> Code:
    if query.attempts_made:
        return Code.NOT_RUN_REFUSED
    if query.phase is Phase.CLAIMING:
        return Code.NOT_RUN_NO_CONTROL
    snapshot = query.service.snapshots.get(query.snapshot)
    if snapshot is None or not any(
        shard in snapshot.holders for shard in query.needed
    ):
        return Code.NOT_RUN_NO_REPLICA
    return Code.NOT_RUN_DEADLINE
