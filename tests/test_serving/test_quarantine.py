"""Operators' calls about requests under which searchers have ended."""

from __future__ import annotations

import json

import pytest

from greengagemoor.aio.requests import HttpRequest
from greengagemoor.feed.messages import ClearSuspect, SearcherKey, Suspect
from greengagemoor.feed.suspects import SuspectTable
from greengagemoor.serving.quarantine import PATH, QuarantinePage
from tests.test_serving.helpers import Caller, Metrics

KEYS = tuple(SearcherKey(name, 7) for name in "abc")
SUSPECT = Suspect(b"s" * 16, ended=KEYS, route="r1")
REFUSED = Suspect(b"q" * 16, ended=KEYS, failed=KEYS[:1], sure=True, route="r2")
WATCHED = Suspect(b"w" * 16, ended=KEYS[:1])


class TestPage:
    """``/quarantine`` beside the metrics."""

    def call(self, method, path=PATH, body=b""):
        table = SuspectTable()
        for row in (SUSPECT, REFUSED, WATCHED):
            table.join(row)
        self.said = []
        page = QuarantinePage(Metrics(), table, self.said.append)
        caller = Caller()
        page.take(HttpRequest(method, path, [], body, 0.0, caller))
        return caller

    def test_list(self):
        answer = self.call("GET")
        refused, suspect = json.loads(answer.body)["requests"]
        assert refused["standing"] == "quarantined"
        assert refused["ended_in_trial"] == ["a@7"]
        assert suspect["digest"] == SUSPECT.fingerprint.hex()
        assert suspect["route"] == "r1"

    def test_clear(self):
        body = json.dumps({"digest": REFUSED.fingerprint.hex()}).encode()
        assert self.call("POST", body=body).status == 200
        assert self.said == [ClearSuspect(REFUSED.fingerprint)]

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
    def test_clear_of_what_is_not_there(self, body, status):
        assert self.call("POST", body=body).status == status
        assert self.said == []

    def test_other_method(self):
        assert self.call("DELETE").status == 405

    def test_other_paths_are_the_metrics(self):
        assert self.call("GET", "/metrics").body == b"metrics"
