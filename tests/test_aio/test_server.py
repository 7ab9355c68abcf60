"""HTTP server connections, against raw sockets."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from greengagemoor.aio import sockets
from greengagemoor.aio.requests import Limits
from greengagemoor.aio.server import HttpServer
from tests.test_aio.helpers import read_head, run


class Recorder:
    """Records requests; replies at once unless ``answer`` is false."""

    def __init__(self, answer=True):
        self.answer = answer
        self.reqs = []
        self.disconnected = []
        self.changed = asyncio.Event()

    def handle_request(self, req):
        self.reqs.append(req)
        self.changed.set()
        if self.answer:
            req.conn.reply(req, 200, (), req.target.encode())

    def handle_disconnect(self, req):
        self.disconnected.append(req)
        self.changed.set()


@asynccontextmanager
async def running_server(handler, **limits):
    """Runs a server and opens a connection to it."""
    server = HttpServer("127.0.0.1:0", handler, Limits(**limits))
    await server.start()
    host, port = server._server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        yield server, reader, writer
    finally:
        writer.close()
        server.stop_accepting()


async def exchange(data, handler=None, **limits):
    """Sends bytes; returns all that is received until the server closes."""
    async with running_server(handler or Recorder(), **limits) as (
        _,
        reader,
        writer,
    ):
        writer.write(data)
        return await reader.read()


class TestFraming:
    """Requests with ambiguous framing or beyond the limits are rejected."""

    def test_body_in_chunks(self):
        async def main():
            handler = Recorder()
            await exchange(
                b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                handler,
            )
            return handler.reqs[0].body

        assert run(main()) == b"abc"

    def test_length_and_chunks_together_are_rejected(self):
        """Guards against request smuggling.

        A searcher ran a request that no caller had sent, because one parser
        used the length and the next one the chunks.
        """

        async def main():
            handler = Recorder()
            answer = await exchange(
                b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1"
                b"\r\nHost: h\r\n\r\n",
                handler,
            )
            return answer, handler.reqs

        answer, reqs = run(main())
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert reqs == []

    @pytest.mark.parametrize(
        ("head", "status"),
        [
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nX: " + b"a" * 600 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", b"413"),
        ],
    )
    def test_rejected_heads(self, head, status):
        answer = run(exchange(head, header_bytes=500, body_bytes=50))
        assert answer.startswith(b"HTTP/1.1 " + status)

    def test_chunks_beyond_the_limit(self):
        data = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"40\r\n" + b"a" * 64 + b"\r\n0\r\n\r\n"
        )
        answer = run(exchange(data, body_bytes=50))
        assert answer.startswith(b"HTTP/1.1 413")

    def test_header_timeout(self):
        answer = run(exchange(b"GET / HT", header_timeout_s=0.1))
        assert answer.startswith(b"HTTP/1.1 408")

    def test_idle_connection_is_closed(self):
        assert run(exchange(b"", idle_timeout_s=0.1)) == b""

    def test_expect_continue(self):
        async def main():
            async with running_server(Recorder()) as (_, reader, writer):
                writer.write(
                    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                    b"Expect: 100-continue\r\n\r\n"
                )
                return await read_head(reader)

        assert run(main()) == b"HTTP/1.1 100 Continue\r\n\r\n"


class TestOrder:
    """Replies are sent in the order of the requests."""

    def test_pipelined(self):
        async def main():
            return await exchange(
                b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )

        answer = run(main())
        assert answer.index(b"/1") < answer.index(b"/2")

    def test_second_request_waits_for_the_first_reply(self):
        async def main():
            handler = Recorder(answer=False)
            async with running_server(handler) as (_, reader, writer):
                writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
                await handler.changed.wait()
                await asyncio.sleep(0.02)
                before = len(handler.reqs)
                first = handler.reqs[0]
                first.conn.reply(first, 200)
                await read_head(reader)
                return before, len(handler.reqs)

        assert run(main()) == (1, 2)

    def test_second_reply_is_discarded(self):
        """A second reply to a request must not answer the next one."""

        async def main():
            handler = Recorder(answer=False)
            async with running_server(handler) as (_, reader, writer):
                writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
                await handler.changed.wait()
                first = handler.reqs[0]
                first.conn.reply(first, 200, (), b"one")
                first.conn.reply(first, 200, (), b"again")
                second = handler.reqs[1]
                second.conn.reply(second, 200, (), b"two", close=True)
                return await reader.read()

        answer = run(main())
        assert b"again" not in answer
        assert answer.endswith(b"two")


class TestEnds:
    """Callers that disconnect, and a server that shuts down."""

    def test_handler_is_notified_of_a_disconnect(self):
        async def main():
            handler = Recorder(answer=False)
            async with running_server(handler) as (_, _, writer):
                writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
                await handler.changed.wait()
                handler.changed.clear()
                writer.close()
                await handler.changed.wait()
                return handler.reqs == handler.disconnected

        assert run(main())

    def test_closing_server_closes_connections_after_their_reply(self):
        async def main():
            handler = Recorder()
            async with running_server(handler) as (server, reader, writer):
                server.limits.closing = True
                writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
                return await reader.read()

        answer = run(main())
        assert b"Connection: close" in answer
        assert answer.endswith(b"/1")

    def test_closing_server_answers_pipelined_requests(self):
        """Guards against closing a connection on which requests are queued."""

        async def main():
            handler = Recorder(answer=False)
            async with running_server(handler) as (server, reader, writer):
                writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
                await handler.changed.wait()
                server.limits.closing = True
                for number, body in enumerate((b"one", b"two")):
                    req = handler.reqs[number]
                    req.conn.reply(req, 200, (), body)
                return await reader.read()

        first, second = run(main()).split(b"one")
        assert b"Connection: keep-alive" in first
        assert b"Connection: close" in second
        assert second.endswith(b"two")

    def test_idle_connections_close_and_busy_ones_stay(self):
        async def main():
            handler = Recorder(answer=False)
            async with running_server(handler) as (server, reader, writer):
                writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
                await handler.changed.wait()
                server.close_idle()
                req = handler.reqs[0]
                req.conn.reply(req, 200, (), b"whole", close=True)
                return await reader.read()

        assert run(main()).endswith(b"whole")


class TestEarlyListener:
    """A process listens before it can accept connections."""

    def test_early_caller_is_answered(self):
        """Guards against callers that fail just after all processes are killed.

        A process listened only at the end of its start: a caller was refused
        by one starting process, tried the next and was refused again.
        """

        async def main():
            sock = sockets.listen("127.0.0.1:0")
            host, port = sock.getsockname()
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            handler = Recorder()
            server = HttpServer(f"{host}:{port}", handler, Limits())
            await server.start(sock)
            line = await reader.readline()
            writer.close()
            return line

        assert run(main()).startswith(b"HTTP/1.1 200")
