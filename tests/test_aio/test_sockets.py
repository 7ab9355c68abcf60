"""Round-trip times that the kernel reports for a connection."""

from __future__ import annotations

import asyncio
import socket

from greengagemoor.aio import sockets
from greengagemoor.aio.requests import HttpRequest, Limits
from greengagemoor.aio.server import HttpServer


class ReplyingHandler:
    """Records requests and replies at once."""

    def __init__(self):
        self.requests: list[HttpRequest] = []

    def handle_request(self, req):
        self.requests.append(req)
        req.conn.reply(req, 200)

    def handle_disconnect(self, req):
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
    network_times = [req.network_s for req in handler.requests]
    writer.close()
    server.stop_accepting()
    return network_times


class FakeTransport:
    """A transport with the given socket, or None."""

    def __init__(self, sock):
        self.sock = sock

    def get_extra_info(self, name):
        return self.sock


class SocketWithoutOptions:
    """A socket on a platform without ``TCP_INFO``."""

    def getsockopt(self, *args):
        raise OSError(92, "Protocol not available")


class TestRoundTrip:
    """Network time to the caller, from the kernel's round-trip time."""

    def test_first_request_includes_its_connection(self):
        handler = ReplyingHandler()
        first, second = asyncio.run(ask_twice(handler))
        assert [req.is_first for req in handler.requests] == [True, False]
        assert 0.0 < second < 1.0
        assert 0.0 < first < 2.0

    def test_round_trip_not_available(self):
        """Guards against a failure on platforms without round-trip times."""
        assert (
            sockets.round_trip_s(FakeTransport(SocketWithoutOptions())) is None
        )
        assert sockets.round_trip_s(FakeTransport(None)) is None
        with socket.socket() as sock:
            # Nothing was sent on this socket.
            assert sockets.round_trip_s(FakeTransport(sock)) is None
