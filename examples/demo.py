"""The main job: control, two entries, a service, a document and a query."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

from examples.fleet import EXAMPLES, Fleet, free_addresses, wait_for

SHARDS = {
    "searcher-1": "0,1,2,3",
    "searcher-2": "2,3,4,5",
    "searcher-3": "4,5,0,1",
}


def main() -> int:
    """Runs the demo; the last line printed is the answer, in JSON."""
    with tempfile.TemporaryDirectory() as name, Fleet(Path(name)) as fleet:
        answer = run(fleet)
    print(json.dumps(answer))
    return 0 if answer["code"] == 100 else 1


def run(fleet: Fleet) -> dict:
    """Starts the fleet and returns the answer to one query."""
    ports = free_addresses(9)
    control_http, control_peer = ports[0:2]
    group = [{"instance": "control-1", "address": control_peer}]
    fleet.start_instance(
        "control-1",
        roles=["control"],
        data_centre="dc-1",
        http_address=control_http,
        peer_address=control_peer,
        data_folder=str(fleet.folder / "control-1"),
        control_group=group,
        new_group=True,
    )
    entries = {"entry-1": ports[2:4], "entry-2": ports[4:6]}
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
    entry_http = ports[2]
    say("processes started; waiting for the control group")
    wait_for(
        "a leader",
        lambda: (
            (fleet.get(control_http, "/v1/members") or {}).get("role")
            == "leader"
        ),
    )
    applied = fleet.ctl(
        "apply", str(EXAMPLES / "contracts.json"), "--at", control_http
    )
    say(f"document applied: {json.loads(applied.stdout)}")
    for (searcher, shards), address in zip(
        SHARDS.items(), ports[6:9], strict=True
    ):
        fleet.start_searcher(
            searcher,
            address,
            entries=",".join(http for http, _ in entries.values()),
            shards=shards,
        )
    wait_for("all searchers on both entries", lambda: all_known(fleet, entries))
    found = fleet.get(entry_http, "/v1/addresses?service=contracts")
    say(f"addresses: {found}")
    first = found["addresses"][0]["http_address"]
    asked = fleet.ctl(
        "request", "contracts", "lookup", "--body", '{"pump": 7}', "--at", first
    )
    return json.loads(asked.stdout)


def all_known(fleet: Fleet, entries: dict) -> bool:
    """Whether every entry is ready and knows every searcher."""
    statuses = [
        fleet.get(http, "/v1/status") or {} for http, _ in entries.values()
    ]
    return all(
        status.get("state") == "ready"
        and len(status["backend_servers"]) == len(SHARDS)
        for status in statuses
    )


def say(text: str) -> None:
    """Prints a line of progress."""
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
