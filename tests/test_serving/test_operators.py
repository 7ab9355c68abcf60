"""Operators' calls at a control instance, without sockets."""

from __future__ import annotations

import json
from math import inf

import pytest

from greengagemoor.aio.requests import HttpRequest
from greengagemoor.codes import Code
from greengagemoor.control.client import (
    Done,
    OperationAbandoned,
    OperationRequest,
)
from greengagemoor.control.commands import SetEvacuation
from greengagemoor.control.evacuations import Evacuation
from greengagemoor.control.messages import OpKind, OpReply
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.serving.dialect import EvacuateCall
from greengagemoor.serving.open_calls import OpenCalls
from greengagemoor.serving.operators import (
    OPERATION_TIMEOUT_S,
    EvacuationPage,
    OperatorCalls,
)
from greengagemoor.serving.pending_orders import MAX_AGE_S, PendingOrders
from greengagemoor.serving.settings import ServingSettings
from tests.test_serving.helpers import Caller, Metrics, Timers

DATA_CENTRES = ("dc1", "dc2")


class OperatorsHarness:
    """Operators' calls, with a control group that the test stands in for."""

    def __init__(self, known=DATA_CENTRES):
        cfg = ServingSettings(
            "10.0.0.2", "dc1", "10.0.0.2:7740", (), data_centres=known
        )
        self.now = 5.0
        self.asks = []
        self.calls = OpenCalls()
        self.timers = Timers()
        self.operators = OperatorCalls(
            cfg,
            PlatformDialect(),
            self.calls,
            self.asks.append,
            lambda: self.now,
            PendingOrders(self.timers.call_later, lambda: self.now),
        )
        self.page = EvacuationPage(Metrics(), self.operators)

    def order(self, data_centre, active=True, caller=None):
        caller = caller or Caller(established_after=self.now)
        req = HttpRequest("POST", "/order", [], b"", 0.0, caller)
        self.operators.handle_evacuate(req, EvacuateCall(data_centre, active))
        self.timers.expire()
        return caller

    def call(self, method, path="/evacuations", body=b""):
        caller = Caller(established_after=self.now)
        self.page.handle_request(
            HttpRequest(method, path, [], body, 0.0, caller)
        )
        self.timers.expire()
        return caller

    def end(self, code, **more):
        (ask,) = self.asks
        reply = OpReply(1, code, **more)
        self.calls.complete(Done(ask.token, ask.kind, reply))


class TestEvacuate:
    """The platform's evacuation call."""

    @pytest.mark.parametrize(
        ("code", "status"),
        [
            (Code.ACCEPTED, 200),
            (Code.APPLY_UNKNOWN, 503),
            (Code.NOT_ACCEPTED, 503),
        ],
    )
    def test_answered_when_the_group_has_decided(self, code, status):
        harness = OperatorsHarness()
        caller = harness.order("dc2")
        assert caller.status == 0
        (ask,) = harness.asks
        command = SetEvacuation("dc2", True, 0, 0.0)
        assert ask == OperationRequest(1, OpKind.EVACUATE, 5.9, command)
        harness.end(code)
        assert caller.status == status

    def test_unknown_data_centre(self):
        harness = OperatorsHarness()
        caller = harness.order("dc9")
        assert caller.status == 400
        assert b"dc9" in caller.body
        assert not harness.asks

    def test_any_data_centre_if_none_are_configured(self):
        harness = OperatorsHarness(known=())
        harness.order("dc9")
        assert len(harness.asks) == 1

    def test_operator_that_disconnected(self):
        """Guards against an answer on a connection that another caller uses."""
        harness = OperatorsHarness()
        caller = Caller(established_after=harness.now)
        req = HttpRequest("POST", "/", [], b"", 0.0, caller)
        harness.operators.handle_evacuate(req, EvacuateCall("dc1", True))
        harness.timers.expire()
        harness.operators.discard(req)
        ask, abandoned = harness.asks
        assert abandoned == OperationAbandoned(ask.token)
        harness.calls.complete(
            Done(ask.token, ask.kind, OpReply(1, Code.ACCEPTED))
        )
        assert caller.status == 0

    def test_operator_that_disconnected_before(self):
        """Guards against an order that is carried out for nobody."""
        harness = OperatorsHarness()
        caller = Caller(established_after=harness.now)
        req = HttpRequest("POST", "/", [], b"", 0.0, caller)
        harness.operators.handle_evacuate(req, EvacuateCall("dc1", True))
        harness.operators.discard(req)
        harness.timers.expire()
        assert harness.asks == [OperationAbandoned(req.token)]


