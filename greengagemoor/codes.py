"""Numbered result codes of requests, document changes and announcements.

The hundreds group them: 1 answered, 2 not run, 3 failed, 4 unknown, 5 control,
6 announcements. docs/RESULT-CODES.md is checked against this table by a test.
"""

from __future__ import annotations

import enum

from greengagemoor.util import values


class Code(enum.IntEnum):
    """Result of a request, a document change or an announcement."""

    WHOLE = 100
    PARTIAL = 110
    NOT_RUN_OVERLOAD = 200
    NOT_RUN_DEADLINE = 201
    NOT_RUN_LEAVING = 202
    NOT_RUN_NO_CONTROL = 203
    NOT_RUN_NO_REPLICA = 204
    NOT_RUN_REFUSED = 205
    NOT_RUN_UNKNOWN_SERVICE = 206
    NOT_RUN_BAD_REQUEST = 207
    NOT_RUN_NOT_READY = 208
    FAILED = 300
    BELOW_COVERAGE = 301
    UNKNOWN = 400
    UNKNOWN_EXPIRED = 401
    IN_PROGRESS = 410
    ACCEPTED = 500
    CONFLICT = 501
    INVALID = 502
    NOT_ACCEPTED = 503
    APPLY_UNKNOWN = 504
    NOT_LEADER = 505
    CURRENT = 510
    ANNOUNCED = 600
    ANNOUNCEMENT_STALE = 601
    ANNOUNCEMENT_NOT_ALLOWED = 602
    ANNOUNCEMENT_INVALID = 603
    ANNOUNCEMENT_CONFLICT = 604


class ClaimVerdict(enum.Enum):
    """The ledger's decision on a claim."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    EXPIRED = "expired"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


@values.frozen
class CodeInfo:
    """HTTP status and meaning of a code."""

    http_status: int
    meaning: str


CODE_TABLE: dict[Code, CodeInfo] = {
    Code.WHOLE: CodeInfo(200, "the answer covers every shard of the snapshot"),
    Code.PARTIAL: CodeInfo(200, "some shards are missing; each has a reason"),
    Code.NOT_RUN_OVERLOAD: CodeInfo(429, "refused at admission: overload"),
    Code.NOT_RUN_DEADLINE: CodeInfo(
        429, "refused: the expected wait exceeds the deadline"
    ),
    Code.NOT_RUN_LEAVING: CodeInfo(
        503, "this entry is shutting down; use another"
    ),
    Code.NOT_RUN_NO_CONTROL: CodeInfo(
        503, "a claim could not be confirmed, so nothing was sent"
    ),
    Code.NOT_RUN_NO_REPLICA: CodeInfo(
        503, "no live backend server holds the requested data"
    ),
    Code.NOT_RUN_REFUSED: CodeInfo(
        503, "every backend server that was asked refused to run it"
    ),
    Code.NOT_RUN_UNKNOWN_SERVICE: CodeInfo(
        404, "the document has no such service or request class"
    ),
    Code.NOT_RUN_BAD_REQUEST: CodeInfo(400, "the request is malformed"),
    Code.NOT_RUN_NOT_READY: CodeInfo(
        503, "this entry has no confirmed document yet"
    ),
    Code.FAILED: CodeInfo(
        502, "it ran and the backend server reported a failure"
    ),
    Code.BELOW_COVERAGE: CodeInfo(
        504, "coverage is below the class's minimum; results are withheld"
    ),
    Code.UNKNOWN: CodeInfo(504, "it may have run; the outcome is unknown"),
    Code.UNKNOWN_EXPIRED: CodeInfo(
        410, "the id is older than the ledger's window; it may have run before"
    ),
    Code.IN_PROGRESS: CodeInfo(409, "a request with this id is running"),
    Code.ACCEPTED: CodeInfo(200, "the change is committed and synced"),
    Code.CONFLICT: CodeInfo(409, "another change was accepted as this version"),
    Code.INVALID: CodeInfo(422, "the change is invalid and refused as a whole"),
    Code.NOT_ACCEPTED: CodeInfo(
        503, "the change was not accepted and never will be"
    ),
    Code.APPLY_UNKNOWN: CodeInfo(
        504, "the change may have been accepted; resend the same apply id"
    ),
    Code.NOT_LEADER: CodeInfo(503, "this instance does not lead the group"),
    Code.CURRENT: CodeInfo(200, "confirmed by a quorum as current"),
    Code.ANNOUNCED: CodeInfo(200, "the announcement is recorded"),
    Code.ANNOUNCEMENT_STALE: CodeInfo(
        409, "a newer announcement of this backend server is known"
    ),
    Code.ANNOUNCEMENT_NOT_ALLOWED: CodeInfo(
        403, "the document does not allow this backend server here"
    ),
    Code.ANNOUNCEMENT_INVALID: CodeInfo(400, "the announcement is malformed"),
    Code.ANNOUNCEMENT_CONFLICT: CodeInfo(
        409, "another shard count is known for this index version"
    ),
}


def is_not_run(code: Code) -> bool:
    """Returns whether the code guarantees that the request has not run."""
    return Code.NOT_RUN_OVERLOAD <= code < Code.FAILED
