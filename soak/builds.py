"""Plays two builds of the code: one after the other, and side by side.

``python -m soak.builds --old CHECKOUT [--new CHECKOUT] [--seeds 1-2]``
"""

from __future__ import annotations

import argparse
import asyncio
import re
import shutil
import subprocess
import sys
import tempfile
from itertools import cycle
from pathlib import Path
from typing import TYPE_CHECKING

from greengagemoor import log
from soak import daemons
from soak.__main__ import Run
from soak.world import EVACUATE_S, PLACES

if TYPE_CHECKING:
    from soak.world import Machine

SPAN_S = EVACUATE_S + 4.0
"""Long enough to see what is sent to an evacuated data centre."""
LEADER_S = 10.0
PART = re.compile(r"event=part .*peer=(\S+) .*answered=([1-9]\d*)")
REFUSALS = re.compile(
    r"event=(link_bad_\w+|peer_message_refused|document_unreadable"
    r"|difference_refused|rows_unreadable|disk_damaged|tick_failed).*"
)


class BuildsRun(Run):
    """A run without faults, whose machines run one of two builds each.

    Attributes:
        FIRST: builds that the machines of a role start with, by turns.
    """

    FIRST: tuple[str, ...] = ("old",)

    def __init__(self, seed: int, folder: Path, builds: dict[str, Path]):
        super().__init__(seed, SPAN_S, folder)
        self.builds = builds
        self.leaders: set[str] = set()

    def assign(self, names: tuple[str, ...]) -> None:
        """Gives each role's machines these builds by turns."""
        for role in ("control", "entry"):
            for machine, name in zip(
                self.world.of_role(role), cycle(names), strict=False
            ):
                machine.checkout = self.builds[name]

    def build_of(self, machine: Machine) -> str:
        """Returns the name of the build that a machine runs."""
        return next(n for n, p in self.builds.items() if p == machine.checkout)

    async def restart(self) -> None:
        """Ends all processes, then starts them with the builds assigned."""
        for machine in self.world.machines:
            machine.process.kill()
        for machine in self.world.machines:
            machine.process.wait()
            self.world.start(machine)
        await self._until(self._served, "nothing was served after a restart")
        await self._until(self._read_back, "no read after a restart")

    async def span(self) -> None:
        """Evacuates a data centre while load runs, over a change of leader."""
        place = self.rng.choice(PLACES)
        await self._order(place, "start")
        self.world.evacuated[place] = asyncio.get_running_loop().time()
        await asyncio.sleep(SPAN_S)
        await self._note_leader()

    async def end_evacuations(self) -> None:
        """Takes all evacuations back."""
        for place in list(self.world.evacuated):
            self.world.evacuated.pop(place)
            await self._order(place, "finish")

    async def _order(self, place: str, name: str) -> None:
        while not await self.operator.order(place, name):
            await asyncio.sleep(0.1)

    async def _leader(self) -> Machine | None:
        for machine in self.world.of_role("control"):
            gauges = await self.world.gauges(machine)
            if gauges.get("leads"):
                return machine
        return None

    async def _note_leader(self) -> Machine | None:
        loop = asyncio.get_running_loop()
        end = loop.time() + LEADER_S
        while loop.time() < end:
            leader = await self._leader()
            if leader is not None:
                self.leaders.add(self.build_of(leader))
                return leader
            await asyncio.sleep(0.2)
        self.world.faults.append("no control instance leads")
        return None

    def check_logs(self) -> None:
        """No process refused a message or data that the other build wrote."""
        for machine in self.world.machines:
            text = (machine.folder / "log").read_text(errors="replace")
            self.world.faults += [
                f"{machine.name} logged {found[0]}"
                for found in REFUSALS.finditer(text)
            ]


class HandOver(BuildsRun):
    """All machines change to the other build and back, on the same disks."""

    async def _break_things(self) -> None:
        for name in ("new", "old"):
            await self.span()
            self.assign((name,))
            await self.restart()
            await asyncio.sleep(SPAN_S)
            await self.end_evacuations()
        self.check_logs()


class SideBySide(BuildsRun):
    """A control group and entries of both builds; each build leads."""

    FIRST = ("old", "new")

    async def _break_things(self) -> None:
        for names in (("old", "new"), ("new", "old")):
            self.assign(names)
            await self.restart()
            await self.span()
            leader = await self._note_leader()
            if leader is not None:
                self.world.kill(leader)
            await self.span()
            await self.end_evacuations()
        for _ in range(20):
            if self.leaders == set(self.builds):
                break
            leader = await self._note_leader()
            if leader is not None:
                self.world.kill(leader)
                await asyncio.sleep(LEADER_S / 2)
        if self.leaders != set(self.builds):
            self.world.faults.append(f"only {self.leaders} led the group")
        self.check_logs()
        self._check_shared()

    def _check_shared(self) -> None:
        """Entries of each build asked shards for entries of the other one."""
        builds = {m.ip: self.build_of(m) for m in self.world.of_role("entry")}
        asked = set()
        for machine in self.world.of_role("entry"):
            text = (machine.folder / "log").read_text(errors="replace")
            peers = (found[1] for found in PART.finditer(text))
            asked |= {
                (builds[ip], builds[machine.ip])
                for peer in peers
                if (ip := peer.partition(":")[0]) in builds
            }
        if {("old", "new"), ("new", "old")} - asked:
            self.world.faults.append(f"queries were shared only {asked}")


async def _play(
    cls: type[BuildsRun], seed: int, folder: Path, builds: dict[str, Path]
) -> tuple[BuildsRun, list[str]]:
    run = cls(seed, folder, builds)
    run.assign(cls.FIRST)
    return run, await run.play()


def play(cls: type[BuildsRun], seed: int, builds: dict[str, Path]) -> bool:
    """Plays one kind of run; returns whether all promises held."""
    folder = Path(tempfile.mkdtemp(prefix=f"builds-{seed}-"))
    run, faults = asyncio.run(_play(cls, seed, folder, builds))
    print(
        f"seed {seed}, {cls.__name__}: {len(faults)} broken, answers "
        f"{dict(sorted(run.caller.endings.items()))}, document "
        f"{run.operator.acknowledged}, led by {sorted(run.leaders)}",
        *faults[:10],
        *([f"logs: {folder}"] if faults else []),
        sep="\n  ",
        flush=True,
    )
    if not faults:
        shutil.rmtree(folder)
    return not faults


def _check_builds(builds: dict[str, Path]) -> None:
    """Each checkout must run its own code, not the one installed."""
    code = "import greengagemoor; print(greengagemoor.__file__)"
    for name, path in builds.items():
        found = subprocess.run(
            [sys.executable, "-c", code],
            cwd=path,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        if not found.startswith(f"{path}/"):
            raise SystemExit(f"{name}: {path} runs {found}")


def main() -> int:
    """Plays both kinds of run, then the daemons, for each seed."""
    parser = argparse.ArgumentParser(prog="soak.builds")
    parser.add_argument("--old", type=Path, required=True)
    parser.add_argument("--new", type=Path, default=Path())
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    args = parser.parse_args()
    builds = {"old": args.old.resolve(), "new": args.new.resolve()}
    _check_builds(builds)
    log.set_up("ERROR", "soak")
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    held = [
        play(cls, seed, builds)
        for seed in seeds
        for cls in (HandOver, SideBySide)
    ]
    faults = daemons.play(builds)
    print(f"daemons: {len(faults)} broken", *faults, sep="\n  ")
    return 0 if all(held) and not faults else 1


if __name__ == "__main__":
    sys.exit(main())
