"""An entry on the event loop: its shutdown, and endless responses."""

from __future__ import annotations

import asyncio
from functools import partial

from greengagemoor.aio import sockets
from greengagemoor.aio.connection import HttpConnection
from greengagemoor.aio.requests import HttpRequest
from greengagemoor.feed.messages import (
    SearcherRow,
    SearcherState,
    SearcherUpdated,
)
from greengagemoor.forward.messages import Ending, Respond
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.routing.routes import RouteTable, ServiceRules
from greengagemoor.serving import entry as entry_module
from greengagemoor.serving import request_log
from greengagemoor.serving.entry import EntryApp
from greengagemoor.serving.settings import ServingSettings
from tests.test_aio.helpers import ok, raw_server, read_head, run
from tests.test_forward.helpers import single

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
SEED = 1
"""With it the random part of the first allowance permits a second send."""
ANSWER_S = 0.05
READ_S = 0.001
READ_TIMEOUT_S = 2.0


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


def make_entry(address="127.0.0.1:1", **settings):
    """Returns an entry that does not listen yet."""
    cfg = ServingSettings(
        "e1",
        "dc1",
        address,
        (),
        caller_address=address,
        health_address=address,
        **settings,
    )
    return EntryApp(cfg, PlatformDialect())


def stop_while_a_searcher_works():
    """Stops an entry while a searcher does not answer its request.

    Returns:
        The bytes sent to the caller before the entry stopped.
    """

    async def main():
        asked = asyncio.Event()

        async def never_answer(reader, writer):
            await read_head(reader)
            asked.set()
            await reader.read()

        app = make_entry(grace_s=0.5)
        app._view._confirmed_at = app.clock.now()
        app._view.number = 1
        route = single(prefix="/", time_limit_s=20.0)
        rules = {"s0": ServiceRules("s0", 40)}
        app._route_table = RouteTable(1, (route,), rules, None)
        app._decider.set_routes(app._route_table)
        listener = sockets.listen("127.0.0.1:0")
        await app._callers.start(listener)
        async with raw_server(never_answer) as searcher_address:
            row = SearcherRow(
                "i1",
                "s0",
                searcher_address,
                "dc1",
                SearcherState.READY,
                1,
                5,
                0.0,
            )
            app._ticker.put(SearcherUpdated(row))
            reader, writer = await asyncio.open_connection(
                *listener.getsockname()
            )
            writer.write(REQUEST)
            await asked.wait()
            await app.stop()
            received = await asyncio.wait_for(reader.read(), READ_TIMEOUT_S)
            writer.close()
            return received

    return run(main())


def stop_while_a_caller_connects(monkeypatch):
    """Stops an entry while a last connection is being accepted.

    Returns:
        The bytes sent on that connection before the entry stopped.
    """
    monkeypatch.setattr(entry_module, "KEEP_SERVING_SHARE", 0.001)

    async def main():
        loop = asyncio.get_running_loop()
        app = make_entry()
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


def ask_beside_an_endless_response(monkeypatch):
    """Sends a request whose first searcher sends a head without end.

    Returns:
        The first line of the answer, the steps in the log, the searcher that
        sent without end, and the entry's gauges.
    """
    steps = []
    asked = []

    def record(event, **fields):
        if event == "step":
            steps.append(fields)

    monkeypatch.setattr(request_log.log, "event", record)

    async def answer(name, reader, writer):
        await read_head(reader)
        asked.append(name)
        if len(asked) > 1:
            writer.write(ok(b"right", b"Server-Stamp: s"))
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nA: " + b"a" * 1_000_000)
        await reader.read()

    async def main():
        app = make_entry(seed=SEED)
        app._view._confirmed_at = app.clock.now()
        app._view.number = 1
        rules = {"s0": ServiceRules("s0", 40)}
        app._route_table = RouteTable(1, (single(prefix="/"),), rules, None)
        app._decider.set_routes(app._route_table)
        listener = sockets.listen("127.0.0.1:0")
        await app._callers.start(listener)
        async with (
            raw_server(partial(answer, "i1")) as first,
            raw_server(partial(answer, "i2")) as second,
        ):
            for name, address in (("i1", first), ("i2", second)):
                row = SearcherRow(
                    name, "s0", address, "dc1", SearcherState.READY, 1, 5, 0.0
                )
                app._ticker.put(SearcherUpdated(row))
            reader, writer = await asyncio.open_connection(
                *listener.getsockname()
            )
            writer.write(REQUEST)
            line = await reader.readline()
            writer.close()
            return line, steps, asked[0], app._gauges()

    return run(main())


