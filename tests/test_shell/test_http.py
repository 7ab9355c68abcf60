"""The HTTP interface of one entry: bad input, load spikes, codes."""

from __future__ import annotations

import json
import socket
import threading

import pytest
import urllib3

from examples.fleet import free_addresses, wait_for
from greengagemoor import events
from greengagemoor.application import Application
from greengagemoor.config import PeerSettings, Settings
from greengagemoor.query.messages import Reply

MAX_WAITING = 4


@pytest.fixture(scope="module")
def app(tmp_path_factory):
    http, peer = free_addresses(2)
    cfg = Settings(
        instance="e1",
        data_centre="dc1",
        roles=("entry", "control"),
        http_address=http,
        peer_address=peer,
        control_group=(PeerSettings("e1", peer),),
        data_folder=str(tmp_path_factory.mktemp("data")),
        new_group=True,
        http_threads=MAX_WAITING + 4,
        waiting_requests=MAX_WAITING,
        max_body_bytes=10_000,
        read_timeout_s=1.0,
        addresses_valid_s=0.1,
        leave_margin_s=0.0,
    )
    application = Application(cfg)
    application.start()
    yield application
    application.shut_down()


@pytest.fixture(scope="module")
def client(app):
    http = Client(app.cfg.http_address)
    body = {
        "apply_id": "first",
        "replaces": 0,
        "document": {
            "entries": ["e1"],
            "services": [
                {
                    "name": "s",
                    "backend_servers": [{"name": "a", "connection_cap": 40}],
                    "request_classes": [{"name": "read"}],
                }
            ],
        },
    }
    wait_for(
        "an accepted document",
        lambda: http.call("PUT", "/v1/document", body)[1]["code"] == 500,
    )
    wait_for("ready", lambda: http.call("GET", "/healthz")[0] == 200)
    return http


class Client:
    """Calls one entry."""

    def __init__(self, address: str):
        self.address = address
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)

    def call(self, method: str, path: str, body=None, raw: bytes | None = None):
        """Returns status and JSON (or text) of one request."""
        data = json.dumps(body).encode() if raw is None else raw
        response = self._http.request(
            method, f"http://{self.address}{path}", body=data
        )
        try:
            return response.status, response.json()
        except ValueError:
            return response.status, response.data.decode()


REQUESTS_PATH = "/v1/services/s/requests"
REQUEST = {"caller": "atlas", "request_class": "read", "request_id": "r"}


class TestBadInput:
    """Invalid input fails only its own request, with a code."""

    @pytest.mark.parametrize(
        ("body", "fault"),
        [
            ({**REQUEST, "colour": "red"}, "colour"),
            ({**REQUEST, "caller": 7}, "$.caller"),
            ({**REQUEST, "deadline_s": -1}, "deadline_s"),
            ({"caller": "atlas"}, "request_class"),
            ([1, 2], "$"),
        ],
    )
    def test_faults_name_the_field(self, client, body, fault):
        status, reply = client.call("POST", REQUESTS_PATH, body)
        assert status == 400
        assert reply["name"] == "NOT_RUN_BAD_REQUEST"
        assert any(fault in line for line in reply["faults"])

    def test_not_json(self, client):
        status, reply = client.call("POST", REQUESTS_PATH, raw=b"{no")
        assert (status, reply["code"]) == (400, 207)

    def test_deep_nesting(self, client):
        raw = b"[" * 5000
        status, reply = client.call("POST", REQUESTS_PATH, raw=raw)
        assert (status, reply["code"]) == (400, 207)

    def test_body_too_large(self, client):
        status, _ = client.call("POST", REQUESTS_PATH, raw=b"x" * 20_000)
        assert status == 413

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [("GET", "/nowhere", 404), ("PATCH", "/healthz", 405)],
    )
    def test_unknown_path_or_method(self, client, method, path, status):
        assert client.call(method, path)[0] == status

    def test_unknown_service(self, client):
        status, reply = client.call(
            "POST", "/v1/services/none/requests", REQUEST
        )
        assert (status, reply["name"]) == (404, "NOT_RUN_UNKNOWN_SERVICE")

    def test_incomplete_requests_then_disconnect(self, client):
        host, _, port = client.address.rpartition(":")
        for data in (
            b"POST " + REQUESTS_PATH.encode(),
            b"\x00\xff garbage\r\n\r\n",
        ):
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall(data)
        assert client.call("GET", "/healthz")[0] == 200

    def test_oversized_announcement_is_rejected(self, client, app):
        server = {
            "name": "a",
            "incarnation": 1,
            "sequence": 1,
            "address": "127.0.0.1:1",
            "data_centre": "dc1",
            "service": "s",
            "state": "ready",
            "versions": [
                {"version": v, "shard_count": 1, "shards": []}
                for v in range(50)
            ],
        }
        status, reply = client.call(
            "POST", "/v1/announcements", {"server": server, "renewal": 1}
        )
        assert (status, reply["name"]) == (400, "ANNOUNCEMENT_INVALID")
        assert (
            "greengagemoor_announcements_invalid 1"
            in client.call("GET", "/metrics")[1]
        )


