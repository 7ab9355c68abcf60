"""The platform's HTTP calls and headers, both ways."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

from greengagemoor.errors import InvalidInputError
from greengagemoor.feed.messages import SearcherRow, SearcherState
from greengagemoor.forward.messages import (
    NOT_RUN,
    Ending,
    Outcome,
    Respond,
    SearcherAnswer,
    SearcherLoad,
)
from greengagemoor.platform import fields
from greengagemoor.platform.documents import read_document
from greengagemoor.serving import dialect as d
from greengagemoor.serving.dialect import Reply

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.aio.client import Headers, HttpResponse
    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.feed.messages import Subscribe
    from greengagemoor.routing.accounts import ClientAccount
    from greengagemoor.routing.routes import RouteTable

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
EXPECT_INSTANCE = b"expect-instance"
KEY = b"api-key"
ACCOUNT_NAME = b"tenant-id"
"""The platform's tenant is our client account."""
SIGNATURE = b"server-stamp"
NOT_EXECUTED = b"not-executed"
LOAD = b"server-load"
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that assure a caller that its request was not run."""
ADDRESSES_VALID_S = 5
MAX_ADDRESSES = 64
INSTANCE_CALL = re.compile(r"/v1/instances/([^/]+)/(heartbeat|leave)")
EVACUATION_CALL = re.compile(r"/v1/evacuation/([^/]+)/(start|finish)")
JSON_TYPE = ((b"Content-Type", b"application/json"),)
ANNOUNCED_STATES = {
    "ready": SearcherState.READY,
    "draining": SearcherState.DRAINING,
}
DECODE_ERRORS = (ValueError, KeyError, TypeError, RecursionError)
FAILURE_STATUS = {
    Ending.SEARCHER_FAILED: 502,
    Ending.BROKEN: 502,
    Ending.BELOW_COVERAGE: 502,
    Ending.NO_ANSWER: 504,
    Ending.NOT_RUN_QUOTA: 429,
}
NOT_RUN_STATUS = 503
"""Status of an ending in ``NOT_RUN`` that is not in the table."""


class PlatformDialect:
    """Implements ``serving.dialect.Dialect`` for the platform."""

    max_entries = MAX_ADDRESSES

    def read_document(self, text: bytes) -> RouteTable:
        """Decodes a document; see ``documents.read_document``."""
        return read_document(text)

    def read_request(self, req: HttpRequest) -> d.RequestInfo:
        """Reads host, id and deadline of a caller's request."""
        host = (req.header(b"host") or "").partition(":")[0].lower()
        text = req.header(DEADLINE)
        wait_s = float(text) / 1000 if text and text.isdigit() else None
        return d.RequestInfo(
            host, req.header(REQUEST_ID) or "", wait_s, _read_key(req)
        )

    def set_account(
        self, req: HttpRequest, account: ClientAccount | None
    ) -> None:
        """Replaces the key, and any name that the caller sent, by the name."""
        headers = [
            (name, value)
            for name, value in req.headers
            if name.lower() not in (KEY, ACCOUNT_NAME)
        ]
        if account is not None:
            headers.append((b"Tenant-Id", account.name.encode()))
        req.headers = headers

    def write_attempt(
        self, req: HttpRequest, searcher_id: str, left_s: float
    ) -> bytes:
        """Returns a request for a searcher, with the remaining time limit."""
        options = (req.header(b"connection") or "").lower().split(",")
        dropped = {name.strip().encode() for name in options} | HOP_BY_HOP
        dropped |= {DEADLINE, EXPECT_INSTANCE}
        lines = [f"{req.method} {req.target} HTTP/1.1".encode("latin-1")]
        lines += [
            b"%s: %s" % (name, value)
            for name, value in req.headers
            if name.lower() not in dropped
        ]
        lines.append(b"Deadline-Ms: %d" % max(1, int(1000 * left_s)))
        lines.append(b"Expect-Instance: " + searcher_id.encode())
        if req.body or req.method in ("POST", "PUT", "PATCH"):
            lines.append(b"Content-Length: %d" % len(req.body))
        return b"\r\n".join([*lines, b"", req.body])

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Compares the id that the searcher echoes; True if it echoes none."""
        echoed = (v for name, v in headers if name.lower() == REQUEST_ID)
        return next(echoed, request_id.encode()) == request_id.encode()

    def read_answer(self, answer: HttpResponse) -> d.AttemptResult:
        """Reads a searcher's answer."""
        headers = {name.lower(): value for name, value in answer.headers}
        content = SearcherAnswer(
            status=answer.status,
            signature=headers.get(SIGNATURE, b"").decode("latin-1"),
            headers=_end_to_end_headers(answer.headers),
            body=answer.body,
            is_plain=headers.get(b"content-encoding", b"identity").lower()
            == b"identity",
            load=_read_load(headers.get(LOAD)),
            closes=answer.closes,
        )
        if answer.status == 421:
            return d.AttemptResult(Outcome.WRONG_SEARCHER, content, "421")
        if NOT_EXECUTED in headers:
            reason = f"not executed, {answer.status}"
            return d.AttemptResult(Outcome.NOT_RUN, content, reason)
        return d.AttemptResult(Outcome.ANSWERED, content)

    def write_answer(self, msg: Respond) -> Reply:
        """Returns the final answer to a caller."""
        if msg.merged is not None:
            return _write_merged(msg)
        answer = msg.answer
        if msg.ending is Ending.ANSWERED:
            return Reply(answer.status, answer.headers, answer.body)
        if (
            msg.ending is Ending.SEARCHER_FAILED
            and answer.status >= 300
            and answer.status not in NOT_RUN_STATUSES
        ):
            return Reply(answer.status, answer.headers, answer.body)
        if msg.ending in NOT_RUN:
            status = FAILURE_STATUS.get(msg.ending, NOT_RUN_STATUS)
            return Reply(status, _retry_after(msg.retry_after_s))
        return Reply(FAILURE_STATUS[msg.ending])

    def write_no_document(self) -> Reply:
        """Reports that the request was not run, for lack of a document."""
        return Reply(503, _retry_after(0.3))

    def write_no_route(self) -> Reply:
        """Reports that no route matches the request."""
        return Reply(404)

    def write_unauthenticated(self) -> Reply:
        """Reports that the key is missing or unknown."""
        return Reply(401)

    def write_ready(self, ready: bool) -> Reply:
        """Reports readiness by the status only."""
        return Reply(200 if ready else 503)

    def read_call(self, req: HttpRequest) -> d.Call | None:
        """Reads a call to a control instance."""
        call = (req.method, req.path)
        if call == ("POST", "/v1/config/replace"):
            return d.PutCall(req.body)
        if call == ("GET", "/v1/config/get"):
            return d.ReadCall()
        if call == ("GET", "/v1/resolve"):
            return d.FindEntriesCall(parse_qs(req.query).get("zone", [""])[0])
        if req.method != "POST":
            return None
        match = EVACUATION_CALL.fullmatch(req.path)
        if match is not None:
            # The platform's zone is our data centre.
            return d.EvacuateCall(unquote(match[1]), match[2] == "start")
        match = INSTANCE_CALL.fullmatch(req.path)
        if match is None:
            return None
        if match[2] == "leave":
            return d.LeaveCall(match[1], _read_leaving_start(req.body))
        return d.AnnounceCall(_read_row(match[1], req.body))

    def write_announcement_accepted(self, next_address: str) -> Reply:
        """Acknowledges, with the address for later announcements."""
        return _json(200, {"heartbeat-addr": next_address})

    def write_announcement_rejected(self) -> Reply:
        """Does not acknowledge, so the searcher calls the next instance."""
        return Reply(503, _retry_after(0.1))

    def write_put(self, accepted: bool, faults: str = "") -> Reply:
        """Reports a put as accepted, invalid or to be retried."""
        return _write_operator_result(accepted, faults)

    def write_evacuated(self, accepted: bool, fault: str = "") -> Reply:
        """Reports an evacuation as accepted, invalid or to be retried."""
        return _write_operator_result(accepted, fault)

    def write_document(self, text: bytes | None) -> Reply:
        """Returns the document as it was put."""
        if text is None:
            return Reply(503, _retry_after(0.1))
        return Reply(200, JSON_TYPE, text)

    def write_entries(self, entries: list[Subscribe]) -> Reply:
        """Returns addresses of entries, and how long they are valid."""
        if not entries:
            return Reply(503, _retry_after(0.2))
        addresses = [entry.address for entry in entries[:MAX_ADDRESSES]]
        return _json(200, {"addrs": addresses, "ttl_s": ADDRESSES_VALID_S})

    def write_unknown_call(self) -> Reply:
        """Rejects an unknown or malformed call."""
        return Reply(400)


