"""Pool of keep-alive connections to searchers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagemoor.aio import background
from greengagemoor.aio.client import (
    ClientConnection,
    Headers,
    HttpFailure,
    HttpResponse,
)
from greengagemoor.aio.receive_buffers import ReceiveBuffers

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_TIMEOUT_S = 0.12
"""Forty round trips between data centres. A machine that lost power does not
answer; a short timeout lets the request go to another searcher soon, and a
request that was not sent costs no retry-budget token."""
IDLE_TIMEOUT_SHARE = 0.8
"""Share of the searcher's idle timeout for which a connection is reused."""


class Pool:
    """Idle connections by address; opens new ones when none is idle.

    Attributes:
        opened_count: connections opened, probes included.
        skipped_count: responses skipped because they belong to another request.
        ended_by_close_count: responses completed by the end of the connection.
        too_large_count: responses refused because they exceed a limit.
        buffers: sizes of the incomplete responses.
    """

    def __init__(self):
        self._idle: dict[str, list[ClientConnection]] = {}
        self._loop = asyncio.get_running_loop()
        self.opened_count = 0
        self.skipped_count = 0
        self.ended_by_close_count = 0
        self.too_large_count = 0
        self.buffers = ReceiveBuffers()
        self._probes: set[asyncio.Task] = set()

    def send(
        self,
        address: str,
        data: bytes,
        done: Callable[[HttpResponse | HttpFailure], None],
        matches_request: Callable[[Headers], bool],
    ) -> PendingRequest:
        """Sends a request on an idle connection, or on a new one.

        Returns:
            A handle to cancel the request; ``done`` is not called then.
        """
        sending = PendingRequest()
        conn = self._take_idle(address)
        if conn is not None:
            sending.conn = conn
            conn.send(data, done, matches_request)
            return sending
        sending.task = background.spawn(
            f"send to {address}",
            self._connect_and_send(
                address, data, done, matches_request, sending
            ),
        )
        return sending

    def check_listening(
        self, address: str, done: Callable[[bool], None]
    ) -> None:
        """Checks whether an address accepts connections.

        Args:
            address: ip:port.
            done: called with whether the connection was refused, that is,
                nothing listens there.
        """
        task = background.spawn(
            f"probe {address}", self._connect_and_close(address, done)
        )
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _connect_and_close(
        self, address: str, done: Callable[[bool], None]
    ) -> None:
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(
                    asyncio.Protocol, host, int(port)
                )
        except ConnectionRefusedError:
            done(True)
        except (OSError, TimeoutError):
            # Network partition or full backlog; the searcher may still run.
            done(False)
        except Exception as exc:
            background.log_failure(f"probe {address}", exc)
            done(False)
        else:
            transport.abort()
            done(False)

    async def _connect_and_send(
        self,
        address: str,
        data: bytes,
        done: Callable[[HttpResponse | HttpFailure], None],
        matches_request: Callable[[Headers], bool],
        sending: PendingRequest,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await self._loop.create_connection(
                    lambda: ClientConnection(self, address), host, int(port)
                )
        except (OSError, TimeoutError) as exc:
            reason = f"connection failed: {type(exc).__name__}"
            done(HttpFailure(sent=False, stale=False, reason=reason))
            return
        except Exception as exc:
            # For instance a malformed address; the request must end as well.
            background.log_failure(f"send to {address}", exc)
            reason = f"connection failed: {type(exc).__name__}"
            done(HttpFailure(sent=False, stale=False, reason=reason))
            return
        sending.conn = conn
        conn.send(data, done, matches_request)

    def _take_idle(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if conn.idle_until > self._loop.time():
                return conn
            conn.kill()
        return None

    def release(self, conn: ClientConnection, timeout_s: float) -> None:
        """Stores a connection as idle, with its searcher's idle timeout."""
        conn.idle_until = self._loop.time() + IDLE_TIMEOUT_SHARE * timeout_s
        self._idle.setdefault(conn.address, []).append(conn)

    def discard_connection(self, conn: ClientConnection) -> None:
        """Removes a closed connection."""
        idle = self._idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)

    def close_idle_to(self, address: str) -> None:
        """Closes the idle connections to a searcher that has exited."""
        for conn in self._idle.pop(address, []):
            conn.kill()

    def close_expired(self) -> None:
        """Closes connections past their idle timeout."""
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            for conn in [c for c in idle if c.idle_until <= now]:
                conn.kill()
            if not idle:
                self._idle.pop(address, None)


class PendingRequest:
    """A request in flight, or waiting for its connection."""

    def __init__(self):
        self.conn: ClientConnection | None = None
        self.task: asyncio.Task | None = None

    def cancel(self) -> None:
        """Cancels the request without calling ``done``."""
        if self.conn is not None:
            self.conn.cancel()
        elif self.task is not None:
            self.task.cancel()
