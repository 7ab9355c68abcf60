"""HTTP/1.1 server protocol: one object per caller connection."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from greengagemoor.aio import background, sockets
from greengagemoor.aio.head_size import HeadSize, RequestTooLargeError
from greengagemoor.aio.requests import Handler, HttpRequest, Limits
from greengagemoor.aio.response_head import format_head

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_PIPELINED = 16
"""Requests queued on a connection before reading pauses."""
PARSED_BYTES = 16_384
"""Bytes parsed at a time: of a read in which a request ends, the head of the
next one is not counted."""
REQUEST_LINE_BYTES = 64
"""Bytes of the request line that the limit on headers does not include."""
TIMEOUT_CHECK_S = 0.5
"""Interval at which a connection checks its timeouts."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpConnection(asyncio.Protocol):
    """Parses requests, dispatches one at a time, writes replies in order.

    Pipelined requests are queued. Reading pauses when the queue is full, which
    bounds the memory that one caller can use.

    Attributes:
        established_after: a time before which this connection did not exist,
            by the clock of the server's ``LoopWatch``; 0 without one.
    """

    established_after = 0.0

    def __init__(self, handler: Handler, limits: Limits, open_conns: set):
        self._handler = handler
        self._limits = limits
        self._open_conns = open_conns
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._raw_head = HeadSize()
        self._request_ended = False
        self._started_at: float | None = None
        self._idle_since = self._loop.time()
        self._keep_alive: deque[bool] = deque()
        self._closing = False
        self._input_rejected = False
        self._request_count = 0
        self._reset_message()

    # Transport callbacks.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection and sets the socket options."""
        self._transport = transport
        sockets.set_options(transport)
        self._open_conns.add(self)
        self._schedule_timeout_check()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the handler if a request is in progress."""
        self._open_conns.discard(self)
        self._closing = True
        pending, self._current = self._current, None
        self._queue.clear()
        if pending is not None:
            self._handler.handle_disconnect(pending)

    def eof_received(self) -> bool:
        """Closes the connection: a half-closed one counts as closed."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; rejects what it can't parse."""
        for start in range(0, len(data), PARSED_BYTES):
            if self._input_rejected or self._closing:
                return
            self._parse(data[start : start + PARSED_BYTES])

    def _parse(self, data: bytes) -> None:
        if self._started_at is None:
            self._started_at = self._loop.time()
        self._request_ended = False
        try:
            self._parser.feed_data(data)
            self._count_raw_head(len(data))
        except RequestTooLargeError as exc:
            self._reject(exc.status)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            too_large = isinstance(cause, RequestTooLargeError)
            self._reject(cause.status if too_large else 400)

    def _count_raw_head(self, size: int) -> None:
        if self._request_ended:
            self._raw_head = HeadSize()
            return
        self._raw_head.add_received(size)
        limit = self._limits.header_bytes + REQUEST_LINE_BYTES
        if self._raw_head.size > limit:
            raise RequestTooLargeError(431)

    # Parser callbacks.

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._header_size = 0
        self._body_size = 0

    def on_message_begin(self) -> None:
        """Starts a new request."""
        if self._started_at is None:
            self._started_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the request target."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        self._header_size += size
        if self._header_size > self._limits.header_bytes:
            raise RequestTooLargeError(431)

    def on_headers_complete(self) -> None:
        """Answers ``Expect: 100-continue`` and checks ``Content-Length``."""
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"expect" and value.lower() == b"100-continue":
                self._transport.write(CONTINUE)
            elif lower == b"content-length" and (
                int(value) > self._limits.body_bytes
            ):
                raise RequestTooLargeError(413)

    def on_chunk_header(self) -> None:
        """Counts a chunk."""
        self._raw_head.add_chunk()

    def on_body(self, body: bytes) -> None:
        """Stores a piece of the body."""
        self._body_size += len(body)
        self._raw_head.add_body(len(body))
        if self._body_size > self._limits.body_bytes:
            raise RequestTooLargeError(413)
        self._body += body

    def on_message_complete(self) -> None:
        """Queues the request; dispatches it if none is in progress."""
        req = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            arrived_at=self._started_at or self._loop.time(),
            conn=self,
        )
        self._reset_message()
        self._started_at = None
        self._request_ended = True
        req.is_first = not self._request_count
        self._request_count += 1
        self._keep_alive.append(self._parser.should_keep_alive())
        self._queue.append(req)
        if len(self._queue) >= MAX_PIPELINED:
            self._transport.pause_reading()
        self._dispatch_next()

    def _dispatch_next(self) -> None:
        if self._current is not None or not self._queue or self._closing:
            return
        req = self._current = self._queue.popleft()
        if len(self._queue) < MAX_PIPELINED:
            self._transport.resume_reading()
        try:
            self._handler.handle_request(req)
        except Exception as exc:
            # Nothing else would answer this request, or time it out.
            background.log_failure("handle_request", exc)
            self.reply(req, 500, close=True)

    # Replies.

    def reply(
        self,
        req: HttpRequest,
        status: int,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        *,
        close: bool = False,
    ) -> None:
        """Writes the reply to the request in progress.

        A reply to any other request is discarded: its caller has disconnected.
        """
        if req is not self._current or self._transport is None:
            return
        self._current = None
        keep = self._keep_alive.popleft() and not close
        keep = keep and not self._input_rejected
        # A server that shuts down still answers the requests that it has read.
        keep = keep and (bool(self._queue) or not self._limits.closing)
        self._write(status, headers, body, keep=keep, head=req.method == "HEAD")
        self._idle_since = self._loop.time()
        if not keep:
            self.close()
            return
        self._dispatch_next()

    def _write(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        *,
        keep: bool,
        head: bool = False,
    ) -> None:
        content = format_head(status, headers, len(body), keep=keep)
        self._transport.write(content if head else content + body)

    def _reject(self, status: int) -> None:
        """Ignores further input; sends an error unless a request is running."""
        self._input_rejected = True
        if self._current is None and not self._closing:
            self._write(status, (), b"", keep=False)
            self.close()

    def close(self) -> None:
        """Closes the connection after flushing the write buffer."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    @property
    def round_trip_s(self) -> float | None:
        """Round-trip time to the caller; None if not known."""
        return sockets.round_trip_s(self._transport)

    @property
    def local_address(self) -> str:
        """This side's address, as ip:port."""
        host, port = self._transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    @property
    def handshake_s(self) -> float:
        """Duration of the TCP handshake at most; 0 if not known."""
        return sockets.handshake_s(self._transport)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return self._current is None and self._started_at is None

    def _schedule_timeout_check(self) -> None:
        if not self._closing:
            self._loop.call_later(TIMEOUT_CHECK_S, self._check_timeouts)

    def _check_timeouts(self) -> None:
        """Closes the connection on a header timeout or an idle timeout.

        Each open connection holds memory and a file descriptor; callers that
        send a header at a byte a minute would exhaust them.
        """
        now = self._loop.time()
        if self._current is None and not self._closing:
            started = self._started_at
            if started is not None:
                if now - started > self._limits.header_timeout_s:
                    self._reject(408)
            elif now - self._idle_since > self._limits.idle_timeout_s:
                self.close()
        self._schedule_timeout_check()
