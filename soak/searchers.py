"""Stand-in searchers in this process: they answer, announce, count runs."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections import Counter
from typing import TYPE_CHECKING

from greengagemoor.aio.client import HttpAnswer
from greengagemoor.aio.pool import Pool
from greengagemoor.aio.requests import Limits
from greengagemoor.aio.server import HttpServer
from soak.harm import TARGET

if TYPE_CHECKING:
    import random

ANNOUNCE_S = 0.4
RECORDS = 4


def records(request_id: str, service: str) -> bytes:
    """Returns what a service's searchers answer to a request."""
    return b"".join(
        hashlib.md5(f"{request_id}/{service}/{i}".encode()).digest()
        for i in range(RECORDS)
    )


async def within(seconds: float, fut: asyncio.Future) -> object | None:
    """Returns a result, or None if it does not come in time.

    ``asyncio.wait_for`` keeps a cancellation that comes together with the
    result to itself; whoever asks in a loop would then go on for ever.
    """
    try:
        async with asyncio.timeout(seconds):
            return await fut
    except TimeoutError:
        return None


async def call(
    pool: Pool, address: str, method: str, path: str, body: bytes = b""
) -> HttpAnswer | None:
    """Makes one HTTP call; None if no whole answer came within a second."""
    fut = asyncio.get_running_loop().create_future()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )

    def done(end) -> None:
        if not fut.done():
            fut.set_result(end)

    sending = pool.send(address, head.encode() + body, done, lambda _: True)
    end = await within(1.0, fut)
    if end is None:
        sending.cancel()
    return end if isinstance(end, HttpAnswer) else None


class Searcher:
    """One start of a searcher; it may be slow, and it may leave."""

    def __init__(
        self,
        world,
        service: str,
        address: str,
        rng: random.Random,
        data_centre: str = "dc1",
    ):
        self.world = world
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.rng = rng
        self.searcher_id = f"i-{rng.getrandbits(40):010x}"
        self.born = time.time_ns() // 1_000_000
        self.own_runs = 0
        self.slow_until = 0.0
        self.draining_since: float | None = None
        self.ended = False
        self.runs: Counter[str] = world.runs
        self._sequence = 0
        self._pool = Pool()
        self._server = HttpServer(address, self, Limits())
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens and announces itself."""
        await self._server.start()
        self._task = asyncio.create_task(self._announce())

    async def _announce(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(ANNOUNCE_S)

    async def beat(self) -> bool:
        """Announces itself once; tells whether it was acknowledged."""
        self._sequence += 1
        state = "draining" if self.draining_since is not None else "ready"
        body = {
            "backend": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "born": self.born,
            "slots": 4,
            "state": state,
            "cold-left-ms": 0,
            "seq-no": self._sequence,
        }
        path = f"/v1/instances/{self.searcher_id}/heartbeat"
        data = json.dumps(body).encode()
        for address in self.world.control_addresses(self.rng):
            end = await call(self._pool, address, "POST", path, data)
            if end is not None and end.status == 200:
                return True
        return False

    def take(self, req) -> None:
        """Runs a request, after its work time."""
        loop = asyncio.get_running_loop()
        if (req.header(b"expect-instance") or "") != self.searcher_id:
            req.conn.reply(req, 421, ((b"Not-Executed", b"1"),))
            return
        request_id = req.header(b"request-id") or ""
        self.world.check_drain(self, loop.time())
        self.world.check_evacuated(self, loop.time())
        self.runs[request_id, self.service] += 1
        self.own_runs += 1
        if req.path.endswith(TARGET):
            self.world.harm.note_run(request_id, self)
            return
        work = 0.3 if loop.time() < self.slow_until else 0.005
        loop.call_later(work, self._answer, req, request_id)

    def gone(self, req) -> None:
        """The entry cut the send; the work is dropped."""

    def _answer(self, req, request_id: str) -> None:
        headers = (
            (b"Request-Id", request_id.encode()),
            (b"Server-Stamp", f"{self.service}.{request_id}".encode()),
            (b"Server-Load", b"1,0,4"),
            (b"Keep-Alive", b"timeout=10"),
        )
        req.conn.reply(req, 200, headers, records(request_id, self.service))

    async def drain(self) -> None:
        """Says that it leaves, serves a little longer, and ends."""
        self.draining_since = float("inf")
        if await self.beat():
            self.draining_since = asyncio.get_running_loop().time()
        await asyncio.sleep(4.0)
        self.stop()

    def stop(self) -> None:
        """Ends without a word."""
        self.ended = True
        if self._task is not None:
            self._task.cancel()
        self._server.stop_accepting()
        for conn in list(self._server.conns):
            conn.close()
