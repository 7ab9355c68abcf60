"""Late heartbeats of searchers that crashed end the ones at their addresses.

A cut holds back the heartbeats of three searchers, which call one control
machine after the other. They crash behind the cut. Their addresses go to a new
service, whose searchers register. Then the delayed heartbeats arrive.
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
ADDRESS_REUSE_S = 2.0
FIRST = ("r-first", "/goka902/", "kafi81c")
OLD = ("r-old", "/rany330/", "huvo11a")
LATER = ("r-later", "/nono601/", "daje37f")
SEEN_S = 10.0


async def main(record: fleet.Record, *, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    platform = fleet.Platform(
        record, 5, 3, BOUNDS, "base,drain,config,cost,retry,recover,scatter"
    )
    try:
        platform.start()
        operator = fleet.Operator(platform)
        await operator.configure(fleet.document(7, FIRST, OLD))
        zones = fleet.ZONES
        first = [
            fleet.Searcher(platform, FIRST[2], n, zones[n]) for n in range(3)
        ]
        old = [
            fleet.Searcher(platform, OLD[2], 3 + n, zones[n]) for n in range(3)
        ]
        for searcher in (*first, *old):
            await searcher.start()
        await platform.wait_ready()
        clients = fleet.Clients(platform, FIRST[1], 30)
        clients.start()
        await asyncio.sleep(5)
        # Behind the cut each calls the machine that it was told, and after a
        # second without an answer the next one.
        late = []
        for searcher in old:
            searcher.stop_beats()
        record.say("the three searchers of the old service are cut off")
        for second in range(len(platform.cores)):
            for searcher in old:
                address = searcher.addresses_to_call()[second]
                late.append((searcher, address, searcher.next_beat()))
            await asyncio.sleep(1)
        for searcher in old:
            searcher.exit()
        record.say("they crash")
        await asyncio.sleep(ADDRESS_REUSE_S + 0.5)
        new = [
            fleet.Searcher(platform, LATER[2], 3 + n, zones[n])
            for n in range(3)
        ]
        for searcher in new:
            await searcher.start()
        record.say("searchers of a new service start at these addresses")
        await operator.configure(fleet.document(19, FIRST, OLD, LATER))
        await asyncio.sleep(1.5)
        if trouble:
            for searcher, address, body in late:
                await searcher.send_late(address, body)
        # Steady state: stable-window-ms and config-apply-ms have passed.
        await asyncio.sleep(8)
        on_later = fleet.Clients(platform, LATER[1], 15)
        on_first = dict(clients.answers)
        on_later.start()
        await asyncio.sleep(SEEN_S)
        clients.stop()
        on_later.stop()
        first_answers = {
            status: number - on_first.get(status, 0)
            for status, number in clients.answers.items()
        }
        record.say(f"answers on the first route: {first_answers}")
        record.say(f"answers on the route added later: {on_later.answers}")
        share_first = _share_served(first_answers)
        share_later = _share_served(on_later.answers)
        record.say(
            f"CONFIG: served {share_first:.2f} of the first route, "
            f"{share_later:.2f} of the later one"
        )
        if sum(on_later.answers.values()) < 20 or share_first < 0.5:
            raise fleet.CaseError("too few requests, or none served at all")
        return share_later < share_first / 4
    finally:
        platform.stop()


def _share_served(answers: dict[int | None, int]) -> float:
    return answers.get(200, 0) / max(1, sum(answers.values()))


if __name__ == "__main__":
    sys.exit(fleet.run_case(FOLDER, main))
