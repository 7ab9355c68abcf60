"""HTTP/1.1 server: listens on an address and tracks its connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import sockets
from greengagemoor.aio.connection import HttpConnection

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable

    from greengagemoor.aio.loop_watch import LoopWatch
    from greengagemoor.aio.requests import Handler, Limits

IDLE_CHECK_INTERVAL_S = 0.02


class HttpServer:
    """Listens on one address; makes an object per connection."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Limits,
        loop_watch: LoopWatch | None = None,
    ):
        """Prepares the server; ``start`` listens.

        Args:
            address: ip:port.
            handler: receives the requests.
            limits: shared by all connections; may change at run time.
            loop_watch: tells how old a connection may be.
        """
        self.limits = limits
        self.conns: set[HttpConnection] = set()
        self._address = address
        self._handler = handler
        self._loop_watch = loop_watch
        self._server: asyncio.Server | None = None

    async def start(self, sock: socket.socket | None = None) -> None:
        """Starts to accept connections.

        Args:
            sock: a listening socket; None to make one for the address.

        Raises:
            OSError: listening on the address failed.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection,
            sock=sock or sockets.listen(self._address),
            backlog=sockets.BACKLOG,
        )
        log.event("listening", address=self._address)

    def _make_connection(self) -> HttpConnection:
        conn = HttpConnection(self._handler, self.limits, self.conns)
        if self._loop_watch is not None:
            conn.established_after = self._loop_watch.polled_at
        return conn

    def stop_accepting(self) -> None:
        """Stops accepting connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes the idle connections."""
        for conn in list(self.conns):
            if conn.is_idle:
                conn.close()

    def count_busy(self) -> int:
        """Returns the number of connections with an unanswered request."""
        return sum(not conn.is_idle for conn in self.conns)


async def drain(
    servers: Iterable[HttpServer],
    timeout_s: float,
    is_idle: Callable[[], bool] = lambda: True,
) -> None:
    """Closes connections as they become idle.

    Args:
        servers: servers that no longer accept connections.
        timeout_s: returns after this time even if connections are open.
        is_idle: otherwise returns once there are none and this is true.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    while loop.time() < until:
        # A connection accepted just now appears a turn of the loop later, with
        # its request.
        for server in servers:
            server.close_idle()
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        if is_idle() and not any(server.conns for server in servers):
            return
