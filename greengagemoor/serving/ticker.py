"""Runs deciders on the event loop, for messages and timers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.util.line_budget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.shell.clock import Clock

MAX_SLEEP_S = 0.5
BLOCKED_S = 0.3
"""Least delay of other work that is logged."""
FAILED_LINES_PER_S = 2.0
FAILED_LINES_BURST = 20.0


class Ticker:
    """Collects messages and runs one tick for all of a turn of the loop.

    Attributes:
        failures: exceptions raised by ticks and by the handlers of their
            output so far.
    """

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
        self._due_at = self._loop.time()
        self._lines = LineBudget(FAILED_LINES_PER_S, FAILED_LINES_BURST)

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
        started_at = self._loop.time()
        _log_if_blocked(started_at - self._due_at, "other")
        self._scheduled = False
        msgs = list(self._inbox)
        self._inbox.clear()
        now = self._clock.now()
        try:
            wake = self._run(now, msgs)
        except Exception as exc:
            # An unexpected message must not stop the processing of others.
            self._record_failure(exc)
            wake = None
        self._sleep(now, wake)
        _log_if_blocked(self._loop.time() - started_at, "tick")

    def isolate(self, handler: Callable[[object], None], msg: object) -> None:
        """Handles an output message of a tick; an exception ends only this.

        The same tick may hold the answers to many callers.
        """
        try:
            handler(msg)
        except Exception as exc:
            self._record_failure(exc)

    def _record_failure(self, exc: Exception) -> None:
        self.failures += 1
        if self._lines.try_take(self._loop.time()):
            log.event(
                "tick_failed",
                level="ERROR",
                reason=log.describe(exc),
                where=log.where(exc),
                left_out=self._lines.reset_dropped(),
            )

    def _sleep(self, now: float, wake: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        latest = now + MAX_SLEEP_S
        at = latest if wake is None else min(wake, latest)
        delay = max(0.0005, at - now)
        self._timer = self._loop.call_later(delay, self.tick)
        self._due_at = self._timer.when()


def _log_if_blocked(for_s: float, ran: str) -> None:
    if for_s >= BLOCKED_S:
        log.event(
            "loop_blocked", level="WARNING", for_s=round(for_s, 2), ran=ran
        )
