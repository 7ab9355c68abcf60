"""Runs the soak test: ``python -m soak --seeds 1-50 --seconds 25``."""

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
from soak.callers import SERVICES, WIDE_SERVICES, Caller, Operator
from soak.cluster import DATA_CENTRES, Cluster
from soak.crash_requests import (
    CRASH_INTERVAL_RANGE_S,
    CRASH_PATH_SUFFIX,
    RESTART_DELAY_RANGE_S,
    choose_crash_prefix,
)
from soak.searchers import Searcher

CONTROL_COUNT, ENTRY_COUNT = 3, 6
START_TIMEOUT_S = 15.0
"""Bounds each wait for a condition, at the start and after the faults."""
RECOVERY_S = 8.0
"""Time without new faults before the recovery is checked."""
MIN_SERVED_SHARE = 0.9
"""Share of requests that are answered in full after the recovery."""


class Run:
    """One seed: load, sequential and overlapping faults, then recovery.

    Attributes:
        crash_faults: number of searchers that faults have crashed so far.
        evacuating: data centres under evacuation by a fault.
        disk_loss: held while a fault decides on the loss of a disk.
        injected: names of the faults injected so far.
    """

    def __init__(self, seed: int, seconds: float, folder: Path):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.cluster = Cluster(
            folder, 10 + seed % 200, CONTROL_COUNT, ENTRY_COUNT
        )
        self.caller = Caller(self.cluster, self.rng)
        self.operator = Operator(self.cluster, self.rng)
        self.searchers: list[Searcher] = []
        self.injected: list[str] = []
        self.crash_faults = 0
        self.evacuating: set[str] = set()
        self.disk_loss = asyncio.Lock()
        self._last_port = 8080

    async def execute(self) -> list[str]:
        """Runs the seed; returns the violated guarantees."""
        tasks = []
        try:
            for machine in self.cluster.machines:
                self.cluster.start(machine)
            for service in SERVICES:
                for data_centre in DATA_CENTRES:
                    await self.add_searcher(service, data_centre=data_centre)
            for service in WIDE_SERVICES[len(SERVICES) :]:
                for data_centre in DATA_CENTRES[:2]:
                    await self.add_searcher(service, data_centre=data_centre)
            await self._wait_until(
                self.operator.put, "no document was accepted"
            )
            await self._wait_until(
                self._is_served, "no request was served after the start"
            )
            tasks = [
                asyncio.create_task(t)
                for t in (self._send_load(), self._put_documents())
            ]
            crash_task = asyncio.create_task(self._send_crash_requests())
            tasks += [crash_task, asyncio.create_task(self._restart_crashed())]
            await self._run_scenario()
            crash_task.cancel()
            await asyncio.sleep(RECOVERY_S)
            for task in tasks:
                task.cancel()
            await self._check_recovered()
            self._check_each_searcher_ran()
            self.caller.check_runs()
            self.check_bookings_ran_once()
            self.cluster.crash_requests.check()
            self.cluster.check_exits()
        finally:
            for task in tasks:
                task.cancel()
            self.cluster.stop()
            for searcher in self.searchers:
                searcher.stop()
        return self.cluster.violations

    def check_bookings_ran_once(self) -> None:
        """Checks that no booking ran twice.

        Only ``s0`` serves bookings, tens of thousands in a run.
        """
        # Queries may be repeated; unlike bookings, they also run at other
        # services.
        queries = {key for key, name in self.cluster.runs if name != "s0"}
        repeated = [
            key
            for (key, name), number in self.cluster.runs.items()
            if name == "s0" and number > 1 and key not in queries
        ]
        self.cluster.violations += [
            f"{key}: a booking ran more than once" for key in repeated
        ]

    async def add_searcher(
        self,
        service: str,
        previous: Searcher | None = None,
        data_centre: str = DATA_CENTRES[0],
    ) -> None:
        """Starts a searcher.

        Args:
            service: service that it serves.
            previous: an ended searcher whose id, address and data centre the
                new one takes; None for a new address.
            data_centre: data centre of the new one, without ``previous``.
        """
        self._last_port += 1
        address = f"127.{10 + self.seed % 200}.3.1:{self._last_port}"
        if previous is not None:
            address, data_centre = previous.address, previous.data_centre
        searcher = Searcher(
            self.cluster, service, address, self.rng, data_centre
        )
        if previous is not None:
            searcher.searcher_id = previous.searcher_id
        await searcher.start()
        self.searchers.append(searcher)

    async def _wait_until(self, condition, violation: str) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_TIMEOUT_S
        while loop.time() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.1)
        self.cluster.violations.append(violation)

    async def _is_served(self) -> bool:
        await self.caller.resolve_entries()
        return await self.caller.send_request("/all/") == 200

    async def _send_load(self) -> None:
        while True:
            if self.rng.random() < 0.1:
                await self.caller.resolve_entries()
            prefixes = ("/once/", "/all/", "/wide/")
            (prefix,) = self.rng.choices(prefixes, (0.3, 0.4, 0.3))
            await self.caller.send_request(prefix)

    async def _send_crash_requests(self) -> None:
        """Repeatedly sends requests that crash searchers."""
        prefix = choose_crash_prefix(self.rng)
        while prefix:
            await asyncio.sleep(self.rng.uniform(*CRASH_INTERVAL_RANGE_S))
            await self.caller.send_request(prefix, CRASH_PATH_SUFFIX)

    async def _restart_crashed(self) -> None:
        """Restarts the searchers that a request has crashed."""
        while True:
            await asyncio.sleep(0.1)
            while self.cluster.crashed:
                crashed = self.cluster.crashed.pop()
                asyncio.create_task(self._restart_searcher(crashed))

    async def _restart_searcher(self, crashed: Searcher) -> None:
        if crashed in self.searchers:
            self.searchers.remove(crashed)
            await asyncio.sleep(self.rng.uniform(*RESTART_DELAY_RANGE_S))
            await self.add_searcher(crashed.service, crashed)

    async def _put_documents(self) -> None:
        while True:
            await self.operator.put()
            await self.operator.read()
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))

    async def _run_scenario(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.seconds
        pending = set()
        while loop.time() < deadline:
            fault = self.rng.choice(faults.ALL)
            self.injected.append(f"{fault.__name__}")
            pending.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        await asyncio.gather(*pending)

    async def _check_recovered(self) -> None:
        await self.caller.resolve_entries()
        served = [
            await self.caller.send_request("/all/") == 200 for _ in range(40)
        ]
        if sum(served) < MIN_SERVED_SHARE * len(served):
            self.cluster.violations.append(
                f"{sum(served)} of 40 served after the recovery"
            )
        await self._wait_until(
            self._can_read, "no document was read after the recovery"
        )
        await self._wait_until(
            self._all_controls_vote, "a control instance has no vote"
        )

    def _check_each_searcher_ran(self) -> None:
        """Checks that each searcher has run a request since its start."""
        for searcher in self.searchers:
            if not searcher.own_runs:
                violation = (
                    f"{searcher.searcher_id} ran no request since its start"
                )
                self.cluster.violations.append(violation)

    async def _can_read(self) -> bool:
        return await self.operator.read() is not None

    async def control_gauges(self) -> list[dict[str, float]]:
        """Returns the gauges of each control instance."""
        controls = self.cluster.of_role("control")
        return [await self.cluster.gauges(machine) for machine in controls]

    async def _all_controls_vote(self) -> bool:
        """Whether all control instances that run have a vote."""
        metrics = await self.control_gauges()
        return all(
            values.get("voters", 0) >= len(metrics) for values in metrics
        )


async def _execute(
    seed: int, seconds: float, folder: Path
) -> tuple[Run, list[str]]:
    run = Run(seed, seconds, folder)
    return run, await run.execute()


def run_seed(seed: int, seconds: float) -> list[str]:
    """Runs one seed; keeps its logs if a guarantee was violated."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run, violations = asyncio.run(_execute(seed, seconds, folder))
    print(
        f"seed {seed}: {len(violations)} violations, answers "
        f"{dict(sorted(run.caller.statuses.items()))}, document "
        f"{run.operator.acknowledged}, faults {len(run.injected)}, searchers "
        f"crashed {run.cluster.crash_requests.crashes}, "
        f"late repeats {len(run.cluster.crash_requests.late_repeats)}",
        flush=True,
    )
    for violation in violations[:10]:
        print(f"  {violation}")
    if violations:
        print(f"  injected faults: {' '.join(run.injected)}")
        print(f"  logs: {folder}")
    else:
        shutil.rmtree(folder)
    return violations


def main() -> int:
    """Runs the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", default="1-3", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    log.configure_loguru("ERROR", "soak")
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = [seed for seed in seeds if run_seed(seed, args.seconds)]
    print(f"{len(seeds)} seeds, broken: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
