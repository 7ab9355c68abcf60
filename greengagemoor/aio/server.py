"""A listening HTTP/1.1 server: one connection object a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import sockets
from greengagemoor.aio.connection import HttpConnection

if TYPE_CHECKING:
    import socket

    from greengagemoor.aio.requests import Handler, Limits


class HttpServer:
    """Listens on one address and makes a connection object for each caller."""

    def __init__(self, address: str, handler: Handler, limits: Limits):
        """Prepares; ``start`` listens.

        Args:
            address: ip and port.
            handler: takes the requests.
            limits: shared by all connections; may change while it runs.
        """
        self.limits = limits
        self.conns: set[HttpConnection] = set()
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self, sock: socket.socket | None = None) -> None:
        """Listens.

        Args:
            sock: listens on the address already; None if nothing does.

        Raises:
            OSError: the address can't be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(self._handler, self.limits, self.conns),
            sock=sock or sockets.listen(self._address),
            backlog=sockets.BACKLOG,
        )
        log.event("listening", address=self._address)

    def stop_accepting(self) -> None:
        """Refuses new connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes connections on which nothing is under way."""
        for conn in list(self.conns):
            conn.close_if_idle()