class TestAge:
    """Orders whose callers may have moved on."""

    def test_order_that_may_be_old_is_redirected(self):
        """Guards against a stale order that undoes a newer one."""
        harness = OperatorsHarness()
        old = Caller(established_after=harness.now - 2 * MAX_AGE_S)
        harness.order("dc1", caller=old)
        assert not harness.asks
        assert old.status == 307
        assert old.headers == ((b"Location", b"http://10.0.0.2:8224/order"),)
        assert old.closes
        assert not harness.calls.is_waiting

    def test_redirected_order_is_carried_out(self):
        """Guards against a caller that is redirected for ever."""
        harness = OperatorsHarness()
        harness.order("dc1", caller=Caller(established_after=0.0))
        harness.order("dc1")
        assert len(harness.asks) == 1

    def test_connection_ends_with_the_answer(self):
        """Guards against a pool of connections on which orders are redirected.

        Callers follow two redirects, and a pool may hold more connections.
        """
        harness = OperatorsHarness()
        caller = harness.order("dc1")
        harness.end(Code.ACCEPTED)
        assert caller.status == 200
        assert caller.closes

    def test_long_handshake(self):
        """Guards against an order that was delayed with its handshake."""
        harness = OperatorsHarness()
        caller = Caller(established_after=harness.now, handshake_s=inf)
        assert harness.order("dc1", caller=caller).status == 307
        assert not harness.asks

    def test_time_limit_counts_from_when_it_may_have_been_sent(self):
        """Guards against an order that is resubmitted after its caller left."""
        harness = OperatorsHarness()
        caller = Caller(established_after=harness.now - 0.2, handshake_s=0.1)
        harness.order("dc1", caller=caller)
        (ask,) = harness.asks
        assert ask.deadline == pytest.approx(5.0 - 0.3 + OPERATION_TIMEOUT_S)

    def test_suspended_after_it_was_read(self):
        """Guards against a stale order that is carried out on resumption."""
        harness = OperatorsHarness()
        caller = Caller(established_after=harness.now)
        req = HttpRequest("POST", "/", [], b"", 0.0, caller)
        harness.operators.handle_evacuate(req, EvacuateCall("dc1", True))
        harness.now += 2 * MAX_AGE_S
        harness.timers.expire()
        assert not harness.asks
        assert caller.status == 307


class TestPage:
    """Calls to ``/evacuations``."""

    def test_order(self):
        harness = OperatorsHarness()
        body = json.dumps({"data_centre": "dc1", "active": True}).encode()
        caller = harness.call("POST", body=body)
        harness.end(Code.ACCEPTED, version=3)
        assert caller.status == 200
        assert json.loads(caller.body)["number"] == 3

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b'{"data_centre": "dc1"}',
            b'{"data_centre": 1, "active": true}',
            b'{"data_centre": "dc1", "active": 1}',
        ],
    )
    def test_malformed(self, body):
        harness = OperatorsHarness()
        assert harness.call("POST", body=body).status == 400
        assert not harness.asks

    def test_unknown_data_centre(self):
        body = json.dumps({"data_centre": "dc9", "active": True}).encode()
        assert OperatorsHarness().call("POST", body=body).status == 422

    def test_list(self):
        harness = OperatorsHarness()
        caller = harness.call("GET")
        rows = (Evacuation("dc1", 4, True), Evacuation("dc2", 2, False))
        harness.end(Code.CURRENT, version=1, evacuations=rows)
        listed = json.loads(caller.body)["evacuations"]
        assert [row["active"] for row in listed] == [True, False]

    def test_list_without_a_quorum(self):
        """Guards against an old list that is reported as current."""
        harness = OperatorsHarness()
        caller = harness.call("GET")
        harness.end(Code.NOT_ACCEPTED)
        assert caller.status == 503

    def test_other_paths_and_methods(self):
        harness = OperatorsHarness()
        assert harness.call("GET", "/metrics").body == b"metrics"
        assert harness.call("PUT").status == 405
