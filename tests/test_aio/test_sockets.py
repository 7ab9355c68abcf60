"""What the system tells of a connection."""

from __future__ import annotations

import asyncio
import socket

from greengagemoor.aio import sockets
from greengagemoor.aio.requests import HttpRequest, Limits
from greengagemoor.aio.server import HttpServer


class Collects:
    """Takes requests and answers them at once."""

    def __init__(self):
        self.taken: list[HttpRequest] = []

    def take(self, req):
        self.taken.append(req)
        req.conn.reply(req, 200)

    def gone(self, req):
        pass


async def ask_twice(handler):
    server = HttpServer("127.0.0.1:0", handler, Limits())
    listener = sockets.listen("127.0.0.1:0")
    await server.start(listener)
    host, port = listener.getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    for _ in range(2):
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
    ways = [req.way_s for req in handler.taken]
    writer.close()
    server.stop_accepting()
    return ways


class Transport:
    """Stands for a transport with a socket that has options or none."""

    def __init__(self, sock):
        self.sock = sock

    def get_extra_info(self, name):
        return self.sock


class Refuses:
    """A socket on a system that tells nothing."""

    def getsockopt(self, *args):
        raise OSError(92, "Protocol not available")


class TestRoundTrip:
    """The caller's way, as the system has seen it."""

    def test_first_request_pays_for_its_connection(self):
        handler = Collects()
        first, second = asyncio.run(ask_twice(handler))
        assert [req.is_first for req in handler.taken] == [True, False]
        assert 0.0 < second < 1.0
        assert 0.0 < first < 2.0

    def test_unknown(self):
        """Guards against an entry that fails where nothing is told."""
        assert sockets.round_trip_s(Transport(Refuses())) is None
        assert sockets.round_trip_s(Transport(None)) is None
        with socket.socket() as sock:
            # Nothing was ever sent on it.
            assert sockets.round_trip_s(Transport(sock)) is None
