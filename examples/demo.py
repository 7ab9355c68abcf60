"""Starts a small fleet, applies a document and sends one query."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

from examples.fleet import EXAMPLES_FOLDER, Fleet, free_addresses, wait_for

SHARDS = {
    "searcher-1": "0,1,2,3",
    "searcher-2": "2,3,4,5",
    "searcher-3": "4,5,0,1",
}


def main() -> int:
    """Runs the demo; prints the answer as JSON in the last line."""
    with tempfile.TemporaryDirectory() as name, Fleet(Path(name)) as fleet:
        answer = run(fleet)
    print(json.dumps(answer))
    return 0 if answer["code"] == 100 else 1


def run(fleet: Fleet) -> dict:
    """Starts the fleet and returns the answer to one query."""
    ports = free_addresses(9)
    control_http = ports[0]
    entries = {"entry-1": ports[2:4], "entry-2": ports[4:6]}
    start_instances(fleet, ports[0:2], entries)
    print_progress("processes started; waiting for the control group")
    wait_for("a leader", lambda: is_leader(fleet, control_http))
    applied = fleet.run_ctl(
        "apply", str(EXAMPLES_FOLDER / "contracts.json"), "--at", control_http
    )
    print_progress(f"document applied: {json.loads(applied.stdout)}")
    start_searchers(fleet, entries, ports[6:9])
    wait_for(
        "all searchers on both entries",
        lambda: all_searchers_known(fleet, entries),
    )
    found = fleet.get_json(ports[2], "/v1/addresses?service=contracts")
    print_progress(f"addresses: {found}")
    first = found["addresses"][0]["http_address"]
    asked = fleet.run_ctl(
        "request", "contracts", "lookup", "--body", '{"pump": 7}', "--at", first
    )
    return json.loads(asked.stdout)


def start_instances(fleet: Fleet, control: list[str], entries: dict) -> None:
    """Starts one control instance and the entries."""
    http, peer = control
    group = [{"instance": "control-1", "address": peer}]
    fleet.start_instance(
        "control-1",
        roles=["control"],
        data_centre="dc-1",
        http_address=http,
        peer_address=peer,
        data_folder=str(fleet.folder / "control-1"),
        control_group=group,
        new_group=True,
    )
    for number, (entry, (http, peer)) in enumerate(entries.items(), 1):
        fleet.start_instance(
            entry,
            data_centre=f"dc-{number}",
            http_address=http,
            peer_address=peer,
            control_group=group,
            addresses_valid_s=0.5,
            leave_margin_s=0.2,
        )


def start_searchers(fleet: Fleet, entries: dict, addresses: list[str]) -> None:
    """Starts the stand-in searchers; two of them hold each shard."""
    known = ",".join(http for http, _ in entries.values())
    for (name, shards), address in zip(SHARDS.items(), addresses, strict=True):
        fleet.start_searcher(name, address, entries=known, shards=shards)


def is_leader(fleet: Fleet, http: str) -> bool:
    """Whether a control instance leads its group."""
    return (fleet.get_json(http, "/v1/members") or {}).get("role") == "leader"


def all_searchers_known(fleet: Fleet, entries: dict) -> bool:
    """Whether every entry is ready and lists every searcher."""
    statuses = [
        fleet.get_json(http, "/v1/status") or {} for http, _ in entries.values()
    ]
    return all(
        status.get("state") == "ready"
        and len(status["backend_servers"]) == len(SHARDS)
        for status in statuses
    )


def print_progress(text: str) -> None:
    """Prints a line of progress."""
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
