"""The platform's settings, documents and calls, decoded and encoded."""

from __future__ import annotations

import json

import pytest

from greengagemoor.aio.client import HttpResponse
from greengagemoor.aio.requests import HttpRequest
from greengagemoor.errors import (
    DocumentError,
    InvalidInputError,
    SettingsError,
)
from greengagemoor.feed.messages import SearcherState, Subscribe
from greengagemoor.forward import messages as m
from greengagemoor.forward.messages import Ending, Outcome
from greengagemoor.platform.boot import read_boot
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.platform.documents import read_document
from greengagemoor.routing.routes import Grade
from greengagemoor.serving import dialect as calls
from tests.test_forward.helpers import gather, single

BOOT = """node-name=core-1
role=control
ip=10.1.0.2
zone=dc1
listen-addrs.control=10.1.0.2:8224
listen-addrs.directory=10.1.0.2:8225
internal-port-range=7740,7755
seed-addrs=10.1.0.2:8224,10.2.0.3:8224
bootstrap=true
zones.dc1=here
zones.dc2=here
heartbeat-ms=1200
bounds.grace-s=6
bounds.retry-budget-ratio=0.2
data-dir=/data/x
brand-new-field=whatever
"""
DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "all",
            "hostname": "h.example",
            "path-prefix": "/a/",
            "route-type": "safe",
            "timeout-ms": 600,
            "target-latency-ms": 118,
            "priority": 1,
            "gather": ["s0", "s1"],
            "max-attempts": 2,
            "top-k": 10,
            "min-coverage": 0.89,
        },
        {
            "name": "one",
            "hostname": "h.example",
            "path-prefix": "/b/",
            "route-type": "unsafe",
            "timeout-ms": 600,
            "target-latency-ms": 118,
            "priority": 1,
            "traffic-split": [
                {"backend": "s0", "weight": 1},
                {"backend": "s1", "weight": 3},
            ],
        },
    ],
    "services": [
        {"name": "s0", "health-path": "/health", "max-conns": 26},
        {"name": "s1", "health-path": "/health", "max-conns": 26},
    ],
    "limits": {"max-body-bytes": 1000, "idle-timeout-ms": 9000},
}
DIALECT = PlatformDialect()


def request(method="GET", target="/a/x?q=1", headers=(), body=b""):
    return HttpRequest(method, target, list(headers), body, 0.0, None)


def answer(*headers, status=200, body=b"", closes=False):
    return HttpResponse(status, tuple(headers), body, closes)


class TestBoot:
    """The settings file: lines of ``a.b=value``."""

    def test_fields(self, tmp_path):
        path = tmp_path / "boot.conf"
        path.write_text(BOOT)
        cfg = read_boot(path)
        assert cfg.instance == "10.1.0.2"
        assert cfg.peer_address == "10.1.0.2:7740"
        assert cfg.seeds == ("10.1.0.2:7740", "10.2.0.3:7740")
        assert cfg.new_group
        assert cfg.announce_s == 1.2
        assert cfg.data_centres == ("dc1", "dc2")

    def test_bounds_of_quotas(self, tmp_path):
        """Guards against settings that are accepted and have no effect."""
        path = tmp_path / "boot.conf"
        path.write_text(BOOT)
        cfg = read_boot(path)
        quota = (cfg.quota_window_s, cfg.quota_overage, cfg.quota_slack)
        assert quota == (5.0, 0.1, 20.0)
        bounds = "window-s=4", "overage=0.2", "slack=7"
        lines = "".join(f"bounds.quota-{bound}\n" for bound in bounds)
        path.write_text(BOOT + lines)
        cfg = read_boot(path)
        quota = (cfg.quota_window_s, cfg.quota_overage, cfg.quota_slack)
        assert quota == (4.0, 0.2, 7.0)

    @pytest.mark.parametrize(
        ("limits", "capacity"),
        [
            ({}, 0.0),
            ({"link-mbps": "7", "cpu-share": "0.5"}, 0.07),
            ({"link-mbps": "500", "cpu-share": "0.5"}, 0.5),
            ({"cpu-share": "1", "cores": "0.25"}, 0.25),
            ({"cores": "4", "memory-mb": "64"}, 0.25),
            ({"cpu-share": "0.5", "cores": "4"}, 2.0),
            ({"cores": "4"}, 0.0),
            ({"link-mbps": "0", "memory-mb": "128"}, 0.5),
        ],
    )
    def test_entry_capacity(self, tmp_path, limits, capacity):
        """Guards against an entry that gets more than its scarcest resource.

        One that gives no limits reports 0, so that all entries count the same.
        """
        path = tmp_path / "boot.conf"
        lines = [f"limits.{key}={value}" for key, value in limits.items()]
        path.write_text(BOOT + "\n".join(lines))
        assert read_boot(path).entry_capacity == pytest.approx(capacity)

    @pytest.mark.parametrize(
        "text",
        [
            "",
            BOOT.replace("ip=", "op="),
            BOOT.replace("=1200", "=soon"),
            BOOT + "limits.cpu-share=half",
        ],
    )
    def test_malformed_settings_are_rejected(self, tmp_path, text):
        path = tmp_path / "boot.conf"
        path.write_text(text)
        with pytest.raises(SettingsError):
            read_boot(path)


