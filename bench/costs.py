"""Measures processor time and memory of real processes (``make costs``).

Runs one control instance, one entry and three stand-in searchers on loopback.
The figures vary with the machine; compare ratios within one run.
"""

from __future__ import annotations

import os
import random
import sys
import tempfile
import time
from pathlib import Path

from examples.demo import SHARDS, is_leader
from examples.fleet import EXAMPLES_FOLDER, Fleet, free_addresses, wait_for
from greengagemoor.cmd.load import Plan, send_load
from greengagemoor.document import parse_document
from greengagemoor.query.decider import QueryDecider
from greengagemoor.query.messages import (
    AttemptAnswer,
    DocumentChanged,
    Request,
    ServerChanged,
    ShardResult,
    StartAttempt,
)

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LOAD_S = 8.0
RATES = (25.0, 50.0, 100.0, 200.0)
DECIDER_QUERIES = 3000
IDLE_S = 5.0
ENTRY_COUNTS = (6, 12, 24)


def processor_time_s(pid: int) -> float:
    """Returns the processor time used by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise LookupError("no VmRSS")


def decider_us_per_attempt() -> float:
    """Returns the processor time of the query decider in us per attempt."""
    from greengagemoor.backends import BackendServer, HeldVersion, ServerState

    decider = QueryDecider("dc-1", random.Random(1))
    document = parse_document((EXAMPLES_FOLDER / "contracts.json").read_text())
    msgs = [DocumentChanged(1, document)]
    for name, shards in SHARDS.items():
        held = tuple(map(int, shards.split(",")))
        row = BackendServer(
            name=name,
            incarnation=1,
            sequence=1,
            address="127.0.0.1:1",
            data_centre="dc-1",
            service="contracts",
            state=ServerState.READY,
            versions=(HeldVersion(1, 6, held),),
            slots=5,
            connection_cap=40,
        )
        msgs.append(ServerChanged(row, 4))
    decider.step(0.0, msgs)
    now, attempts = 0.0, 0
    start = time.process_time()
    for number in range(DECIDER_QUERIES):
        now += 0.02
        request = Request(
            number,
            "load",
            "lookup",
            f"r{number}",
            "contracts",
            body=str(number),
        )
        out = decider.step(now, [request])
        for msg in out:
            if isinstance(msg, StartAttempt):
                attempts += 1
                now += 0.005
                results = tuple(ShardResult(s, "1") for s in msg.shards)
                answer = AttemptAnswer(
                    msg.attempt_id, msg.request_id, msg.snapshot, results
                )
                decider.step(now, [answer])
    return (time.process_time() - start) / attempts * 1e6


def attempts_started(fleet: Fleet, http: str) -> int:
    """Returns the number of attempts that an entry has started."""
    return int(_metric(fleet, http, "greengagemoor_attempts_total"))


def _metric(fleet: Fleet, http: str, name: str) -> float:
    text = fleet.http.request("GET", f"http://{http}/metrics").data.decode()
    for line in text.splitlines():
        if line.startswith(name):
            return float(line.split()[1])
    raise LookupError(name)


def main() -> None:
    """Prints all figures; with "fleets", only those of the idle fleets."""
    if "fleets" not in sys.argv:
        print(f"query decider: {decider_us_per_attempt():.0f} us an attempt")
        with tempfile.TemporaryDirectory() as name, Fleet(Path(name)) as fleet:
            _measure_processes(fleet)
    for entries in ENTRY_COUNTS:
        with tempfile.TemporaryDirectory() as name, Fleet(Path(name)) as fleet:
            _measure_idle_fleet(fleet, entries)


def _measure_idle_fleet(fleet: Fleet, entries: int) -> None:
    """Measures idle processes, which only replicate membership tables."""
    names = [f"control-{i}" for i in range(3)]
    names += [f"entry-{i}" for i in range(entries)]
    ports = iter(free_addresses(2 * len(names)))
    http = {name: next(ports) for name in names}
    peer = {name: next(ports) for name in names}
    group = [{"instance": n, "address": peer[n]} for n in names[:3]]
    for name in names:
        own = (
            {
                "roles": ["control"],
                "new_group": True,
                "data_folder": str(fleet.folder / name),
            }
            if name in names[:3]
            else {}
        )
        fleet.start_instance(
            name,
            data_centre=f"dc-{int(name.rpartition('-')[2]) % 3}",
            http_address=http[name],
            peer_address=peer[name],
            control_group=group,
            gossip_interval_s=1.0,
            addresses_valid_s=0.1,
            leave_margin_s=0.0,
            **own,
        )
    wait_for(
        "every instance to list all others",
        lambda: all(
            len(
                (fleet.get_json(http[n], "/v1/status") or {}).get(
                    "instances", ()
                )
            )
            == len(names)
            for n in names
        ),
        120.0,
    )
    time.sleep(IDLE_S)
    _measure_idle_roles(fleet, names, http)


def _measure_idle_roles(
    fleet: Fleet, names: list[str], http: dict[str, str]
) -> None:
    """Measures idle processes after membership has converged, by role."""
    pids = {name: fleet.processes[name].pid for name in names}
    before = {
        n: (processor_time_s(p), _peer_bytes_sent(fleet, http[n]))
        for n, p in pids.items()
    }
    time.sleep(2 * IDLE_S)
    for what, part in (("control", names[:3]), ("entry", names[3:])):
        used = sum(processor_time_s(pids[n]) - before[n][0] for n in part)
        sent = sum(
            _peer_bytes_sent(fleet, http[n]) - before[n][1] for n in part
        )
        seconds = 2 * IDLE_S * len(part)
        megabytes = sum(memory_mb(pids[n]) for n in part) / len(part)
        print(
            f"{len(names)} processes idle, {what}: "
            f"{100 * used / seconds:.2f}% of a core, "
            f"{sent / seconds:.0f} B/s of messages, {megabytes:.1f} MB",
            flush=True,
        )


def _peer_bytes_sent(fleet: Fleet, http: str) -> float:
    return _metric(fleet, http, "greengagemoor_peer_bytes_sent_total")


def _measure_processes(fleet: Fleet) -> None:
    ports = free_addresses(7)
    group = [{"instance": "control-1", "address": ports[1]}]
    common = {"control_group": group, "addresses_valid_s": 0.5}
    fleet.start_instance(
        "control-1",
        roles=["control"],
        data_centre="dc-1",
        http_address=ports[0],
        peer_address=ports[1],
        data_folder=str(fleet.folder / "data"),
        new_group=True,
        **common,
    )
    fleet.start_instance(
        "entry-1",
        data_centre="dc-1",
        http_address=ports[2],
        peer_address=ports[3],
        **common,
    )
    wait_for("a leader", lambda: is_leader(fleet, ports[0]))
    fleet.run_ctl(
        "apply", str(EXAMPLES_FOLDER / "contracts.json"), "--at", ports[0]
    )
    for address, (searcher, shards) in zip(
        ports[4:], SHARDS.items(), strict=True
    ):
        fleet.start_searcher(searcher, address, entries=ports[2], shards=shards)
    wait_for("searchers", lambda: _has_all_searchers(fleet, ports[2]))
    _measure_idle(fleet)
    for rate in RATES:
        _measure_load(fleet, ports[2], rate)


def _has_all_searchers(fleet: Fleet, http: str) -> bool:
    status = fleet.get_json(http, "/v1/status") or {}
    return len(status.get("backend_servers", ())) == len(SHARDS)


def _measure_idle(fleet: Fleet) -> None:
    pids = {n: fleet.processes[n].pid for n in ("control-1", "entry-1")}
    before = {name: processor_time_s(pid) for name, pid in pids.items()}
    time.sleep(IDLE_S)
    for name, pid in pids.items():
        used = (processor_time_s(pid) - before[name]) / IDLE_S
        print(
            f"{name} idle: {memory_mb(pid):.1f} MB, {100 * used:.1f}% of a core"
        )


def _measure_load(fleet: Fleet, http: str, rate: float) -> None:
    pid = fleet.processes["entry-1"].pid
    attempts, used = attempts_started(fleet, http), processor_time_s(pid)
    plan = Plan("contracts", "lookup", 4, 10**9, 1.0)
    tally = send_load(http, plan, rate, LOAD_S, 16)
    attempts = attempts_started(fleet, http) - attempts
    used = processor_time_s(pid) - used
    whole = tally.codes[100]
    quantiles = [
        tally.latency.get_value_at_percentile(q) / 1000 for q in (50, 99)
    ]
    figures = (
        f"{whole / LOAD_S:.0f} whole answers/s",
        f"{attempts / LOAD_S:.0f} attempts/s",
        f"{used / attempts * 1e6:.0f} us an attempt",
        f"{100 * used / LOAD_S:.0f}% of a core",
        f"p50 {quantiles[0]:.1f} ms, p99 {quantiles[1]:.1f} ms",
        f"codes {dict(tally.codes)}",
    )
    print(f"entry at {rate:.0f} requests/s: {', '.join(figures)}")


if __name__ == "__main__":
    main()