class TestEndlessResponse:
    """A searcher that sends without end."""

    def test_request_goes_elsewhere_and_the_log_names_the_searcher(
        self, monkeypatch
    ):
        line, steps, faulty, gauges = ask_beside_an_endless_response(
            monkeypatch
        )
        assert line.startswith(b"HTTP/1.1 200")
        assert (
            faulty,
            "broken: response too large: head exceeds 32768 bytes",
        ) in [(step["searcher"], step["note"]) for step in steps]
        assert gauges["searcher_responses_too_large_total"] == 1
        assert gauges["searcher_response_buffer_bytes"] == 0


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

    def test_searcher_still_works_at_the_end(self):
        """Guards against a connection that ends without an answer."""
        written = stop_while_a_searcher_works()
        assert written.startswith(b"HTTP/1.1 504")
        assert b"Connection: close" in written


class Caller:
    """A caller's connection; records what was sent, and whether it closed."""

    def __init__(self):
        self.statuses = []
        self.closed = False

    def reply(self, req, status, headers, body):
        self.statuses.append(status)

    def close(self):
        self.closed = True


class FailingDialect(PlatformDialect):
    """Can't write the answer to one request."""

    def write_answer(self, msg):
        if msg.request_id == "bad":
            raise KeyError("odd")
        return super().write_answer(msg)


def answer(request_ids):
    """Answers requests in one tick of an entry.

    Returns:
        The entry and its callers, by the id of their request.
    """

    async def main():
        app = make_entry()
        app._dialect = FailingDialect()
        callers = {}
        out = []
        for token, request_id in enumerate(request_ids, 1):
            callers[request_id] = Caller()
            req = HttpRequest("GET", "/a", [], b"", 0.0, callers[request_id])
            app._requests[token] = req
            out.append(
                Respond(
                    token,
                    request_id,
                    single(prefix="/"),
                    Ending.NO_ANSWER,
                    1,
                    1,
                )
            )
        app._decider.step = lambda now, msgs: out
        app._ticker.tick()
        return app, callers

    return run(main())


class TestFailingMessage:
    """An output message that fails leaves the others of its tick alone."""

    def test_other_callers_get_their_answers(self):
        """Guards against answers lost because another one can't be written."""
        app, callers = answer(["bad", "r2", "r3"])
        assert callers["r2"].statuses == callers["r3"].statuses == [504]
        assert app._ticker.failures == 1

    def test_its_caller_does_not_wait(self):
        """Guards against a caller whose answer was lost and who waits on."""
        _, callers = answer(["bad"])
        assert callers["bad"].closed


class TestPeriodicWork:
    """The periodic work of an entry goes on after an exception."""

    def test_each_part_goes_on_beside_one_that_fails(self, monkeypatch):
        """Guards against idle connections that are never closed again."""
        monkeypatch.setattr(entry_module, "SWEEP_INTERVAL_S", 0.005)
        calls = []

        async def main():
            done = asyncio.Event()

            def fail():
                calls.append("closed")
                raise RuntimeError("odd")

            def update():
                calls.append("updated")
                if calls.count("updated") > 2 and calls.count("closed") > 2:
                    done.set()

            app = make_entry("127.0.0.1:0")
            app._pool.close_expired = fail
            app._metrics.update_histograms = update
            await app.start()
            await done.wait()
            app._callers.stop_accepting()

        run(main())
