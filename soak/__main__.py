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
from soak import checks, faults
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
FILE_LOG_INTERVAL = 4
"""Every this many seeds the logs are on the disks that faults fill."""
START_TIMEOUT_S = 15.0
"""Bounds each wait for a condition, at the start and after the faults."""
RECOVERY_S = 8.0
"""Time without new faults before the recovery is checked."""


class Run:
    """One seed: load, sequential and overlapping faults, then recovery.

    Attributes:
        kinds: faults to choose from.
        crash_faults: number of searchers that faults have crashed so far.
        evacuations: each held while a fault evacuates that data centre.
        suspension: held while a fault suspends a control instance until the
            others have accepted orders; two would leave no majority.
        disk_loss: held while a fault decides on the loss of a disk.
        injected: names of the faults injected so far.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        kinds: tuple = faults.ALL,
        checkout: Path | None = None,
    ):
        self.seed = seed
        self.seconds = seconds
        self.kinds = kinds
        self.rng = random.Random(seed)
        self.cluster = Cluster(
            folder, 10 + seed % 200, CONTROL_COUNT, ENTRY_COUNT, checkout
        )
        self.cluster.pipes_logs = seed % FILE_LOG_INTERVAL != 0
        self.caller = Caller(self.cluster, self.rng)
        self.operator = Operator(self.cluster, self.rng)
        self.searchers: list[Searcher] = []
        self.injected: list[str] = []
        self.crash_faults = 0
        self.evacuations = {name: asyncio.Lock() for name in DATA_CENTRES}
        self.disk_loss = asyncio.Lock()
        self.suspension = asyncio.Lock()
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
            await self.wait_until(self.operator.put, "no document was accepted")
            await self.wait_until(
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
            await checks.check_recovered(self)
            checks.check_each_searcher_ran(self)
            self.caller.check_runs()
            checks.check_bookings_ran_once(self)
            self.cluster.crash_requests.check()
            self.cluster.check_exits()
        finally:
            for task in tasks:
                task.cancel()
            self.cluster.stop()
            for searcher in self.searchers:
                searcher.stop()
        return self.cluster.violations

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

    async def wait_until(self, condition, violation: str) -> None:
        """Waits for a condition; adds the violation if it does not occur."""
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
            fault = self.rng.choice(self.kinds)
            self.injected.append(f"{fault.__name__}")
            pending.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        await asyncio.gather(*pending)

    async def can_read(self) -> bool:
        """Whether a control instance returns the document."""
        return await self.operator.read() is not None

    async def control_gauges(self) -> list[dict[str, float]]:
        """Returns the gauges of each control instance."""
        controls = self.cluster.of_role("control")
        return [await self.cluster.gauges(machine) for machine in controls]


async def _execute(
    seed: int, seconds: float, folder: Path, kinds: tuple, checkout: Path | None
) -> tuple[Run, list[str]]:
    run = Run(seed, seconds, folder, kinds, checkout)
    return run, await run.execute()


def run_seed(
    seed: int,
    seconds: float,
    kinds: tuple = faults.ALL,
    checkout: Path | None = None,
) -> list[str]:
    """Runs one seed; keeps its logs if a guarantee was violated.

    Args:
        seed: seed of all random choices.
        seconds: time in which faults are injected.
        kinds: faults to choose from.
        checkout: folder of the code to run; the current folder if None.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run, violations = asyncio.run(
        _execute(seed, seconds, folder, kinds, checkout)
    )
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
    parser.add_argument(
        "--faults", help="faults to choose from, separated by commas"
    )
    parser.add_argument(
        "--checkout", type=Path, help="code to run; the current folder if unset"
    )
    args = parser.parse_args()
    names = args.faults.split(",") if args.faults else []
    kinds = tuple(getattr(faults, name) for name in names) or faults.ALL
    log.configure_loguru("ERROR", "soak")
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = [
        seed
        for seed in seeds
        if run_seed(seed, args.seconds, kinds, args.checkout)
    ]
    print(f"{len(seeds)} seeds, broken: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
