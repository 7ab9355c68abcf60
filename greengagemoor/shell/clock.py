"""A clock close to unix time that never goes back."""

from __future__ import annotations

import time


class Clock:
    """Unix time at the start, advanced by the monotonic clock.

    The wall clock may be set back while the process runs. Deadlines would
    then move, and a request could be sent after its claim expired.
    """

    def __init__(self):
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Returns unix seconds."""
        return self._offset + time.monotonic()


class BootClock:
    """Unix time at the start, advanced also while the machine is suspended.

    On Linux the monotonic clock stands still then; callers wait on.
    """

    def __init__(self):
        self._offset = time.time() - _boot_time_s()

    def now(self) -> float:
        """Returns unix seconds."""
        return self._offset + _boot_time_s()


def _boot_time_s() -> float:
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()
