"""The clock of a process: near unix time, and never going back."""

from __future__ import annotations

import time


class Clock:
    """Unix seconds at the start, moved on by the monotonic clock.

    The wall clock may be set back while we run; deadlines would then move,
    and a claim could be sent after its end.
    """

    def __init__(self):
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Returns seconds."""
        return self._offset + time.monotonic()
