"""Decides which requests are admitted when capacity is insufficient."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.admission.fairness import (
    AccountDemand,
    DecayedCount,
    RankDemand,
)
from greengagemoor.admission.load import LoadEstimate
from greengagemoor.admission.messages import Rejection
from greengagemoor.admission.share import MIN_SHARE, AdmittedShare

if TYPE_CHECKING:
    import random

    from greengagemoor.admission.messages import Load, Offer

MIN_REPORTS = 20.0
"""Number of recent reports below which nothing is refused."""
MIN_BUSY_SHARE = 0.5
"""Share of the reports that must show waiting requests. Below it most searchers
have free slots, and refusing requests would make no other faster."""
DEMAND_SPAN_S = 3.0
"""Time constant in seconds of the demand by route."""
UPDATE_INTERVAL_S = 0.02
"""Shortest interval in seconds between steps of the admitted share."""
TARGET_SHARE = 0.85
"""Share of the time to the objective that a request is expected to need at
most; half of the requests take longer than expected."""
MIN_QUEUE = 0.5
"""Queue in work times that is always allowed: a shorter one empties by chance,
and searchers idle while requests are refused."""
START_TIME_SHARE = 0.5
"""Share of the time to the objective that a route is assumed to need without
queues until its times are known."""
TIME_STEP = 0.05
"""Relative change of a route's time without queues by one request."""
SHEDS_ALL_SHARE = 0.9
"""Share of shed sends from which a service counts as giving no answer."""
RETRIED_WAIT_S = 0.03
"""Seconds that a caller has waited before, from which it counts as returning
as told; those that retry at once have waited for a shorter time."""
RETURNING_FACTOR = 2.0
"""Factor on the admitted share for returning callers, as they seldom return a
second time. It must be a factor on this share, not on the refused one: with
many refusals, most callers are returning ones, and a large fixed share of them
would exceed the capacity."""
RETRY_SHARE = 1 / 3
"""Share of the caller's remaining wait for which it honours a retry time."""


class AdmissionController:
    """Admits a share of the requests so that these are in time.

    Nothing is refused while fewer than half of the recent reports of searchers
    show waiting requests.
    """

    def __init__(self, rng: random.Random):
        """Starts without knowledge, and admits all.

        Args:
            rng: seeded source.
        """
        self._rng = rng
        self._load = LoadEstimate()
        self._share = AdmittedShare()
        self._ranks = RankDemand()
        self._accounts = AccountDemand()
        self._idle_s: dict[str, float] = {}
        self._offers: dict[str, Offer] = {}
        self._demand: dict[str, DecayedCount] = {}
        self._updated_at = float("-inf")
        self._refused = 0
        self._last_share = {}

    def note_answer(
        self,
        now: float,
        service: str,
        searcher: str,
        send_s: float,
        load: Load | None,
    ) -> None:
        """Records a searcher's answer.

        Args:
            now: seconds.
            service: its service.
            searcher: its id.
            send_s: seconds from the send to the answer.
            load: the load that it reported.
        """
        queue = _queue(load)
        self._load.note_answer(now, service, searcher, send_s, queue)
        self._update(now)

    def note_shed(
        self, now: float, service: str, searcher: str, load: Load | None
    ) -> None:
        """Records that a searcher refused to run a send."""
        self._load.note_shed(now, service, searcher, _queue(load))
        self._update(now)

    def note_end(self, now: float, offer: Offer, elapsed_s: float) -> None:
        """Records that an admitted request was answered.

        Args:
            now: seconds.
            offer: the request.
            elapsed_s: seconds from its arrival to its answer.
        """
        queue = self._load.needed_queue(
            now, offer.services, offer.least_answers
        )
        idle_s = max(0.3 * elapsed_s, elapsed_s - queue * self._load.work_s)
        known = self._idle_s.get(offer.route)
        if known is None:
            known = self._idle_s[offer.route] = min(
                idle_s, START_TIME_SHARE * offer.left_s
            )
        if idle_s < known:
            self._idle_s[offer.route] = known * (1.0 - TIME_STEP)
        elif self._share.is_open:
            self._idle_s[offer.route] = known * (1.0 + TIME_STEP)

    def decide(self, now: float, offer: Offer) -> Rejection | None:
        """Decides about a request that has just arrived.

        Returns:
            None if it is admitted.
        """
        self._note_demand(now, offer)
        self._ranks.note(now, offer.rank, len(offer.services))
        self._accounts.note(now, offer.account)
        if (
            not self._can_be_covered(now, offer)
            and self._rng.random() >= MIN_SHARE
        ):
            return self._reject(offer, "coverage")
        if not self._is_loaded(now):
            return None
        share = self._ranks.share(now, offer.rank, self._share.value)
        share = self._accounts.share(now, offer.account, share)
        if offer.waited_s >= RETRIED_WAIT_S:
            share = min(1.0, RETURNING_FACTOR * share)
        if self._rng.random() < share:
            return None
        return self._reject(offer, "load")

    def _reject(self, offer: Offer, reason: str) -> Rejection:
        self._refused += 1
        longest = RETRY_SHARE * offer.wait_s
        return Rejection(longest * self._rng.uniform(0.5, 0.95), reason)

    def _can_be_covered(self, now: float, offer: Offer) -> bool:
        shedding = sum(
            self._load.sheds_all(now, service, SHEDS_ALL_SHARE)
            for service in offer.services
        )
        return len(offer.services) - shedding >= offer.least_answers

    def _is_loaded(self, now: float) -> bool:
        """Whether most searchers have no free slot."""
        return self._load.busy_share >= MIN_BUSY_SHARE

    def _update(self, now: float) -> None:
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        if self._load.reports(now) < MIN_REPORTS:
            return
        self._updated_at = now
        total = excess_s = 0.0
        for name, offer in self._offers.items():
            work = self._demand[name].at_time(now)
            total += work
            excess_s += work * self._excess_s(now, offer)
        if total:
            self._share.update(now, excess_s / total)

    def _note_demand(self, now: float, offer: Offer) -> None:
        self._offers[offer.route] = offer
        if offer.route not in self._demand:
            self._demand[offer.route] = DecayedCount(DEMAND_SPAN_S)
        self._demand[offer.route].add(now, len(offer.services))

    def _excess_s(self, now: float, offer: Offer) -> float:
        """Returns the seconds by which a request's wait would be too long."""
        load = self._load
        queue = load.needed_queue(now, offer.services, offer.least_answers)
        idle_s = self._idle_s.get(offer.route)
        if idle_s is None:
            idle_s = START_TIME_SHARE * offer.left_s
        allowed = TARGET_SHARE * offer.left_s - idle_s
        return queue * load.work_s - max(allowed, MIN_QUEUE * load.work_s)

    def gauges(self, now: float) -> dict[str, float]:
        """Returns the current values of the gauges, for metrics."""
        admitted = self._share.value if self._is_loaded(now) else 1.0
        shares = {
            f"admitted_share_rank_{rank}": self._ranks.share(
                now, rank, admitted
            )
            for rank in self._ranks.ranks
        }
        return {"refused_overload_total": self._refused, **shares}


def _queue(load: Load | None) -> float | None:
    """Returns how many requests wait per slot; 0 if a slot is free."""
    if load is None or load.slots <= 0:
        return None
    if load.running < load.slots:
        return 0.0
    return load.waiting / load.slots
