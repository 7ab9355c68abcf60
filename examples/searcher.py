"""A stand-in backend server: answers attempts and announces itself."""

from __future__ import annotations

import json
import signal
import threading
import time
from collections import Counter
from typing import Annotated

import attrs
import typer
import urllib3
from cheroot import wsgi

ANNOUNCE_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 1.0
ANNOUNCE_TARGETS = 2
"""Number of entries that receive the announcements."""
CODE_ANNOUNCEMENT_STALE = 601
"""Code of the reply to an announcement with an outdated sequence."""


@attrs.define
class Behaviour:
    """Behaviour of the stand-in; tests change it over HTTP.

    Attributes:
        shed: whether it rejects every attempt with the reason ``shed``.
        silent: whether it sends no announcements.
    """

    state: str = "ready"
    delay_s: float = 0.0
    version: int = 1
    shard_count: int = 6
    shards: tuple[int, ...] = ()
    shed: bool = False
    silent: bool = False


class Searcher:
    """Serves attempts, counts runs by request id, renews announcements."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        data_centre: str,
        entries: list[str],
        behaviour: Behaviour,
    ):
        self.behaviour = behaviour
        self.runs: Counter[str] = Counter()
        self._name = name
        self._service = service
        self._address = address
        self._data_centre = data_centre
        self._entries = entries
        self._incarnation = int(time.time() * 1000)
        self._sequence = 0
        self._renewal = 0
        self._announced: dict | None = None
        self._cancelled: set[str] = set()
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
        self._stop = threading.Event()
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)), self._serve, numthreads=24, max=24
        )

    def run(self) -> None:
        """Serves until ``stop`` is called."""
        announcer = threading.Thread(target=self._announce_periodically)
        announcer.start()
        server = threading.Thread(target=self._server.safe_start)
        server.start()
        self._stop.wait()
        self._server.stop()
        announcer.join()
        server.join()

    def stop(self) -> None:
        """Announces the state ``gone`` and stops."""
        self.behaviour.state = "gone"
        self._announce()
        self._stop.set()

    def _announce_periodically(self) -> None:
        while not self._stop.wait(ANNOUNCE_INTERVAL_S):
            if not self.behaviour.silent:
                self._announce()

    def _announce(self) -> None:
        targets = self._find_targets()
        server = self._describe([name for name, _ in targets])
        if server != self._announced:
            self._sequence += 1
            self._announced = server
        self._renewal += 1
        body = {
            "server": {**server, "sequence": self._sequence},
            "renewal": self._renewal,
        }
        for _, address in targets:
            self._announce_to(address, body)

    def _announce_to(self, address: str, body: dict) -> None:
        reply = self._call(
            "POST", f"http://{address}/v1/announcements", json.dumps(body)
        )
        if reply and reply["code"] == CODE_ANNOUNCEMENT_STALE:
            self._sequence = max(self._sequence, reply["sequence"]) + 1

    def _find_targets(self) -> list[tuple[str, str]]:
        for entry in self._entries:
            found = self._call(
                "GET", f"http://{entry}/v1/addresses?service={self._service}"
            )
            if found and found.get("addresses"):
                rows = found["addresses"][:ANNOUNCE_TARGETS]
                return [(r["instance"], r["http_address"]) for r in rows]
        return []

    def _call(self, method: str, url: str, body: str | None = None):
        try:
            return self._http.request(method, url, body=body).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def _describe(self, targets: list[str]) -> dict:
        behaviour = self.behaviour
        version = {
            "version": behaviour.version,
            "shard_count": behaviour.shard_count,
            "shards": behaviour.shards,
        }
        return {
            "name": self._name,
            "incarnation": self._incarnation,
            "address": self._address,
            "data_centre": self._data_centre,
            "service": self._service,
            "state": behaviour.state,
            "versions": [version],
            "slots": 5,
            "connection_cap": 40,
            "announced_to": targets,
        }

    def _serve(self, environ: dict, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length) or b"null")
        path = environ["PATH_INFO"]
        if path == "/v1/attempts":
            status, reply = self._attempt(body)
        elif path == "/v1/cancellations":
            self._cancelled.add(body["attempt_id"])
            status, reply = "200 OK", {}
        elif path == "/behaviour":
            for field, value in body.items():
                setattr(self.behaviour, field, value)
            status, reply = "200 OK", {}
        else:
            status, reply = "200 OK", {"runs": dict(self.runs)}
        data = json.dumps(reply).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response(status, headers)
        return [data]

    def _attempt(self, body: dict) -> tuple[str, dict]:
        behaviour = self.behaviour
        reason = self._rejection_reason(body)
        if reason:
            reply = {
                "attempt_id": body["attempt_id"],
                "ran": False,
                "reason": reason,
                "retry_after_s": 0.05,
            }
            return "503 Service Unavailable", reply
        self.runs[body["request_id"]] += 1
        if self._sleep(behaviour.delay_s, body["attempt_id"]):
            return "409 Conflict", {"ran": True, "reason": "cancelled"}
        held = [shard for shard in body["shards"] if shard in behaviour.shards]
        reply = {
            "attempt_id": body["attempt_id"],
            "request_id": body["request_id"],
            "snapshot": body["snapshot"],
            "results": [
                {
                    "shard": s,
                    "value": {"from": self._name, "echo": body["body"]},
                }
                for s in held
            ],
            "absent": [s for s in body["shards"] if s not in held],
            "state": behaviour.state,
        }
        return "200 OK", reply

    def _rejection_reason(self, body: dict) -> str:
        behaviour = self.behaviour
        if behaviour.shed:
            return "shed"
        if behaviour.state == "draining":
            return "draining"
        return "version_gone" if body["snapshot"] != behaviour.version else ""

    def _sleep(self, seconds: float, attempt_id: str) -> bool:
        """Simulates work; returns whether the attempt was cancelled."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if attempt_id in self._cancelled:
                return True
            time.sleep(min(0.01, seconds))
        return False


def main(
    name: Annotated[str, typer.Argument()],
    address: Annotated[str, typer.Argument(help="IP:PORT to listen on.")],
    service: Annotated[str, typer.Option()] = "contracts",
    entries: Annotated[
        str, typer.Option(help="Entries, IP:PORT, comma-separated.")
    ] = "",
    data_centre: Annotated[str, typer.Option()] = "dc-1",
    shards: Annotated[
        str, typer.Option(help="Shards held, comma-separated.")
    ] = "",
    shard_count: Annotated[int, typer.Option()] = 6,
) -> None:
    """Runs one stand-in searcher until SIGTERM."""
    behaviour = Behaviour(
        shard_count=shard_count,
        shards=tuple(int(shard) for shard in shards.split(",")),
    )
    searcher = Searcher(
        name, service, address, data_centre, entries.split(","), behaviour
    )
    signal.signal(signal.SIGTERM, lambda *_: searcher.stop())
    searcher.run()


if __name__ == "__main__":
    typer.run(main)
