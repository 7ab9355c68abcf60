"""Operators' calls that the control group executes."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING, Any

from greengagemoor import log
from greengagemoor.codes import CODE_TABLE, Code
from greengagemoor.control.client import OperationAbandoned, OperationRequest
from greengagemoor.control.commands import PutDocument, SetEvacuation
from greengagemoor.control.messages import OpKind
from greengagemoor.errors import DocumentError
from greengagemoor.routing import routes
from greengagemoor.serving import dialect as calls
from greengagemoor.serving import open_calls
from greengagemoor.serving.dialect import Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.aio.requests import Handler, HttpRequest
    from greengagemoor.control.decider import ControlDecider
    from greengagemoor.control.messages import OpReply
    from greengagemoor.serving.dialect import Dialect
    from greengagemoor.serving.open_calls import OpenCalls
    from greengagemoor.serving.pending_orders import PendingOrders
    from greengagemoor.serving.settings import ServingSettings

OPERATION_TIMEOUT_S = 0.9
"""Time limit of an operation; operators move on after a second."""
EVACUATIONS_PATH = "/evacuations"
MAX_FAULTS = 5
JSON_TYPE = ((b"Content-Type", b"application/json"),)


class OperatorCalls:
    """Calls that put or read the document, or evacuate a data centre."""

    def __init__(
        self,
        cfg: ServingSettings,
        dialect: Dialect,
        pending_calls: OpenCalls,
        put: Callable[[object], None],
        now: Callable[[], float],
        orders: PendingOrders,
    ):
        """Starts without a decider; ``decider`` is set once it exists.

        Args:
            cfg: settings.
            dialect: reads documents and writes answers.
            pending_calls: holds each call until it is answered.
            put: receives ``OperationRequest`` and ``OperationAbandoned``.
            now: returns the time in seconds, by the clock of
                ``OperationRequest`` and of ``orders``.
            orders: carries out evacuations while their callers wait.
        """
        self.cfg = cfg
        self.decider: ControlDecider | None = None
        self._dialect = dialect
        self._calls = pending_calls
        self._put = put
        self._now = now
        self._orders = orders

    def handle_put(self, req: HttpRequest, call: calls.PutCall) -> None:
        """Submits a document to the control group, if it is valid."""
        try:
            table = self._dialect.read_document(call.body)
            routes.check(table)
        except DocumentError as exc:
            faults = "; ".join(exc.faults[:MAX_FAULTS])
            log.event("document_refused", faults=faults)
            open_calls.answer(req, self._dialect.write_put(False, faults))
            return
        packed = zlib.compress(call.body, 6)
        command = PutDocument(table.version, packed, 0.0)
        self._submit(req, OpKind.PUT, self._write_put, command)

    def handle_read(self, req: HttpRequest) -> None:
        """Reads the document in force."""
        self._submit(req, OpKind.READ_NUMBERED, self._write_read)

    def handle_evacuate(
        self, req: HttpRequest, call: calls.EvacuateCall
    ) -> None:
        """Evacuates a data centre, or ends its evacuation."""
        fault = self.data_centre_fault(call.data_centre)
        if fault:
            open_calls.answer(req, self._dialect.write_evacuated(False, fault))
        else:
            self.evacuate(req, call, self._write_evacuated)

    def data_centre_fault(self, data_centre: str) -> str:
        """Returns why a data centre's name is invalid, '' if it is valid."""
        known = self.cfg.data_centres
        if not known or data_centre in known:
            return ""
        fault = (
            f"unknown data centre {data_centre!r}; "
            f"expected one of {', '.join(known)}"
        )
        log.event("evacuation_refused", fault=fault)
        return fault

    def evacuate(
        self,
        req: HttpRequest,
        call: calls.EvacuateCall,
        write: Callable[[OpReply], Reply],
    ) -> None:
        """Submits an evacuation or its end to the control group.

        Args:
            req: the call.
            call: the evacuation; its data centre must be valid.
            write: builds the reply.
        """

        def submit(sent_after: float) -> None:
            token = self._calls.open(req, write)
            number = self._latest_number(call.data_centre)
            command = SetEvacuation(call.data_centre, call.active, number, 0.0)
            log.event(
                "order",
                data_centre=call.data_centre,
                active=call.active,
                number=number,
                age_s=round(self._now() - sent_after, 3),
            )
            # Until then a conflicting order is submitted with a newer number,
            # so its caller must still wait.
            deadline = sent_after + OPERATION_TIMEOUT_S
            self._put(
                OperationRequest(token, OpKind.EVACUATE, deadline, command)
            )

        self._orders.add(req, submit)

    def _latest_number(self, data_centre: str) -> int:
        """Returns the number of the latest change known to this instance.

        An order is based on it only while its caller still waits: then a newer
        order of the same caller has a higher number.
        """
        if self.decider is None:
            return 0
        table = self.decider.state.machine.evacuations
        return table.latest_number(data_centre)

    def read(self, req: HttpRequest, write: Callable[[OpReply], Reply]) -> None:
        """Reads the state that a quorum confirms.

        Args:
            req: the call.
            write: builds the reply.
        """
        self._submit(req, OpKind.READ_NUMBERED, write)

    def discard(self, req: HttpRequest) -> None:
        """Discards a call whose connection closed.

        A put or a read under way continues; an evacuation is not submitted any
        more.
        """
        self._orders.discard(req)
        self._put(OperationAbandoned(req.token))
        self._calls.discard(req)

    def _submit(
        self,
        req: HttpRequest,
        kind: OpKind,
        write: Callable[[OpReply], Reply],
        command: PutDocument | SetEvacuation | None = None,
    ) -> None:
        token = self._calls.open(req, write)
        self._put(
            OperationRequest(
                token, kind, self._now() + OPERATION_TIMEOUT_S, command
            )
        )

    def _write_put(self, reply: OpReply) -> Reply:
        return self._dialect.write_put(reply.code == Code.ACCEPTED)

    def _write_read(self, reply: OpReply) -> Reply:
        if reply.code == Code.CURRENT and reply.packed:
            return self._dialect.write_document(zlib.decompress(reply.packed))
        return self._dialect.write_document(None)

    def _write_evacuated(self, reply: OpReply) -> Reply:
        return self._dialect.write_evacuated(reply.code == Code.ACCEPTED)


