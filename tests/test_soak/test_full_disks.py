"""Control instances whose disks are full in turn, as real processes."""

from __future__ import annotations

import asyncio
import random
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

from soak import processes
from soak.callers import Operator
from soak.cluster import Cluster, Machine

NET = 231
"""Second byte of the loopback addresses; seeds use 10 to 209."""
CONTROL_COUNT = 3
TIMEOUT_S = 20.0
POLL_S = 0.1
LOG_FLUSHED_S = 2.0


def read_log(machine: Machine) -> bytes:
    return (machine.folder / "log").read_bytes()


class Group:
    """A control group and an operator, without entries."""

    def __init__(self, folder: Path, checkout: Path | None = None):
        rng = random.Random(1)
        self.cluster = Cluster(folder, NET, CONTROL_COUNT, 0, checkout)
        self.operator = Operator(self.cluster, rng)

    async def fill_disks_in_turn(self) -> None:
        """Fills each disk until a write of its instance has failed."""
        for machine in self.cluster.machines:
            await self.wait_until(self.is_whole)
            self.cluster.limit_writes(machine, 0)

            async def has_failed_write(machine=machine) -> bool:
                await self.operator.put()
                return b"member_restarts" in read_log(machine)

            await self.wait_until(has_failed_write)
            self.cluster.limit_writes(machine, None)

    async def is_whole(self) -> bool:
        """Whether all are members and a leader has heard from all of them."""
        gauges = [await self.cluster.gauges(m) for m in self.cluster.machines]
        return all(
            g.get("voters") == CONTROL_COUNT and g.get("member_open", 1.0)
            for g in gauges
        ) and any(g.get("losses_borne") for g in gauges)

    async def wait_until(self, condition) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while not await condition():
            assert time.monotonic() < deadline, self.describe(condition)
            await asyncio.sleep(POLL_S)

    def describe(self, condition) -> str:
        """Returns the name of a condition and the ends of all logs."""
        logs = [read_log(m).decode() for m in self.cluster.machines]
        lines = [line for text in logs for line in text.splitlines()[-40:]]
        return "\n".join([condition.__name__, *lines])

    async def run(self) -> None:
        try:
            for machine in self.cluster.machines:
                self.cluster.start(machine)
            await self.wait_until(self.operator.put)
            await self.fill_disks_in_turn()
            await self.wait_until(self.is_whole)
            await self.wait_until(self.operator.put)
            await self.wait_until(self.operator.read)
            self.cluster.check_exits()
        finally:
            self.cluster.stop()


async def run_group(folder: Path, checkout: Path | None = None) -> list[str]:
    group = Group(folder, checkout)
    await group.run()
    return group.cluster.violations


async def run_with_file_logs(folder: Path) -> list[object]:
    """Returns whether the log continues, and the exit code of SIGTERM."""
    group = Group(folder)
    group.cluster.pipes_logs = False
    machine = group.cluster.machines[0]

    async def is_without_member() -> bool:
        await group.operator.put()
        gauges = await group.cluster.gauges(machine)
        return gauges.get("member_open") == 0.0

    async def has_exited() -> bool:
        return machine.process.poll() is not None

    try:
        for other in group.cluster.machines:
            group.cluster.start(other)
        await group.wait_until(group.is_whole)
        group.cluster.limit_writes(machine, 0)
        await group.wait_until(is_without_member)
        group.cluster.limit_writes(machine, None)
        await group.wait_until(group.is_whole)
        size = len(read_log(machine))
        await group.wait_until(group.operator.put)
        await asyncio.sleep(LOG_FLUSHED_S)
        continues = len(read_log(machine)) > size
        group.cluster.limit_writes(machine, 0)
        await group.wait_until(is_without_member)
        group.cluster.signal(machine, signal.SIGTERM)
        await group.wait_until(has_exited)
        return [continues, machine.process.returncode]
    finally:
        group.cluster.stop()


class TestFullDisks:
    """A control instance is a member again once its disk accepts writes."""

    def test_in_turn(self, tmp_path):
        """Guards against an instance that runs without its group member.

        Closing the journal after a failed write failed as well, which ended
        the recovery of the member.
        """
        assert asyncio.run(run_group(tmp_path)) == []


class TestLogOnFullDisk:
    """The log of a control instance is a file on the disk that is full."""

    def test_logs_again_and_stops_in_order(self, tmp_path):
        """Guards against a failed write of the log that ends its flushing.

        The instance then logged nothing any more, and SIGTERM ended it with an
        error.
        """
        assert asyncio.run(run_with_file_logs(tmp_path)) == [True, 0]


class TestLimitWrites:
    """Limit of the writes of a child process, set from outside."""

    def test_write_fails_until_the_limit_is_lifted(self, tmp_path):
        code = (
            "import os, sys\n"
            "out = os.open(sys.argv[1], os.O_WRONLY | os.O_CREAT)\n"
            "for line in sys.stdin:\n"
            "    try:\n"
            "        os.write(out, b'x')\n"
            "        print('written', flush=True)\n"
            "    except OSError as exc:\n"
            "        print(exc.strerror, flush=True)\n"
        )
        with subprocess.Popen(
            [sys.executable, "-c", code, tmp_path / "file"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            results = []
            for size in (None, 0, None):
                processes.limit_writes(process, size)
                process.stdin.write("\n")
                process.stdin.flush()
                results.append(process.stdout.readline().strip())
            limits = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
            process.stdin.close()
        assert results == ["written", "File too large", "written"]
        assert limits == resource.getrlimit(resource.RLIMIT_FSIZE)
