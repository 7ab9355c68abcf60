"""Bound on the memory of incomplete responses, over all connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.aio.client import ClientConnection

MAX_BUFFERED_BYTES = 33_554_432


class ReceiveBuffers:
    """Sizes of the incomplete responses of a pool's connections.

    A response that is received in one read is never counted.

    Attributes:
        size: the sum, in bytes.
    """

    def __init__(self):
        self.size = 0
        self._size_by_conn: dict[ClientConnection, int] = {}

    def update(self, conn: ClientConnection, size: int) -> None:
        """Stores the size of a connection's incomplete response.

        If the sum exceeds its limit, the largest response is refused: ordinary
        ones are small, so it is from a searcher that sends without end.
        """
        self.size += size - self._size_by_conn.get(conn, 0)
        self._size_by_conn[conn] = size
        while self.size > MAX_BUFFERED_BYTES:
            largest = max(self._size_by_conn, key=self._size_by_conn.get)
            self.discard(largest)
            largest.fail_too_large(
                f"{MAX_BUFFERED_BYTES} bytes in all responses"
            )

    def discard(self, conn: ClientConnection) -> None:
        """Counts a connection's response no longer."""
        self.size -= self._size_by_conn.pop(conn, 0)
