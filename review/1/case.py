"""An extra answer without a length reaches the caller of another request."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins import fleet as fleets  # noqa: E402
from stand_ins import wire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PATH = "dossier.example", "/archive/"
SEARCHERS = 5
FAULTY = 3
"""Searchers that are faulty: a share of 0.6 of five."""
SPOILED_EVERY = 34
"""One in 34 answers of a faulty searcher is spoiled: a share below 0.03."""
CALM_S, FAULT_S = 2.0, 5.0
CLIENTS = 12
WORK_S = 0.02


class Site:
    """The searchers' behaviour, and what each has answered."""

    def __init__(self, record: fleets.Record):
        self.record = record
        self.is_faulty = False
        self.faulty: set[str] = set()
        self.answers: dict[str, set[tuple[str, bytes]]] = {}
        self.counts: dict[str, int] = {}
        self.spoiled = 0
        self._stamps = 0

    async def serve(self, searcher, connection, request) -> bool:
        """Runs a request and answers it, or spoils the answer."""
        request_id = request.headers["request-id"]
        name = searcher.searcher_id
        self.record.note(f"searcher: {name} runs {request_id}")
        await asyncio.sleep(WORK_S)
        if self._spoils(name) and connection.last is not None:
            # The second answer to the earlier request comes where the answer
            # to this one is due. It has no length and ends with the connection.
            earlier, stamp, body = connection.last
            self.spoiled += 1
            self.record.note(
                f"searcher: {name} answers {earlier} once more, without a "
                f"length, where the answer to {request_id} is due"
            )
            fields = {"Request-Id": earlier, "Server-Stamp": stamp}
            connection.write(200, {**fields, "Connection": "close"}, body)
            return False
        self._stamps += 1
        stamp = f"{name}.{self._stamps:x}.{request_id}"
        body = f"the dossier that {request_id} asked for\n".encode() * 20
        self.answers.setdefault(request_id, set()).add((stamp, body))
        connection.write_answer(200, request_id, stamp, body)
        return True

    def _spoils(self, name: str) -> bool:
        if not (self.is_faulty and name in self.faulty):
            return False
        self.counts[name] = self.counts.get(name, 0) + 1
        return self.counts[name] % SPOILED_EVERY == 0


async def run_client(site: Site, address: str, end: float) -> list[str]:
    """Sends requests until a time; returns those with a wrong answer."""
    loop = asyncio.get_running_loop()
    client = wire.Client(site.record, address)
    wrong = []
    while loop.time() < end:
        request_id = f"{random.getrandbits(64):016x}"
        answer = await client.send("GET", HOST, PATH + "2f", request_id, 2000)
        if answer is None or not 200 <= answer.status < 300:
            continue
        got = (answer.headers.get("server-stamp"), answer.body)
        if got not in site.answers.get(request_id, ()):
            wrong.append(request_id)
            site.record.note(f"MIXED: {request_id} got the answer {got[0]}")
    client.close()
    return wrong


async def play(fleet: fleets.Fleet) -> int:
    """Plays the case; returns the exit code."""
    record = fleet.record
    site = Site(record)
    searchers = [
        wire.Searcher(fleet, "archives", fleets.ZONES[i % 3], 6, site.serve)
        for i in range(SEARCHERS)
    ]
    site.faulty = {s.searcher_id for s in searchers[:FAULTY]}
    operator = wire.Operator(fleet)
    route = {
        "name": "r-dossier",
        "hostname": HOST,
        "path-prefix": PATH,
        "route-type": "safe",
        "timeout-ms": 5000,
        "target-latency-ms": 854,
        "priority": 2,
        "backend": "archives",
        "max-attempts": 2,
    }
    services = [wire.service("archives", 110)]
    for searcher in searchers:
        await searcher.start()
    await operator.put(wire.config(1, [route], services))
    ip = fleet.front_ips[0]
    await operator.wait_ready(ip)
    await asyncio.sleep(2.0)
    loop = asyncio.get_running_loop()
    if TROUBLE:
        loop.call_later(CALM_S, setattr, site, "is_faulty", True)
    end = loop.time() + CALM_S + FAULT_S
    address = f"{ip}:{fleets.FRONT_PORT}"
    results = await asyncio.gather(
        *(run_client(site, address, end) for _ in range(CLIENTS))
    )
    for searcher in searchers:
        searcher.stop()
    wrong = [request_id for ids in results for request_id in ids]
    record.note(
        f"result: {len(site.answers)} answered, {site.spoiled} spoiled, "
        f"{len(wrong)} successes with the answer to another request"
    )
    if len(site.answers) < 200 or bool(site.spoiled) != TROUBLE:
        raise fleets.CaseError("too few requests were served")
    return 1 if wrong else 0


def main() -> int:
    """Runs the case and ends all processes."""
    record = fleets.Record(HERE / "record.txt")
    fleet = None
    try:
        fleet = fleets.Fleet(record)
        fleet.start()
        return asyncio.run(asyncio.wait_for(play(fleet), 100))
    except (fleets.CaseError, OSError, TimeoutError) as exc:
        record.note(f"could not run: {exc!r}")
        return 2
    finally:
        if fleet is not None:
            fleet.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
