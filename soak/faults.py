"""What a soak run breaks."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from soak.world import PLACES

if TYPE_CHECKING:
    from soak.__main__ import Run


async def kill(run: Run) -> None:
    """Kills any process; it starts again at once."""
    run.world.kill(run.rng.choice(run.world.machines))


async def kill_all_control(run: Run) -> None:
    """Kills all control instances at the same moment."""
    for machine in run.world.of_role("control"):
        run.world.kill(machine)


async def lose_disk(run: Run) -> None:
    """One control instance loses its disk, when that can be borne."""
    if await run.bears_a_loss():
        run.world.kill(run.rng.choice(run.world.of_role("control")), wipe=True)


async def replace_control(run: Run) -> None:
    """One control machine is gone for good; an empty one comes elsewhere."""
    if await run.bears_a_loss():
        run.world.replace(run.rng.choice(run.world.of_role("control")))


async def change_seeds(run: Run) -> None:
    """The settings of all name other control instances, while they run."""
    controls = run.world.of_role("control")
    seeds = run.rng.sample(controls, run.rng.randint(1, len(controls)))
    run.world.change_seeds([machine.ip for machine in seeds])


async def freeze(run: Run) -> None:
    """Stops a process for some seconds."""
    machine = run.rng.choice(run.world.machines)
    run.world.signal(machine, signal.SIGSTOP)
    await asyncio.sleep(run.rng.uniform(0.5, 3.0))
    run.world.signal(machine, signal.SIGCONT)


async def end_entry(run: Run) -> None:
    """Ends an entry in order, and starts it again."""
    machine = run.rng.choice(run.world.of_role("entry"))
    process = machine.process
    run.world.signal(machine, signal.SIGTERM)
    while machine.process is process and process.poll() is None:
        await asyncio.sleep(0.1)
    if machine.process is process:
        if process.returncode not in (0, -signal.SIGTERM):
            run.world.faults.append(f"SIGTERM ended in {process.returncode}")
        run.world.start(machine)


async def slow_searcher(run: Run) -> None:
    """A searcher turns slow."""
    loop = asyncio.get_running_loop()
    run.rng.choice(run.searchers).slow_until = loop.time() + 4.0


async def crash_searcher(run: Run) -> None:
    """A searcher ends without a word, and starts again or another one does.

    Every other time it starts again under the id and the address it had.
    """
    searcher = run.rng.choice(run.searchers)
    run.searchers.remove(searcher)
    searcher.stop()
    run.crashes += 1
    again = searcher if run.crashes % 2 else None
    await run.add_searcher(searcher.service, again, searcher.data_centre)


async def drain_searcher(run: Run) -> None:
    """A searcher leaves in order; another one starts elsewhere."""
    searcher = run.rng.choice(run.searchers)
    run.searchers.remove(searcher)
    await run.add_searcher(searcher.service, place=searcher.data_centre)
    await searcher.drain()


async def evacuate(run: Run) -> None:
    """A data centre gets nothing for some seconds."""
    place = run.rng.choice(PLACES)
    if place in run.evacuating:
        return
    run.evacuating.add(place)
    try:
        while not await run.operator.order(place, "start"):
            await asyncio.sleep(0.1)
        run.world.evacuated[place] = asyncio.get_running_loop().time()
        await asyncio.sleep(run.rng.uniform(1.0, 8.0))
        run.world.evacuated.pop(place)
        while not await run.operator.order(place, "finish"):
            await asyncio.sleep(0.1)
    finally:
        run.evacuating.discard(place)


ALL = (
    kill,
    kill_all_control,
    lose_disk,
    replace_control,
    change_seeds,
    freeze,
    end_entry,
    slow_searcher,
    crash_searcher,
    drain_searcher,
    evacuate,
)
