"""The processes of a soak run; signals go only to processes it started."""

from __future__ import annotations

import os
import shutil
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from greengagemoor.aio.pool import Pool
from greengagemoor.platform.boot import METRICS_PORT
from greengagemoor.serving.metrics import PREFIX
from soak import processes
from soak.crash_requests import CrashRequests
from soak.searchers import call

if TYPE_CHECKING:
    import random
    import subprocess

DRAIN_LIMIT_S = 3.0
"""Time after an acknowledged drain in which sends may still arrive."""
EVACUATION_LIMIT_S = 5.0
"""Time after an accepted evacuation in which sends may still arrive."""
PORTS = {"front": 8226, "ready": 8227, "control": 8224, "directory": 8225}
PEER_PORTS = "7740,7755"
GRACE_S = 6
DATA_CENTRES = ("dc1", "dc2", "dc3")
LINK_MBPS = 1
"""Low enough that entries divide queries over many shards among themselves."""
SEED_ADDRESS_COUNT = 3
"""Control instances named as seeds in the first settings."""


@attrs.define(eq=False)
class Machine:
    """One machine: a loopback address, and a process on it.

    Attributes:
        checkout: folder of the code that its process runs; the current folder
            if None.
        disturbed_at: monotonic time of the last start or signal.
        write_limit: file size in bytes from which on its writes fail; None if
            its disk is not full.
    """

    name: str
    role: str
    ip: str
    folder: Path
    checkout: Path | None = None
    process: subprocess.Popen | None = None
    bootstrap: bool = True
    starts: int = 0
    disturbed_at: float = float("-inf")
    write_limit: int | None = None

    @property
    def data_centre(self) -> str:
        """Data centre; the machines of a role are spread over all in turn."""
        number = int(self.ip.rpartition(".")[2])
        return DATA_CENTRES[(number - 1) % len(DATA_CENTRES)]


