"""Runs deciders on the event loop, for messages and timers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from greengagemoor import log

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.shell.clock import Clock

MAX_SLEEP_S = 0.5


class Ticker:
    """Collects messages and runs one tick for all of a turn of the loop."""

    def __init__(
        self, clock: Clock, run: Callable[[float, list], float | None]
    ):
        """Starts with an empty inbox.

        Args:
            clock: clock of the deciders.
            run: runs a tick and returns when the next one is due.
        """
        self.failures = 0
        self._clock = clock
        self._run = run
        self._loop = asyncio.get_running_loop()
        self._inbox: deque = deque()
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def put(self, msg: object) -> None:
        """Adds a message, and schedules a tick unless one is scheduled."""
        self._inbox.append(msg)
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self.tick)

    def put_threadsafe(self, msg: object) -> None:
        """Adds a message from another thread."""
        self._loop.call_soon_threadsafe(self.put, msg)

    def tick(self) -> None:
        """Runs a tick now."""
        self._scheduled = False
        msgs = list(self._inbox)
        self._inbox.clear()
        now = self._clock.now()
        try:
            wake = self._run(now, msgs)
        except Exception as exc:
            # An unexpected message must not stop the processing of others.
            self.failures += 1
            log.event(
                "tick_failed",
                level="ERROR",
                reason=f"{type(exc).__name__}: {exc}",
                where=log.where(exc),
            )
            wake = None
        self._sleep(now, wake)

    def _sleep(self, now: float, wake: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        latest = now + MAX_SLEEP_S
        at = latest if wake is None else min(wake, latest)
        delay = max(0.0005, at - now)
        self._timer = self._loop.call_later(delay, self.tick)
