"""HTTP client connections, against scripted servers."""

from __future__ import annotations

import asyncio

import pytest

from greengagemoor.aio.client import HttpFailure, HttpResponse
from greengagemoor.aio.pool import Pool
from tests.test_aio.helpers import ok, raw_server, read_head, reset, run

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def echoes_id(request_id):
    """Returns a filter for responses whose header ``Id`` is this id."""
    return lambda headers: (b"Id", request_id) in headers


async def ask(pool, address, matches_request=lambda _: True, data=GET):
    """Sends one request and returns the response or failure."""
    fut = asyncio.get_running_loop().create_future()
    pool.send(address, data, fut.set_result, matches_request)
    return await fut


async def ask_twice(script):
    """Sends requests ``old`` and ``new`` on one connection.

    Returns:
        The end of the second, and the number of responses skipped.
    """
    async with raw_server(script) as address:
        pool = Pool()
        await ask(pool, address, echoes_id(b"old"))
        end = await ask(pool, address, echoes_id(b"new"))
        assert pool.opened_count == 1
        return end, pool.skipped_count


class TestResponseFraming:
    """Responses framed by length, chunks or the end of the connection."""

    def test_length_and_connection_reuse(self):
        seen = []

        async def script(reader, writer):
            seen.append("connection")
            for body in (b"one", b"two"):
                await read_head(reader)
                writer.write(ok(body))
            await reader.read()

        async def main():
            async with raw_server(script) as address:
                pool = Pool()
                return [await ask(pool, address) for _ in range(2)]

        assert [end.body for end in run(main())] == [b"one", b"two"]
        assert seen == ["connection"]

    def test_chunks(self):
        async def script(reader, writer):
            await read_head(reader)
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            await reader.read()

        async def main():
            async with raw_server(script) as address:
                return await ask(Pool(), address)

        assert run(main()).body == b"abcde"

    def test_until_close(self):
        async def script(reader, writer):
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")

        async def main():
            async with raw_server(script) as address:
                pool = Pool()
                return await ask(pool, address), pool.ended_by_close_count

        answer, ended_by_close_count = run(main())
        assert answer.body == b"all of it"
        assert answer.closes
        assert ended_by_close_count == 1


class TestTruncated:
    """A truncated body must not be delivered as a complete response."""

    def test_body_shorter_than_its_length(self):
        async def script(reader, writer):
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")

        async def main():
            async with raw_server(script) as address:
                return await ask(Pool(), address)

        end = run(main())
        assert isinstance(end, HttpFailure)
        assert end.sent
        assert not end.stale

    def test_reset_without_length(self):
        async def script(reader, writer):
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        async def main():
            async with raw_server(script) as address:
                return await ask(Pool(), address)

        assert isinstance(run(main()), HttpFailure)

    def test_invalid_response(self):
        async def script(reader, writer):
            await read_head(reader)
            writer.write(b"\x00\x01 nonsense\r\n\r\n")
            await reader.read()

        async def main():
            async with raw_server(script) as address:
                return await ask(Pool(), address)

        assert isinstance(run(main()), HttpFailure)


