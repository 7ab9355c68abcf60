"""Decides which requests are admitted when capacity is insufficient."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.admission.decayed import DecayedCount, DecayedMean
from greengagemoor.admission.fairness import AccountDemand, RankDemand
from greengagemoor.admission.load import LoadEstimate, queue_per_slot
from greengagemoor.admission.messages import Rejection
from greengagemoor.admission.share import MIN_SHARE, AdmittedShare

if TYPE_CHECKING:
    import random

    from greengagemoor.admission.messages import Load, Offer

MIN_BUSY_SHARE = 0.5
"""Share of the reports that must show waiting requests for the whole effect of
the admitted share."""
CUT_BUSY_SHARE = 0.4
"""Share of such reports from which a share that is not open is reduced further.
Above ``IDLE_SHARE``, so that entries reopen soon after an overload."""
IDLE_SHARE = 0.3
"""Share of such reports up to which nothing is refused. Between the two the
effect grows, so that entries don't open and close together."""
MAX_EXCESS = 1.0
"""Bound of the relative excess of the wait of one route."""
START_EXPECTED = 1.0
"""Expected time relative to the objective from which an open share is
reduced."""
START_QUEUE = 1.5
"""Mean queue in work times from which an open share is reduced. At 0.8 of the
capacity the estimates for single services exceed what is allowed by chance; the
mean over all stays below this."""
FREE_WORK_SHARE = 0.05
"""Share of the work of all requests up to which a rank is not refused if its
requests are in time: refusing it would free next to no capacity."""
DEMAND_SPAN_S = 3.0
"""Time constant in seconds of the demand by route."""
TARGET_SHARE = 0.6
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
        self._returning = DecayedMean(DEMAND_SPAN_S)
        self._refused = 0

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
        queue = queue_per_slot(load)
        self._load.note_answer(now, service, searcher, send_s, queue)
        self._note_report(now, load, queue)

    def note_shed(
        self, now: float, service: str, searcher: str, load: Load | None
    ) -> None:
        """Records that a searcher refused to run a send."""
        queue = queue_per_slot(load)
        self._load.note_shed(now, service, searcher, queue)
        self._note_report(now, load, queue)

    def _note_report(
        self, now: float, load: Load | None, queue: float | None
    ) -> None:
        if queue is not None:
            running = load.running + min(load.waiting, 1)
            used = min(1.0, running / load.slots)
            if self._share.note_report(now, used):
                self._step(now)

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
        share = self._share_of(now, offer)
        if self._rng.random() < share:
            return None
        return self._reject(offer, "load")

    def _share_of(self, now: float, offer: Offer) -> float:
        """Returns the probability with which a request is admitted."""
        is_returning = offer.waited_s >= RETRIED_WAIT_S
        self._returning.note(now, is_returning)
        self._share.rise_in_silence(now)
        admitted = self._admitted(now)
        if admitted >= 1.0 or self._is_free(now, offer):
            return 1.0
        share = self._ranks.share(now, offer.rank, admitted)
        share = self._accounts.share(now, offer.account, share)
        # Returning callers are admitted more often than others, but the mean
        # of both is the share.
        share /= 1.0 + (RETURNING_FACTOR - 1.0) * self._returning.mean()
        if is_returning:
            share *= RETURNING_FACTOR
        return min(1.0, share)

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

    def _admitted(self, now: float) -> float:
        """Returns the share of the work of all ranks to admit."""
        return 1.0 - self._load_factor(now) * (1.0 - self._share.value)

    def _is_free(self, now: float, offer: Offer) -> bool:
        """Whether a request is in time and refusing its rank frees nothing."""
        work = self._ranks.work_share(now, offer.rank)
        return work <= FREE_WORK_SHARE and self._excess(now, offer) <= 0

    def _load_factor(self, now: float) -> float:
        """Returns the factor on the refused share.

        It is 0 while most searchers have free slots, as refusing requests
        would then make no other faster, unless single services are short that
        gathers need.
        """
        busy = self._load.busy_share
        if busy >= MIN_BUSY_SHARE or self._is_service_short(now):
            return 1.0
        return max(0.0, (busy - IDLE_SHARE) / (MIN_BUSY_SHARE - IDLE_SHARE))

    def _is_service_short(self, now: float) -> bool:
        return any(
            sum(self._load.is_short(now, name) for name in offer.services)
            > len(offer.services) - offer.least_answers
            for offer in self._offers.values()
        )

    def _step(self, now: float) -> None:
        """Adjusts the share by the means over routes, weighted by work."""
        total = excess = queue = expected = 0.0
        mean_wait_s = self._load.mean_queue * self._load.work_s
        for name, offer in self._offers.items():
            work = self._demand[name].at_time(now)
            total += work
            excess += work * self._excess(now, offer)
            queue += work * self._queue(now, offer)
            expected_s = self._time_without_queue(offer) + mean_wait_s
            expected += work * expected_s / offer.left_s
        if not total:
            return
        if not self._may_cut(now, expected / total):
            excess = min(excess, 0.0)
        self._share.step(now, excess / total, queue / total)

    def _may_cut(self, now: float, expected: float) -> bool:
        """Whether queues are long enough to reduce the share."""
        if self._is_service_short(now):
            return True
        busy = self._load.busy_share
        if not self._share.is_open:
            return busy >= CUT_BUSY_SHARE
        return busy >= MIN_BUSY_SHARE and (
            self._load.mean_queue >= START_QUEUE and expected >= START_EXPECTED
        )

    def _note_demand(self, now: float, offer: Offer) -> None:
        self._offers[offer.route] = offer
        if offer.route not in self._demand:
            self._demand[offer.route] = DecayedCount(DEMAND_SPAN_S)
        self._demand[offer.route].add(now, len(offer.services))

    def _excess(self, now: float, offer: Offer) -> float:
        """Returns how much longer than allowed a request would wait.

        As a share of the allowed wait; bounded, so that a route with a short
        objective does not outweigh all others.
        """
        work_s = self._load.work_s
        allowed_s = max(
            TARGET_SHARE * offer.left_s - self._time_without_queue(offer),
            MIN_QUEUE * work_s,
        )
        if allowed_s <= 0:
            return 0.0
        excess = self._queue(now, offer) * work_s / allowed_s - 1.0
        return min(MAX_EXCESS, excess)

    def _time_without_queue(self, offer: Offer) -> float:
        known_s = self._idle_s.get(offer.route)
        return START_TIME_SHARE * offer.left_s if known_s is None else known_s

    def _queue(self, now: float, offer: Offer) -> float:
        return self._load.needed_queue(now, offer.services, offer.least_answers)

    def gauges(self, now: float) -> dict[str, float]:
        """Returns the current values of the gauges, for metrics."""
        admitted = self._admitted(now)
        shares = {
            f"admitted_share_rank_{rank}": self._ranks.share(
                now, rank, admitted
            )
            for rank in self._ranks.ranks
        }
        return {"refused_overload_total": self._refused, **shares}
