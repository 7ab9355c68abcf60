"""The faults that a soak run injects."""

from __future__ import annotations

import asyncio
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from soak.cluster import DATA_CENTRES, EVACUATION_LIMIT_S, PORTS
from soak.full_disks import fill_all_disks, fill_disk, fill_disks_in_turn
from soak.searchers import DEPARTURE_S
from soak.tolerance import tolerates_disk_loss

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from soak.__main__ import Run


async def kill(run: Run) -> None:
    """Kills any process; it is restarted at once."""
    run.cluster.kill(run.rng.choice(run.cluster.machines))


async def kill_all_control(run: Run) -> None:
    """Kills all control instances at the same moment."""
    for machine in run.cluster.of_role("control"):
        run.cluster.kill(machine)


async def lose_disk(run: Run) -> None:
    """Restarts a control instance with an empty disk, if the group allows."""
    async with run.disk_loss:
        if await tolerates_disk_loss(run):
            run.cluster.kill(
                run.rng.choice(run.cluster.of_role("control")), wipe=True
            )


async def replace_control(run: Run) -> None:
    """Replaces a control machine by an empty one, if the group allows."""
    async with run.disk_loss:
        if await tolerates_disk_loss(run):
            run.cluster.replace(run.rng.choice(run.cluster.of_role("control")))


async def change_seeds(run: Run) -> None:
    """Changes the seeds in all settings while the processes run."""
    controls = run.cluster.of_role("control")
    seeds = run.rng.sample(controls, run.rng.randint(1, len(controls)))
    run.cluster.change_seeds([machine.ip for machine in seeds])


async def freeze(run: Run) -> None:
    """Suspends a process for 0.5 to 3 s."""
    machine = run.rng.choice(run.cluster.machines)
    run.cluster.signal(machine, signal.SIGSTOP)
    await asyncio.sleep(run.rng.uniform(0.5, 3.0))
    run.cluster.signal(machine, signal.SIGCONT)


async def terminate_entry(run: Run) -> None:
    """Stops an entry with SIGTERM and restarts it."""
    machine = run.rng.choice(run.cluster.of_role("entry"))
    process = machine.process
    run.cluster.signal(machine, signal.SIGTERM)
    while machine.process is process and process.poll() is None:
        await asyncio.sleep(0.1)
    if machine.process is process:
        if process.returncode not in (0, -signal.SIGTERM):
            run.cluster.violations.append(
                f"SIGTERM ended with code {process.returncode}"
            )
        run.cluster.start(machine)


async def slow_searcher(run: Run) -> None:
    """Makes a searcher slow for 4 s."""
    loop = asyncio.get_running_loop()
    run.rng.choice(run.searchers).slow_until = loop.time() + 4.0


async def crash_searcher(run: Run) -> None:
    """Stops a searcher without a drain and starts another one.

    Every other time the new one has the id and the address of the old one.
    """
    searcher = run.rng.choice(run.searchers)
    run.searchers.remove(searcher)
    searcher.stop()
    run.crash_faults += 1
    previous = searcher if run.crash_faults % 2 else None
    await run.add_searcher(searcher.service, previous, searcher.data_centre)


async def drain_searcher(run: Run) -> None:
    """Drains a searcher and starts another one at a new address."""
    searcher = run.rng.choice(run.searchers)
    run.searchers.remove(searcher)
    await run.add_searcher(searcher.service, data_centre=searcher.data_centre)
    await searcher.drain()


async def leave_searcher(run: Run) -> None:
    """Lets a searcher leave and serve on; half the time all is killed then."""
    searcher = run.rng.choice(run.searchers)
    kills = run.rng.random() < 0.5
    run.searchers.remove(searcher)
    await run.add_searcher(searcher.service, data_centre=searcher.data_centre)
    if await searcher.leave() and kills:
        for machine in run.cluster.machines:
            run.cluster.kill(machine)
    await asyncio.sleep(2 * DEPARTURE_S)
    searcher.stop()


async def evacuate(run: Run) -> None:
    """Evacuates a data centre for 1 to 8 s, up to three times in a row."""
    async with _evacuation(run) as data_centre:
        for _ in range(run.rng.randint(1, 3)):
            await _order(run, data_centre, "start")
            await _check_evacuated(run, data_centre, run.rng.uniform(1.0, 8.0))
            await _order(run, data_centre, "finish")


async def evacuate_while_frozen(run: Run) -> None:
    """Evacuates again while an instance is suspended that was told to end it.

    The operator repeats at another instance what the suspended one has not
    answered.
    """
    machine = run.rng.choice(run.cluster.of_role("control"))
    async with _evacuation(run) as data_centre, run.suspension:
        await _order(run, data_centre, "start")
        run.cluster.signal(machine, signal.SIGSTOP)
        try:
            address = f"{machine.ip}:{PORTS['control']}"
            await _order(run, data_centre, "finish", address)
            await _order(run, data_centre, "start")
        finally:
            run.cluster.signal(machine, signal.SIGCONT)
        await _check_evacuated(run, data_centre, EVACUATION_LIMIT_S + 2.0)
        await _order(run, data_centre, "finish")


@asynccontextmanager
async def _evacuation(run: Run) -> AsyncIterator[str]:
    """Yields a data centre that no other fault evacuates."""
    data_centre = run.rng.choice(DATA_CENTRES)
    async with run.evacuations[data_centre]:
        yield data_centre


async def _order(
    run: Run, data_centre: str, action: str, first: str = ""
) -> None:
    while not await run.operator.set_evacuation(data_centre, action, first):
        await asyncio.sleep(0.1)


async def _check_evacuated(run: Run, data_centre: str, seconds: float) -> None:
    run.cluster.evacuated[data_centre] = asyncio.get_running_loop().time()
    await asyncio.sleep(seconds)
    run.cluster.evacuated.pop(data_centre)


ALL = (
    kill,
    kill_all_control,
    lose_disk,
    replace_control,
    fill_disk,
    fill_disks_in_turn,
    fill_all_disks,
    change_seeds,
    freeze,
    terminate_entry,
    slow_searcher,
    crash_searcher,
    drain_searcher,
    leave_searcher,
    evacuate,
)
"""Faults of a run; ``evacuate_while_frozen`` is chosen by name, as beside the
loss of another control instance its orders wait for a majority for ever."""
