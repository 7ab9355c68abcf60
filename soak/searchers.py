"""Stand-in searchers in this process: answers, heartbeats, run counts."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections import Counter
from typing import TYPE_CHECKING

from greengagemoor.aio.client import HttpResponse
from greengagemoor.aio.pool import Pool
from greengagemoor.aio.requests import Limits
from greengagemoor.aio.server import HttpServer
from soak.crash_requests import CRASH_PATH_SUFFIX

if TYPE_CHECKING:
    import random

HEARTBEAT_INTERVAL_S = 0.4
DEPARTURE_S = 4.0
"""How long a searcher serves after it has reported that it drains or leaves."""
RECORDS_PER_ANSWER = 4


def make_records(request_id: str, service: str) -> bytes:
    """Returns the answer of a service's searchers to a request."""
    return b"".join(
        hashlib.md5(f"{request_id}/{service}/{i}".encode()).digest()
        for i in range(RECORDS_PER_ANSWER)
    )


async def wait_for_result(seconds: float, fut: asyncio.Future) -> object | None:
    """Returns the result of a future, or None after this many seconds.

    ``asyncio.wait_for`` swallows a cancellation that arrives together with the
    result; a caller that sends in a loop would then never end.
    """
    try:
        async with asyncio.timeout(seconds):
            return await fut
    except TimeoutError:
        return None


async def call(
    pool: Pool,
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    left_open: list | None = None,
) -> HttpResponse | None:
    """Makes one HTTP call; None without a complete answer within 1 s.

    Its connection is closed then, or stays open if ``left_open`` is given; its
    handle is added to that list.
    """
    fut = asyncio.get_running_loop().create_future()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )

    def done(outcome) -> None:
        if not fut.done():
            fut.set_result(outcome)

    sending = pool.send(address, head.encode() + body, done, lambda _: True)
    outcome = await wait_for_result(1.0, fut)
    if outcome is None and left_open is not None:
        left_open.append(sending)
    elif outcome is None:
        sending.cancel()
    return outcome if isinstance(outcome, HttpResponse) else None


class Searcher:
    """One incarnation of a searcher.

    Attributes:
        slow_until: loop time until which its answers are slow.
        draining_since: loop time at which a control instance acknowledged the
            drain; infinite before that, None without a drain.
    """

    def __init__(
        self,
        cluster,
        service: str,
        address: str,
        rng: random.Random,
        data_centre: str = "dc1",
    ):
        self.cluster = cluster
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.rng = rng
        self.searcher_id = f"i-{rng.getrandbits(40):010x}"
        self.started_at_ms = time.time_ns() // 1_000_000
        self.own_runs = 0
        self.slow_until = 0.0
        self.draining_since: float | None = None
        self.ended = False
        self.runs: Counter[str] = cluster.runs
        self._sequence = 0
        self._pool = Pool()
        self._server = HttpServer(address, self, Limits())
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens and starts to send heartbeats."""
        await self._server.start()
        self._task = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self) -> bool:
        """Sends one heartbeat; returns whether it was acknowledged."""
        self._sequence += 1
        state = "draining" if self.draining_since is not None else "ready"
        body = {
            "backend": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "born": self.started_at_ms,
            "slots": 4,
            "state": state,
            "cold-left-ms": 0,
            "seq-no": self._sequence,
        }
        return await self._report("heartbeat", body)

    async def _report(self, verb: str, body: dict) -> bool:
        path = f"/v1/instances/{self.searcher_id}/{verb}"
        data = json.dumps(body).encode()
        for address in self.cluster.control_addresses(self.rng):
            outcome = await call(self._pool, address, "POST", path, data)
            if outcome is not None and outcome.status == 200:
                return True
        return False

    def handle_request(self, req) -> None:
        """Answers a request after the work time."""
        loop = asyncio.get_running_loop()
        if (req.header(b"expect-instance") or "") != self.searcher_id:
            req.conn.reply(req, 421, ((b"Not-Executed", b"1"),))
            return
        request_id = req.header(b"request-id") or ""
        self.cluster.check_drain(self, loop.time())
        self.cluster.check_evacuated(self, loop.time())
        self.runs[request_id, self.service] += 1
        self.own_runs += 1
        if req.path.endswith(CRASH_PATH_SUFFIX):
            self.cluster.crash_requests.record_run(request_id, self)
            return
        work_s = 0.3 if loop.time() < self.slow_until else 0.005
        loop.call_later(work_s, self._answer, req, request_id)

    def handle_disconnect(self, req) -> None:
        """Ignores that the entry cancelled the request."""

    def _answer(self, req, request_id: str) -> None:
        headers = (
            (b"Request-Id", request_id.encode()),
            (b"Server-Stamp", f"{self.service}.{request_id}".encode()),
            (b"Server-Load", b"1,0,4"),
            (b"Keep-Alive", b"timeout=10"),
        )
        req.conn.reply(
            req, 200, headers, make_records(request_id, self.service)
        )

    async def drain(self) -> None:
        """Reports that it drains, serves a little longer and stops."""
        self.draining_since = float("inf")
        if await self.send_heartbeat():
            self.draining_since = asyncio.get_running_loop().time()
        await asyncio.sleep(DEPARTURE_S)
        self.stop()

    async def leave(self) -> bool:
        """Reports that it leaves, without a drain before; serves on.

        Returns:
            Whether that was acknowledged.
        """
        self.draining_since = float("inf")
        self._task.cancel()
        if not await self._report("leave", {"born": self.started_at_ms}):
            return False
        self.draining_since = asyncio.get_running_loop().time()
        return True

    def stop(self) -> None:
        """Stops without a drain."""
        self.ended = True
        if self._task is not None:
            self._task.cancel()
        self._server.stop_accepting()
        for conn in list(self._server.conns):
            conn.close()
