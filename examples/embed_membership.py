"""Embeds the membership decider without a daemon, for two processes.

Shows the contract of a decider: it receives messages and the time and returns
messages, which the embedding program delivers. Prints the membership that the
second process has learnt.
"""

from __future__ import annotations

import random

from greengagemoor.control.messages import Received, Send
from greengagemoor.membership.decider import MembershipDecider
from greengagemoor.membership.rows import InstanceRow, InstanceState

SECONDS = 5
STEP_S = 0.05


def make_decider(name: str, seeds: dict[str, str]) -> MembershipDecider:
    """Returns the membership decider of one process."""
    row = InstanceRow(
        name=name,
        incarnation=1,
        sequence=0,
        state=InstanceState.STARTING,
        peer_address=f"{name}:9000",
        http_address=f"{name}:8000",
        data_centre="dc-1",
        region="region-1",
        roles=("worker",),
    )
    return MembershipDecider(row, seeds, random.Random(name))


def run() -> dict[str, str]:
    """Returns the states of the instances at ``b`` after ``SECONDS``."""
    deciders = {
        "a": make_decider("a", {}),
        "b": make_decider("b", {"a": "a:9000"}),
    }
    in_flight: list[tuple[str, Received]] = []
    for step in range(int(SECONDS / STEP_S)):
        arrived, in_flight = in_flight, []
        for name, decider in deciders.items():
            msgs = [msg for to, msg in arrived if to == name]
            for output in decider.step(step * STEP_S, msgs):
                if isinstance(output, Send):
                    received = Received(name, output.payload, f"{name}:9000")
                    in_flight.append((output.to, received))
    table = deciders["b"].state.table
    return {name: row.state.value for name, row in table.live_instances.items()}


if __name__ == "__main__":
    print(run())