class TestExtraAnswers:
    """Responses that do not belong to the request in flight."""

    def test_duplicate_of_an_earlier_response_comes_first(self):
        """Guards against records delivered under another request's signature.

        A searcher answers a request twice. The duplicate arrives together with
        the response to the next request, and the headers of both were merged
        into one response.
        """

        async def script(reader, writer):
            await read_head(reader)
            writer.write(
                ok(b"xx", b"Id: old", b"Stamp: old") + ok(b"right", b"Id: new")
            )
            await reader.read()

        async def main():
            async with raw_server(script) as address:
                pool = Pool()
                answer = await ask(pool, address, echoes_id(b"new"))
                return answer, pool.skipped_count

        answer, skipped_count = run(main())
        assert isinstance(answer, HttpResponse)
        assert answer.body == b"right"
        assert answer.headers[0] == (b"Id", b"new")
        assert (b"Stamp", b"old") not in answer.headers
        assert skipped_count == 1

    def test_duplicate_response_comes_second(self):
        """The connection is not reused, so the duplicate is discarded."""
        seen = []

        async def script(reader, writer):
            seen.append("connection")
            await read_head(reader)
            writer.write(ok(b"right", b"Id: new") + ok(b"again", b"Id: new"))
            await reader.read()

        async def main():
            async with raw_server(script) as address:
                pool = Pool()
                ends = [
                    await ask(pool, address, echoes_id(b"new")) for _ in "ab"
                ]
                return [end.body for end in ends]

        assert run(main()) == [b"right", b"right"]
        assert seen == ["connection", "connection"]

    @pytest.mark.parametrize("status", [b"200 OK", b"503 Busy"])
    @pytest.mark.parametrize("ends", [True, False])
    def test_duplicate_without_length(self, status, ends):
        """Guards against delivering the response to another request."""
        duplicate = b"HTTP/1.1 %s\r\nId: old\r\n\r\nold" % status

        async def script(reader, writer):
            await read_head(reader)
            writer.write(ok(b"old", b"Id: old"))
            await read_head(reader)
            writer.write(duplicate)
            if not ends:
                await reader.read()

        end, skipped_count = run(ask_twice(script))
        assert isinstance(end, HttpFailure)
        assert end.sent
        assert not end.stale
        assert skipped_count == 1

    def test_own_response_without_length(self):
        async def script(reader, writer):
            await read_head(reader)
            writer.write(ok(b"old", b"Id: old"))
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nId: new\r\n\r\nall of it")

        end, skipped_count = run(ask_twice(script))
        assert end.body == b"all of it"
        assert end.closes
        assert skipped_count == 0

    @pytest.mark.parametrize(
        "rest", [b"", b"HTTP/1.1 200 OK\r\nId: new\r\nStamp: new\r\n"]
    )
    def test_connection_ends_after_duplicate(self, rest):
        """Guards against delivering a response with the duplicate's status."""

        async def script(reader, writer):
            await read_head(reader)
            writer.write(ok(b"old", b"Id: old"))
            await read_head(reader)
            writer.write(ok(b"old", b"Id: old") + rest)

        end, skipped_count = run(ask_twice(script))
        assert isinstance(end, HttpFailure)
        assert skipped_count == 1

    def test_bytes_on_an_idle_connection(self):
        async def script(reader, writer):
            await read_head(reader)
            writer.write(ok(b"right"))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(ok(b"nobody asked"))
            await reader.read()

        async def main():
            async with raw_server(script) as address:
                pool = Pool()
                await ask(pool, address)
                await asyncio.sleep(0.15)
                return (await ask(pool, address)).body, pool.opened_count

        assert run(main()) == (b"right", 2)


class TestConnections:
    """Connections that can't be opened, are reset or are cancelled."""

    def test_connection_refused(self):
        async def main():
            return await ask(Pool(), "127.0.0.1:1")

        end = run(main())
        assert isinstance(end, HttpFailure)
        assert not end.sent

    def test_reset_of_an_idle_connection_is_stale(self):
        """A searcher drops an idle connection without closing it."""

        async def script(reader, writer):
            await read_head(reader)
            writer.write(ok(b"one"))
            await read_head(reader)
            reset(writer)

        async def main():
            async with raw_server(script) as address:
                pool = Pool()
                await ask(pool, address)
                return await ask(pool, address)

        end = run(main())
        assert end.stale

    def test_cancel_closes_the_connection(self):
        """The searcher sees the end of the connection."""
        closed = asyncio.Event()

        async def script(reader, writer):
            await read_head(reader)
            try:
                assert await reader.read() == b""
            finally:
                closed.set()

        async def main():
            async with raw_server(script) as address:
                ends = []
                sending = Pool().send(address, GET, ends.append, lambda _: True)
                await asyncio.sleep(0.05)
                sending.cancel()
                await closed.wait()
                return ends

        assert run(main()) == []
