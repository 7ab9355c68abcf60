"""State of the forward decider: searchers, requests, legs and attempts."""

from __future__ import annotations

import heapq
import random
from collections import deque
from itertools import count
from typing import TYPE_CHECKING

import attrs

from greengagemoor.admission.controller import AdmissionController
from greengagemoor.control.evacuations import EvacuationView
from greengagemoor.feed.messages import SearcherKey, SearcherState
from greengagemoor.feed.suspects import SuspectTable
from greengagemoor.forward.answer_delay import AnswerDelay
from greengagemoor.forward.budget import SendBudget
from greengagemoor.forward.timing import RouteTimes, Slowness

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.admission.messages import Offer
    from greengagemoor.feed.messages import EntryPlace
    from greengagemoor.forward.evidence import PossibleCrash
    from greengagemoor.forward.messages import Outcome, SearcherAnswer, Step
    from greengagemoor.forward.parts import Helper, Origin, Part
    from greengagemoor.forward.policy import Policy
    from greengagemoor.forward.trial_table import Trial
    from greengagemoor.routing.accounts import ClientAccount
    from greengagemoor.routing.routes import Route, ServiceRules

MAX_RECENT_ENDS = 64
"""Items kept in ``recent_crashes`` and in ``recent_suspects``: more than the
searchers that end within the time in which a trial is judged."""


@attrs.define(eq=False, repr=False)
class Searcher:
    """One incarnation of a searcher, as observed by this entry.

    Attributes:
        cap: most sends of this entry in flight at it; 0 if it is not
            assigned to this entry.
        others: requests of other entries at the searcher, as it last
            reported; only logged, not used for selection.
        failure_rate: smoothed share of sends that failed.
        sent_at: time of this entry's last send to it.
        avoid_until: it is not selected before, after consecutive failures.
        slow_until: until then other entries report it as slow.
    """

    searcher_id: str
    service: str
    address: str
    data_centre: str
    state: SearcherState
    slots: int
    start: int = 0
    cold_until: float = 0.0
    cap: int = 4
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    slowness: Slowness = attrs.field(factory=Slowness)
    answered_at: float = float("-inf")
    others: float = 0.0
    load_at: float = float("-inf")
    failure_rate: float = 0.0
    failure_rate_at: float = float("-inf")
    failures: int = 0
    avoid_until: float = float("-inf")
    slow_until: float = float("-inf")
    sent_at: float = float("-inf")

    @property
    def key(self) -> SearcherKey:
        """Identifies this incarnation."""
        return SearcherKey(self.searcher_id, self.start)


@attrs.define(eq=False, repr=False)
class Attempt:
    """One send in flight."""

    attempt_id: int
    leg: Leg
    searcher: Searcher
    sent_at: float
    is_hedge: bool


@attrs.define(eq=False, repr=False)
class Leg:
    """The part of a request that is sent to one service.

    Attributes:
        runs: sends that a searcher may have run.
        broken_by: searcher whose connection broke last before any byte of an
            answer.
        helper: name of the entry that queries the service; empty if this
            entry does.
        dead: no send is in flight and none will follow.
        broken: a send broke, so a searcher may have run the request.
    """

    request: Request
    service: str
    attempts: list[Attempt] = attrs.field(factory=list)
    tried: list[Searcher] = attrs.field(factory=list)
    runs: int = 0
    sends: int = 0
    broken_by: Searcher | None = None
    first_sent_at: float = 0.0
    answer: SearcherAnswer | None = None
    answered_by: str = ""
    answered_at: float = 0.0
    failure: SearcherAnswer | None = None
    waiting: bool = False
    helper: str = ""
    dead: bool = False
    broken: bool = False

    @property
    def is_open(self) -> bool:
        """Whether an answer may still arrive."""
        return self.answer is None and not self.dead

    def accept_answer(
        self, answer: SearcherAnswer, searcher_id: str, at: float
    ) -> None:
        """Records the final answer and who gave it."""
        self.answer = answer
        self.answered_by = searcher_id
        self.answered_at = at
        self.request.answered += 1

    def give_up(self) -> None:
        """Ends the leg without an answer."""
        self.dead = True
        self.request.given_up += 1