class TestDocuments:
    """The operators' document."""

    def test_decoded(self):
        table = read_document(json.dumps(DOCUMENT).encode())
        whole, split = table.routes
        assert table.version == 7
        assert whole.gather.services == ("s0", "s1")
        assert whole.gather.least_coverage == 0.89
        assert split.grade is Grade.ONCE_PER_ATTEMPT
        assert [part.weight for part in split.split] == [1, 3]
        assert table.limits.body_bytes == 1000
        assert table.limits.idle_timeout_s == 9.0

    @pytest.mark.parametrize(
        "text",
        [
            b"",
            b"[]",
            b"null",
            json.dumps(DOCUMENT).encode()[:-10],
            json.dumps({**DOCUMENT, "version": "7"}).encode(),
            json.dumps({**DOCUMENT, "version": True}).encode(),
            json.dumps({"version": 7}).encode(),
            json.dumps(DOCUMENT).replace('"safe"', '"odd"').encode(),
            json.dumps(DOCUMENT).replace("600", '"600"').encode(),
            b"[" * 100_000,
            b"\xff\xfe",
        ],
    )
    def test_unreadable(self, text):
        with pytest.raises(DocumentError):
            read_document(text)


class TestAttempts:
    """Requests to searchers, and their answers."""

    def test_hop_by_hop_headers_are_dropped(self):
        req = request(
            headers=[
                (b"Host", b"h.example"),
                (b"Request-Id", b"r1"),
                (b"Deadline-Ms", b"900"),
                (b"Connection", b"keep-alive, X-Hop"),
                (b"X-Hop", b"1"),
                (b"X-Kept", b"2"),
                (b"Expect-Instance", b"forged"),
            ]
        )
        data = DIALECT.write_attempt(req, "i1", 0.25)
        head, _, body = data.partition(b"\r\n\r\n")
        assert head.split(b"\r\n") == [
            b"GET /a/x?q=1 HTTP/1.1",
            b"Host: h.example",
            b"Request-Id: r1",
            b"X-Kept: 2",
            b"Deadline-Ms: 250",
            b"Expect-Instance: i1",
        ]
        assert body == b""

    def test_body_has_a_length(self):
        data = DIALECT.write_attempt(
            request("POST", body=b"abc", headers=[(b"Host", b"h")]), "i1", 1.0
        )
        assert b"Content-Length: 3\r\n\r\nabc" in data

    def test_load_and_signature(self):
        words = DIALECT.read_answer(
            answer((b"Server-Stamp", b"x.1"), (b"Server-Load", b"3,1,8,150"))
        )
        assert words.outcome is Outcome.ANSWERED
        assert words.answer.signature == "x.1"
        assert words.answer.load == m.SearcherLoad(3, 1, 8, 150)

    @pytest.mark.parametrize("value", [b"", b"3,1", b"a,b,c"])
    def test_bad_load_is_none(self, value):
        words = DIALECT.read_answer(answer((b"Server-Load", value)))
        assert words.answer.load is None

    @pytest.mark.parametrize(
        ("given", "outcome"),
        [
            (answer((b"Not-Executed", b"1"), status=503), Outcome.NOT_RUN),
            (answer(status=503), Outcome.ANSWERED),
            (answer(status=421), Outcome.WRONG_SEARCHER),
        ],
    )
    def test_not_run(self, given, outcome):
        assert DIALECT.read_answer(given).outcome is outcome

    def test_id_of_an_answer(self):
        assert DIALECT.is_answer_to("r1", [(b"Request-Id", b"r1")])
        assert not DIALECT.is_answer_to("r1", [(b"Request-Id", b"r2")])


