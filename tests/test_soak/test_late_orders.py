"""Operators' orders at a suspended control instance, as real processes."""

from __future__ import annotations

import asyncio
import json
import signal

from greengagemoor.platform.boot import METRICS_PORT
from soak.cluster import DATA_CENTRES, PORTS
from soak.searchers import call
from tests.test_soak.test_full_disks import Group

MOVED_ON_S = 1.0
"""Seconds without an answer after which an operator moves on."""


async def send_order(machine, action):
    """Sends an order; returns the connection, on which nothing was read."""
    reader, writer = await asyncio.open_connection(machine.ip, PORTS["control"])
    path = f"/v1/evacuation/{DATA_CENTRES[0]}/{action}"
    writer.write(f"POST {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n".encode())
    await writer.drain()
    return reader, writer


async def evacuated(group, machine):
    """Returns the data centres that an instance reports as evacuated."""
    address = f"{machine.ip}:{METRICS_PORT}"
    reply = await call(group.cluster._pool, address, "GET", "/evacuations")
    rows = json.loads(reply.body)["evacuations"]
    return [row["data_centre"] for row in rows if row["active"]]


async def order_until_accepted(group, machine, action):
    async def is_accepted() -> bool:
        reader, writer = await send_order(machine, action)
        status = (await reader.readline()).split()
        writer.close()
        return status[1:2] == [b"200"]

    await group.wait_until(is_accepted)


async def play(folder):
    """Returns the evacuated data centres after a suspended instance resumed.

    The operator leaves the connection open on which it got no answer.
    """
    group = Group(folder)
    first, suspended, _ = group.cluster.machines
    try:
        for machine in group.cluster.machines:
            group.cluster.start(machine)
        await group.wait_until(group.is_whole)
        await order_until_accepted(group, first, "start")
        group.cluster.signal(suspended, signal.SIGSTOP)
        reader, writer = await send_order(suspended, "finish")
        await asyncio.sleep(MOVED_ON_S)
        await order_until_accepted(group, first, "finish")
        await order_until_accepted(group, first, "start")
        group.cluster.signal(suspended, signal.SIGCONT)
        await reader.readline()
        await group.wait_until(group.is_whole)
        result = await evacuated(group, first)
        writer.close()
        return result
    finally:
        group.cluster.stop()


class TestSuspendedInstance:
    """An instance resumes after its operator has moved on."""

    def test_order_on_an_open_connection(self, tmp_path):
        """Guards against a stale order that undoes a newer one."""
        assert asyncio.run(play(tmp_path)) == [DATA_CENTRES[0]]
