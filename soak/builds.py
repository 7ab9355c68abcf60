"""Runs two builds of the code, one after the other and side by side.

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
from soak.cluster import DATA_CENTRES, EVACUATION_LIMIT_S

if TYPE_CHECKING:
    from soak.cluster import Machine

PHASE_S = EVACUATION_LIMIT_S + 4.0
"""Long enough to detect sends to an evacuated data centre."""
LEADER_TIMEOUT_S = 10.0
LEADER_DOWN_S = 3.0
"""Seconds for which a leader is down so that another instance is elected."""
PART_ANSWERED = re.compile(r"event=part .*peer=(\S+) .*answered=([1-9]\d*)")
"""Log line of an entry that had answers from shards it asked for a peer."""
REJECTIONS = re.compile(
    r"event=(link_bad_\w+|peer_message_refused|document_unreadable"
    r"|difference_refused|rows_unreadable|disk_damaged|tick_failed).*"
)
"""Log line of a process that could not read a message or its stored data."""


class BuildsRun(Run):
    """A run without injected faults; each machine runs one of two builds.

    Attributes:
        INITIAL_BUILDS: builds assigned in turn to the machines of each role at
            the start.
        builds: checkouts by the names ``old`` and ``new``.
        leaders: builds that have led the control group.
    """

    INITIAL_BUILDS: tuple[str, ...] = ("old",)

    def __init__(self, seed: int, folder: Path, builds: dict[str, Path]):
        super().__init__(seed, PHASE_S, folder)
        self.builds = builds
        self.leaders: set[str] = set()

    def assign_builds(self, names: tuple[str, ...]) -> None:
        """Assigns these builds in turn to the machines of each role."""
        for role in ("control", "entry"):
            for machine, name in zip(
                self.cluster.of_role(role), cycle(names), strict=False
            ):
                machine.checkout = self.builds[name]

    def build_of(self, machine: Machine) -> str:
        """Returns the name of the build that a machine runs."""
        return next(n for n, p in self.builds.items() if p == machine.checkout)

    async def restart(self) -> None:
        """Restarts all processes with the builds assigned to them."""
        for machine in self.cluster.machines:
            machine.process.kill()
        for machine in self.cluster.machines:
            machine.process.wait()
            self.cluster.start(machine)
        await self.wait_until(
            self._is_served, "no request was served after a restart"
        )
        await self.wait_until(
            self.can_read, "no document was read after a restart"
        )

    async def run_evacuation(self) -> None:
        """Evacuates a random data centre under load and records the leader."""
        data_centre = self.rng.choice(DATA_CENTRES)
        await self._set_evacuation(data_centre, "start")
        self.cluster.evacuated[data_centre] = asyncio.get_running_loop().time()
        await asyncio.sleep(PHASE_S)
        await self._record_leader()

    async def end_evacuations(self) -> None:
        """Ends all evacuations."""
        for data_centre in list(self.cluster.evacuated):
            self.cluster.evacuated.pop(data_centre)
            await self._set_evacuation(data_centre, "finish")

    async def _set_evacuation(self, data_centre: str, action: str) -> None:
        while not await self.operator.set_evacuation(data_centre, action):
            await asyncio.sleep(0.1)

    async def _leader(self) -> Machine | None:
        for machine in self.cluster.of_role("control"):
            gauges = await self.cluster.gauges(machine)
            if gauges.get("leads"):
                return machine
        return None

    async def _record_leader(self) -> Machine | None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LEADER_TIMEOUT_S
        while loop.time() < deadline:
            leader = await self._leader()
            if leader is not None:
                self.leaders.add(self.build_of(leader))
                return leader
            await asyncio.sleep(0.2)
        self.cluster.violations.append("no control instance became leader")
        return None

    def check_logs(self) -> None:
        """Checks that no process rejected what the other build wrote."""
        for machine in self.cluster.machines:
            text = (machine.folder / "log").read_text(errors="replace")
            self.cluster.violations += [
                f"{machine.name} logged {found[0]}"
                for found in REJECTIONS.finditer(text)
            ]


class UpgradeRun(BuildsRun):
    """All machines are upgraded and rolled back, on the same disks."""

    async def _run_scenario(self) -> None:
        for name in ("new", "old"):
            await self.run_evacuation()
            self.assign_builds((name,))
            await self.restart()
            await asyncio.sleep(PHASE_S)
            await self.end_evacuations()
        self.check_logs()


class MixedRun(BuildsRun):
    """The control group and the entries mix both builds; each build leads."""

    INITIAL_BUILDS = ("old", "new")

    async def _run_scenario(self) -> None:
        for names in (("old", "new"), ("new", "old")):
            self.assign_builds(names)
            await self.restart()
            await self.run_evacuation()
            await self._replace_leader()
            await self.run_evacuation()
            await self.end_evacuations()
        for _ in range(20):
            if self.leaders == set(self.builds):
                break
            await self._replace_leader()
        await self._record_leader()
        if self.leaders != set(self.builds):
            self.cluster.violations.append(
                f"only builds {self.leaders} led the group"
            )
        self.check_logs()
        self._check_shared_queries()

    async def _replace_leader(self) -> None:
        """Ends the leader until another instance leads.

        A leader that starts again at once asks for votes before the others
        miss it, and leads again.
        """
        leader = await self._record_leader()
        if leader is None:
            return
        leader.process.kill()
        leader.process.wait()
        await asyncio.sleep(LEADER_DOWN_S)
        self.cluster.start(leader)

    def _check_shared_queries(self) -> None:
        """Checks that entries of each build asked shards for the other one."""
        builds = {m.ip: self.build_of(m) for m in self.cluster.of_role("entry")}
        asked = set()
        for machine in self.cluster.of_role("entry"):
            text = (machine.folder / "log").read_text(errors="replace")
            peers = (found[1] for found in PART_ANSWERED.finditer(text))
            asked |= {
                (builds[ip], builds[machine.ip])
                for peer in peers
                if (ip := peer.partition(":")[0]) in builds
            }
        if {("old", "new"), ("new", "old")} - asked:
            self.cluster.violations.append(
                f"queries were shared between builds only as {asked}"
            )


async def _execute(
    cls: type[BuildsRun], seed: int, folder: Path, builds: dict[str, Path]
) -> tuple[BuildsRun, list[str]]:
    run = cls(seed, folder, builds)
    run.assign_builds(cls.INITIAL_BUILDS)
    return run, await run.execute()


def run_builds(
    cls: type[BuildsRun], seed: int, builds: dict[str, Path]
) -> bool:
    """Runs one kind of run; returns whether all guarantees held."""
    folder = Path(tempfile.mkdtemp(prefix=f"builds-{seed}-"))
    run, violations = asyncio.run(_execute(cls, seed, folder, builds))
    print(
        f"seed {seed}, {cls.__name__}: {len(violations)} violations, answers "
        f"{dict(sorted(run.caller.statuses.items()))}, document "
        f"{run.operator.acknowledged}, led by {sorted(run.leaders)}",
        *violations[:10],
        *([f"logs: {folder}"] if violations else []),
        sep="\n  ",
        flush=True,
    )
    if not violations:
        shutil.rmtree(folder)
    return not violations


def _check_builds(builds: dict[str, Path]) -> None:
    """Checks that each checkout runs its own code, not an installed package."""
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
            raise SystemExit(
                f"build {name}: expected code under {path}, got {found}"
            )


def main() -> int:
    """Runs both kinds of run for each seed, then the daemons."""
    parser = argparse.ArgumentParser(prog="soak.builds")
    parser.add_argument("--old", type=Path, required=True)
    parser.add_argument("--new", type=Path, default=Path())
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    args = parser.parse_args()
    builds = {"old": args.old.resolve(), "new": args.new.resolve()}
    _check_builds(builds)
    log.configure_loguru("ERROR", "soak")
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    passed = [
        run_builds(cls, seed, builds)
        for seed in seeds
        for cls in (UpgradeRun, MixedRun)
    ]
    violations = daemons.run_daemons(builds)
    print(f"daemons: {len(violations)} violations", *violations, sep="\n  ")
    return 0 if all(passed) and not violations else 1


if __name__ == "__main__":
    sys.exit(main())
