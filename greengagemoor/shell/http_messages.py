"""JSON bodies exchanged with callers, backend servers and operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from greengagemoor.backends import BackendServer
from greengagemoor.codes import CODE_TABLE, Code
from greengagemoor.util.checks import at_most, in_range, is_name

if TYPE_CHECKING:
    from greengagemoor.query.messages import Answer

MAX_ID_CHARS = 128
MAX_KEY_CHARS = 1024
MAX_DEADLINE_S = 600


@attrs.frozen
class RequestBody:
    """A caller's request."""

    caller: str = attrs.field(validator=is_name)
    request_class: str = attrs.field(validator=is_name)
    request_id: str = attrs.field(validator=at_most(MAX_ID_CHARS))
    deadline_s: float | None = attrs.field(
        default=None, validator=in_range(0.001, MAX_DEADLINE_S)
    )
    repeatable: bool = True
    key: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(at_most(MAX_KEY_CHARS)),
    )
    body: Any = None
    least_snapshot: int = -1


@attrs.frozen
class AnnouncementBody:
    """A backend server's announcement."""

    server: BackendServer
    renewal: int = attrs.field(validator=in_range(0, 2**53))


@attrs.frozen
class ApplyBody:
    """An operator's request to replace the document."""

    apply_id: str = attrs.field(validator=[is_name])
    replaces: int = attrs.field(validator=in_range(0, 2**53))
    document: Any


@attrs.frozen
class Response:
    """An HTTP response."""

    status: int
    body: bytes
    content_type: str = "application/json"
    retry_after_s: float | None = None


def json_response(
    code: Code, fields: dict[str, Any], retry_after_s: float | None = None
) -> Response:
    """Returns a response with a result code and further fields."""
    body = {"code": int(code), "name": code.name, **fields}
    if retry_after_s is not None:
        body["retry_after_s"] = retry_after_s
    return Response(
        status=CODE_TABLE[code].http_status,
        body=json.dumps(body).encode(),
        retry_after_s=retry_after_s,
    )


def answer_response(answer: Answer) -> Response:
    """Returns the response for the answer to a request."""
    fields = {
        "request_id": answer.request_id,
        "snapshot": answer.snapshot,
        "coverage": attrs.asdict(answer.coverage),
        "results": [
            {"shard": item.shard, "value": json.loads(item.value)}
            for item in answer.results
        ],
        "attempts": answer.attempts,
        "detail": answer.detail,
    }
    return json_response(answer.code, fields, answer.retry_after_s)