class Cluster:
    """All machines of a run, and what was observed of them.

    Attributes:
        violations: guarantees that were violated, one text each.
        runs: number of runs by request id and service.
        crashed: searchers that a request crashed, to be restarted.
        evacuated: start of each evacuation that is checked, by data centre.
        pipes_logs: whether logs are written although a disk is full.
    """

    def __init__(
        self,
        folder: Path,
        net: int,
        controls: int,
        entries: int,
        checkout: Path | None = None,
    ):
        self.folder = folder
        self.pipes_logs = True
        self._checkout = checkout
        self.violations: list[str] = []
        self.runs: Counter = Counter()
        self.crash_requests = CrashRequests(self)
        self.crashed: list = []
        self.evacuated: dict[str, float] = {}
        self._pool = Pool()
        self._net = net
        self._controls = controls
        self.machines = [
            self._machine("control", f"127.{net}.1.{i + 1}")
            for i in range(controls)
        ] + [
            self._machine("entry", f"127.{net}.2.{i + 1}")
            for i in range(entries)
        ]
        self._seeds = [m.ip for m in self.of_role("control")][
            :SEED_ADDRESS_COUNT
        ]

    def _machine(self, role: str, ip: str) -> Machine:
        folder = self.folder / f"{role}-{ip}"
        folder.mkdir(parents=True)
        return Machine(f"{role}-{ip}", role, ip, folder, self._checkout)

    def of_role(self, role: str) -> list[Machine]:
        """Returns the machines with a role."""
        return [m for m in self.machines if m.role == role]

    def control_addresses(self, rng: random.Random) -> list[str]:
        """Returns the addresses for operators in a random order."""
        ips = [m.ip for m in self.of_role("control")]
        rng.shuffle(ips)
        return [f"{ip}:{PORTS['control']}" for ip in ips]

    def start(self, machine: Machine) -> None:
        """Writes the settings and starts the process."""
        boot = self._write_settings(machine)
        machine.bootstrap = False
        machine.starts += 1
        machine.disturbed_at = time.monotonic()
        machine.process = processes.start(
            [sys.executable, "-m", "greengagemoor.platform", machine.role],
            {**os.environ, "GREENGAGEMOOR_BOOT": str(boot)},
            machine.checkout,
            machine.folder / "log",
            is_piped=self.pipes_logs,
        )
        # Long before the interpreter has loaded the program.
        processes.limit_writes(machine.process, machine.write_limit)

    def _write_settings(self, machine: Machine) -> Path:
        boot = machine.folder / "boot.conf"
        new = boot.with_suffix(".new")
        new.write_text(self._settings(machine))
        return new.rename(boot)

    def _settings(self, machine: Machine) -> str:
        seeds = self._seeds
        lines = {
            "ip": machine.ip,
            "zone": machine.data_centre,
            "limits.link-mbps": LINK_MBPS,
            **{f"zones.{data_centre}": "here" for data_centre in DATA_CENTRES},
            "internal-port-range": PEER_PORTS,
            "seed-addrs": ",".join(f"{s}:{PORTS['control']}" for s in seeds),
            "bootstrap": str(machine.bootstrap).lower(),
            "heartbeat-ms": "400",
            "bounds.grace-s": str(GRACE_S),
        }
        listeners = {"entry": ("front", "ready"), "control": PORTS}[
            machine.role
        ]
        if machine.role == "control":
            listeners = ("control", "directory")
            lines["data-dir"] = str(machine.folder / "data")
        for name in listeners:
            lines[f"listen-addrs.{name}"] = f"{machine.ip}:{PORTS[name]}"
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def limit_writes(self, machine: Machine, size: int | None) -> None:
        """Fills the disk of a machine, also for a process started later.

        Args:
            machine: the machine.
            size: file size in bytes from which on writes fail; None for no
                limit.
        """
        machine.write_limit = size
        processes.limit_writes(machine.process, size)

    def kill(self, machine: Machine, *, wipe: bool = False) -> None:
        """Kills a process and starts it again; ``wipe`` empties its disk."""
        machine.process.kill()
        machine.process.wait()
        if wipe:
            shutil.rmtree(machine.folder / "data", ignore_errors=True)
        self.start(machine)

    def replace(self, machine: Machine) -> None:
        """Replaces a control machine by an empty one at a new address.

        The new machine gets the same, possibly stale, seeds as the others. If
        none of the seeds runs any more, the seeds are changed to a machine
        that does, since the new one could not reach any instance otherwise.
        """
        machine.process.kill()
        machine.process.wait()
        self.machines.remove(machine)
        self._controls += 1
        ip = f"127.{self._net}.1.{self._controls}"
        new = self._machine("control", ip)
        new.bootstrap = False
        self.machines.append(new)
        living = {m.ip for m in self.of_role("control")} - {ip}
        if not living.intersection(self._seeds):
            self.change_seeds([min(living)])
        self.start(new)

    def change_seeds(self, ips: list[str]) -> None:
        """Writes other seeds into the settings of all started machines.

        A running process reads them within a second.
        """
        self._seeds = ips
        for machine in self.machines:
            if machine.process is not None:
                self._write_settings(machine)

    async def gauges(self, machine: Machine) -> dict[str, float]:
        """Returns the metrics of a process; empty if it does not answer."""
        address = f"{machine.ip}:{METRICS_PORT}"
        outcome = await call(self._pool, address, "GET", "/metrics")
        if outcome is None or outcome.status != 200:
            return {}
        pairs = (
            line.rsplit(" ", 1) for line in outcome.body.decode().splitlines()
        )
        return {
            name.removeprefix(PREFIX): float(value)
            for name, value in pairs
            if "{" not in name
        }

    def undisturbed_s(self, ip: str) -> float:
        """Returns the seconds since the last start or signal of a machine."""
        now = time.monotonic()
        ages = (now - m.disturbed_at for m in self.machines if m.ip == ip)
        return next(ages, 0.0)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Sends a signal to a process that this run started."""
        machine.disturbed_at = time.monotonic()
        machine.process.send_signal(number)

    def check_drain(self, searcher, now: float) -> None:
        """Checks that a drained searcher no longer receives requests."""
        since = searcher.draining_since
        if since is not None and now > since + DRAIN_LIMIT_S:
            self.violations.append(
                f"a send {now - since:.1f} s after a drain was acknowledged"
            )

    def check_evacuated(self, searcher, now: float) -> None:
        """Checks that an evacuated data centre no longer receives requests.

        It is not checked while an entry has been started or signalled
        recently: that entry may not have received the evacuation yet.
        """
        since = self.evacuated.get(searcher.data_centre)
        entries = self.of_role("entry")
        undisturbed = all(
            self.undisturbed_s(e.ip) > EVACUATION_LIMIT_S for e in entries
        )
        if (
            since is not None
            and undisturbed
            and now > since + EVACUATION_LIMIT_S
        ):
            self.violations.append(
                f"a send {now - since:.1f} s after {searcher.data_centre} "
                f"was evacuated"
            )

    def check_exits(self) -> None:
        """Checks that no process exited by itself; restarts any that did."""
        for machine in self.machines:
            code = machine.process.poll()
            if code is not None:
                self.violations.append(
                    f"{machine.name} exited by itself with code {code}"
                )
                self.start(machine)

    def stop(self) -> None:
        """Ends all processes of the run."""
        for machine in self.machines:
            if machine.process is not None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
