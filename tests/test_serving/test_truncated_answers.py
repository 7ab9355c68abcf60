"""Answers that a searcher cuts off, as an entry's callers see them."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import partial

import pytest

from greengagemoor.aio import sockets
from greengagemoor.feed.messages import (
    SearcherRow,
    SearcherState,
    SearcherUpdated,
)
from greengagemoor.routing.routes import Grade, RouteTable, ServiceRules
from tests.test_aio.helpers import ok, raw_server, read_head, run
from tests.test_forward.helpers import gather, single
from tests.test_serving.test_entry import REQUEST, make_entry

RECORDS = b"r" * 16
CUTS = {
    "status line": b"HTTP/1.1 20",
    "end of the status line": b"HTTP/1.1 200 OK\r\n",
    "header name": b"HTTP/1.1 200 OK\r\nServer-St",
    "header value": b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 1",
    "before the blank line": b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n",
    "within the blank line": b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r",
    "body": ok(RECORDS, b"Server-Stamp: s")[:-5],
    "no body": ok(RECORDS, b"Server-Stamp: s")[: -len(RECORDS)],
    "chunk": (
        b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n10\r\nrrrrr"
    ),
    "between chunks": (
        b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n10\r\n" + RECORDS + b"\r\n"
    ),
    "refusal's status line": b"HTTP/1.1 503 Serv",
    "refusal's header": b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n",
    "refusal's body": ok(b"full", b"Not-Executed: 1")[:-2].replace(
        b"200 OK", b"503 Full"
    ),
}
each_cut = pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS)


def answer_of(route, replies):
    """Returns the answer to a request, and the searchers that received it.

    Args:
        route: the only route.
        replies: a list for each service, with what one searcher each sends
            before it closes the connection.
    """
    received = []

    async def reply(name, data, reader, writer):
        await read_head(reader)
        received.append(name)
        writer.write(data)

    async def main():
        app = make_entry()
        app._view._confirmed_at = app.clock.now()
        app._view.number = 1
        rules = {name: ServiceRules(name, 40) for name in replies}
        app._route_table = RouteTable(1, (route,), rules, None)
        app._decider.set_routes(app._route_table)
        listener = sockets.listen("127.0.0.1:0")
        await app._callers.start(listener)
        async with AsyncExitStack() as stack:
            for service, each in replies.items():
                for number, data in enumerate(each):
                    name = f"{service}.{number}"
                    server = raw_server(partial(reply, name, data))
                    address = await stack.enter_async_context(server)
                    row = SearcherRow(
                        name,
                        service,
                        address,
                        "dc1",
                        SearcherState.READY,
                        1,
                        5,
                        0.0,
                    )
                    app._ticker.put(SearcherUpdated(row))
            await asyncio.sleep(0)
            reader, writer = await asyncio.open_connection(
                *listener.getsockname()
            )
            writer.write(REQUEST)
            head = await read_head(reader)
            size = int(head.partition(b"Content-Length: ")[2].split()[0])
            body = await reader.readexactly(size)
            writer.close()
            return head, body

    return *run(main()), received


class TestSingle:
    """A route to one service."""

    @each_cut
    def test_is_no_answer(self, cut):
        """Guards against part of an answer that is framed as a whole one."""
        route = single(prefix="/", attempts=1)
        head, body, received = answer_of(route, {"s0": [cut]})
        assert head.startswith(b"HTTP/1.1 502")
        assert b"Server-Stamp" not in head
        assert body == b""
        assert len(received) == 1


class TestOnce:
    """A route whose requests may run once."""

    @each_cut
    def test_neither_answered_nor_repeated(self, cut):
        """Guards against a second run, and against a false promise of none."""
        route = single(prefix="/", grade=Grade.ONCE_PER_ATTEMPT)
        head, body, received = answer_of(route, {"s0": [cut, cut]})
        assert head.startswith(b"HTTP/1.1 502")
        assert body == b""
        assert len(received) == 1


class TestGather:
    """A route over four services."""

    @each_cut
    def test_counts_as_missing(self, cut):
        """Guards against a part without its records."""
        parts = {
            f"s{n}": [ok(RECORDS, b"Server-Stamp: s%d" % n)] for n in range(3)
        }
        route = gather(prefix="/", attempts=1)
        head, body, received = answer_of(route, {**parts, "s3": [cut]})
        assert head.startswith(b"HTTP/1.1 200")
        assert b"Part-Stamps: s0, s1, s2\r\n" in head
        assert b"Missing-Parts: 1\r\n" in head
        assert body == 3 * RECORDS
        assert "s3.0" in received
