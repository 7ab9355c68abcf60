"""Scripted servers on ephemeral loopback ports."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

TEST_TIMEOUT_S = 5.0


def run(coro):
    """Runs a test's coroutine with a timeout."""
    return asyncio.run(asyncio.wait_for(coro, TEST_TIMEOUT_S))


@asynccontextmanager
async def raw_server(script):
    """Runs a server; ``script(reader, writer)`` handles each connection.

    Yields:
        The server's address.
    """
    tasks = set()

    async def handle(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            await script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()


def reset(writer):
    """Closes a connection with RST; ``abort`` alone would send FIN."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


async def read_head(reader):
    """Reads up to the end of the headers."""
    return await reader.readuntil(b"\r\n\r\n")


def ok(body, *headers):
    """Returns the bytes of a 200 response with ``Content-Length``."""
    lines = [b"HTTP/1.1 200 OK", *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join([*lines, b"", body])
