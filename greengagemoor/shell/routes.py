"""Routes of the HTTP interface, and their handlers."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import attrs

from greengagemoor.codes import CODE_TABLE, Code
from greengagemoor.control.client import OperationRequest
from greengagemoor.control.commands import ApplyDocument
from greengagemoor.control.messages import OpKind
from greengagemoor.errors import InvalidInputError
from greengagemoor.membership.messages import AddressesRequest, Announce
from greengagemoor.query.messages import Request
from greengagemoor.shell.http_messages import (
    AnnouncementBody,
    ApplyBody,
    RequestBody,
    Response,
    answer_response,
    json_response,
)
from greengagemoor.util import json_conversion

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.application import Application
    from greengagemoor.control.client import Done

MEMBERSHIP_TIMEOUT_S = 2.0
OPERATION_TIMEOUT_S = 8.0
ANSWER_GRACE_S = 1.0
MAX_WAIT_S = 600.0
RETRY_AFTER_S = 0.2


@attrs.frozen
class HttpRequest:
    """A request, as a handler receives it."""

    app: Application
    path: re.Match
    query: dict[str, list[str]]
    body: bytes

    def argument(self, name: str) -> str:
        """Returns a query argument, or '' if absent."""
        return self.query.get(name, [""])[0]


@attrs.frozen
class Route:
    """A handler for a method and a pattern of paths."""

    method: str
    pattern: re.Pattern
    handler: Callable[[HttpRequest], Response]


ROUTES: list[Route] = []


def route(method: str, pattern: str):
    """Returns a decorator that adds a handler for a method and path."""

    def add(handler: Callable[[HttpRequest], Response]):
        ROUTES.append(Route(method, re.compile(pattern), handler))
        return handler

    return add


def handle(
    app: Application, method: str, path: str, query: str, body: bytes
) -> Response:
    """Answers one HTTP request."""
    matches = [(r, r.pattern.fullmatch(path)) for r in app.routes]
    path_matches = [(r, match) for r, match in matches if match is not None]
    chosen = [(r, match) for r, match in path_matches if r.method == method]
    if not chosen:
        return _no_route(bool(path_matches), path)
    chosen_route, match = chosen[0]
    try:
        return chosen_route.handler(
            HttpRequest(app, match, parse_qs(query), body)
        )
    except InvalidInputError as exc:
        fields = {"detail": "invalid input", "faults": list(exc.faults)}
        return json_response(Code.NOT_RUN_BAD_REQUEST, fields)


def _no_route(path_known: bool, path: str) -> Response:
    status = 405 if path_known else 404
    body = json.dumps(
        {
            "code": int(Code.NOT_RUN_BAD_REQUEST),
            "name": Code.NOT_RUN_BAD_REQUEST.name,
            "detail": f"no such method or path: {path[:200]}",
        }
    )
    return Response(status, body.encode())


@route("GET", "/healthz")
def _healthz(req: HttpRequest) -> Response:
    status = req.app.status()
    code = 200 if status["state"] in ("ready", "overloaded") else 503
    return Response(code, json.dumps(status).encode())


@route("GET", "/metrics")
def _metrics(req: HttpRequest) -> Response:
    text = req.app.metrics.text(req.app.gauges())
    return Response(200, text.encode(), "text/plain; version=0.0.4")


@route("GET", "/v1/histograms")
def _histograms(req: HttpRequest) -> Response:
    rows = [attrs.asdict(row) for row in req.app.metrics.rows()]
    return Response(200, json.dumps({"rows": rows}).encode())


@route("GET", "/v1/status")
def _status(req: HttpRequest) -> Response:
    return Response(200, json.dumps(req.app.status()).encode())


@route("GET", "/v1/members")
def _members(req: HttpRequest) -> Response:
    status = req.app.control_status()
    if status is None:
        detail = {"detail": "this instance has no control role"}
        return json_response(Code.NOT_LEADER, detail)
    return Response(200, json.dumps(attrs.asdict(status)).encode())


@route("DELETE", "/v1/members/(.+)")
def _remove_member(req: HttpRequest) -> Response:
    done = _run_operation(req.app, OpKind.REMOVE_MEMBER, member_id=req.path[1])
    return _operation_response(done)


@route("GET", "/v1/addresses")
def _addresses(req: HttpRequest) -> Response:
    reply = req.app.ask(
        lambda token: AddressesRequest(
            token, req.argument("service"), req.argument("data_centre")
        ),
        MEMBERSHIP_TIMEOUT_S,
    )
    if reply is None:
        return _overload_response()
    body = {
        "service": reply.service,
        "addresses": [attrs.asdict(row) for row in reply.addresses],
        "valid_for_s": reply.valid_for_s,
    }
    return Response(200, json.dumps(body).encode())


@route("POST", "/v1/announcements")
def _announce(req: HttpRequest) -> Response:
    try:
        body = json_conversion.decode_json(req.body, AnnouncementBody)
    except InvalidInputError as exc:
        req.app.metrics.count("announcements_invalid")
        fields = {"faults": list(exc.faults)}
        return json_response(Code.ANNOUNCEMENT_INVALID, fields)
    reply = req.app.ask(
        lambda token: Announce(token, body.server, body.renewal),
        MEMBERSHIP_TIMEOUT_S,
    )
    if reply is None:
        return _overload_response()
    fields = {
        "incarnation": reply.incarnation,
        "sequence": reply.sequence,
        "detail": reply.detail,
    }
    return json_response(reply.code, fields)


@route("POST", "/v1/services/([^/]+)/requests")
def _request(req: HttpRequest) -> Response:
    body = json_conversion.decode_json(req.body, RequestBody)
    if not req.app.request_slots.acquire(blocking=False):
        req.app.record_gate_refusal()
        fields = {
            "request_id": body.request_id,
            "detail": "entry has too many waiting requests",
        }
        return json_response(Code.NOT_RUN_OVERLOAD, fields, RETRY_AFTER_S)
    try:
        return _run_request(req, body)
    finally:
        req.app.request_slots.release()


def _run_request(req: HttpRequest, body: RequestBody) -> Response:
    text = json.dumps(body.body) if body.body is not None else ""

    def make_request(token: int) -> Request:
        return Request(
            token=token,
            caller=body.caller,
            request_class=body.request_class,
            request_id=body.request_id,
            service=req.path[1],
            deadline_s=body.deadline_s,
            repeatable=body.repeatable,
            key=body.key,
            body=text,
            least_snapshot=body.least_snapshot,
        )

    wait = (body.deadline_s or MAX_WAIT_S) + ANSWER_GRACE_S
    reply = req.app.ask(make_request, wait)
    if reply is None:
        fields = {
            "request_id": body.request_id,
            "detail": "no answer within the time limit",
        }
        return json_response(Code.UNKNOWN, fields, RETRY_AFTER_S)
    return answer_response(reply.answer)


@route("GET", "/v1/document")
def _show_document(req: HttpRequest) -> Response:
    done = _run_operation(req.app, OpKind.READ)
    if done is None or done.reply.code != Code.CURRENT:
        detail = {"detail": "no quorum confirmed the current version"}
        return json_response(Code.NOT_LEADER, detail, 1.0)
    text = done.reply.text
    fields = {
        "version": done.reply.version,
        "document": json.loads(text) if text else None,
    }
    return json_response(Code.CURRENT, fields)


@route("PUT", "/v1/document")
def _apply_document(req: HttpRequest) -> Response:
    body = json_conversion.decode_json(req.body, ApplyBody)
    command = ApplyDocument(
        apply_id=body.apply_id,
        replaces=body.replaces,
        text=json.dumps(body.document, sort_keys=True),
        time=0.0,
    )
    return _operation_response(_run_operation(req.app, OpKind.APPLY, command))


def _run_operation(
    app: Application,
    kind: OpKind,
    command: ApplyDocument | None = None,
    member_id: str = "",
) -> Done | None:
    deadline = app.clock.now() + OPERATION_TIMEOUT_S
    return app.ask(
        lambda token: OperationRequest(
            token, kind, deadline, command, member_id=member_id
        ),
        OPERATION_TIMEOUT_S + ANSWER_GRACE_S,
    )


def _operation_response(done: Done | None) -> Response:
    if done is None:
        return json_response(
            Code.APPLY_UNKNOWN, {"detail": "no answer within the time limit"}
        )
    reply = done.reply
    fields = {
        "version": reply.version,
        "winner": reply.winner,
        "faults": reply.detail.splitlines(),
    }
    return json_response(Code(reply.code), fields)


def _overload_response() -> Response:
    detail = {"detail": CODE_TABLE[Code.NOT_RUN_OVERLOAD].meaning}
    return json_response(Code.NOT_RUN_OVERLOAD, detail, RETRY_AFTER_S)
