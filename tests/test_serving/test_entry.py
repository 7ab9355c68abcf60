"""Shutdown of an entry on the event loop."""

from __future__ import annotations

import asyncio

from greengagemoor.aio.connection import HttpConnection
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.serving import entry as entry_module
from greengagemoor.serving.entry import EntryApp
from greengagemoor.serving.settings import ServingSettings

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER_S = 0.05
READ_S = 0.001


class Transport(asyncio.Transport):
    """Records what is written, and closes at once."""

    def __init__(self, conn):
        super().__init__()
        self.conn = conn
        self.written = b""

    def write(self, data):
        self.written += data

    def close(self):
        asyncio.get_running_loop().call_soon(self.conn.connection_lost, None)

    def resume_reading(self):
        pass


class SlowHandler:
    """Answers each request after a delay, as a searcher would."""

    def handle_request(self, req):
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_S, req.conn.reply, req, 200)

    def handle_disconnect(self, req):
        pass


def stop_while_a_caller_connects(monkeypatch):
    """Stops an entry while a last connection is being accepted.

    Returns:
        The bytes sent on that connection before the entry stopped.
    """
    monkeypatch.setattr(entry_module, "KEEP_SERVING_SHARE", 0.001)

    async def main():
        loop = asyncio.get_running_loop()
        address = "127.0.0.1:1"
        cfg = ServingSettings(
            "e1",
            "dc1",
            address,
            (),
            caller_address=address,
            health_address=address,
        )
        app = EntryApp(cfg, PlatformDialect())
        callers = app._callers
        conn = HttpConnection(SlowHandler(), app._limits, callers.conns)
        transport = Transport(conn)

        def accept():
            conn.connection_made(transport)
            loop.call_later(READ_S, conn.data_received, REQUEST)

        def stop_accepting():
            loop.call_soon(accept)

        callers.stop_accepting = stop_accepting
        await app.stop()
        return transport.written

    return asyncio.run(main())


class TestStop:
    """An entry that stops aborts no request.

    Guards against a lost answer: an entry read a request 3.6 s after SIGTERM,
    forwarded it, and closed the connection 28 ms later without an answer. It
    had just closed its listening socket, saw no connection, waited a last 20 ms
    and ended; a connection that the kernel had accepted at that moment appeared
    a turn of the loop later.
    """

    def test_connection_accepted_while_the_listener_closes(self, monkeypatch):
        written = stop_while_a_caller_connects(monkeypatch)
        assert written.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in written
