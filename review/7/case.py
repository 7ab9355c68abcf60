"""A searcher's acknowledged leave is forgotten when all processes are killed.

The searcher says that it leaves, and a control machine acknowledges it. Right
after that all processes of the system are killed and are back within a second.
The searcher goes on serving for some seconds, as the pages let it, and must get
no requests.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "parts_2"))

import fleet  # noqa: E402

BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "stable-window-ms": 4000,
    "ack-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 12000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-slack": 58,
    "recovery-s": 12,
    "ttl_max_s": 5,
}
DRAIN_S = 3.0
STABLE_S = 4.0
DOWN_S = 0.7
MARGIN_S = 1.0
SERVES_ON_S = 18.0


async def main(record: fleet.Record, *, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    platform = fleet.Platform(
        record, 5, 3, BOUNDS, "base,drain,config,cost,retry,recover,scatter"
    )
    try:
        platform.start()
        operator = fleet.Operator(platform)
        await operator.configure(fleet.single_route(7, "kafi81c"))
        searchers = [
            fleet.Searcher(platform, "kafi81c", n, fleet.ZONES[n % 3])
            for n in range(4)
        ]
        for searcher in searchers:
            await searcher.start()
        await platform.wait_ready()
        clients = fleet.Clients(platform, "/goka902/", 60)
        clients.start()
        # Longer than stable-window-ms: all machines are in touch.
        await asyncio.sleep(8)
        leaving = searchers[1]
        record.say(f"{leaving.id} got {len(leaving.arrivals)} requests")
        if not await leaving.leave():
            raise fleet.CaseError("the leave was not acknowledged")
        ack = record.now()
        record.say(f"{leaving.id}: its leave was acknowledged")
        back = ack
        if trouble:
            for machine in platform.machines:
                machine.process.kill()
            for machine in platform.machines:
                machine.kill()
            record.say("all processes were killed")
            await asyncio.sleep(DOWN_S)
            platform.start()
            back = record.now()
            record.say("all processes start again")
        # A fault that took the core: twice the stable window.
        since = max(ack + DRAIN_S, back + 2 * STABLE_S if trouble else 0)
        since += MARGIN_S
        await asyncio.sleep(max(0.0, ack + SERVES_ON_S - record.now()))
        until = record.now()
        leaving.exit()
        clients.stop()
        late = [at for at, _ in leaving.arrivals if since < at <= until]
        record.say(f"answers: {clients.answers}")
        record.say(
            f"DRAIN: {len(late)} requests reached {leaving.id} between "
            f"{since:.1f} and {until:.1f} s; its leave was acknowledged at "
            f"{ack:.1f} s"
        )
        return bool(late)
    finally:
        platform.stop()


if __name__ == "__main__":
    sys.exit(fleet.run_case(FOLDER, main))
