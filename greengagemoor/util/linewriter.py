"""Writes lines to a descriptor without blocking, and counts what it drops."""

from __future__ import annotations

import os
import select
import time
from collections import deque

MOST_WAITING = 2000
"""Lines kept for a reader that has stopped; some 400 KB."""
CHUNK = 4096
"""A pipe that polls as writable takes this much without blocking."""


class LineWriter:
    """Holds lines until ``flush`` can hand them over.

    A reader that stops reading would otherwise stop the process at its next
    line: every request on it would hang while nothing is wrong with it.
    """

    def __init__(self, descriptor: int, instance: str):
        self.dropped = 0
        self._told = 0
        self._descriptor = descriptor
        self._instance = instance
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, level: str, text: str) -> None:
        """Adds a line, or counts it as dropped when too many wait."""
        if len(self._lines) >= MOST_WAITING:
            self.dropped += 1
            return
        at = time.time()
        line = f"time={at:.3f} level={level} instance={self._instance} {text}\n"
        self._lines.append(line.encode())

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        if self.dropped > self._told and len(self._lines) < MOST_WAITING:
            number = self.dropped - self._told
            self._told = self.dropped
            self.write("WARNING", f"event=log_lines_dropped number={number}")
        while self._rest or self._lines:
            while self._lines and len(self._rest) < CHUNK:
                self._rest += self._lines.popleft()
            if not self._is_writable():
                return
            written = os.write(self._descriptor, self._rest[:CHUNK])
            self._rest = self._rest[written:]

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))
