"""An entry that is stopped cuts requests that it took late in its grace."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins import fleet as fleets  # noqa: E402
from stand_ins import wire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PATH = "dossier.example", "/archive/"
WORK_S, SLOW_SPEED, COLD_FACTOR = 1.15, 1.3, 1.6
"""Work of a large dossier; the site file has up to 1.3 s, times 1.3 at its
slowest searchers, times 1.6 in the first 3 s after a searcher's start. All end
within the grace time, 5.5 to 5.9 s after it began.
"""
COLD_S = 3.0
START_SEARCHERS_S = 1.5
SEND_AT_S = (3.1, 3.2, 3.3, 3.4, 3.5)
"""Seconds after SIGTERM at which requests are sent, each on a new connection.
"""
LATEST_EXCUSED_S = 3.0
"""The rule excuses only requests that were sent no later after SIGTERM."""
DEADLINE_MS = 5000


class Site:
    """The searchers' behaviour, and what ran."""

    def __init__(self, record: fleets.Record):
        self.record = record
        self.ran: list[str] = []

    async def serve(self, searcher, connection, request) -> bool:
        """Runs a request and answers it."""
        request_id = request.headers["request-id"]
        name = searcher.searcher_id
        self.ran.append(request_id)
        self.record.note(f"searcher: {name} runs {request_id}")
        factor = COLD_FACTOR if searcher.cold_left_s else 1.0
        await asyncio.sleep(WORK_S * SLOW_SPEED * factor)
        self.record.note(f"searcher: {name} answers {request_id}")
        stamp = f"{name}.{len(self.ran):x}.{request_id}"
        connection.write_answer(200, request_id, stamp, b"a dossier\n")
        return True


async def resolve(fleet: fleets.Fleet) -> list[str]:
    """Asks the directory, as a client does before it connects."""
    answer = await wire.call(
        f"{fleet.core_ips[0]}:{fleets.DIRECTORY_PORT}",
        "GET",
        f"/v1/resolve?name={HOST}&region=casablanca&zone=salle-ain",
    )
    reply = json.loads(answer.body)
    fleet.record.note(f"client: directory names {reply}")
    return reply["addrs"]


async def send_later(
    site: Site, address: str, after_s: float
) -> tuple[float, str, int | None]:
    """Sends one request on a new connection after a time."""
    await asyncio.sleep(after_s)
    request_id = f"{random.getrandbits(64):016x}"
    client = wire.Client(site.record, address)
    answer = await client.send(
        "POST", HOST, PATH + "2f", request_id, DEADLINE_MS, b"dossier=7"
    )
    client.close()
    return after_s, request_id, answer.status if answer is not None else None


async def play(fleet: fleets.Fleet) -> int:
    """Plays the case; returns the exit code."""
    record = fleet.record
    site = Site(record)
    operator = wire.Operator(fleet)
    route = {
        "name": "r-dossier",
        "hostname": HOST,
        "path-prefix": PATH,
        "route-type": "unsafe",
        "timeout-ms": 5000,
        "target-latency-ms": 854,
        "priority": 2,
        "backend": "archives",
        "max-attempts": 2,
    }
    services = [wire.service("archives", 110)]
    await operator.put(wire.config(1, [route], services))
    stopped = fleet.front_ips[0]
    for ip in fleet.front_ips:
        await operator.wait_ready(ip)
    await asyncio.sleep(5.0)
    # No disruption for the stable window of 4 s before. The client's list is
    # valid for 5 s from here on.
    addresses = await resolve(fleet)
    address = f"{stopped}:{fleets.FRONT_PORT}"
    if address not in addresses:
        raise fleets.CaseError("the directory does not name the entry")
    if TROUBLE:
        fleet.signal(stopped, signal.SIGTERM)
    sends = asyncio.gather(
        *(send_later(site, address, after_s) for after_s in SEND_AT_S)
    )
    await asyncio.sleep(START_SEARCHERS_S)
    searchers = [
        wire.Searcher(fleet, "archives", zone, 6, site.serve, COLD_S)
        for zone in fleets.ZONES
    ]
    for searcher in searchers:
        await searcher.start()
    results = await sends
    for searcher in searchers:
        searcher.stop()
    lost = [
        request_id
        for after_s, request_id, status in results
        if status is None
        and request_id in site.ran
        and after_s > LATEST_EXCUSED_S
    ]
    for request_id in lost:
        record.note(f"LOST: {request_id} ran and has no answer")
    record.note(
        f"result: {len(results)} sent, {len(site.ran)} ran, {len(lost)} that "
        "were sent over 3 s after SIGTERM ran and were cut"
    )
    if not site.ran:
        raise fleets.CaseError("no request ran")
    return 1 if lost else 0


def main() -> int:
    """Runs the case and ends all processes."""
    record = fleets.Record(HERE / "record.txt")
    fleet = None
    try:
        fleet = fleets.Fleet(record, fronts=2)
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
