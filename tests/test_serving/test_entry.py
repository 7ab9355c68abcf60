"""An entry on the event loop: how it ends."""

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
    """Takes what is written, and closes at once."""

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
    """Answers a request a little later, as a searcher would."""

    def take(self, req):
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_S, req.conn.reply, req, 200)

    def gone(self, req):
        pass


def leave_while_one_connects(monkeypatch):
    """Stops an entry as the last connection is accepted.

    Returns:
        What that connection was sent until the entry had stopped.
    """
    monkeypatch.setattr(entry_module, "KEEP_SERVING_SHARE", 0.001)

    async def main():
        loop = asyncio.get_running_loop()
        here = "127.0.0.1:1"
        cfg = ServingSettings(
            "e1", "dc1", here, (), caller_address=here, health_address=here
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


class TestLeaving:
    """An entry that was told to end cuts off no request.

    A request was read 3.6 s after SIGTERM, passed on, and cut 28 ms later. The
    entry had just closed its listening socket and the connections on which
    nothing was under way; none was, so it waited a last 20 ms and ended. A
    connection that the kernel had handed over in that moment was made a turn
    of the loop later and brought its request. Told by the callers' side:

        3.000 s  front-nbo-west-2 gets SIGTERM
        6.600 s  request 58fbce063d06aeee sent to front-nbo-west-2
        6.602 s  reaches server i-add8e0e985 from front-nbo-west-2
        6.631 s  the connection is closed with no answer
    """

    def test_connection_accepted_in_the_last_moment(self, monkeypatch):
        written = leave_while_one_connects(monkeypatch)
        assert written.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in written
