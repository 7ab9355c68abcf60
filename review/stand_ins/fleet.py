"""Starts the commands of the deploy file as a small deployment on loopback."""

from __future__ import annotations

import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT = 8226, 8227, 8224, 8225
METRICS_PORT = 9464
PEER_PORT = 7740
ZONES = ("salle-ain", "salle-sidi", "salle-bouskoura")
BOUNDS = """\
bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.stable-window-ms=4000
bounds.ack-ms=5000
bounds.catch-up-s=4
bounds.drain-ms=3000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=3000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=12000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-budget-slack=58
bounds.recovery-s=12
bounds.ttl_max_s=5
config_mode=highest
"""


class CaseError(Exception):
    """The case could not run."""


def free_ips(number: int) -> list[str]:
    """Returns loopback addresses on which all used ports are free."""
    found = []
    ports = (
        FRONT_PORT,
        READY_PORT,
        CONTROL_PORT,
        DIRECTORY_PORT,
        METRICS_PORT,
        PEER_PORT,
    )
    for _ in range(200):
        parts = [random.randrange(2, 250) for _ in range(3)]
        ip = "127." + ".".join(map(str, parts))
        if ip not in found and all(_is_free(ip, port) for port in ports):
            found.append(ip)
        if len(found) == number:
            return found
    raise CaseError("too few free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line."""
        now = time.monotonic() - self._started
        self._file.write(f"{now:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Fleet:
    """Processes of the roles ``control`` and ``entry``, one a machine."""

    def __init__(self, record: Record, cores: int = 3, fronts: int = 1):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        if not (ROOT / "target" / "app").is_dir():
            raise CaseError("target/app is missing: run the deploy build first")
        ips = free_ips(cores + fronts)
        self.core_ips, self.front_ips = ips[:cores], ips[cores:]
        self._processes: dict[str, subprocess.Popen] = {}
        self._logs = []

    def start(self) -> None:
        """Starts all machines for the first time."""
        for number, ip in enumerate(self.core_ips):
            self.start_machine("control", ip, ZONES[number % 3], first=True)
        for number, ip in enumerate(self.front_ips):
            self.start_machine("entry", ip, ZONES[number % 3], first=True)

    def start_machine(
        self, role: str, ip: str, zone: str, *, first: bool
    ) -> None:
        """Starts the process of a machine, as the platform does."""
        boot = self.folder / f"{ip}.conf"
        boot.write_text(self._settings(role, ip, zone, first=first))
        env = {key: os.environ[key] for key in ("PATH",) if key in os.environ}
        env["HOME"] = str(self.folder)
        env["GREENGAGEMOOR_BOOT"] = str(boot)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.folder / f"{ip}.log").open("ab")
        self._logs.append(log)
        self._processes[ip] = subprocess.Popen(
            self._roles[role]["run"].split(),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        self.record.note(f"platform: {role} starts at {ip}")

    def _settings(self, role: str, ip: str, zone: str, *, first: bool) -> str:
        seeds = ",".join(f"{core}:{CONTROL_PORT}" for core in self.core_ips[:3])
        is_core = role == "control"
        lines = [
            f"node-name={'core' if is_core else 'front'}-{ip}",
            f"role={role}",
            f"machine-class={'core' if is_core else 'front'}",
            f"serves={'control,directory' if is_core else 'front'}",
            f"ip={ip}",
            f"zone={zone}",
            "region=casablanca",
            *(f"zones.{name}=casablanca" for name in ZONES),
            f"internal-port-range={PEER_PORT},{PEER_PORT + 15}",
            f"seed-addrs={seeds}",
            f"bootstrap={'true' if first else 'false'}",
            f"fault-counted={'true' if is_core else 'false'}",
            f"limits.cpu-share={'0.645' if is_core else '0.537'}",
            f"limits.cores={'1' if is_core else '2'}",
            f"limits.memory-mb={'296' if is_core else '300'}",
            f"limits.max-fds={'4096' if is_core else '4100'}",
            "limits.link-mbps=1000.0",
            f"limits.disk-mb={'128' if is_core else '0'}",
            "discovery=registry",
            "entry-point=directory",
            "heartbeat-ms=1200",
            "contracts=base,drain,config,cost,retry,recover,scatter",
            "fault-tolerance.machines=1",
            "fault-tolerance.zones=0",
            "fault-tolerance.regions=0",
        ]
        if is_core:
            lines += [
                f"listen-addrs.control={ip}:{CONTROL_PORT}",
                f"listen-addrs.directory={ip}:{DIRECTORY_PORT}",
                f"data-dir={self.folder / ('data-' + ip)}",
            ]
        else:
            lines += [
                f"listen-addrs.front={ip}:{FRONT_PORT}",
                f"listen-addrs.ready={ip}:{READY_PORT}",
            ]
        return "\n".join(lines) + "\n" + BOUNDS

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine."""
        self.record.note(f"platform: {number.name} to {ip}")
        self._processes[ip].send_signal(number)

    def has_ended(self, ip: str) -> bool:
        """Whether the process of a machine has ended."""
        return self._processes[ip].poll() is not None

    def stop(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        for log in self._logs:
            log.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
