"""Requests that crash each searcher that runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from soak.cluster import Cluster
    from soak.searchers import Searcher

CRASH_PATH_SUFFIX = "harm"
"""Last part of the path of a request that crashes searchers."""
CRASH_DELAY_S = 0.003
"""Time from the start of such a request to the crash."""
RESTART_DELAY_RANGE_S = (1.5, 3.0)
"""Time from a crash to the restart of the searcher."""
CRASH_INTERVAL_RANGE_S = (0.8, 2.0)
"""Time between two such requests."""
QUARANTINE_WINDOW_S = 4.0
"""Time after the third crash in which all entries quarantine the request."""
MAX_LATE_REPEATS = 3
"""Repeats that may reach searchers after that window, counting only those of
entries that were not disturbed for the length of the window before."""
QUARANTINE_RETRY_AFTER_S = 30.0
"""Least ``Retry-After`` of answers to requests under quarantine."""


class CrashRequests:
    """Counts the crashes, and checks that the requests are quarantined.

    Attributes:
        crashes: number of searchers that requests have crashed.
        late_repeats: ids of requests that ran after the window.
    """

    def __init__(self, cluster: Cluster):
        self.crashes = 0
        self.late_repeats: set[str] = set()
        self._cluster = cluster
        self._third_crash_at: float | None = None
        self._sent_to: dict[str, str] = {}

    def record_send(self, request_id: str, ip: str) -> None:
        """Records which entry received a request."""
        self._sent_to[request_id] = ip

    def record_run(self, request_id: str, searcher: Searcher) -> None:
        """Records a run of such a request, and crashes its searcher."""
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_DELAY_S, self._crash, searcher)
        now = loop.time()
        if (
            self._third_crash_at is None
            or now < self._third_crash_at + QUARANTINE_WINDOW_S
        ):
            return
        ip = self._sent_to.get(request_id, "")
        if self._cluster.undisturbed_s(ip) > QUARANTINE_WINDOW_S:
            self.late_repeats.add(request_id)

    def _crash(self, searcher: Searcher) -> None:
        if searcher.ended:
            return
        self.crashes += 1
        if self.crashes == 3:
            self._third_crash_at = asyncio.get_running_loop().time()
        self._cluster.crashed.append(searcher)
        searcher.stop()

    def check(self) -> None:
        """Checks that few repeats reached searchers after the window."""
        if len(self.late_repeats) > MAX_LATE_REPEATS:
            self._cluster.violations.append(
                f"{len(self.late_repeats)} late repeats of a request that "
                "crashes searchers"
            )


def choose_crash_prefix(rng: random.Random) -> str:
    """Draws the path prefix of the requests that crash searchers in a run.

    Returns an empty text for a run without such requests.
    """
    return rng.choice(["/all/", "/all/", "/once/", ""])
