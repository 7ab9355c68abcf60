"""Runs seeds: ``python -m soak --seeds 1-50 --seconds 25``."""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
from pathlib import Path

from greengagemoor import log
from soak import faults
from soak.callers import SERVICES, WIDE, Caller, Operator
from soak.harm import BACK_S, EVERY_S, TARGET, pick_prefix
from soak.searchers import Searcher
from soak.world import PLACES, World

CONTROLS, ENTRIES = 3, 6
START_S = 15.0
CALM_S = 8.0
RECOVERED_SHARE = 0.9


class Run:
    """One seed: load, faults in series and overlapping, then calm."""

    def __init__(self, seed: int, seconds: float, folder: Path):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.world = World(folder, 10 + seed % 200, CONTROLS, ENTRIES)
        self.caller = Caller(self.world, self.rng)
        self.operator = Operator(self.world, self.rng)
        self.searchers: list[Searcher] = []
        self.events: list[str] = []
        self.crashes = 0
        self.evacuating: set[str] = set()
        self._ports = 8080

    async def play(self) -> list[str]:
        """Plays the run; returns the promises that were broken."""
        tasks = []
        try:
            for machine in self.world.machines:
                self.world.start(machine)
            for service in SERVICES:
                for place in PLACES:
                    await self.add_searcher(service, place=place)
            for service in WIDE[len(SERVICES) :]:
                for place in PLACES[:2]:
                    await self.add_searcher(service, place=place)
            await self._until(self.operator.put, "no document was accepted")
            await self._until(self._served, "nothing was served at first")
            tasks = [
                asyncio.create_task(t) for t in (self._load(), self._put())
            ]
            harm = asyncio.create_task(self._harm())
            tasks += [harm, asyncio.create_task(self._bring_back())]
            await self._break_things()
            harm.cancel()
            await asyncio.sleep(CALM_S)
            for task in tasks:
                task.cancel()
            await self._check_recovered()
            self._check_all_serve()
            self.caller.check_runs()
            self.check_once()
            self.world.harm.check()
            self.world.check_ends()
        finally:
            for task in tasks:
                task.cancel()
            self.world.stop()
            for searcher in self.searchers:
                searcher.stop()
        return self.world.faults

    def check_once(self) -> None:
        """No booking ran twice; only s0 takes them, in tens of thousands."""
        # Queries may repeat: their ids are told apart by having run elsewhere.
        queries = {key for key, name in self.world.runs if name != "s0"}
        twice = [
            key
            for (key, name), number in self.world.runs.items()
            if name == "s0" and number > 1 and key not in queries
        ]
        self.world.faults += [f"{key}: a booking ran twice" for key in twice]

    async def add_searcher(
        self,
        service: str,
        again: Searcher | None = None,
        place: str = PLACES[0],
    ) -> None:
        """Starts a searcher at a new address, or one that has ended again."""
        self._ports += 1
        address = f"127.{10 + self.seed % 200}.3.1:{self._ports}"
        if again is not None:
            address, place = again.address, again.data_centre
        searcher = Searcher(self.world, service, address, self.rng, place)
        if again is not None:
            searcher.searcher_id = again.searcher_id
        await searcher.start()
        self.searchers.append(searcher)

    async def _until(self, trial, fault: str) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + START_S
        while loop.time() < end:
            if await trial():
                return
            await asyncio.sleep(0.1)
        self.world.faults.append(fault)

    async def _served(self) -> bool:
        await self.caller.look_up()
        return await self.caller.ask("/all/") == 200

    async def _load(self) -> None:
        while True:
            if self.rng.random() < 0.1:
                await self.caller.look_up()
            prefixes = ("/once/", "/all/", "/wide/")
            (prefix,) = self.rng.choices(prefixes, (0.3, 0.4, 0.3))
            await self.caller.ask(prefix)

    async def _harm(self) -> None:
        """Asks for what ends searchers, again and again."""
        prefix = pick_prefix(self.rng)
        while prefix:
            await asyncio.sleep(self.rng.uniform(*EVERY_S))
            await self.caller.ask(prefix, TARGET)

    async def _bring_back(self) -> None:
        """Starts searchers again that a request has ended."""
        while True:
            await asyncio.sleep(0.1)
            while self.world.crashed:
                crashed = self.world.crashed.pop()
                asyncio.create_task(self._start_again(crashed))

    async def _start_again(self, crashed: Searcher) -> None:
        if crashed in self.searchers:
            self.searchers.remove(crashed)
            await asyncio.sleep(self.rng.uniform(*BACK_S))
            await self.add_searcher(crashed.service, crashed)

    async def _put(self) -> None:
        while True:
            await self.operator.put()
            await self.operator.read()
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))

    async def _break_things(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        pending = set()
        while loop.time() < end:
            fault = self.rng.choice(faults.ALL)
            self.events.append(f"{fault.__name__}")
            pending.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        await asyncio.gather(*pending)

    async def _check_recovered(self) -> None:
        await self.caller.look_up()
        good = [await self.caller.ask("/all/") == 200 for _ in range(40)]
        if sum(good) < RECOVERED_SHARE * len(good):
            self.world.faults.append(f"{sum(good)} of 40 served when calm")
        await self._until(self._read_back, "no read when calm")
        await self._until(self._is_whole, "a control instance has no vote")

    def _check_all_serve(self) -> None:
        """Each searcher has run something since it started."""
        for searcher in self.searchers:
            if not searcher.own_runs:
                fault = f"{searcher.searcher_id} ran nothing since its start"
                self.world.faults.append(fault)

    async def _read_back(self) -> bool:
        return await self.operator.read() is not None

    async def bears_a_loss(self) -> bool:
        """Whether a leader says that the group bears the loss of a disk."""
        for machine in self.world.of_role("control"):
            gauges = await self.world.gauges(machine)
            if gauges.get("losses_borne", 0) >= 1:
                return True
        return False

    async def _is_whole(self) -> bool:
        """Whether all control instances that run have a vote again."""
        controls = self.world.of_role("control")
        told = [await self.world.gauges(machine) for machine in controls]
        return all(one.get("voters", 0) >= len(controls) for one in told)


async def _play(
    seed: int, seconds: float, folder: Path
) -> tuple[Run, list[str]]:
    run = Run(seed, seconds, folder)
    return run, await run.play()


def play(seed: int, seconds: float) -> list[str]:
    """Plays one seed; its logs stay behind when a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run, faults = asyncio.run(_play(seed, seconds, folder))
    print(
        f"seed {seed}: {len(faults)} broken, answers "
        f"{dict(sorted(run.caller.endings.items()))}, document "
        f"{run.operator.acknowledged}, faults {len(run.events)}, searchers "
        f"ended {run.world.harm.ends}, late {len(run.world.harm.late)}",
        flush=True,
    )
    for fault in faults[:10]:
        print(f"  {fault}")
    if faults:
        print(f"  events: {' '.join(run.events)}")
        print(f"  logs: {folder}")
    else:
        shutil.rmtree(folder)
    return faults


def main() -> int:
    """Plays the seeds that the command line names."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", default="1-3", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    log.set_up("ERROR", "soak")
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = [seed for seed in seeds if play(seed, args.seconds)]
    print(f"{len(seeds)} seeds, broken: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
