"""Limits on the size of what a searcher sends in response to one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.aio.head_size import HeadSize

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BODY_BYTES = 4_194_304
"""Bound on a response body."""
MAX_HEAD_BYTES = 32_768
"""Bound on all that is received for a request outside of bodies, and on the
memory of the stored headers."""
HEADER_OBJECT_BYTES = 160
"""Memory of a stored header in addition to the bytes of its name and value."""
MAX_CHUNKS = 65_536


class ResponseTooLargeError(Exception):
    """A limit is exceeded; the message names it."""


class ResponseSize:
    """Counts what is received for one request.

    Responses that are skipped, and those with status 1xx, count as well.
    """

    def __init__(self):
        self._head = HeadSize()
        self._body = 0
        self._stored_body = 0
        self._chunks = 0
        self._header_memory = 0

    @property
    def memory(self) -> int:
        """Bytes of memory that the response uses, and at most the parser."""
        return self._stored_body + self._header_memory + self._head.size

    def check_length(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Checks the ``Content-Length`` of a response with a body.

        Raises:
            ResponseTooLargeError: it exceeds the limit on bodies.
        """
        for name, value in headers:
            if name.lower() == b"content-length":
                _check_body(int(value))

    def add_body(self, size: int, *, stored: bool) -> None:
        """Counts a piece of a body.

        Args:
            size: in bytes.
            stored: whether it is kept in memory.

        Raises:
            ResponseTooLargeError: the limit on bodies is exceeded.
        """
        self._body += size
        self._head.add_body(size)
        if stored:
            self._stored_body += size
        _check_body(self._body)

    def add_chunk(self) -> None:
        """Counts the header of a chunk.

        Raises:
            ResponseTooLargeError: the limit on chunks is exceeded.
        """
        self._chunks += 1
        if self._chunks > MAX_CHUNKS:
            raise ResponseTooLargeError(f"more than {MAX_CHUNKS} chunks")
        self._head.add_chunk()

    def add_header(self, name: bytes, value: bytes) -> None:
        """Counts a header that is stored.

        Raises:
            ResponseTooLargeError: the limit on heads is exceeded.
        """
        self._header_memory += len(name) + len(value) + HEADER_OBJECT_BYTES
        _check_head(self._header_memory)

    def clear_headers(self) -> None:
        """Counts the stored headers no longer; they were discarded."""
        self._header_memory = 0

    def add_received(self, size: int) -> None:
        """Counts a read, after its bodies and chunks were counted.

        Raises:
            ResponseTooLargeError: the limit on heads is exceeded.
        """
        self._head.add_received(size)
        _check_head(self._head.size)


def _check_body(size: int) -> None:
    if size > MAX_BODY_BYTES:
        raise ResponseTooLargeError(f"body exceeds {MAX_BODY_BYTES} bytes")


def _check_head(size: int) -> None:
    if size > MAX_HEAD_BYTES:
        raise ResponseTooLargeError(f"head exceeds {MAX_HEAD_BYTES} bytes")
