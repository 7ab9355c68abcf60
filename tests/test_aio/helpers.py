"""Raw sockets on ephemeral loopback ports."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

PATIENCE_S = 5.0


def run(coro):
    """Runs a test's coroutine, and ends it if it hangs."""
    return asyncio.run(asyncio.wait_for(coro, PATIENCE_S))


@asynccontextmanager
async def raw_server(script):
    """Listens; ``script(reader, writer)`` plays each connection.

    Yields:
        The address.
    """
    tasks = set()

    async def play(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            await script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(play, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()


def reset(writer):
    """Ends a connection with a reset; an abort alone ends it in order."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


async def read_head(reader):
    """Reads up to the end of a message's headers."""
    return await reader.readuntil(b"\r\n\r\n")


def ok(body, *headers):
    """Returns the bytes of an answer with a length."""
    lines = [b"HTTP/1.1 200 OK", *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join([*lines, b"", body])
