"""Tells since when a new connection may have waited for the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

INTERVAL_S = 0.2
ACCEPT_TURNS = 4
"""Turns of the loop from the arrival of a connection to its protocol object:
one to poll, one to accept, one for the task that makes the transport, and one
to spare."""


class LoopWatch:
    """Notes when the event loop last had no connection left to accept.

    The kernel accepts connections for a process that is suspended or busy, and
    stores what is sent on them. When the process continues, they look new.

    Attributes:
        now: returns the time in seconds, by a clock that also counts while the
            process is suspended.
        polled_at: a connection whose protocol object is made now was not
            established before this time.
    """

    def __init__(self, now: Callable[[], float]):
        """Starts at the present time; ``run`` advances it."""
        self.now = now
        self.polled_at = now()

    async def run(self) -> None:
        """Advances ``polled_at`` until cancelled."""
        while True:
            started_at = self.now()
            for _ in range(ACCEPT_TURNS):
                await asyncio.sleep(0)
            self.polled_at = started_at
            await asyncio.sleep(INTERVAL_S)
