"""HTTP/1.1 client for searchers: keep-alive, no pipelining."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence
from typing import TYPE_CHECKING

import httptools

from greengagemoor.aio import sockets
from greengagemoor.aio.response_size import ResponseSize, ResponseTooLargeError
from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.aio.pool import Pool

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout of a searcher that sends no ``Keep-Alive`` header."""
BODILESS_STATUSES = {204, 304}
Headers = Sequence[tuple[bytes, bytes]]
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


@values.frozen
class HttpResponse:
    """A complete response.

    Attributes:
        closes: whether the connection can't be reused after it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    closes: bool


@values.frozen
class HttpFailure:
    """The request ended without a complete response.

    Attributes:
        sent: whether bytes of the request may have reached the searcher.
        stale: whether a reused connection broke before the first byte of the
            response.
        response_began: whether part of the response was received.
    """

    sent: bool
    stale: bool
    reason: str
    response_began: bool = False


class ClientConnection(asyncio.Protocol):
    """One connection to a searcher, with at most one request in flight."""

    def __init__(self, pool: Pool, address: str):
        self._pool = pool
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.idle_until = 0.0
        self._was_used = False
        self._done: Callable[[HttpResponse | HttpFailure], None] | None = None
        self._received_bytes = False
        self._must_close = False
        self._parser = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and sets the socket options."""
        self.transport = transport
        sockets.set_options(transport)

    def send(
        self,
        data: bytes,
        done: Callable[[HttpResponse | HttpFailure], None],
        matches_request: Callable[[Headers], bool],
    ) -> None:
        """Sends a request.

        Args:
            data: the complete request.
            done: called once, with the response or the failure.
            matches_request: whether a response with these headers belongs to
                this request; other responses are skipped.
        """
        self._done = done
        self._matches_request = matches_request
        self._received_bytes = False
        self._sizes = ResponseSize()
        self._reset_response()
        self._complete = False
        self._keep_alive = False
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    def _reset_response(self) -> None:
        self._status = 0
        self._is_match = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._sizes.clear_headers()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; closes on bytes without a request in flight."""
        if self._done is None:
            self.kill()
            return
        self._received_bytes = True
        try:
            self._parser.feed_data(data)
            if not self._complete:
                self._sizes.add_received(len(data))
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            ResponseTooLargeError,
        ) as exc:
            limit = _exceeded_limit(exc)
            if limit:
                self.fail_too_large(limit)
            else:
                self._fail(f"invalid HTTP response: {type(exc).__name__}")
            return
        if self._complete:
            self._finish()
        elif not self._is_match and self._ends_with_connection():
            # Nothing that follows on this connection can be the response.
            self._pool.skipped_count += 1
            self._fail("response without a length to another request")
        else:
            self._pool.buffers.update(self, self._sizes.memory)

    def on_message_begin(self) -> None:
        """Rules out reuse if a second response follows the complete one."""
        if self._complete:
            self._must_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header."""
        if not self._complete:
            self._sizes.add_header(name, value)
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Stores the status, and whether the response is to this request.

        A searcher may answer an earlier request a second time. Without the
        check that duplicate would be delivered to the caller of this request.
        """
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        # A final response follows one with status 1xx.
        if self._status < 200:
            return
        self._is_match = self._matches_request(self._headers)
        if self._status not in BODILESS_STATUSES:
            self._sizes.check_length(self._headers)

    def on_chunk_header(self) -> None:
        """Counts a chunk."""
        if not self._complete:
            self._sizes.add_chunk()

    def on_body(self, body: bytes) -> None:
        """Stores a piece of the body, unless the response is skipped."""
        if self._complete:
            return
        self._sizes.add_body(len(body), stored=self._is_match)
        if self._is_match:
            self._body += body

    def on_message_complete(self) -> None:
        """Completes the response, or skips one to another request."""
        if self._complete:
            return
        if self._is_match:
            self._complete = True
            # Valid only within this callback; later it is always false.
            self._keep_alive = self._parser.should_keep_alive()
            return
        if self._status >= 200:
            self._must_close = True
            self._pool.skipped_count += 1
        self._reset_response()

    def _finish(self) -> None:
        done, self._done = self._done, None
        answer = self._build_answer()
        self._free_response()
        reuse = not answer.closes and not self._must_close
        if reuse and self.transport.get_write_buffer_size():
            # The searcher answered before it read the complete request; it
            # would parse the rest of it as the next request.
            reuse = False
        if reuse:
            self._was_used = True
            self._pool.release(self, _server_idle_timeout(answer.headers))
        else:
            self.kill()
        done(answer)

    def _build_answer(self) -> HttpResponse:
        return HttpResponse(
            self._status,
            tuple(self._headers),
            bytes(self._body),
            closes=not self._keep_alive,
        )

    def eof_received(self) -> bool:
        """Completes a response that ends with its connection."""
        if (
            self._done is not None
            and self._is_match
            and self._ends_with_connection()
        ):
            self._pool.ended_by_close_count += 1
            self._finish()
        return False

    def _free_response(self) -> None:
        self._pool.buffers.discard(self)
        self._parser = None
        self._headers = []
        self._body = bytearray()

    def _ends_with_connection(self) -> bool:
        """Whether a response without a length is being received."""
        if self._status < 200 or self._complete:
            return False
        length_headers = {b"content-length", b"transfer-encoding"}
        return not any(
            name.lower() in length_headers for name, _ in self._headers
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the request in flight, if any."""
        self._pool.discard_connection(self)
        self._fail(str(exc or "closed"))

    def fail_too_large(self, limit: str) -> None:
        """Fails the request in flight, as its response exceeds a limit."""
        self._pool.too_large_count += 1
        self._fail(f"response too large: {limit}")

    def _fail(self, reason: str) -> None:
        done, self._done = self._done, None
        stale = self._was_used and not self._received_bytes
        self.kill()
        if done is not None:
            began = self._received_bytes
            done(HttpFailure(True, stale, reason, began))

    def cancel(self) -> None:
        """Closes the connection, so that the searcher cancels the request."""
        self._done = None
        self.kill()

    def kill(self) -> None:
        """Closes the connection at once."""
        self._must_close = True
        self._pool.discard_connection(self)
        self._free_response()
        if self.transport is not None:
            self.transport.abort()


def _exceeded_limit(exc: Exception) -> str:
    # The parser wraps what a callback raises.
    for cause in (exc, exc.__context__):
        if isinstance(cause, ResponseTooLargeError):
            return str(cause)
    return ""


def _server_idle_timeout(headers: tuple[tuple[bytes, bytes], ...]) -> float:
    for name, value in headers:
        if name.lower() == b"keep-alive":
            found = KEEP_ALIVE_TIMEOUT.search(value)
            if found:
                return float(found[1])
    return DEFAULT_IDLE_TIMEOUT_S