@attrs.define(eq=False, repr=False)
class Request:
    """A request of a caller, or a part for another entry, until its answer.

    Attributes:
        rank: priority of the client account, or else of the route; 0 is the
            most urgent.
        account: the client account; None if there is none.
        soft_deadline: from then on an answer with sufficient coverage is given
            at once.
        deadline: when the request ends at the latest.
        answered, given_up: numbers of such legs. They are counters because,
            with 60 shards, each of 60 answers would scan all legs.
        ended_searchers: searchers that seem to have ended while running it.
        deferred_legs: legs to send again once a searcher has answered.
        is_held: nothing is sent until a trial of the request succeeds.
        is_trial: the only send in flight is that trial.
        is_confirmed: whether a shard may be sent a second request; False while
            another entry may still query the shards itself.
        is_shared: some of its legs were delegated to helpers.
        helper_sends: sends of helpers beyond the first of each leg.
        origin: the entry that asked for this part; None for a caller's request.
        is_dropped: that entry no longer waits for the part.
        waited_s: time that its caller has waited in earlier attempts.
        offer: what admission control was told about it; None for a part.
        retry_after_s: when its caller should retry, if it was refused because
            of overload.
    """

    token: int
    request_id: str
    route: Route
    arrived_at: float
    soft_deadline: float
    deadline: float
    fingerprint: bytes = b""
    account: ClientAccount | None = None
    legs: list[Leg] = attrs.field(factory=list)
    steps: list[Step] = attrs.field(factory=list)
    done: bool = False
    answered: int = 0
    given_up: int = 0
    ended_searchers: frozenset[str] = frozenset()
    deferred_legs: list[tuple[Leg, Outcome]] = attrs.field(factory=list)
    is_held: bool = False
    is_trial: bool = False
    is_confirmed: bool = True
    is_shared: bool = False
    helper_sends: int = 0
    origin: Origin | None = None
    is_dropped: bool = False
    waited_s: float = 0.0
    offer: Offer | None = None
    retry_after_s: float | None = None

    @property
    def rank(self) -> int:
        """Priority; see the class."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank

    @property
    def is_open(self) -> bool:
        """Whether any leg may still be answered."""
        return self.answered + self.given_up < len(self.legs)

    @property
    def needs_first_answer(self) -> bool:
        """Whether searchers ended while running it and none has answered."""
        return bool(self.ended_searchers) and not self.answered

    @property
    def sends(self) -> int:
        """Number of sends; a leg that a helper queries counts as one."""
        return sum(leg.sends for leg in self.legs)


@attrs.define(eq=False, repr=False)
class Tables:
    """All state of the decider, and its output of a tick.

    Attributes:
        name: name of this entry.
        due_at: scheduled time of the timer that runs, which may fire late;
            ``now`` while messages are processed.
        possible_crashes: searchers that broke off a send and may have ended.
        recent_crashes: searchers that did end, latest last.
        ends_at: when the last answers are due, if this entry is shutting down.
        place: place of this entry among all entries; None if not known.
        positions: by service, the ids of searchers that keep a position in
            the assignment, and until when.
        idle_to_close: addresses of searchers whose idle connections the next
            tick closes.
        max_remaining_wait_s: longest remaining wait that a caller stated, by
            route.
        evacuated: data centres whose searchers receive no requests.
        recent_suspects: time and fingerprint of requests that became suspect.
        link_bytes_per_s: bandwidth of this entry's link, 0 if not known.
        answer_bytes: usual size of an answer with its headers, by route.
        accepts_parts: whether this entry accepts parts of other entries.
        helpers: other entries with a working link, by name.
        parts: parts delegated to helpers that have not ended, by id.
        origins: parts that this entry runs for others, by entry name and
            part id.
        unreported: fingerprints of rows to be reported to the control
            instances, and whether others may know the request already.
        to_review: fingerprints of requests whose standing may have changed.
        admission: decides which requests run when capacity is insufficient;
            None if all are admitted.
    """

    data_centre: str
    policy: Policy
    rng: random.Random
    name: str = ""
    now: float = 0.0
    due_at: float = 0.0
    started_at: float = float("inf")
    ends_at: float = float("inf")
    out: list = attrs.field(factory=list)
    entries: int = 1
    place: EntryPlace | None = None
    positions: dict[str, dict[str, float]] = attrs.field(factory=dict)
    idle_to_close: list[str] = attrs.field(factory=list)
    services: dict[str, ServiceRules] = attrs.field(factory=dict)
    searchers: dict[str, Searcher] = attrs.field(factory=dict)
    by_service: dict[str, list[Searcher]] = attrs.field(factory=dict)
    requests: dict[int, Request] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    waiting: dict[str, list[tuple[int, int, Leg]]] = attrs.field(factory=dict)
    budgets: dict[str, SendBudget] = attrs.field(factory=dict)
    times: dict[str, RouteTimes] = attrs.field(factory=dict)
    max_remaining_wait_s: dict[str, float] = attrs.field(factory=dict)
    answer_delay: AnswerDelay = attrs.field(factory=AnswerDelay)
    suspects: SuspectTable = attrs.field(factory=SuspectTable)
    possible_crashes: dict[SearcherKey, PossibleCrash] = attrs.field(
        factory=dict
    )
    recent_crashes: deque[PossibleCrash] = attrs.field(
        factory=lambda: deque(maxlen=MAX_RECENT_ENDS)
    )
    recent_suspects: deque[tuple[float, bytes]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_RECENT_ENDS)
    )
    evacuations: EvacuationView = attrs.field(factory=EvacuationView)
    evacuated: frozenset[str] = frozenset()
    unreported: dict[bytes, bool] = attrs.field(factory=dict)
    to_review: set[bytes] = attrs.field(factory=set)
    trials: dict[bytes, Trial] = attrs.field(factory=dict)
    link_bytes_per_s: float = 0.0
    answer_bytes: dict[str, float] = attrs.field(factory=dict)
    accepts_parts: bool = False
    helpers: dict[str, Helper] = attrs.field(factory=dict)
    parts: dict[int, Part] = attrs.field(factory=dict)
    part_times: dict[str, RouteTimes] = attrs.field(factory=dict)
    origins: dict[tuple[str, int], Request] = attrs.field(factory=dict)
    ids: count = attrs.field(factory=lambda: count(1))
    timers: list = attrs.field(factory=list)
    admission: AdmissionController | None = attrs.field()

    @admission.default
    def _create_admission(self) -> AdmissionController | None:
        if not self.policy.admission_control:
            return None
        # A source of its own, so that the draws of selection are the same
        # with and without admission control.
        return AdmissionController(random.Random(repr(self.rng.getstate())))

    def budget_of(self, service: str) -> SendBudget:
        """Returns the service's budget for retries and hedges."""
        budget = self.budgets.get(service)
        if budget is None:
            policy = self.policy
            budget = SendBudget(
                policy.retry_ratio,
                policy.retry_slack / self.sharing_entries,
                policy.retry_window_s,
                self.started_at,
                self.rng.random(),
            )
            self.budgets[service] = budget
        return budget

    @property
    def sharing_entries(self) -> int:
        """Number of entries among which shared limits are divided."""
        return max(self.policy.min_sharers, self.entries)

    def times_of(self, route: Route) -> RouteTimes:
        """Returns the times of recent sends on the route."""
        times = self.times.get(route.name)
        if times is None:
            # An objective is about four times the usual work time.
            times = RouteTimes(route.objective_s / 4)
            self.times[route.name] = times
        return times

    def times_of_parts(self, route: Route) -> RouteTimes:
        """Returns the times of recent delegated parts on the route."""
        times = self.part_times.get(route.name)
        if times is None:
            times = RouteTimes(route.objective_s / 2)
            self.part_times[route.name] = times
        return times

    def set_timer(self, at: float, call: Callable[[], None]) -> None:
        """Schedules ``call`` for the first tick at or after ``at``."""
        heapq.heappush(self.timers, (at, next(self.ids), call))

    def run_timers(self) -> None:
        """Runs the timers that are due."""
        while self.timers and self.timers[0][0] <= self.now:
            self.due_at, _, call = heapq.heappop(self.timers)
            call()
