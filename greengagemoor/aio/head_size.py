"""Counts the bytes of a message that do not belong to its body."""

from __future__ import annotations

CHUNK_FRAMING_BYTES = 16
"""Framing of a chunk that does not count as head."""


class RequestTooLargeError(Exception):
    """A request exceeds a limit; it is answered with ``status``."""

    def __init__(self, status: int):
        super().__init__(str(status))
        self.status = status


class HeadSize:
    """Size of the head and the trailers that were received.

    Bytes are counted as they are received: the parser accumulates an incomplete
    header, and reports it only when it is complete.

    Attributes:
        size: in bytes.
    """

    def __init__(self):
        self.size = 0
        self._expected = 0

    def add_body(self, size: int) -> None:
        """Counts a piece of a body, in bytes."""
        self._expected += size

    def add_chunk(self) -> None:
        """Counts the header of a chunk."""
        self._expected += CHUNK_FRAMING_BYTES

    def add_received(self, size: int) -> None:
        """Counts a read, after its bodies and chunks were counted.

        Framing that short chunks did not use is not kept beyond the next read;
        it would make room for a long trailer.
        """
        self.size += max(0, size - self._expected)
        unused = self._expected - size
        self._expected = min(max(0, unused), CHUNK_FRAMING_BYTES)
