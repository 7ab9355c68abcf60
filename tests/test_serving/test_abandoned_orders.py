"""Orders that a control instance reads after their callers have given up."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from greengagemoor.aio import sockets
from greengagemoor.control.client import OperationRequest
from greengagemoor.control.messages import OpKind
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.serving.control import ControlApp
from greengagemoor.serving.settings import ServingSettings
from tests.test_aio.helpers import run

ORDER = b"POST /v1/evacuation/dc1/%s HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
WAIT_S = 0.3
MOVED_ON_S = 1.0
"""Seconds without an answer after which an operator moves on."""


def send_order(address, word):
    """Sends an order on a new connection while the event loop stands still."""
    sock = socket.create_connection(address)
    sock.sendall(ORDER % word)
    return sock


def read_reply(connection):
    """Returns what an instance sent and whether it closed the connection."""
    connection.setblocking(False)
    reply = b""
    try:
        while data := connection.recv(4096):
            reply += data
    except BlockingIOError:
        return reply, False
    return reply, True


async def submitted(play):
    """Returns the evacuations that an instance submits to the group.

    Args:
        play: takes the instance's address, sends orders and returns the open
            connections, or a coroutine that does; nothing is read before it
            returns or waits.
    """
    cfg = ServingSettings(
        "127.0.0.2",
        "dc1",
        "127.0.0.2:7740",
        (),
        control_address="127.0.0.1:1",
        data_centres=("dc1",),
    )
    app = ControlApp(cfg, PlatformDialect())
    watching = asyncio.create_task(app._loop_watch.run())
    submitted = []
    app._operators._put = submitted.append
    listener = sockets.listen("127.0.0.1:0")
    (server,) = app._servers
    await server.start(listener)
    connections = play(listener.getsockname())
    if asyncio.iscoroutine(connections):
        connections = await connections
    await asyncio.sleep(WAIT_S)
    for connection in connections:
        connection.close()
    server.stop_accepting()
    watching.cancel()
    await asyncio.sleep(0)
    return [
        msg.command.active
        for msg in submitted
        if isinstance(msg, OperationRequest) and msg.kind is OpKind.EVACUATE
    ]


class TestFrozenInstance:
    """An instance wakes after its callers have gone elsewhere."""

    @pytest.mark.parametrize("word", [b"start", b"finish"])
    def test_order_of_a_closed_connection_is_not_carried_out(self, word):
        """Guards against a stale order that undoes a newer one."""

        def play(address):
            send_order(address, word).close()
            return []

        assert run(submitted(play)) == []

    def test_connection_that_ends_a_round_trip_after_its_order(self):
        """Guards against a stale order that an interrupted network delivers."""

        def play(address):
            sock = send_order(address, b"finish")
            asyncio.get_running_loop().call_later(0.01, sock.close)
            return []

        assert run(submitted(play)) == []

    def test_order_whose_caller_waits_is_carried_out(self):
        def play(address):
            return [send_order(address, word) for word in (b"finish", b"start")]

        assert sorted(run(submitted(play))) == [False, True]


class TestCallerThatMovedOn:
    """A caller gives up an order, and leaves its connection open."""

    @pytest.mark.parametrize("word", [b"start", b"finish"])
    def test_order_that_lay_unread(self, word):
        """Guards against a stale order that undoes a newer one."""

        def play(address):
            sock = send_order(address, word)
            time.sleep(MOVED_ON_S)
            return [sock]

        assert run(submitted(play)) == []

    def test_order_that_lay_unread_while_the_instance_was_busy(self):
        """Guards against taking a connection that waited for a new one."""

        def block_again(turns):
            time.sleep(0.3)
            if turns:
                asyncio.get_running_loop().call_soon(block_again, turns - 1)
            else:
                is_idle.set()

        async def play(address):
            sock = send_order(address, b"finish")
            block_again(6)
            await is_idle.wait()
            return [sock]

        is_idle = asyncio.Event()

        assert run(submitted(play)) == []

    def test_order_that_was_on_its_way(self):
        """Guards against a stale order that an interrupted network delivers."""

        async def play(address):
            sock = socket.create_connection(address)
            await asyncio.sleep(MOVED_ON_S)
            sock.sendall(ORDER % b"finish")
            return [sock]

        assert run(submitted(play)) == []

    def test_order_read_just_before_a_suspension(self):
        """Guards against a stale order that is carried out on resumption."""

        async def play(address):
            sock = send_order(address, b"finish")
            await asyncio.sleep(0.02)
            time.sleep(MOVED_ON_S)
            return [sock]

        assert run(submitted(play)) == []
