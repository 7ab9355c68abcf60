"""Estimates of the queues at searchers, from the load that answers report."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from greengagemoor.admission.decayed import DecayedMean

if TYPE_CHECKING:
    from greengagemoor.admission.messages import Load

REPORT_FRESH_S = 0.5
"""Time constant in seconds of the weight of a searcher's last report."""
REPORT_KEPT_S = 3.0
"""Age in seconds from which a searcher's last report is ignored."""
POOL_FRESH_S = 0.25
"""Time constant in seconds of the means over all searchers: the reports of one
gather replace most of what was known half a second before."""
PRIOR_WEIGHT = 1.0
"""Weight of the mean over all services in the estimate of one service, as a
number of reports. A single report of a queue says little about its shard."""
WORK_STEP = 0.01
"""Relative change of the estimated work time by one answer. The estimate is a
median, as the times at slow or paused searchers would distort a mean."""
SHED_FRESH_S = 1.0
"""Time constant in seconds of a service's share of sends that were shed."""
LONG_QUEUE = 1.0
"""Queue in work times from which a report counts as of a long queue."""
HOT_SPAN_S = 3.0
"""Time constant in seconds of a service's share of reports of long queues."""
HOT_SHARE = 0.9
"""Share of reports of long queues from which a service is short of capacity. If
one of three searchers has a long queue, the share is lower."""
MIN_HOT_WEIGHT = 2.5
"""Number of recent reports below which a service is not found short."""
MIN_SHED_WEIGHT = 4.0
"""Number of recent sends below which a service's share of shed sends says
nothing."""


@attrs.define(eq=False)
class _Report:
    at: float
    queue: float


class LoadEstimate:
    """Queues of services in work times, and the work time in seconds.

    A queue of 1 means that a new request waits for as long as a request works.
    """

    def __init__(self):
        self._reports: dict[str, dict[str, _Report]] = {}
        self._sheds: dict[str, DecayedMean] = {}
        self._hot: dict[str, DecayedMean] = {}
        self._queue = DecayedMean(POOL_FRESH_S)
        self._busy = DecayedMean(POOL_FRESH_S)
        self.work_s = 0.0

    def note_answer(
        self,
        now: float,
        service: str,
        searcher: str,
        send_s: float,
        queue: float | None,
    ) -> None:
        """Records an answer.

        Args:
            now: seconds.
            service: the searcher's service.
            searcher: its id.
            send_s: seconds from the send to the answer.
            queue: requests that wait there, per slot; None if not reported.
        """
        self._note_shed(now, service, shed=False)
        if queue is None:
            return
        self._note_queue(now, service, searcher, queue)
        work = send_s / (1.0 + queue)
        if not self.work_s:
            self.work_s = work
        else:
            step = WORK_STEP if work > self.work_s else -WORK_STEP
            self.work_s *= 1.0 + step

    def note_shed(
        self, now: float, service: str, searcher: str, queue: float | None
    ) -> None:
        """Records that a searcher refused a send, with its queue per slot."""
        self._note_shed(now, service, shed=True)
        if queue is not None:
            self._note_queue(now, service, searcher, queue)

    def _note_shed(self, now: float, service: str, *, shed: bool) -> None:
        mean = self._sheds.get(service)
        if mean is None:
            mean = self._sheds[service] = DecayedMean(SHED_FRESH_S)
        mean.note(now, shed)

    def _note_queue(
        self, now: float, service: str, searcher: str, queue: float
    ) -> None:
        self._queue.note(now, queue)
        self._busy.note(now, queue > 0)
        if service not in self._hot:
            self._hot[service] = DecayedMean(HOT_SPAN_S)
        self._hot[service].note(now, queue >= LONG_QUEUE)
        rows = self._reports.setdefault(service, {})
        rows[searcher] = _Report(now, queue)
        if len(rows) > 1:
            old = [k for k, r in rows.items() if r.at < now - REPORT_KEPT_S]
            for key in old:
                del rows[key]

    @property
    def mean_queue(self) -> float:
        """The mean of recent reports of queues, in work times."""
        return self._queue.mean()

    @property
    def busy_share(self) -> float:
        """Share of recent reports in which requests waited."""
        return self._busy.mean()

    def is_short(self, now: float, service: str) -> bool:
        """Whether all searchers of a service have long queues."""
        mean = self._hot.get(service)
        return (
            mean is not None
            and mean.weight(now) >= MIN_HOT_WEIGHT
            and mean.mean() >= HOT_SHARE
        )

    def sheds_all(self, now: float, service: str, share: float) -> bool:
        """Whether a service sheds at least that share of its sends."""
        mean = self._sheds.get(service)
        return (
            mean is not None
            and mean.weight(now) >= MIN_SHED_WEIGHT
            and mean.mean() >= share
        )

    def queue(self, now: float, service: str) -> float:
        """Returns the queue of a service in work times.

        The longest queue of several searchers is left out: requests go to the
        others, and it may be long because its searcher is slow.
        """
        pooled = self._queue.mean()
        reports = [
            report
            for report in self._reports.get(service, {}).values()
            if report.at > now - REPORT_KEPT_S
        ]
        if len(reports) > 1:
            reports.remove(max(reports, key=lambda report: report.queue))
        weight, total = PRIOR_WEIGHT, PRIOR_WEIGHT * pooled
        for report in reports:
            fresh = math.exp(-(now - report.at) / REPORT_FRESH_S)
            weight += fresh
            total += fresh * report.queue
        return total / weight

    def needed_queue(
        self, now: float, services: tuple[str, ...], least: int
    ) -> float:
        """Returns the longest queue among the ``least`` services of shortest.

        A gather waits for that many; those of the others may be missing.
        """
        queues = sorted(self.queue(now, name) for name in services)
        return queues[min(least, len(queues)) - 1] if queues else 0.0


def queue_per_slot(load: Load | None) -> float | None:
    """Returns how many requests wait per slot; 0 if a slot is free."""
    if load is None or load.slots <= 0:
        return None
    # A searcher may count a request as ended before it starts the next one.
    if load.running < load.slots - 1:
        return 0.0
    return load.waiting / load.slots
