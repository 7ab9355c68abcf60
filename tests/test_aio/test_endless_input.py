"""Input that never ends: from searchers, and from callers."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from greengagemoor.aio.client import (
    ClientConnection,
    HttpFailure,
    HttpResponse,
)
from greengagemoor.aio.connection import HttpConnection
from greengagemoor.aio.pool import Pool
from greengagemoor.aio.requests import Limits
from tests.test_aio.helpers import ok, raw_server, read_head, run

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
READ_BYTES = 16_384
SEND_BYTES = 8_388_608
"""Bytes after which a script stops sending and waits."""
MAX_HEAD_READ_BYTES = 65_536
"""Bytes that a connection may read before it refuses a head."""

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HEAD_FORMS = {
    "blank lines": (b"", b"\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "header name": (HEAD, b"a"),
    "header value": (HEAD + b"A: ", b"a"),
    "spaces before a value": (HEAD + b"A:", b" "),
    "many headers": (HEAD, b"A: b\r\n"),
    "many empty headers": (HEAD, b"a:\r\n"),
    "1xx responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "1xx responses with headers": (b"", b"HTTP/1.1 103 E\r\nA: b\r\n\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;a=", b"a"),
    "trailer value": (CHUNKED + b"0\r\nA: ", b"a"),
    "many trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
}
"""First bytes and repeated bytes of input without a response body."""

BODY_FORMS = {
    "large chunk": CHUNKED + b"fffffff\r\n",
    "ends with the connection": HEAD + b"\r\n",
}


LINE = b"POST / HTTP/1.1\r\n"
CHUNKED_REQUEST = LINE + b"Host: h\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST_FORMS = {
    "blank lines": (b"", b"\r\n"),
    "target": (b"GET /", b"a"),
    "header name": (LINE, b"a"),
    "header value": (LINE + b"A: ", b"a"),
    "spaces before a value": (LINE + b"A:", b" "),
    "many headers": (LINE, b"A: b\r\n"),
    "chunk size": (CHUNKED_REQUEST, b"0"),
    "chunk extension": (CHUNKED_REQUEST + b"1;a=", b"a"),
    "trailer value": (CHUNKED_REQUEST + b"0\r\nA: ", b"a"),
    "many trailers": (CHUNKED_REQUEST + b"0\r\n", b"A: b\r\n"),
}


class FakeTransport:
    """Records what is written and whether the connection was closed."""

    def __init__(self):
        self.aborted = False
        self.closed = False
        self.written = b""

    def resume_reading(self):
        pass

    def pause_reading(self):
        pass

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.aborted = True


def connect(pool, done, matches_request=lambda _: True):
    """Returns a connection with a request in flight."""
    conn = ClientConnection(pool, "127.0.0.1:1")
    conn.connection_made(FakeTransport())
    conn.send(GET, done, matches_request)
    return conn


def pieces(repeated):
    """Returns reads of about ``READ_BYTES`` for ``SEND_BYTES`` in all."""
    read = repeated * (READ_BYTES // len(repeated))
    return [read] * (SEND_BYTES // len(read))


def feed_until_closed(first, repeated, matches_request=lambda _: True):
    """Feeds endless input to one connection.

    Returns:
        The bytes read until the connection was closed, and the failures.
    """

    async def main():
        ends = []
        conn = connect(Pool(), ends.append, matches_request)
        read_bytes = 0
        for read in [first, *pieces(repeated)]:
            if conn.transport.aborted:
                break
            if read:
                read_bytes += len(read)
                conn.data_received(read)
        return read_bytes, ends

    return run(main())


async def ask(pool, address):
    """Sends one request and returns the response or failure."""
    fut = asyncio.get_running_loop().create_future()
    pool.send(address, GET, fut.set_result, lambda _: True)
    return await fut


class TestHeads:
    """Input that never gets to a body."""

    @pytest.mark.parametrize("form", HEAD_FORMS)
    def test_is_refused_within_the_limit(self, form):
        """Guards against heads that the parser accumulates without a limit."""
        read_bytes, ends = feed_until_closed(*HEAD_FORMS[form])
        assert read_bytes <= MAX_HEAD_READ_BYTES
        (end,) = ends
        assert isinstance(end, HttpFailure)
        assert end.sent
        assert end.response_began
        assert not end.stale
        assert end.reason == "response too large: head exceeds 32768 bytes"

    def test_trailer_after_small_chunks(self):
        """The framing of chunks makes no room for a trailer."""
        first = CHUNKED + b"1\r\nr\r\n" * 20_000 + b"0\r\nA: "
        read_bytes, ends = feed_until_closed(first, b"a")
        assert read_bytes <= len(first) + MAX_HEAD_READ_BYTES
        assert ends[0].reason.startswith("response too large: head")

    def test_one_large_read(self):
        """Guards against storing each of the headers of one read."""
        read_bytes, ends = feed_until_closed(HEAD + b"a:\r\n" * 60_000, b"a")
        assert read_bytes <= 262_144
        assert ends[0].reason.startswith("response too large: head")

    @pytest.mark.parametrize("form", HEAD_FORMS)
    def test_server_sees_the_connection_close(self, form):
        closed = asyncio.Event()
        first, repeated = HEAD_FORMS[form]

        async def script(reader, writer):
            await read_head(reader)
            try:
                writer.write(first)
                for read in pieces(repeated):
                    writer.write(read)
                    await writer.drain()
                assert await reader.read() == b""
            finally:
                closed.set()

        async def main():
            async with raw_server(script) as address:
                end = await ask(Pool(), address)
                await closed.wait()
                return end

        assert run(main()).reason.startswith("response too large: head")


class TestBodies:
    """Bodies of any framing."""

    def test_number_of_chunks(self):
        """Guards against seconds of processor time for one small body."""
        read_bytes, ends = feed_until_closed(CHUNKED, b"1\r\nr\r\n")
        assert read_bytes <= 6 * 65_536 + 2 * READ_BYTES
        assert ends[0].reason == "response too large: more than 65536 chunks"

    @pytest.mark.parametrize("match", [True, False])
    def test_declared_length_over_the_limit(self, match):
        """The head alone is enough to refuse the response."""
        first = HEAD + b"Content-Length: 4194305\r\n\r\n"
        read_bytes, ends = feed_until_closed(first, b"r", lambda _: match)
        assert read_bytes == len(first)
        assert (
            ends[0].reason == "response too large: body exceeds 4194304 bytes"
        )

    @pytest.mark.parametrize("form", BODY_FORMS)
    def test_body_that_never_ends(self, form):
        read_bytes, ends = feed_until_closed(BODY_FORMS[form], b"r")
        assert read_bytes <= 4_194_304 + 2 * READ_BYTES
        assert (
            ends[0].reason == "response too large: body exceeds 4194304 bytes"
        )

    def test_responses_to_other_requests(self):
        """Guards against a series of complete responses without end."""
        read_bytes, ends = feed_until_closed(
            b"", ok(b"r" * 4000), lambda _: False
        )
        assert read_bytes <= 4_194_304 + MAX_HEAD_READ_BYTES
        assert ends[0].reason.startswith("response too large: ")

    def test_memory_of_a_skipped_response(self):
        """The body of a response to another request is not stored."""

        async def main():
            conn = connect(Pool(), lambda _: None, lambda _: False)
            conn.data_received(HEAD + b"Content-Length: 4000000\r\n\r\n")
            tracemalloc.start()
            for _ in range(128):
                conn.data_received(b"r" * READ_BYTES)
            used_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            return used_bytes

        assert run(main()) < READ_BYTES

    def test_large_duplicate_is_skipped(self):
        """A duplicate response within the limits fails no request."""

        async def main():
            ends = []
            conn = connect(
                Pool(), ends.append, lambda headers: (b"Id", b"new") in headers
            )
            data = ok(b"x" * 60_000, b"Id: old") + ok(b"right", b"Id: new")
            for start in range(0, len(data), READ_BYTES):
                conn.data_received(data[start : start + READ_BYTES])
            return ends

        (answer,) = run(main())
        assert answer.body == b"right"

    def test_memory_of_small_chunks(self):
        """Guards against an object for each chunk of two bytes."""
        body_bytes = 131_072
        read = b"2\r\nrr\r\n" * 2048

        async def main():
            conn = connect(Pool(), lambda _: None)
            conn.data_received(CHUNKED)
            tracemalloc.start()
            for _ in range(body_bytes // 4096):
                conn.data_received(read)
            used_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            return used_bytes

        assert run(main()) < 2 * body_bytes


class TestManyConnections:
    """Incomplete responses on many connections at once."""

    @pytest.mark.parametrize(
        ("first", "count"),
        [
            (HEAD + b"Content-Length: 4000000\r\n\r\n", 120),
            (HEAD + b"\r\n", 120),
            (HEAD + b"A: ", 1200),
        ],
    )
    def test_sum_is_bounded(self, first, count):
        """Guards against memory that grows with the number of connections."""

        async def main():
            pool = Pool()
            ends = []
            read_by_conn = {connect(pool, ends.append): 0 for _ in range(count)}
            most_bytes = 0
            for data in [first, *[b"r" * 15_000] * 100]:
                for conn in read_by_conn:
                    if not conn.transport.aborted:
                        read_by_conn[conn] += len(data)
                        conn.data_received(data)
                open_bytes = sum(
                    size
                    for conn, size in read_by_conn.items()
                    if not conn.transport.aborted
                )
                most_bytes = max(most_bytes, open_bytes)
            return most_bytes, ends, pool.too_large_count

        most_bytes, ends, too_large_count = run(main())
        assert most_bytes <= 33_554_432 + READ_BYTES
        assert too_large_count == len(ends) > 0
        assert "response too large: 33554432 bytes in all responses" in {
            end.reason for end in ends
        }

    def test_largest_response_is_refused(self):
        """Ordinary responses are delivered while others fill the buffers."""

        async def main():
            pool = Pool()
            ends, failed = [], []
            conn = connect(pool, ends.append)
            data = ok(b"r" * 60_000)
            conn.data_received(data[:READ_BYTES])
            for _ in range(20):
                other = connect(pool, failed.append)
                other.data_received(HEAD + b"Content-Length: 4000000\r\n\r\n")
                for _ in range(200):
                    other.data_received(b"r" * READ_BYTES)
                    if other.transport.aborted:
                        break
            conn.data_received(data[READ_BYTES:])
            return ends, failed

        (answer,), failed = run(main())
        assert len(answer.body) == 60_000
        assert 10 <= len(failed) < 20

    def test_ended_requests_leave_no_bytes(self):
        """Responses, failures and cancelled requests free their share."""

        async def main():
            pool = Pool()
            first = HEAD + b"Content-Length: 30000\r\n\r\n" + b"r" * 20_000
            conns = [connect(pool, lambda _: None) for _ in range(3)]
            for conn in conns:
                conn.data_received(first)
            before = pool.buffers.size
            conns[0].data_received(b"r" * 10_000)
            conns[1].cancel()
            conns[2].connection_lost(None)
            return before, pool.buffers.size

        before, after = run(main())
        assert before >= 60_000
        assert after == 0

    @pytest.mark.parametrize("end", ["answered", "cancelled", "lost"])
    def test_memory_after_the_end(self, end):
        """Guards against idle connections that keep their last response."""
        size = 1_000_000
        data = HEAD + b"Content-Length: %d\r\n\r\n" % size

        async def main():
            conn = connect(Pool(), lambda _: None)
            tracemalloc.start()
            conn.data_received(data)
            for _ in range(size // 10_000 - 1):
                conn.data_received(b"r" * 10_000)
            if end == "answered":
                conn.data_received(b"r" * 10_000)
            elif end == "cancelled":
                conn.cancel()
            else:
                conn.connection_lost(None)
            used_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            return used_bytes, conn.transport.aborted

        used_bytes, aborted = run(main())
        assert used_bytes < size / 10
        assert aborted == (end != "answered")


class TestOrdinaryResponses:
    """Responses within the limits are delivered unchanged."""

    @pytest.mark.parametrize("chunk_size", [1, 2, 16, 4096])
    def test_small_chunks(self, chunk_size):
        """The framing of many small chunks is not taken for a head."""
        body = b"r" * 49_152
        chunk = b"%x\r\n%s\r\n" % (chunk_size, b"r" * chunk_size)
        data = CHUNKED + chunk * (len(body) // chunk_size) + b"0\r\n\r\n"

        async def main():
            ends = []
            conn = connect(Pool(), ends.append)
            for start in range(0, len(data), READ_BYTES):
                conn.data_received(data[start : start + READ_BYTES])
            return ends

        (answer,) = run(main())
        assert isinstance(answer, HttpResponse)
        assert answer.body == body

    def test_small_reads_of_small_chunks(self):
        """A chunk whose parts arrive in several reads is no head either."""

        async def main():
            ends = []
            conn = connect(Pool(), ends.append)
            conn.data_received(CHUNKED)
            for _ in range(20_000):
                conn.data_received(b"1\r\n")
                conn.data_received(b"r\r\n")
            conn.data_received(b"0\r\n\r\n")
            return ends

        (answer,) = run(main())
        assert answer.body == b"r" * 20_000

    def test_head_with_many_headers_after_interim_responses(self):
        interim = b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" * 8
        headers = [b"Name-%d: %s" % (i, b"v" * 60) for i in range(40)]

        async def main():
            ends = []
            conn = connect(Pool(), ends.append)
            conn.data_received(interim + ok(b"x" * 60_000, *headers))
            return ends

        (answer,) = run(main())
        assert len(answer.headers) == 41
        assert len(answer.body) == 60_000


class Recorder:
    """Records requests and replies to each."""

    def __init__(self):
        self.reqs = []

    def handle_request(self, req):
        self.reqs.append(req)
        req.conn.reply(req, 200, (), req.target.encode())


def feed_caller(reads, **limits):
    """Feeds a caller's connection until it is closed.

    Returns:
        The bytes read, the bytes written, and the requests.
    """

    async def main():
        handler = Recorder()
        conn = HttpConnection(handler, Limits(**limits), set())
        transport = FakeTransport()
        conn.connection_made(transport)
        read_bytes = 0
        for read in reads:
            if read and not transport.closed:
                read_bytes += len(read)
                conn.data_received(read)
        return read_bytes, transport.written, handler.reqs

    return run(main())


class TestCallers:
    """Requests whose head never ends, and ordinary ones."""

    @pytest.mark.parametrize("form", REQUEST_FORMS)
    def test_is_refused_within_the_limit(self, form):
        """Guards against heads that the parser accumulates without a limit."""
        first, repeated = REQUEST_FORMS[form]
        read_bytes, written, reqs = feed_caller([first, *pieces(repeated)])
        assert written.startswith(b"HTTP/1.1 431 ")
        assert reqs == []
        assert read_bytes <= len(first) + 2 * READ_BYTES

    def test_begins_after_a_complete_request(self):
        read = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + LINE + b"A: "
        read_bytes, written, reqs = feed_caller(
            [read + b"a" * READ_BYTES * 8, *pieces(b"a")]
        )
        assert written.startswith(b"HTTP/1.1 200 ")
        assert b"HTTP/1.1 431 " in written
        assert len(reqs) == 1
        assert read_bytes == len(read) + READ_BYTES * 8

    def test_memory_of_small_chunks(self):
        """Guards against an object for each chunk of two bytes."""
        body_bytes = 131_072
        read = b"2\r\nbb\r\n" * 2048

        async def main():
            conn = HttpConnection(Recorder(), Limits(), set())
            conn.connection_made(FakeTransport())
            conn.data_received(CHUNKED_REQUEST)
            tracemalloc.start()
            for _ in range(body_bytes // 4096):
                conn.data_received(read)
            used_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            return used_bytes

        assert run(main()) < 2 * body_bytes

    def test_head_of_the_allowed_size(self):
        """The limit applies to the target and the headers, as before."""
        head = b"GET / HTTP/1.1\r\nA: %s\r\n\r\n" % (b"a" * 494)
        reads = [head[:300], head[300:]]
        _, written, _ = feed_caller(reads, header_bytes=500)
        assert written.startswith(b"HTTP/1.1 200 ")
        _, written, _ = feed_caller(reads, header_bytes=499)
        assert written.startswith(b"HTTP/1.1 431 ")

    @pytest.mark.parametrize("read_bytes", [50, 700, 100_000])
    def test_pipelined_requests(self, read_bytes):
        """The heads of several requests are not added up."""
        request = b"POST / HTTP/1.1\r\nContent-Length: 300\r\n\r\n" + b"b" * 300
        data = request * 15
        reads = [
            data[start : start + read_bytes]
            for start in range(0, len(data), read_bytes)
        ]
        _, _, reqs = feed_caller(reads, header_bytes=200)
        assert [req.body for req in reqs] == [b"b" * 300] * 15

    @pytest.mark.parametrize("read_bytes", [3, 1000, 100_000])
    def test_small_chunks(self, read_bytes):
        """The framing of many small chunks is not taken for a head."""
        data = CHUNKED_REQUEST + b"1\r\nb\r\n" * 5000 + b"0\r\n\r\n"
        reads = [
            data[start : start + read_bytes]
            for start in range(0, len(data), read_bytes)
        ]
        _, _, reqs = feed_caller(reads, header_bytes=500)
        assert [req.body for req in reqs] == [b"b" * 5000]
