"""Callers and an operator, who check each promise by what they see."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import TYPE_CHECKING

from greengagemoor.aio.client import HttpAnswer
from greengagemoor.aio.pool import Pool
from greengagemoor.forward.mergers import merge_greatest
from soak.harm import REFUSED_S, TARGET
from soak.searchers import call, records, within
from soak.world import PORTS

if TYPE_CHECKING:
    import random

    from soak.world import World

HOST = "h.example"
SERVICES = tuple(f"s{i}" for i in range(4))
WIDE = (*SERVICES, *(f"w{i}" for i in range(16)))
"""So many shards that entries share them."""
GATHERS = {"/all/": SERVICES, "/wide/": WIDE}
TOP = 5
LEAST = 0.75
PATIENCE_MS = 1500


def document(version: int) -> dict:
    """Returns a document; each version has a route of its own."""
    route = {
        "hostname": HOST,
        "timeout-ms": 1500,
        "target-latency-ms": 300,
        "max-attempts": 2,
    }
    gather = {"top-k": TOP, "min-coverage": LEAST, "route-type": "safe"}
    return {
        "version": version,
        "routes": [
            *(
                {
                    **route,
                    **gather,
                    "name": prefix.strip("/"),
                    "path-prefix": prefix,
                    "gather": services,
                }
                for prefix, services in GATHERS.items()
            ),
            {
                **route,
                "name": "once",
                "path-prefix": "/once/",
                "route-type": "unsafe",
                "backend": "s0",
            },
            {
                **route,
                "name": f"v{version}",
                "path-prefix": f"/v{version}/",
                "route-type": "safe",
                "backend": "s1",
            },
        ],
        "services": [{"name": s, "max-conns": 40} for s in WIDE],
    }


class Operator:
    """Puts documents and reads them back."""

    def __init__(self, world: World, rng: random.Random):
        self.acknowledged = 0
        self._world = world
        self._rng = rng
        self._pool = Pool()
        self._version = 0

    async def put(self) -> bool:
        """Puts the next document, at any control instance."""
        self._version += self._rng.randint(1, 3)
        version = self._version
        body = json.dumps(document(version)).encode()
        for address in self._world.control_addresses(self._rng):
            end = await call(
                self._pool, address, "POST", "/v1/config/replace", body
            )
            if end is not None and end.status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
            if end is not None and end.status < 500:
                self._world.faults.append(f"a valid put got {end.status}")
        return False

    async def order(self, data_centre: str, name: str) -> bool:
        """Evacuates a data centre, or takes that back, at any instance."""
        path = f"/v1/evacuation/{data_centre}/{name}"
        for address in self._world.control_addresses(self._rng):
            end = await call(self._pool, address, "POST", path)
            if end is not None and end.status == 200:
                return True
            if end is not None and end.status < 500:
                self._world.faults.append(f"an order got {end.status}")
        return False

    async def read(self) -> int | None:
        """Reads at one instance; it may not know, but never be behind."""
        before = self.acknowledged
        address = self._world.control_addresses(self._rng)[0]
        end = await call(self._pool, address, "GET", "/v1/config/get")
        if end is None or end.status != 200:
            return None
        version = json.loads(end.body)["version"]
        if version < before:
            self._world.faults.append(f"read {version} after {before}")
        return version


class Caller:
    """Sends queries and bookings; checks each answer."""

    def __init__(self, world: World, rng: random.Random):
        self.endings: Counter = Counter()
        self._world = world
        self._rng = rng
        self._pool = Pool()
        self._addresses: list[str] = []
        self._refused: list[str] = []

    async def look_up(self) -> None:
        """Asks one directory for entries; keeps the old answer otherwise."""
        machine = self._rng.choice(self._world.of_role("control"))
        address = f"{machine.ip}:{PORTS['directory']}"
        end = await call(self._pool, address, "GET", "/v1/resolve?name=h")
        if end is not None and end.status == 200:
            self._addresses = json.loads(end.body)["addrs"]

    async def ask(self, prefix: str, name: str = "x") -> int:
        """Sends one request; returns its status, 0 for none."""
        if not self._addresses:
            return 0
        request_id = f"{self._rng.getrandbits(64):016x}"
        address = self._rng.choice(self._addresses)
        data = (
            f"GET {prefix}{name} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {PATIENCE_MS}\r\n\r\n"
        ).encode()
        self._world.harm.note_sent(request_id, address.partition(":")[0])
        fut = asyncio.get_running_loop().create_future()

        def done(end) -> None:
            if not fut.done():
                fut.set_result(end)

        sending = self._pool.send(address, data, done, lambda _: True)
        end = await within(PATIENCE_MS / 1000, fut)
        if end is None:
            sending.cancel()
        status = end.status if isinstance(end, HttpAnswer) else 0
        if name == TARGET:
            return status
        self.endings[status] += 1
        self._check(prefix, request_id, end, status)
        return status

    def _check(self, prefix: str, request_id: str, end, status: int) -> None:
        if prefix in GATHERS and status == 200:
            self._check_merged(request_id, end, GATHERS[prefix])
        elif status == 200:
            service = {"/once/": "s0"}.get(prefix, "s1")
            if end.body != records(request_id, service):
                self._fault(request_id, "another request's records")
        if status == 503 and retry_after(end) >= REFUSED_S:
            self._fault(request_id, "taken for one that ends searchers")
        if prefix == "/once/" and status in (429, 503):
            self._refused.append(request_id)

    def _check_merged(self, request_id: str, end, shards) -> None:
        headers = {k.lower().decode(): v.decode() for k, v in end.headers}
        stamps = headers["part-stamps"].split(", ")
        services = [stamp.partition(".")[0] for stamp in stamps]
        missing = int(headers.get("missing-parts", "0"))
        if any(
            stamp != f"{s}.{request_id}"
            for s, stamp in zip(services, stamps, strict=True)
        ):
            self._fault(request_id, "a signature of another request")
        if len(set(services)) + missing != len(shards):
            self._fault(request_id, "parts and missing don't make up the set")
        if len(services) < LEAST * len(shards):
            self._fault(request_id, "below the coverage floor")
        parts = (records(request_id, service) for service in services)
        if end.body != merge_greatest(parts, TOP):
            self._fault(request_id, "not the greatest records of its parts")

    def _fault(self, request_id: str, text: str) -> None:
        self._world.faults.append(f"{request_id}: {text}")

    def check_runs(self) -> None:
        """Bookings ran once at most, and never when they were refused."""
        for request_id in self._refused:
            if self._world.runs[request_id, "s0"]:
                self._fault(request_id, "refused as not run, and ran")


def retry_after(end: HttpAnswer) -> float:
    """Returns the seconds after which a caller is told to come back."""
    headers = {key.lower(): value for key, value in end.headers}
    return float(headers.get(b"retry-after", b"0"))