class TestAnswers:
    """Answers to callers."""

    def respond(self, ending, route=None, **more):
        return DIALECT.write_answer(
            m.Respond(1, "r1", route or single(), ending, 0.1, 1, **more)
        )

    def test_merged(self):
        merged = m.Merged(b"x" * 16, ("a.1", "b.2"), 1)
        reply = self.respond(Ending.PARTIAL, gather(), merged=merged)
        assert reply.status == 200
        assert (b"Part-Stamps", b"a.1, b.2") in reply.headers
        assert (b"Missing-Parts", b"1") in reply.headers

    @pytest.mark.parametrize("ending", sorted(m.NOT_RUN, key=str))
    def test_not_run_has_a_retry_after_header(self, ending):
        """Guards against a refused account that looks like a fault.

        Only an account over its quota gets 429.
        """
        reply = self.respond(ending, retry_after_s=0.25)
        over_quota = ending is Ending.NOT_RUN_QUOTA
        assert reply.status == (429 if over_quota else 503)
        assert reply.headers == ((b"Retry-After", b"0.25"),)

    @pytest.mark.parametrize(
        ("status", "ours"),
        [(500, 500), (404, 404), (503, 502), (429, 502), (200, 502)],
    )
    def test_failures_of_searchers(self, status, ours):
        """A request with a 503 may have run unless the searcher denies it."""
        found = m.SearcherAnswer(status, "", (), b"")
        reply = self.respond(Ending.SEARCHER_FAILED, answer=found)
        assert reply.status == ours

    @pytest.mark.parametrize(
        "ending",
        [
            Ending.ANSWERED,
            Ending.SEARCHER_FAILED,
            Ending.BELOW_COVERAGE,
            Ending.NO_ANSWER,
            Ending.BROKEN,
        ],
    )
    def test_no_other_ending_promises_not_run(self, ending):
        found = m.SearcherAnswer(200, "x", (), b"")
        reply = self.respond(ending, answer=found)
        assert reply.status not in (408, 421, 429, 503)

    @pytest.mark.parametrize(
        ("ending", "status"),
        [
            (Ending.BELOW_COVERAGE, 502),
            (Ending.BROKEN, 502),
            (Ending.NO_ANSWER, 504),
        ],
    )
    def test_timeout_status_only_at_the_time_limit(self, ending, status):
        """Guards against a timeout status 5.8 ms after searchers crashed.

        A request that can't reach its coverage ends once too many shards have
        failed, long before its time limit.
        """
        assert self.respond(ending).status == status


class TestCalls:
    """Calls to control instances."""

    BEAT = {
        "backend": "s0",
        "address": "10.0.0.1:80",
        "zone": "dc1",
        "version": "v1",
        "slots": 2,
        "state": "draining",
        "cold-left-ms": 500,
        "seq-no": 4,
    }

    def read(self, method, target, body=b""):
        return DIALECT.read_call(request(method, target, body=body))

    def test_announcement(self):
        call = self.read(
            "POST", "/v1/instances/i1/heartbeat", json.dumps(self.BEAT).encode()
        )
        assert call.row.searcher_id == "i1"
        assert call.row.state is SearcherState.DRAINING
        assert call.row.cold_left_s == 0.5

    @pytest.mark.parametrize("body", [b"", b"{}", b"[]", b'{"state":"odd"}'])
    def test_malformed_announcement(self, body):
        with pytest.raises(InvalidInputError):
            self.read("POST", "/v1/instances/i1/heartbeat", body)

    def test_other_calls(self):
        assert self.read("POST", "/v1/instances/i1/leave") == calls.LeaveCall(
            "i1"
        )
        assert self.read("POST", "/v1/config/replace", b"x") == calls.PutCall(
            b"x"
        )
        assert self.read("GET", "/v1/config/get") == calls.ReadCall()
        assert self.read(
            "GET", "/v1/resolve?name=h&region=r&zone=dc1"
        ) == calls.FindEntriesCall("dc1")
        assert self.read("GET", "/v1/config/replace") is None

    @pytest.mark.parametrize(
        ("order", "active"), [("start", True), ("finish", False)]
    )
    def test_evacuation(self, order, active):
        call = self.read("POST", f"/v1/evacuation/salle-ain/{order}")
        assert call == calls.EvacuateCall("salle-ain", active)

    def test_unknown_evacuation_calls(self):
        assert self.read("POST", "/v1/evacuation/salle-ain/pause") is None
        assert self.read("GET", "/v1/evacuation/salle-ain/start") is None

    def test_answer_to_an_evacuation(self):
        assert DIALECT.write_evacuated(True).status == 200
        assert DIALECT.write_evacuated(False).status == 503
        assert DIALECT.write_evacuated(False, "a fault").status == 400

    def test_entries(self):
        entry = Subscribe("e", "10.0.0.9:80", "dc1", ready=True)
        reply = DIALECT.write_entries([entry])
        assert json.loads(reply.body)["addrs"] == ["10.0.0.9:80"]
        assert DIALECT.write_entries([]).status == 503

    def test_put(self):
        assert DIALECT.write_put(True).status == 200
        assert DIALECT.write_put(False).status == 503
        assert DIALECT.write_put(False, "a fault").status == 400

    def test_read(self):
        assert DIALECT.write_document(None).status == 503
        assert DIALECT.write_document(b"{}").body == b"{}"