def _read_key(req: HttpRequest) -> str:
    """Returns the key; '' if it is missing or repeated."""
    found = [value for name, value in req.headers if name.lower() == KEY]
    return found[0].decode("latin-1") if len(found) == 1 else ""


def _write_operator_result(accepted: bool, fault: str) -> Reply:
    if fault:
        return _json(400, {"error": fault})
    return _json(200, {}) if accepted else Reply(503, _retry_after(0.1))


def _json(status: int, value: Any) -> Reply:
    return Reply(status, JSON_TYPE, json.dumps(value).encode())


def _retry_after(seconds: float | None) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"Retry-After", f"{seconds or 0.1:.2f}".encode()),)


def _end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP
    )


def _write_merged(msg: Respond) -> Reply:
    merged = msg.merged
    signatures = ", ".join(merged.signatures).encode("latin-1")
    headers = [
        (b"Request-Id", msg.request_id.encode("latin-1")),
        (b"Part-Stamps", signatures),
        (b"Missing-Parts", b"%d" % merged.missing),
    ]
    return Reply(200, tuple(headers), merged.body)


def _read_load(value: bytes | None) -> SearcherLoad | None:
    """Reads ``running,waiting,slots`` and an optional slowness in percent."""
    try:
        numbers = [int(part) for part in value.split(b",")] if value else []
    except ValueError:
        return None
    return SearcherLoad(*numbers[:4]) if len(numbers) >= 3 else None


def _read_row(searcher_id: str, body: bytes) -> SearcherRow:
    """Reads an announcement; a malformed one is rejected as a whole."""
    try:
        data = json.loads(body)
        # Required although unused: every searcher sends it.
        fields.text(data["version"])
        return SearcherRow(
            searcher_id=fields.text(searcher_id),
            # The platform's back end is our service.
            service=fields.text(data["backend"]),
            address=fields.address(data["address"]),
            data_centre=fields.text(data["zone"]),
            state=ANNOUNCED_STATES[fields.text(data["state"])],
            sequence=fields.integer(data["seq-no"]),
            slots=fields.integer(data["slots"]),
            cold_left_s=fields.number(data["cold-left-ms"]) / 1000,
            start=_read_start(data) or 0,
        )
    except DECODE_ERRORS as exc:
        raise InvalidInputError([f"malformed announcement: {exc!r}"]) from exc


def _read_start(data: dict[str, Any]) -> int | None:
    """Reads when the searcher started; None if that isn't given."""
    return fields.integer(data["born"]) if "born" in data else None


def _read_leaving_start(body: bytes) -> int | None:
    try:
        return _read_start(dict(json.loads(body))) if body else None
    except DECODE_ERRORS as exc:
        raise InvalidInputError([f"malformed leave call: {exc!r}"]) from exc