class TestSpike:
    """Fewer requests may wait than there are HTTP threads."""

    def test_health_and_rejections_at_the_limit(self, client, app, tmp_path):
        """Health checks and rejections are still served in a load spike.

        Without a bound, waiting requests occupy every thread of the server:
        health checks time out and callers get no rejection.
        """
        silent = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        server = {
            "name": "a",
            "incarnation": 1,
            "sequence": 1,
            "address": address,
            "data_centre": "dc1",
            "service": "s",
            "state": "ready",
            "versions": [{"version": 1, "shard_count": 1, "shards": [0]}],
            "slots": 2,
            "connection_cap": 40,
        }
        announcement = {"server": server, "renewal": 1}
        assert client.call("POST", "/v1/announcements", announcement)[0] == 200
        codes = []

        def send_request(number: int) -> None:
            body = {**REQUEST, "deadline_s": 9.0, "body": number}
            codes.append(client.call("POST", REQUESTS_PATH, body)[1]["code"])

        threads = [
            threading.Thread(target=send_request, args=(n,))
            for n in range(10 * MAX_WAITING)
        ]
        for thread in threads:
            thread.start()
        wait_for("refusals", lambda: codes.count(200) >= MAX_WAITING)
        assert client.call("GET", "/v1/addresses?service=s")[0] == 200
        assert client.call("GET", "/v1/status")[0] == 200
        silent.close()
        for thread in threads:
            thread.join()
        assert len(codes) == 10 * MAX_WAITING
        assert set(codes) <= {200, 201, 204, 205, 400}


class TestTicks:
    """A tick that raises does not fail other requests."""

    def test_message_of_unknown_type(self, client, app):
        app._loop.put(object())
        wait_for("a counted failure", lambda: app._loop.failures > 0)
        assert client.call("GET", "/v1/status")[0] == 200
        text = client.call("GET", "/metrics")[1]
        assert "greengagemoor_tick_failures_total 1" in text


class TestHooks:
    """Listeners added by embedders."""

    def test_listener_receives_answers(self, client, app):
        received = []
        app.add_listener(events.ANSWERED, received.append)
        client.call("POST", REQUESTS_PATH, {**REQUEST, "request_class": "none"})
        wait_for("the listener", lambda: received)
        assert isinstance(received[-1], Reply)

    def test_raising_listener_loses_no_answer(self, client, app):
        """A listener that raises must not cost other callers their answers.

        The answers to several callers may come out of one tick. If the first
        exception ended the handling of that tick, the others would time out.
        """

        def fail(_):
            raise RuntimeError("listener")

        app.add_listener(events.ANSWERED, fail)
        codes = []
        body = {**REQUEST, "request_class": "none"}

        def send_request() -> None:
            codes.append(client.call("POST", REQUESTS_PATH, body)[1]["code"])

        threads = [
            threading.Thread(target=send_request) for _ in range(MAX_WAITING)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert codes == [206] * MAX_WAITING

    def test_series_for_caller_and_class(self, client):
        client.call("POST", REQUESTS_PATH, {**REQUEST, "deadline_s": 0.05})
        rows = client.call("GET", "/v1/histograms")[1]["rows"]
        measures = {row["measure"] for row in rows if row["caller"] == "atlas"}
        assert measures == {"latency_us", "coverage_percent", "attempts"}
