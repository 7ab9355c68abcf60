"""JSON bodies between entries and backend servers (docs/OPERATIONS.md)."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.errors import InvalidInputError
from greengagemoor.query.messages import (
    AttemptAnswer,
    AttemptFailed,
    Failure,
    ShardResult,
)
from greengagemoor.util import json_conversion

if TYPE_CHECKING:
    from greengagemoor.query.messages import StartAttempt

ATTEMPTS_PATH = "/v1/attempts"
CANCELLATIONS_PATH = "/v1/cancellations"
OK_STATUS = 200
CANCELLED_STATUS = 409
REFUSED_STATUS = 503

_FAILURES_BY_REASON = {
    "shed": Failure.SHED,
    "draining": Failure.DRAINING,
    "version_gone": Failure.VERSION_GONE,
}


@attrs.frozen
class ShardValue:
    """One shard's result; ``value`` is any JSON."""

    shard: int
    value: Any


@attrs.frozen
class AnswerBody:
    """A searcher's answer to an attempt.

    Attributes:
        absent: shards that the searcher does not hold. A shard without a
            result counts as missing, listed here or not.
    """

    attempt_id: str
    request_id: str
    snapshot: int
    results: tuple[ShardValue, ...]
    absent: tuple[int, ...] = ()
    state: ServerState | None = None


@attrs.frozen
class RefusalBody:
    """A searcher's refusal of an attempt, or its report of a failure.

    Attributes:
        ran: whether any part of the attempt may have run.
        reason: shed, draining, version_gone, cancelled, or free text.
        attempt_id: the attempt, "" if the searcher does not name it.
    """

    ran: bool
    reason: str = ""
    retry_after_s: float = 0.0
    state: ServerState | None = None
    attempt_id: str = ""


def global_attempt_id(process: str, attempt_id: int) -> str:
    """Returns the attempt id sent to searchers, unique across entries."""
    return f"{process}/{attempt_id}"


def request_body(msg: StartAttempt, process: str, remaining: float) -> bytes:
    """Returns the JSON body of an attempt."""
    body = {
        "attempt_id": global_attempt_id(process, msg.attempt_id),
        "request_id": msg.request_id,
        "caller": msg.caller,
        "service": msg.service,
        "snapshot": msg.snapshot,
        "shards": msg.shards,
        "remaining_ms": int(remaining * 1000),
        "repeatable": msg.repeatable,
        "body": json.loads(msg.body) if msg.body else None,
    }
    return json.dumps(body).encode()


def read_answer(
    msg: StartAttempt, process: str, status: int, data: bytes
) -> AttemptAnswer | AttemptFailed:
    """Converts a searcher's HTTP response to a message for the decider."""
    try:
        if status == OK_STATUS:
            return _read_results(msg, process, data)
        return _read_refusal(msg, process, status, data)
    except InvalidInputError:
        return AttemptFailed(msg.attempt_id, Failure.MISMATCH)


def _read_results(
    msg: StartAttempt, process: str, data: bytes
) -> AttemptAnswer | AttemptFailed:
    body = json_conversion.decode_json(data, AnswerBody)
    if body.attempt_id != global_attempt_id(process, msg.attempt_id):
        return AttemptFailed(msg.attempt_id, Failure.MISMATCH)
    return AttemptAnswer(
        attempt_id=msg.attempt_id,
        request_id=body.request_id,
        snapshot=body.snapshot,
        results=tuple(
            ShardResult(item.shard, json.dumps(item.value))
            for item in body.results
        ),
        server_state=body.state,
    )


def _read_refusal(
    msg: StartAttempt, process: str, status: int, data: bytes
) -> AttemptFailed:
    body = json_conversion.decode_json(data, RefusalBody)
    own_id = global_attempt_id(process, msg.attempt_id)
    if body.attempt_id not in ("", own_id):
        return AttemptFailed(msg.attempt_id, Failure.MISMATCH)
    return AttemptFailed(
        attempt_id=msg.attempt_id,
        failure=_failure_of(status, body),
        retry_after_s=max(0.0, body.retry_after_s),
        server_state=body.state,
    )


def _failure_of(status: int, body: RefusalBody) -> Failure:
    if status == CANCELLED_STATUS:
        return Failure.CANCELLED
    if status == REFUSED_STATUS and not body.ran:
        return _FAILURES_BY_REASON.get(body.reason, Failure.SHED)
    return Failure.ERROR
