"""How old a connection may be when the event loop accepts it."""

from __future__ import annotations

import asyncio
import socket
import time
from math import inf
from unittest.mock import Mock

import pytest

from greengagemoor.aio import sockets
from greengagemoor.aio.loop_watch import INTERVAL_S, LoopWatch
from greengagemoor.aio.requests import Limits
from greengagemoor.aio.server import HttpServer
from tests.test_aio.helpers import run
from tests.test_aio.test_sockets import FakeTransport, ReplyingHandler

BLOCKED_S = 3 * INTERVAL_S
BUSY_TURNS = 8


async def accepted(play):
    """Returns the connection that a server accepts.

    Args:
        play: connects to an address, and may block the event loop.
    """
    watch = LoopWatch(time.monotonic)
    watching = asyncio.create_task(watch.run())
    handler = ReplyingHandler()
    server = HttpServer("127.0.0.1:0", handler, Limits(), watch)
    listener = sockets.listen("127.0.0.1:0")
    await server.start(listener)
    await asyncio.sleep(2 * INTERVAL_S)
    sock = socket.create_connection(listener.getsockname())
    connected_at = time.monotonic()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    play()
    while not handler.requests:
        await asyncio.sleep(0.01)
    watching.cancel()
    sock.close()
    server.stop_accepting()
    return handler.requests[0].conn, connected_at


def block():
    time.sleep(BLOCKED_S)


def block_in_each_turn():
    """Blocks now, and in each of the next turns of the loop."""

    def block_again(turns):
        time.sleep(INTERVAL_S)
        if turns:
            asyncio.get_running_loop().call_soon(block_again, turns - 1)

    block_again(BUSY_TURNS)


class TestConnectionThatWaited:
    """A connection that the kernel accepted while the loop did not run."""

    @pytest.mark.parametrize("play", [block, block_in_each_turn])
    def test_is_as_old_as_it_may_be(self, play):
        """Guards against an old connection that is taken for a new one."""
        conn, connected_at = run(accepted(play))
        assert conn.established_after <= connected_at

    def test_time_advances(self):
        """Guards against refusing new connections for their supposed age."""

        async def play():
            watch = LoopWatch(time.monotonic)
            started_at = watch.polled_at
            watching = asyncio.create_task(watch.run())
            while watch.polled_at <= started_at:
                await asyncio.sleep(INTERVAL_S)
            watching.cancel()

        run(play())


class TestHandshake:
    """Duration of the handshake, from the kernel's counters."""

    def info(self, rtt_us, retransmissions):
        packed = sockets.TCP_INFO.pack(rtt_us, retransmissions)
        return FakeTransport(Mock(getsockopt=lambda *_: packed))

    def test_round_trip(self):
        assert sockets.handshake_s(self.info(250_000, 0)) == 0.25

    def test_packet_sent_again(self):
        """Guards against a round-trip time that is that of the last copy."""
        assert sockets.handshake_s(self.info(200, 1)) == inf

    def test_not_reported(self):
        assert sockets.handshake_s(FakeTransport(None)) == 0.0

    def test_of_a_real_connection(self):
        conn, _ = run(accepted(lambda: None))
        assert 0 <= conn.handshake_s < inf
