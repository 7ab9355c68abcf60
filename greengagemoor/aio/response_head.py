"""Formats the head of a response to a caller."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def format_head(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body_size: int,
    *,
    keep: bool,
) -> bytes:
    """Returns the status line and the headers.

    Args:
        status: status of the response.
        headers: its headers, without those on length and connection.
        body_size: bytes of the body that the headers describe.
        keep: whether the connection stays open.
    """
    phrase = REASON_PHRASES.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {phrase}\r\n".encode()]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    if status >= 200 and status != 204:
        lines.append(b"Content-Length: %d\r\n" % body_size)
    option = b"keep-alive" if keep else b"close"
    lines.append(b"Connection: %s\r\n\r\n" % option)
    return b"".join(lines)
