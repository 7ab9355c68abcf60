"""The processes of a soak run: starts, stops and breaks them by their ids."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from greengagemoor.aio.pool import Pool
from greengagemoor.platform.boot import METRICS_PORT
from greengagemoor.serving.metrics import PREFIX
from soak.harm import Harm
from soak.searchers import call

if TYPE_CHECKING:
    import random

DRAIN_S = 3.0
EVACUATE_S = 5.0
PORTS = {"front": 8226, "ready": 8227, "control": 8224, "directory": 8225}
PEER_PORTS = "7740,7755"
GRACE_S = 6
PLACES = ("dc1", "dc2", "dc3")
LINK_MBPS = 1
"""So slow, by the settings, that entries share queries over many shards."""
SEEDS = 3


@attrs.define(eq=False)
class Machine:
    """One machine: a loopback address, and a process on it.

    Attributes:
        checkout: folder of the code that its process runs; the current folder
            if None.
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

    @property
    def data_centre(self) -> str:
        """Where it stands; those of a role stand in all places by turns."""
        number = int(self.ip.rpartition(".")[2])
        return PLACES[(number - 1) % len(PLACES)]


class World:
    """All machines of a run, and what was seen of them."""

    def __init__(self, folder: Path, net: int, controls: int, entries: int):
        self.folder = folder
        self.faults: list[str] = []
        self.runs: Counter = Counter()
        self.harm = Harm(self)
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
        self._seeds = [m.ip for m in self.of_role("control")][:SEEDS]

    def _machine(self, role: str, ip: str) -> Machine:
        folder = self.folder / f"{role}-{ip}"
        folder.mkdir(parents=True)
        return Machine(f"{role}-{ip}", role, ip, folder)

    def of_role(self, role: str) -> list[Machine]:
        """Returns the machines with a role."""
        return [m for m in self.machines if m.role == role]

    def control_addresses(self, rng: random.Random) -> list[str]:
        """Returns operators' addresses in a random order."""
        ips = [m.ip for m in self.of_role("control")]
        rng.shuffle(ips)
        return [f"{ip}:{PORTS['control']}" for ip in ips]

    def start(self, machine: Machine) -> None:
        """Writes the settings and starts the process."""
        boot = self._write_settings(machine)
        machine.bootstrap = False
        machine.starts += 1
        machine.disturbed_at = time.monotonic()
        with (machine.folder / "log").open("ab") as out:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", "greengagemoor.platform", machine.role],
                env={**os.environ, "GREENGAGEMOOR_BOOT": str(boot)},
                cwd=machine.checkout,
                stdout=out,
                stderr=out,
            )

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
            **{f"zones.{place}": "here" for place in PLACES},
            "internal-port-range": PEER_PORTS,
            "seed-addrs": ",".join(f"{s}:{PORTS['control']}" for s in seeds),
            "bootstrap": str(machine.bootstrap).lower(),
            "heartbeat-ms": "400",
            "bounds.grace-s": str(GRACE_S),
        }
        serves = {"entry": ("front", "ready"), "control": PORTS}[machine.role]
        if machine.role == "control":
            serves = ("control", "directory")
            lines["data-dir"] = str(machine.folder / "data")
        for name in serves:
            lines[f"listen-addrs.{name}"] = f"{machine.ip}:{PORTS[name]}"
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def kill(self, machine: Machine, *, wipe: bool = False) -> None:
        """Kills a process, perhaps with its disk, and starts it again."""
        machine.process.kill()
        machine.process.wait()
        if wipe:
            shutil.rmtree(machine.folder / "data", ignore_errors=True)
        self.start(machine)

    def replace(self, machine: Machine) -> None:
        """Ends a control machine for good; an empty one comes elsewhere.

        Its settings are as stale as those of the others. One that names
        nobody who lives can't reach anybody until it is told of others.
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
        """Writes other seeds into all settings; processes see them by and by.

        A process that runs reads them within a second.
        """
        self._seeds = ips
        for machine in self.machines:
            if machine.process is not None:
                self._write_settings(machine)

    async def gauges(self, machine: Machine) -> dict[str, float]:
        """Returns the metrics of a process; none if it doesn't answer."""
        address = f"{machine.ip}:{METRICS_PORT}"
        end = await call(self._pool, address, "GET", "/metrics")
        if end is None or end.status != 200:
            return {}
        pairs = (line.rsplit(" ", 1) for line in end.body.decode().splitlines())
        return {
            name.removeprefix(PREFIX): float(value)
            for name, value in pairs
            if "{" not in name
        }

    def undisturbed_s(self, ip: str) -> float:
        """Returns how long a machine's process has run undisturbed."""
        now = time.monotonic()
        ages = (now - m.disturbed_at for m in self.machines if m.ip == ip)
        return next(ages, 0.0)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Sends a signal to a process that this run started."""
        machine.disturbed_at = time.monotonic()
        machine.process.send_signal(number)

    def check_drain(self, searcher, now: float) -> None:
        """A drained searcher gets nothing a few seconds later."""
        since = searcher.draining_since
        if since is not None and now > since + DRAIN_S:
            self.faults.append(
                f"a send {now - since:.1f} s after a drain was acknowledged"
            )

    def check_evacuated(self, searcher, now: float) -> None:
        """An evacuated data centre gets nothing a few seconds later.

        An entry that was frozen or cut off knows it a moment after it is back.
        """
        since = self.evacuated.get(searcher.data_centre)
        entries = self.of_role("entry")
        calm = all(self.undisturbed_s(e.ip) > EVACUATE_S for e in entries)
        if since is not None and calm and now > since + EVACUATE_S:
            self.faults.append(
                f"a send {now - since:.1f} s after {searcher.data_centre} "
                f"was evacuated"
            )

    def check_ends(self) -> None:
        """No process may end by itself."""
        for machine in self.machines:
            code = machine.process.poll()
            if code is not None:
                self.faults.append(f"{machine.name} ended by itself: {code}")
                self.start(machine)

    def stop(self) -> None:
        """Ends all processes of the run."""
        for machine in self.machines:
            if machine.process is not None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
