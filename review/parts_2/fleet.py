"""Small stand-ins for the platform, searchers, clients and the operator.

They speak what the users' pages describe, on loopback addresses only. The
project's programs run as separate processes, with the commands of
``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("salle-ain", "salle-sidi", "salle-bouskoura")
HOST = "leno12.example"


class CaseError(Exception):
    """The case could not run."""


def is_free(ip: str, port: int) -> bool:
    """Returns whether an address can be bound."""
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


class Record:
    """Lines of what was sent, answered and run, with seconds from the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start

    def note(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line, also to standard output."""
        self.note(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Machine:
    """A machine of the system with one role."""

    def __init__(self, platform: Platform, role: str, number: int, zone: str):
        self.platform = platform
        self.role = role
        self.zone = zone
        self.name = f"{'front' if role == 'entry' else 'core'}-{number}"
        base = 10 if role == "entry" else 100
        self.ip = f"{platform.net}.{base + number}"
        self.process: subprocess.Popen | None = None
        self.folder = platform.folder / self.name
        self.data = self.folder / "data"
        self.folder.mkdir()
        self.data.mkdir()
        self.started = False

    def settings(self) -> str:
        """Returns the text of the settings file."""
        p = self.platform
        front = self.role == "entry"
        lines = {
            "node-name": self.name,
            "role": self.role,
            "machine-class": "front" if front else "core",
            "serves": "front" if front else "control,directory",
            "ip": self.ip,
            "zone": self.zone,
            "region": "casablanca",
            **{f"zones.{zone}": "casablanca" for zone in ZONES},
            "internal-port-range": f"{p.peer_port},{p.peer_port + 15}",
            "seed-addrs": ",".join(
                f"{m.ip}:{p.control_port}" for m in p.cores[:3]
            ),
            "bootstrap": "false" if self.started else "true",
            "fault-counted": "false" if front else "true",
            "limits.cpu-share": "0.537",
            "limits.cores": "2",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "limits.link-mbps": "1000.0",
            "limits.disk-mb": "0" if front else "128",
            "discovery": "registry",
            "entry-point": "directory",
            "heartbeat-ms": "1200",
            "contracts": p.contracts,
            "fault-tolerance.machines": str(p.tolerance),
            "fault-tolerance.zones": "0",
            "fault-tolerance.regions": "0",
            "config_mode": "highest",
            **{f"bounds.{name}": str(v) for name, v in p.bounds.items()},
        }
        if front:
            lines["listen-addrs.front"] = f"{self.ip}:{p.front_port}"
            lines["listen-addrs.ready"] = f"{self.ip}:{p.ready_port}"
        else:
            lines["listen-addrs.control"] = f"{self.ip}:{p.control_port}"
            lines["listen-addrs.directory"] = f"{self.ip}:{p.control_port}"
            lines["data-dir"] = str(self.data)
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def start(self) -> None:
        """Starts the process with the settings in effect."""
        boot = self.folder / "boot.conf"
        boot.write_text(self.settings())
        self.started = True
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GREENGAGEMOOR_BOOT"] = str(boot)
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "target/app/__main__.py", self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process."""
        self.process.kill()
        self.process.wait()

    def lose_disk(self) -> None:
        """Empties the disk; the process must have ended."""
        shutil.rmtree(self.data)
        self.data.mkdir()

    def log_text(self) -> str:
        """Returns what the processes of this machine have written."""
        return (self.folder / "log.txt").read_text(errors="replace")


class Platform:
    """Machines, their settings, and their ends."""

    def __init__(
        self,
        record: Record,
        cores: int,
        fronts: int,
        bounds: dict,
        contracts: str,
        tolerance: int = 1,
    ):
        self.record = record
        self.tolerance = tolerance
        self.rng = random.Random()
        self.bounds = bounds
        self.contracts = contracts
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{self.rng.randint(1, 250)}.{self.rng.randint(1, 250)}"
        start = 20000
        for _ in range(50):
            start = self.rng.randrange(12000, 30000)
            wanted = [*range(start, start + 5), *range(start + 10, start + 26)]
            if all(is_free(f"{self.net}.11", port) for port in wanted):
                break
        else:
            raise CaseError("no free ports")
        self.control_port = start
        self.front_port = start + 1
        self.ready_port = start + 2
        self.searcher_port = start + 3
        self.peer_port = start + 10
        self.searchers: list[Searcher] = []
        self.cores: list[Machine] = []
        self.fronts: list[Machine] = []
        for number in range(cores):
            zone = ZONES[number % len(ZONES)]
            self.cores.append(Machine(self, "control", number + 1, zone))
        for number in range(fronts):
            zone = ZONES[number % len(ZONES)]
            self.fronts.append(Machine(self, "entry", number + 1, zone))

    @property
    def machines(self) -> list[Machine]:
        """All machines of the system."""
        return [*self.cores, *self.fronts]

    def start(self) -> None:
        """Starts all machines."""
        for machine in self.machines:
            machine.start()

    def stop(self, keep: Path | None = None) -> None:
        """Ends all processes and removes the temporary folder.

        Args:
            keep: a folder for the logs of the processes, if wanted.
        """
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.signal(signal.SIGCONT)
                machine.kill()
        if keep is not None:
            keep.mkdir(exist_ok=True)
            for machine in self.machines:
                shutil.copy(
                    machine.folder / "log.txt", keep / f"{machine.name}.log"
                )
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until all front machines are ready.

        Raises:
            CaseError: one is not, within the timeout.
        """
        until = time.monotonic() + timeout_s
        for machine in self.fronts:
            address = (machine.ip, self.ready_port)
            while True:
                reply = await call(address, "GET", "/v1/readiness", timeout_s=1)
                if reply is not None and reply.status == 200:
                    break
                if time.monotonic() > until:
                    raise CaseError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)


class Reply:
    """An HTTP answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader):
    """Reads a head and a body with a length.

    Returns:
        The first line, the headers by lower-case name, and the body.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): v.strip() for name, _, v in pairs}
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Reply | None:
    """Makes a call on a new connection; returns None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if "Host" not in (headers or {}):
                lines.append(f"Host: {address[0]}")
            if body or method == "POST":
                lines.append("Content-Type: application/json")
                lines.append(f"Content-Length: {len(body)}")
            lines.append("Connection: close")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            first, found, content = await read_message(reader)
            return Reply(int(first.split()[1]), found, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    except (ValueError, IndexError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Searcher:
    """A searcher: serves requests, and reports to the control machines.

    Attributes:
        arrivals: for each request, the time and its id.
    """

    def __init__(
        self, platform: Platform, service: str, number: int, zone: str
    ):
        """Does not listen yet.

        Args:
            platform: the platform.
            service: the service that it belongs to.
            number: number of its address, which may be used again.
            zone: its zone.
        """
        self.platform = platform
        self.record = platform.record
        self.service = service
        self.zone = zone
        self.number = len(platform.searchers)
        platform.searchers.append(self)
        self.id = f"i-{platform.rng.getrandbits(32):08x}"
        self.address = (
            f"{platform.net}.{200 + number}",
            platform.searcher_port,
        )
        self.born = int(time.time() * 1000)
        self.work_s = 0.02
        self.slots = 6
        self.running = 0
        self.free = asyncio.Semaphore(self.slots)
        self.state = "ready"
        self.sequence = 0
        self.arrivals: list[tuple[float, str]] = []
        self._beat_to = ""
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None
        self._conns: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens, and starts to report."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beating = asyncio.create_task(self._beat_on())

    def stop_beats(self) -> None:
        """Sends no further heartbeats."""
        self._beating.cancel()

    def exit(self) -> None:
        """Ends: closes all connections."""
        self.stop_beats()
        self._server.close()
        for writer in list(self._conns):
            writer.transport.abort()

    async def _beat_on(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(1.2 * self.platform.rng.uniform(0.95, 1.05))

    async def beat(self) -> bool:
        """Reports the state; returns whether it was acknowledged."""
        return await self.report("heartbeat", self.next_beat())

    def next_beat(self) -> dict:
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return {
            "backend": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "seq-no": self.sequence,
            "born": self.born,
        }

    async def send_late(self, address: str, body: dict) -> None:
        """Lets a heartbeat arrive that a cut has delayed."""
        ip, _, port = address.partition(":")
        path = f"/v1/instances/{self.id}/heartbeat"
        text = json.dumps(body).encode()
        reply = await call((ip, int(port)), "POST", path, text)
        status = reply.status if reply else None
        self.record.say(
            f"late heartbeat of {self.id}, which has crashed, arrives at "
            f"{address}: {status}"
        )

    def addresses_to_call(self) -> list[str]:
        """Returns the address that was named, then those of all machines.

        Each searcher begins its list at another machine.
        """
        cores, port = self.platform.cores, self.platform.control_port
        start = self.number % len(cores)
        ring = [*cores[start:], *cores[:start]]
        addresses = [f"{core.ip}:{port}" for core in ring]
        if not self._beat_to:
            return addresses
        position = addresses.index(self._beat_to)
        return [*addresses[position:], *addresses[:position]]

    async def report(self, verb: str, body: dict) -> bool:
        """Calls the control machines in turn until one acknowledges."""
        path = f"/v1/instances/{self.id}/{verb}"
        for address in self.addresses_to_call():
            ip, _, target = address.partition(":")
            reply = await call(
                (ip, int(target)), "POST", path, json.dumps(body).encode()
            )
            status = reply.status if reply else None
            if verb != "heartbeat" or status != 200:
                self.record.note(
                    f"searcher {self.id} {verb} at {address}: {status}"
                )
            if reply is not None and 200 <= reply.status < 300:
                if verb == "heartbeat":
                    decoded = json.loads(reply.body or b"{}")
                    self._beat_to = decoded.get("heartbeat-addr", "")
                return True
            self._beat_to = ""
        return False

    async def leave(self) -> bool:
        """Says that it leaves; returns whether that was acknowledged."""
        self.stop_beats()
        return await self.report("leave", {"born": self.born})

    async def _serve(self, reader, writer) -> None:
        self._conns.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                writer.write(await self._answer(first, headers))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Also at the end of the case, which cancels all tasks.
            pass
        finally:
            self._conns.discard(writer)
            writer.close()

    async def _answer(self, first: str, headers: dict[str, str]) -> bytes:
        method, target, _ = first.split(" ", 2)
        if target == "/health":
            return self._reply(200, {"Instance-Id": self.id}, b"")
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        if headers.get("expect-instance", self.id) != self.id:
            return self._reply(421, {**echo, "Not-Executed": "1"}, b"")
        self.arrivals.append((self.record.now(), request_id))
        async with self.free:
            self.running += 1
            await asyncio.sleep(self.work_s)
            self.running -= 1
        self.record.note(
            f"searcher {self.id} ({self.zone}) ran {method} {target} "
            f"{request_id}"
        )
        stamp = {"Server-Stamp": f"{self.id}.{request_id}"}
        return self._reply(200, {**echo, **stamp}, make_body(request_id))

    def _reply(self, status: int, headers: dict, body: bytes) -> bytes:
        load = f"{self.running},0,{self.slots}"
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Server-Load: {load}", "Keep-Alive: timeout=15"]
        lines += [f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body


class Operator:
    """Sends orders to one machine after the other until one answers."""

    def __init__(self, platform: Platform):
        self.platform = platform
        self.record = platform.record

    async def order(
        self, path: str, body: bytes = b"", first: list[Machine] | None = None
    ) -> float:
        """Sends an order until it is acknowledged; returns that time.

        Args:
            path: path of the call.
            body: body of the call.
            first: the machines to try first, in this order.

        Raises:
            CaseError: it was refused, or never acknowledged.
        """
        others = [m for m in self.platform.cores if m not in (first or [])]
        self.platform.rng.shuffle(others)
        machines = [*(first or []), *others]
        for attempt in range(30):
            machine = machines[attempt % len(machines)]
            self.record.note(f"operator sends {path} to {machine.name}")
            address = (machine.ip, self.platform.control_port)
            reply = await call(address, "POST", path, body)
            status = reply.status if reply else None
            self.record.say(f"operator: {path} at {machine.name}: {status}")
            if status == 200:
                return self.record.now()
            if status is not None and 400 <= status < 500:
                raise CaseError(f"{path} was refused: {status}")
            await asyncio.sleep(min(1.0, 0.05 * 1.5**attempt))
        raise CaseError(f"{path} was never acknowledged")

    async def read(self, machine: Machine) -> int | None:
        """Returns the version that is read back; None if there is none."""
        address = (machine.ip, self.platform.control_port)
        reply = await call(address, "GET", "/v1/config/get")
        status = reply.status if reply else None
        version = json.loads(reply.body)["version"] if status == 200 else None
        self.record.note(f"read at {machine.name}: {status}, {version}")
        return version

    async def configure(self, document: dict) -> float:
        """Sends a configuration."""
        body = json.dumps(document).encode()
        return await self.order("/v1/config/replace", body)


class Clients:
    """Send requests to the ready front machines, at a steady rate.

    Each has its own kept connection to a front machine, and opens a new one
    after a failure.

    Attributes:
        answers: number of answers by status; None stands for none.
        wrong: successes that are not the answer to their request: its id, the
            stamp and the body.
    """

    def __init__(self, platform: Platform, path: str, per_s: float):
        self.platform = platform
        self.record = platform.record
        self.path = path
        self.per_s = per_s
        self.answers: dict[int | None, int] = {}
        self.wrong: list[tuple[str, str, bytes]] = []
        self._tasks: list[asyncio.Task] = []

    def start(self, clients_each: int = 2) -> None:
        """Starts the clients."""
        count = clients_each * len(self.platform.fronts)
        for number in range(count):
            machine = self.platform.fronts[number % len(self.platform.fronts)]
            pause_s = count / self.per_s
            self._tasks.append(asyncio.create_task(self._run(machine, pause_s)))

    def stop(self) -> None:
        """Stops the clients."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, machine: Machine, pause_s: float) -> None:
        rng = self.platform.rng
        streams = None
        while True:
            await asyncio.sleep(pause_s * rng.uniform(0.8, 1.2))
            request_id = f"{rng.getrandbits(64):016x}"
            status = None
            try:
                async with asyncio.timeout(2.0):
                    if streams is None:
                        streams = await asyncio.open_connection(
                            machine.ip, self.platform.front_port
                        )
                    reader, writer = streams
                    target = f"{self.path}{request_id[:4]}"
                    lines = [
                        f"GET {target} HTTP/1.1",
                        f"Host: {HOST}",
                        f"Request-Id: {request_id}",
                        "Deadline-Ms: 2000",
                        "",
                        "",
                    ]
                    writer.write("\r\n".join(lines).encode())
                    first, headers, body = await read_message(reader)
                    status = int(first.split()[1])
                    if status == 200:
                        self._check(request_id, headers, body)
                    if headers.get("connection") == "close":
                        writer.close()
                        streams = None
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                if streams is not None:
                    streams[1].close()
                streams = None
            self.answers[status] = self.answers.get(status, 0) + 1
            self.record.note(f"client {request_id} at {machine.name}: {status}")

    def _check(self, request_id: str, headers: dict, body: bytes) -> None:
        """Records a success that isn't the answer to this request."""
        stamp = headers.get("server-stamp", "")
        right = stamp.endswith(f".{request_id}")
        if not right or body != make_body(request_id):
            self.wrong.append((request_id, stamp, body))
            self.record.note(f"WRONG {request_id} got {stamp} {body!r}")


def make_body(request_id: str) -> bytes:
    """Returns what a searcher finds for a request."""
    return b"found " + request_id.encode()


def single_route(version: int, service: str, kind: str = "safe") -> dict:
    """Returns a configuration with one route to one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-archive",
                "hostname": HOST,
                "path-prefix": "/goka902/",
                "route-type": kind,
                "timeout-ms": 2000,
                "target-latency-ms": 400,
                "priority": 2,
                "backend": service,
                "max-attempts": 2,
            }
        ],
        "services": [
            {
                "name": service,
                "health-path": "/health",
                "max-conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def document(version: int, *routes: tuple[str, str, str]) -> dict:
    """Returns a configuration with routes to single services.

    Args:
        version: its version.
        routes: name, path prefix and service of each.
    """
    result = single_route(version, "")
    route, service = result["routes"][0], result["services"][0]
    result["routes"] = [
        {**route, "name": name, "path-prefix": prefix, "backend": backend}
        for name, prefix, backend in routes
    ]
    result["services"] = [
        {**service, "name": backend} for _, _, backend in routes
    ]
    return result


def run_case(folder: Path, main) -> int:
    """Runs a case: ``main(record)`` returns whether the rule was broken.

    Returns:
        The exit code: 1 if the rule was broken, 0 if it held, 2 if the case
        could not run.
    """
    record = Record(folder / "record.txt")
    # So that the processes are ended as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:

        async def limited():
            async with asyncio.timeout(110):
                return await main(record, trouble=trouble)

        broken = asyncio.run(limited())
    except Exception as exc:
        record.say(f"the case could not run: {exc!r}")
        return 2
    finally:
        record.close()
    return int(broken)