class EvacuationPage:
    """Handles ``/evacuations``; all other paths go to the next handler.

    ``GET /evacuations`` lists what a quorum confirms, and ``POST /evacuations``
    with ``{"data_centre": "...", "active": true}`` evacuates a data centre or,
    with ``false``, ends its evacuation.
    """

    def __init__(self, next_handler: Handler, operators: OperatorCalls):
        """Puts the page in front of the next handler.

        Args:
            next_handler: answers all other paths.
            operators: submits calls to the control group.
        """
        self._next_handler = next_handler
        self._operators = operators

    def handle_request(self, req: HttpRequest) -> None:
        """Answers a call, submits it or passes it to the next handler."""
        if req.path != EVACUATIONS_PATH:
            self._next_handler.handle_request(req)
        elif req.method == "GET":
            self._operators.read(req, _write_rows)
        elif req.method == "POST":
            self._evacuate(req)
        else:
            open_calls.answer(
                req, _json(405, {"error": "expected GET or POST"})
            )

    def handle_disconnect(self, req: HttpRequest) -> None:
        """Discards a call whose connection closed."""
        self._operators.discard(req)
        self._next_handler.handle_disconnect(req)

    def _evacuate(self, req: HttpRequest) -> None:
        try:
            body = json.loads(req.body)
            call = calls.EvacuateCall(body["data_centre"], body["active"])
            if not isinstance(call.data_centre, str):
                raise TypeError("data_centre is not a string")
            if not isinstance(call.active, bool):
                raise TypeError("active is not a boolean")
        except (ValueError, KeyError, TypeError) as exc:
            open_calls.answer(
                req, _json(400, {"error": f"malformed evacuation: {exc!r}"})
            )
            return
        fault = self._operators.data_centre_fault(call.data_centre)
        if fault:
            open_calls.answer(
                req, _json_with_code(Code.INVALID, {"error": fault})
            )
        else:
            self._operators.evacuate(req, call, _write_evacuation_result)


def _write_rows(reply: OpReply) -> Reply:
    rows = [
        {
            "data_centre": row.data_centre,
            "active": row.active,
            "number": row.number,
        }
        for row in reply.evacuations
    ]
    return _json_with_code(Code(reply.code), {"evacuations": rows})


def _write_evacuation_result(reply: OpReply) -> Reply:
    return _json_with_code(Code(reply.code), {"number": reply.version})


def _json_with_code(code: Code, body: dict[str, Any]) -> Reply:
    info = CODE_TABLE[code]
    result = {"code": int(code), "meaning": info.meaning}
    return _json(info.http_status, {**result, **body})


def _json(status: int, body: dict[str, Any]) -> Reply:
    return Reply(status, JSON_TYPE, json.dumps(body).encode())
