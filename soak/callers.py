"""Callers and an operator; they check the guarantees on each answer."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import TYPE_CHECKING

from greengagemoor.aio.client import HttpResponse
from greengagemoor.aio.pool import Pool
from greengagemoor.forward.mergers import merge_greatest
from soak.cluster import PORTS
from soak.crash_requests import CRASH_PATH_SUFFIX, QUARANTINE_RETRY_AFTER_S
from soak.searchers import call, make_records, wait_for_result

if TYPE_CHECKING:
    import random

    from soak.cluster import Cluster

HOST = "h.example"
SERVICES = tuple(f"s{i}" for i in range(4))
WIDE_SERVICES = (*SERVICES, *(f"w{i}" for i in range(16)))
"""Enough shards that entries divide a query among themselves."""
GATHERED_SERVICES = {"/all/": SERVICES, "/wide/": WIDE_SERVICES}
"""Services whose answers a gather route merges, by path prefix."""
TOP_K = 5
MIN_COVERAGE = 0.75
DEADLINE_MS = 1500
MAX_REDIRECTS = 2


def document(version: int) -> dict:
    """Returns a document; each version adds a route named after it."""
    route = {
        "hostname": HOST,
        "timeout-ms": 1500,
        "target-latency-ms": 300,
        "max-attempts": 2,
    }
    gather = {
        "top-k": TOP_K,
        "min-coverage": MIN_COVERAGE,
        "route-type": "safe",
    }
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
                for prefix, services in GATHERED_SERVICES.items()
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
        "services": [{"name": s, "max-conns": 40} for s in WIDE_SERVICES],
    }


class Operator:
    """Puts documents and reads them back."""

    def __init__(self, cluster: Cluster, rng: random.Random):
        self.acknowledged = 0
        self._cluster = cluster
        self._rng = rng
        self._pool = Pool()
        self._version = 0
        self._left_open: list = []

    async def put(self) -> bool:
        """Puts the next document at any control instance.

        Returns whether it was accepted.
        """
        self._version += self._rng.randint(1, 3)
        version = self._version
        body = json.dumps(document(version)).encode()
        for address in self._cluster.control_addresses(self._rng):
            outcome = await call(
                self._pool, address, "POST", "/v1/config/replace", body
            )
            if outcome is not None and outcome.status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
            if outcome is not None and outcome.status < 500:
                self._cluster.violations.append(
                    f"a valid document was rejected with status "
                    f"{outcome.status}"
                )
        return False

    async def set_evacuation(
        self, data_centre: str, action: str, first: str = ""
    ) -> bool:
        """Starts or finishes an evacuation at any control instance.

        Args:
            data_centre: data centre to evacuate.
            action: ``start`` or ``finish``.
            first: address to try before the others, if given.

        Returns whether it was accepted.
        """
        path = f"/v1/evacuation/{data_centre}/{action}"
        addresses = self._cluster.control_addresses(self._rng)
        for address in [first, *addresses] if first else addresses:
            outcome = await self._order(address, path)
            if outcome is not None and outcome.status == 200:
                return True
            if outcome is not None and outcome.status < 500:
                self._cluster.violations.append(
                    f"an evacuation was rejected with status {outcome.status}"
                )
        return False

    async def _order(self, address: str, path: str) -> HttpResponse | None:
        """Sends an order, and again if it is redirected.

        Leaves the connection open in half of the calls without an answer.
        """
        left_open = self._rng.choice((self._left_open, None))
        for _ in range(1 + MAX_REDIRECTS):
            outcome = await call(
                self._pool, address, "POST", path, left_open=left_open
            )
            if outcome is None or outcome.status != 307:
                break
            headers = {key.lower(): value for key, value in outcome.headers}
            address = headers[b"location"].decode().split("/")[2]
        return outcome

    async def read(self) -> int | None:
        """Reads the document at one instance; returns its version.

        An instance may fail to answer, but must not return a version older
        than the last acknowledged one.
        """
        before = self.acknowledged
        address = self._cluster.control_addresses(self._rng)[0]
        outcome = await call(self._pool, address, "GET", "/v1/config/get")
        if outcome is None or outcome.status != 200:
            return None
        version = json.loads(outcome.body)["version"]
        if version < before:
            self._cluster.violations.append(
                f"read version {version} after {before} was acknowledged"
            )
        return version


class Caller:
    """Sends queries and bookings; checks each answer.

    Attributes:
        statuses: number of answers by HTTP status; 0 stands for no answer.
    """

    def __init__(self, cluster: Cluster, rng: random.Random):
        self.statuses: Counter = Counter()
        self._cluster = cluster
        self._rng = rng
        self._pool = Pool()
        self._addresses: list[str] = []
        self._rejected: list[str] = []

    async def resolve_entries(self) -> None:
        """Updates the entry addresses from one directory, if it answers."""
        machine = self._rng.choice(self._cluster.of_role("control"))
        address = f"{machine.ip}:{PORTS['directory']}"
        outcome = await call(self._pool, address, "GET", "/v1/resolve?name=h")
        if outcome is not None and outcome.status == 200:
            self._addresses = json.loads(outcome.body)["addrs"]

    async def send_request(self, prefix: str, name: str = "x") -> int:
        """Sends one request; returns the HTTP status, 0 without an answer."""
        if not self._addresses:
            return 0
        request_id = f"{self._rng.getrandbits(64):016x}"
        address = self._rng.choice(self._addresses)
        data = (
            f"GET {prefix}{name} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
        ).encode()
        self._cluster.crash_requests.record_send(
            request_id, address.partition(":")[0]
        )
        fut = asyncio.get_running_loop().create_future()

        def done(outcome) -> None:
            if not fut.done():
                fut.set_result(outcome)

        sending = self._pool.send(address, data, done, lambda _: True)
        outcome = await wait_for_result(DEADLINE_MS / 1000, fut)
        if outcome is None:
            sending.cancel()
        status = outcome.status if isinstance(outcome, HttpResponse) else 0
        if name == CRASH_PATH_SUFFIX:
            return status
        self.statuses[status] += 1
        self._check(prefix, request_id, outcome, status)
        return status

    def _check(
        self, prefix: str, request_id: str, outcome, status: int
    ) -> None:
        if prefix in GATHERED_SERVICES and status == 200:
            self._check_merged(request_id, outcome, GATHERED_SERVICES[prefix])
        elif status == 200:
            service = {"/once/": "s0"}.get(prefix, "s1")
            if outcome.body != make_records(request_id, service):
                self._add_violation(request_id, "records of another request")
        if status == 503 and retry_after(outcome) >= QUARANTINE_RETRY_AFTER_S:
            self._add_violation(
                request_id, "rejected as a request that crashes searchers"
            )
        if prefix == "/once/" and status in (429, 503):
            self._rejected.append(request_id)

    def _check_merged(self, request_id: str, outcome, shards) -> None:
        headers = {k.lower().decode(): v.decode() for k, v in outcome.headers}
        stamps = headers["part-stamps"].split(", ")
        services = [stamp.partition(".")[0] for stamp in stamps]
        missing = int(headers.get("missing-parts", "0"))
        if any(
            stamp != f"{s}.{request_id}"
            for s, stamp in zip(services, stamps, strict=True)
        ):
            self._add_violation(request_id, "part stamp of another request")
        if len(set(services)) + missing != len(shards):
            self._add_violation(
                request_id,
                "parts and missing parts do not add up to all services",
            )
        if len(services) < MIN_COVERAGE * len(shards):
            self._add_violation(
                request_id, "coverage below the minimum of the route"
            )
        parts = (make_records(request_id, service) for service in services)
        if outcome.body != merge_greatest(parts, TOP_K):
            self._add_violation(
                request_id, "merged records are not the greatest of the parts"
            )

    def _add_violation(self, request_id: str, text: str) -> None:
        self._cluster.violations.append(f"{request_id}: {text}")

    def check_runs(self) -> None:
        """Checks that no booking rejected as not run has run."""
        for request_id in self._rejected:
            if self._cluster.runs[request_id, "s0"]:
                self._add_violation(
                    request_id, "rejected as not run, but it ran"
                )


def retry_after(outcome: HttpResponse) -> float:
    """Returns the seconds of the ``Retry-After`` header, or 0 without one."""
    headers = {key.lower(): value for key, value in outcome.headers}
    return float(headers.get(b"retry-after", b"0"))
