"""Faults that fill the disks of control instances."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from typing import TYPE_CHECKING

from soak.cluster import GRACE_S
from soak.tolerance import tolerates_disk_loss

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from soak.__main__ import Run
    from soak.cluster import Machine

FULL_RANGE_S = (1.0, 4.0)
EXIT_MARGIN_S = 0.5
"""Time for the end of the interpreter after the grace time."""
MAX_FREE_BYTES = 300
"""Space left in the journal of a disk that is almost full; a few records."""


async def fill_disk(run: Run) -> None:
    """Fills a control instance's disk, if the group allows.

    Meanwhile the process goes on, is killed and restarted, or is stopped.
    """
    async with run.disk_loss:
        if await tolerates_disk_loss(run):
            machine = run.rng.choice(run.cluster.of_role("control"))
            variant = run.rng.choice((_keep_running, _kill, _terminate))
            async with _full(run, machine):
                await variant(run, machine)


async def fill_disks_in_turn(run: Run) -> None:
    """Fills the disk of each control instance in turn, if the group allows."""
    async with run.disk_loss:
        machines = run.cluster.of_role("control")
        run.rng.shuffle(machines)
        for machine in machines:
            if await tolerates_disk_loss(run):
                async with _full(run, machine):
                    await _keep_running(run, machine)


async def fill_all_disks(run: Run) -> None:
    """Fills the disks of all control instances; what they hold remains."""
    async with run.disk_loss, contextlib.AsyncExitStack() as stack:
        for machine in run.cluster.of_role("control"):
            await stack.enter_async_context(_full(run, machine))
        await _keep_full(run)


async def _keep_full(run: Run) -> None:
    await asyncio.sleep(run.rng.uniform(*FULL_RANGE_S))


async def _keep_running(run: Run, machine: Machine) -> None:
    await _keep_full(run)


async def _kill(run: Run, machine: Machine) -> None:
    """Kills the process, which starts again with a full disk."""
    await _keep_full(run)
    run.cluster.kill(machine)
    await _keep_full(run)


async def _terminate(run: Run, machine: Machine) -> None:
    """Stops the process with SIGTERM; starts it with a full disk."""
    await _keep_full(run)
    process = machine.process
    run.cluster.signal(machine, signal.SIGTERM)
    while machine.process is process and process.poll() is None:
        # Another fault may suspend it meanwhile, and then signals it again.
        since_s = time.monotonic() - machine.disturbed_at
        if since_s > GRACE_S + EXIT_MARGIN_S:
            run.cluster.violations.append(
                f"{machine.name} ran {since_s:.1f} s after SIGTERM with a "
                f"full disk"
            )
            run.cluster.kill(machine)
        await asyncio.sleep(0.1)
    if machine.process is process:
        if process.returncode not in (0, -signal.SIGTERM):
            run.cluster.violations.append(
                f"SIGTERM with a full disk ended {machine.name} with code "
                f"{process.returncode}"
            )
        run.cluster.start(machine)
    await _keep_full(run)


@contextlib.asynccontextmanager
async def _full(run: Run, machine: Machine) -> AsyncIterator[None]:
    run.cluster.limit_writes(machine, choose_limit(run.rng, machine))
    try:
        yield
    finally:
        run.cluster.limit_writes(machine, None)


def choose_limit(rng: random.Random, machine: Machine) -> int:
    """Returns a file size in bytes from which on writes fail.

    Either no write succeeds at all, or the journal accepts a few more records
    and a part of the next one.
    """
    journals = (machine.folder / "data").glob("journal-*.bin")
    sizes = [path.stat().st_size for path in journals]
    return rng.choice(
        (0, max(sizes, default=0) + rng.randrange(MAX_FREE_BYTES))
    )
