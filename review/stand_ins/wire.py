"""Clients, the operator and searchers, as the users' pages describe them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from typing import TYPE_CHECKING

from stand_ins.fleet import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    READY_PORT,
    CaseError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from stand_ins.fleet import Fleet, Record

HEARTBEAT_S = 1.2


class Message:
    """A request or an answer with its body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with a length.

    Raises:
        OSError, asyncio.IncompleteReadError: it ends before it is complete.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    return Message(first, headers, await reader.readexactly(length))


def _pack(first: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message:
    """Sends a request on a new connection and returns the answer.

    Raises:
        OSError, asyncio.IncompleteReadError, TimeoutError: there is none.
    """
    host, _, port = address.partition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": "control", **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            writer.write(_pack(f"{method} {path} HTTP/1.1", fields, body))
            return await read_message(reader)
        finally:
            writer.close()


FAILURES = (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError)


class Client:
    """A client with one kept connection to an entry."""

    def __init__(self, record: Record, address: str):
        self._record = record
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        host: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> Message | None:
        """Sends a request; returns the answer, None if there is none."""
        note = self._record.note
        note(f"client: sends {request_id} {method} {host}{path}")
        fields = {
            "Host": host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        if method == "POST":
            fields["Content-Length"] = str(len(body))
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    ip, _, port = self.address.partition(":")
                    self._reader, self._writer = await asyncio.open_connection(
                        ip, int(port)
                    )
                first = f"{method} {path} HTTP/1.1"
                self._writer.write(_pack(first, fields, body))
                answer = await read_message(self._reader)
        except FAILURES as exc:
            reason = type(exc).__name__
            note(f"client: no answer to {request_id}: {reason}")
            self.close()
            return None
        stamp = answer.headers.get("server-stamp", "none")
        note(f"client: {request_id} gets {answer.status}, signature {stamp}")
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Operator:
    """Puts a configuration, and waits until entries are ready."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet

    async def put(self, config: dict, within_s: float = 15.0) -> None:
        """Puts a configuration at any control instance until one takes it.

        Raises:
            CaseError: none does in time.
        """
        body = json.dumps(config).encode()
        path = "/v1/config/replace"
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            ip = random.choice(self._fleet.core_ips)
            address = f"{ip}:{CONTROL_PORT}"
            with contextlib.suppress(*FAILURES):
                answer = await call(address, "POST", path, body=body)
                if answer.status == 200:
                    number = config["version"]
                    self._fleet.record.note(f"operator: {number} acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise CaseError("no control instance takes the configuration")

    async def wait_ready(self, ip: str, within_s: float = 15.0) -> None:
        """Waits until an entry is ready and listed.

        Raises:
            CaseError: it is not ready in time.
        """
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            with contextlib.suppress(*FAILURES):
                ready = await call(f"{ip}:{READY_PORT}", "GET", "/v1/readiness")
                listed = await call(
                    f"{self._fleet.core_ips[0]}:{DIRECTORY_PORT}",
                    "GET",
                    "/v1/resolve?name=a.example&zone=salle-ain",
                )
                if ready.status == 200 and ip.encode() in listed.body:
                    return
            await asyncio.sleep(0.1)
        raise CaseError("the entry does not get ready")


class Searcher:
    """A searcher: announces itself, answers health checks and requests.

    Attributes:
        cold_until: until then it is slow, as it has just started.
        serve: handles a request on a connection; returns whether the
            connection is kept.
    """

    def __init__(
        self,
        fleet: Fleet,
        service: str,
        zone: str,
        slots: int,
        serve: Callable,
        cold_s: float = 0.0,
    ):
        self.cold_until = time.monotonic() + cold_s
        self.searcher_id = f"i-{random.getrandbits(40):010x}"
        self.service = service
        self.address = ""
        self.serve = serve
        self._fleet = fleet
        self._zone = zone
        self._slots = slots
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None

    @property
    def cold_left_s(self) -> float:
        """How much longer the searcher is slow after its start."""
        return max(0.0, self.cold_until - time.monotonic())

    async def start(self) -> None:
        """Listens and starts to announce itself."""
        self._server = await asyncio.start_server(
            self._handle, "127.0.0.1", 0, backlog=256
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._tasks.append(asyncio.create_task(self._announce()))

    def stop(self) -> None:
        """Stops announcing and listening."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _announce(self) -> None:
        cores = [f"{ip}:{CONTROL_PORT}" for ip in self._fleet.core_ips]
        target = random.choice(cores)
        while True:
            self._sequence += 1
            body = {
                "backend": self.service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "cold-left-ms": int(1000 * self.cold_left_s),
                "seq-no": self._sequence,
                "born": self._born,
            }
            path = f"/v1/instances/{self.searcher_id}/heartbeat"
            try:
                answer = await call(
                    target, "POST", path, body=json.dumps(body).encode()
                )
                taken = answer.status == 200
                if taken:
                    reply = json.loads(answer.body)
                    target = reply.get("heartbeat-addr") or target
            except FAILURES:
                taken = False
            if not taken:
                target = random.choice(cores)
            await asyncio.sleep(HEARTBEAT_S if taken else 0.2)

    async def _handle(self, reader, writer) -> None:
        connection = Connection(writer)
        try:
            kept = True
            while kept:
                request = await read_message(reader)
                if request.first.split()[1] == "/health":
                    fields = {
                        "Instance-Id": self.searcher_id,
                        "Content-Length": "0",
                    }
                    connection.write(200, fields)
                    continue
                expected = request.headers.get("expect-instance")
                if expected not in (None, self.searcher_id):
                    connection.write(421, {"Content-Length": "0"})
                    continue
                kept = await self.serve(self, connection, request)
        except (*FAILURES, asyncio.CancelledError):
            # The caller closed the connection, or the case has ended.
            pass
        finally:
            writer.close()


class Connection:
    """One connection of a caller to a searcher.

    Attributes:
        last: the last answer that was written here, for a fault.
        repeat: an answer to be given once more, with status and headers.
    """

    def __init__(self, writer: asyncio.StreamWriter):
        self._writer = writer
        self.last: tuple[str, str, bytes] | None = None
        self.repeat: tuple[str, int, dict[str, str]] | None = None

    def write(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Writes an answer with these headers only."""
        self._writer.write(_pack(f"HTTP/1.1 {status} S", headers, body))

    def write_answer(
        self, status: int, request_id: str, stamp: str, body: bytes, **more: str
    ) -> None:
        """Writes a whole answer with its length, and keeps it as the last."""
        fields = {
            "Request-Id": request_id,
            "Server-Stamp": stamp,
            "Content-Length": str(len(body)),
            "Keep-Alive": "timeout=10",
        }
        extra = {name.replace("_", "-"): value for name, value in more.items()}
        self.write(status, {**fields, **extra}, body)
        self.last = (request_id, stamp, body)


def service(name: str, cap: int) -> dict:
    """Returns a service of a configuration."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": cap,
        "protocol": "h1",
        "tls": False,
    }


def config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
