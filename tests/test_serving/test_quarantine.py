"""Operators' calls on suspect and quarantined requests."""

from __future__ import annotations

import asyncio
import json

import pytest

from greengagemoor.aio.requests import HttpRequest
from greengagemoor.feed.messages import ClearSuspect, SearcherKey, Suspect
from greengagemoor.feed.suspects import SuspectTable
from greengagemoor.serving import quarantine
from greengagemoor.serving.pending_orders import PendingOrders
from greengagemoor.serving.quarantine import QUARANTINE_PATH, QuarantinePage
from tests.test_aio.helpers import run
from tests.test_serving.helpers import Caller, Metrics, Timers

KEYS = tuple(SearcherKey(name, 7) for name in "abc")
SUSPECT = Suspect(b"s" * 16, ended=KEYS, route="r1")
QUARANTINED = Suspect(
    b"q" * 16, ended=KEYS, failed=KEYS[:1], sure=True, route="r2"
)
WATCHED = Suspect(b"w" * 16, ended=KEYS[:1])


class TestPage:
    """Calls to ``/quarantine``, which is served beside the metrics."""

    def call(
        self,
        method,
        path=QUARANTINE_PATH,
        body=b"",
        *,
        disconnects=False,
        stored=True,
        age_s=0.0,
    ):
        """Returns the answer to a call.

        Args:
            method: method of the call.
            path: its path.
            body: its body.
            disconnects: whether the caller disconnects at once.
            stored: whether the disk takes the suspects; None if it stalls.
            age_s: age of its connection in seconds.
        """

        async def store():
            if stored is None:
                await asyncio.sleep(3600)
            return stored

        async def play():
            caller = Caller(established_after=-age_s)
            self.handle(caller, method, path, body, disconnects, store)
            await asyncio.sleep(0.05)
            return caller

        return run(play())

    def handle(self, caller, method, path, body, disconnects, store):
        table = SuspectTable()
        for row in (SUSPECT, QUARANTINED, WATCHED):
            table.join(row)
        self.messages = []
        timers = Timers()
        orders = PendingOrders(timers.call_later, lambda: 0.0)
        page = QuarantinePage(
            Metrics(), table, self.messages.append, orders, store
        )
        req = HttpRequest(method, path, [], body, 0.0, caller)
        page.handle_request(req)
        if disconnects:
            page.handle_disconnect(req)
        timers.expire()

    def test_list(self):
        answer = self.call("GET")
        quarantined, suspect = json.loads(answer.body)["requests"]
        assert quarantined["standing"] == "quarantined"
        assert quarantined["ended_in_trial"] == ["a@7"]
        assert suspect["digest"] == SUSPECT.fingerprint.hex()
        assert suspect["route"] == "r1"

    def test_clear(self):
        body = json.dumps({"digest": QUARANTINED.fingerprint.hex()}).encode()
        assert self.call("POST", body=body).status == 200
        assert self.messages == [ClearSuspect(QUARANTINED.fingerprint)]

    def test_clear_that_may_be_old(self):
        """Guards against a late order that clears a request once more."""
        body = json.dumps({"digest": QUARANTINED.fingerprint.hex()}).encode()
        caller = self.call("POST", body=body, age_s=1.0)
        assert caller.status == 307
        assert self.messages == []

    def test_clear_whose_caller_disconnected(self):
        """Guards against a late order that clears a request once more."""
        body = json.dumps({"digest": QUARANTINED.fingerprint.hex()}).encode()
        assert self.call("POST", body=body, disconnects=True).status == 0
        assert self.messages == []

    @pytest.mark.parametrize("stored", [False, None])
    def test_clear_that_is_not_stored(self, monkeypatch, stored):
        """Guards against acknowledging what the next start does not know."""
        monkeypatch.setattr(quarantine, "STORE_TIMEOUT_S", 0.01)
        body = json.dumps({"digest": QUARANTINED.fingerprint.hex()}).encode()
        assert self.call("POST", body=body, stored=stored).status == 503

    @pytest.mark.parametrize(
        ("body", "status"),
        [
            (b"", 400),
            (b"[]", 400),
            (b'{"digest": 7}', 400),
            (b'{"digest": "xy"}', 400),
            (b'{"digest": "aa"}', 404),
        ],
    )
    def test_clear_with_an_invalid_or_unknown_digest(self, body, status):
        assert self.call("POST", body=body).status == status
        assert self.messages == []

    def test_other_method(self):
        assert self.call("DELETE").status == 405

    def test_other_paths_are_the_metrics(self):
        assert self.call("GET", "/metrics").body == b"metrics"
