"""Writes log lines to a file descriptor without blocking."""

from __future__ import annotations

import os
import select
import time
from collections import deque

MAX_QUEUED_LINES = 2000
"""Lines queued while the reader does not read; some 400 KB."""
CHUNK_BYTES = 4096
"""Bytes that a pipe accepts without blocking if it polls as writable."""


class LineWriter:
    """Queues lines until ``flush`` can write them; drops lines beyond a bound.

    Otherwise a reader that stops reading would block the process at its next
    line, and all its requests with it.

    Attributes:
        dropped: lines dropped so far.
    """

    def __init__(self, descriptor: int, instance: str):
        self.dropped = 0
        self._reported = 0
        self._descriptor = descriptor
        self._instance = instance
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, level: str, text: str) -> None:
        """Queues a line, or drops it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        at = time.time()
        line = f"time={at:.3f} level={level} instance={self._instance} {text}\n"
        self._lines.append(line.encode(errors="backslashreplace"))

    def flush(self) -> None:
        """Writes as much as the descriptor accepts without blocking."""
        if (
            self.dropped > self._reported
            and len(self._lines) < MAX_QUEUED_LINES
        ):
            number = self.dropped - self._reported
            self._reported = self.dropped
            self.write("WARNING", f"event=log_lines_dropped number={number}")
        while self._unwritten or self._lines:
            while self._lines and len(self._unwritten) < CHUNK_BYTES:
                self._unwritten += self._lines.popleft()
            if not self._is_writable():
                return
            written = os.write(self._descriptor, self._unwritten[:CHUNK_BYTES])
            self._unwritten = self._unwritten[written:]

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))
