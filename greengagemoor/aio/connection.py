"""HTTP/1.1 towards callers: one protocol object a connection."""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from greengagemoor.aio import sockets
from greengagemoor.aio.requests import Handler, HttpRequest, Limits

if TYPE_CHECKING:
    from collections.abc import Iterable

MOST_PIPELINED = 16
LOOK_S = 0.5
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PHRASES = {status.value: status.phrase for status in HTTPStatus}


class HttpConnection(asyncio.Protocol):
    """Parses requests, hands them on one at a time, writes replies in order.

    A caller may send the next request early; it waits, and reading pauses
    once too many do, so that a caller can't fill our memory.
    """

    def __init__(self, handler: Handler, limits: Limits, open_conns: set):
        self._handler = handler
        self._limits = limits
        self._open_conns = open_conns
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._header_size = 0
        self._body_size = 0
        self._started_at: float | None = None
        self._idle_since = self._loop.time()
        self._keep_alive: deque[bool] = deque()
        self._closing = False
        self._broken = False
        self._taken = 0
        self._begin()

    # Transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the connection."""
        self._transport = transport
        sockets.tune(transport)
        self._open_conns.add(self)
        self._look_later()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the handler that whoever waited is gone."""
        self._open_conns.discard(self)
        self._closing = True
        waiting, self._current = self._current, None
        self._queue.clear()
        if waiting is not None:
            self._handler.gone(waiting)

    def eof_received(self) -> bool:
        """Treats a half-closed connection as a caller that left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self._broken or self._closing:
            return
        if self._started_at is None:
            self._started_at = self._loop.time()
        try:
            self._parser.feed_data(data)
        except _TooLargeError as exc:
            self._refuse(exc.status)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            too_large = isinstance(cause, _TooLargeError)
            self._refuse(cause.status if too_large else 400)

    # Parser.

    def _begin(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._header_size = 0
        self._body_size = 0

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._begin()
        if self._started_at is None:
            self._started_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Takes the target, which may come in pieces."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        self._header_size += size
        if self._header_size > self._limits.header_bytes:
            raise _TooLargeError(431)

    def on_headers_complete(self) -> None:
        """Answers an expectation; checks the announced length."""
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"expect" and value.lower() == b"100-continue":
                self._transport.write(CONTINUE)
            elif lower == b"content-length" and (
                int(value) > self._limits.body_bytes
            ):
                raise _TooLargeError(413)

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body_size += len(body)
        if self._body_size > self._limits.body_bytes:
            raise _TooLargeError(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands the request on, or queues it behind the one under way."""
        req = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._body),
            arrived_at=self._started_at or self._loop.time(),
            conn=self,
        )
        self._started_at = None
        req.is_first = not self._taken
        self._taken += 1
        self._keep_alive.append(self._parser.should_keep_alive())
        self._queue.append(req)
        if len(self._queue) >= MOST_PIPELINED:
            self._transport.pause_reading()
        self._next()

    def _next(self) -> None:
        if self._current is not None or not self._queue or self._closing:
            return
        self._current = self._queue.popleft()
        if len(self._queue) < MOST_PIPELINED:
            self._transport.resume_reading()
        self._handler.take(self._current)

    # Answers.

    def reply(
        self,
        req: HttpRequest,
        status: int,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        *,
        close: bool = False,
    ) -> None:
        """Writes the answer to the request under way.

        An answer to any other request is dropped: its caller has gone.
        """
        if req is not self._current or self._transport is None:
            return
        self._current = None
        keep = self._keep_alive.popleft() and not close
        keep = keep and not self._limits.closing and not self._broken
        self._write(status, headers, body, keep=keep, head=req.method == "HEAD")
        self._idle_since = self._loop.time()
        if not keep:
            self.close()
            return
        self._next()

    def _write(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        *,
        keep: bool,
        head: bool = False,
    ) -> None:
        phrase = PHRASES.get(status, "Status")
        lines = [f"HTTP/1.1 {status} {phrase}\r\n".encode()]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        if status >= 200 and status != 204:
            lines.append(b"Content-Length: %d\r\n" % len(body))
        lines.append(b"Connection: %s\r\n" % self._connection_words(keep))
        lines.append(b"\r\n")
        if not head:
            lines.append(body)
        self._transport.write(b"".join(lines))

    def _connection_words(self, keep: bool) -> bytes:
        return b"keep-alive" if keep else b"close"

    def _refuse(self, status: int) -> None:
        """Answers what can't be parsed, once what came before is answered."""
        self._broken = True
        if self._current is None and not self._closing:
            self._write(status, (), b"", keep=False)
            self.close()

    def close(self) -> None:
        """Closes after what is written has gone out."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    @property
    def round_trip_s(self) -> float | None:
        """Round trip to the caller; None if it isn't known."""
        if self._transport is None:
            return None
        return sockets.round_trip_s(self._transport)

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way or partly here."""
        return self._current is None and self._started_at is None

    def close_if_idle(self) -> None:
        """Closes a connection on which nothing is under way."""
        if self.is_idle:
            self.close()

    def _look_later(self) -> None:
        if not self._closing:
            self._loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        """Ends connections that are slow to send or idle for too long.

        Each open connection holds memory and a descriptor; callers that send
        a header a byte a minute would take all of them.
        """
        now = self._loop.time()
        if self._current is None and not self._closing:
            started = self._started_at
            if started is not None:
                if now - started > self._limits.header_timeout_s:
                    self._refuse(408)
            elif now - self._idle_since > self._limits.idle_timeout_s:
                self.close()
        self._look_later()


class _TooLargeError(Exception):
    def __init__(self, status: int):
        super().__init__(str(status))
        self.status = status
