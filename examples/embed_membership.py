"""Embeds the membership part without a daemon: two processes that find out.

Shows the whole contract of a decider: messages and a time go in, messages come
out, and whoever embeds it carries them. Prints what the second process knows.
"""

from __future__ import annotations

import random

from greengagemoor.control.messages import Received, Send
from greengagemoor.membership.decider import MembershipDecider
from greengagemoor.membership.rows import InstanceRow, InstanceState

SECONDS = 5
STEP_S = 0.05


def make(name: str, seeds: dict[str, str]) -> MembershipDecider:
    """Returns the membership part of one process."""
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
    """Returns how ``b`` sees the instances after some seconds."""
    parts = {
        "a": make("a", {}),
        "b": make("b", {"a": "a:9000"}),
    }
    waiting: list[tuple[str, Received]] = []
    for step in range(int(SECONDS / STEP_S)):
        arrived, waiting = waiting, []
        for name, part in parts.items():
            msgs = [msg for to, msg in arrived if to == name]
            for out in part.step(step * STEP_S, msgs):
                if isinstance(out, Send):
                    received = Received(name, out.payload, f"{name}:9000")
                    waiting.append((out.to, received))
    table = parts["b"].state.table
    return {name: row.state.value for name, row in table.live_instances.items()}


if __name__ == "__main__":
    print(run())
