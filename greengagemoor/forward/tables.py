"""Rows of the forward decider: searchers, requests, legs and attempts."""

from __future__ import annotations

import heapq
import random
from collections import deque
from itertools import count
from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.evacuations import EvacuationView
from greengagemoor.feed.messages import SearcherKey, SearcherState
from greengagemoor.feed.suspects import SuspectTable
from greengagemoor.forward.budget import SendBudget
from greengagemoor.forward.leaving import LeavingDelay
from greengagemoor.forward.timing import RouteTimes, Slowness

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.forward.evidence import PossibleEnd
    from greengagemoor.forward.messages import Outcome, SearcherAnswer, Step
    from greengagemoor.forward.parts import Helper, Origin, Part
    from greengagemoor.forward.policy import Policy
    from greengagemoor.forward.trialtable import Trial
    from greengagemoor.routing.routes import Route, ServiceRules

RECENT_ENDS = 64
"""More searchers than end within the moment in which a trial is judged."""


@attrs.define(eq=False, repr=False)
class Searcher:
    """One start of a searcher, as this entry sees it.

    Attributes:
        others: requests of other entries there, at its last word; it is
            told in logs and decides nothing.
        failing: smoothed share of sends that failed.
        sent_at: when this entry sent to it last.
        avoid_until: it isn't chosen before, after failures in a row.
        slow_until: until then other entries find it slow.
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
    failing: float = 0.0
    judged_at: float = float("-inf")
    failures: int = 0
    avoid_until: float = float("-inf")
    slow_until: float = float("-inf")
    sent_at: float = float("-inf")

    @property
    def key(self) -> SearcherKey:
        """Names this start."""
        return SearcherKey(self.searcher_id, self.start)


@attrs.define(eq=False, repr=False)
class Attempt:
    """One send that has not ended."""

    attempt_id: int
    leg: Leg
    searcher: Searcher
    sent_at: float
    is_second: bool


@attrs.define(eq=False, repr=False)
class Leg:
    """What a request wants from one service.

    Attributes:
        runs: sends that may have run.
        broken_by: whose connection broke last, before any byte of an answer.
        helper: the entry that asks it, if it isn't asked from here.
        dead: nothing more will be sent, and no send is under way.
    """

    request: Request
    service: str
    attempts: list[Attempt] = attrs.field(factory=list)
    asked: list[Searcher] = attrs.field(factory=list)
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
        """Whether an answer may still come."""
        return self.answer is None and not self.dead

    def take(self, answer: SearcherAnswer, searcher_id: str, at: float) -> None:
        """Takes the answer that counts."""
        self.answer = answer
        self.answered_by = searcher_id
        self.answered_at = at
        self.request.answered += 1

    def give_up(self) -> None:
        """Leaves it without an answer."""
        self.dead = True
        self.request.given_up += 1


@attrs.define(eq=False, repr=False)
class Request:
    """A caller's request until its answer.

    Attributes:
        give_at: from then on an answer with enough shards is given at once.
        ends_at: the last moment for an answer.
        answered, given_up: how many legs are; counted, as with sixty shards
            each of sixty answers would look at all of them again.
        ended_under: searchers that seem to have ended as they ran it.
        unproved_legs: legs that go out again once a searcher has answered.
        is_held: nothing is sent until a trial of it has succeeded.
        is_trial: the one send that is under way is that trial.
        is_confirmed: whether its shards may be sent to twice; not yet where
            another entry may still ask them itself.
        is_shared: helpers were asked for some of its legs.
        part_sends: what helpers have sent beyond the first of each leg.
        origin: for whom this entry asks, if not for a caller.
        is_dropped: that entry no longer waits for it.
    """

    token: int
    request_id: str
    route: Route
    arrived_at: float
    give_at: float
    ends_at: float
    fingerprint: bytes = b""
    legs: list[Leg] = attrs.field(factory=list)
    steps: list[Step] = attrs.field(factory=list)
    done: bool = False
    answered: int = 0
    given_up: int = 0
    ended_under: frozenset[str] = frozenset()
    unproved_legs: list[tuple[Leg, Outcome]] = attrs.field(factory=list)
    is_held: bool = False
    is_trial: bool = False
    is_confirmed: bool = True
    is_shared: bool = False
    part_sends: int = 0
    origin: Origin | None = None
    is_dropped: bool = False

    @property
    def is_open(self) -> bool:
        """Whether any leg may still get an answer."""
        return self.answered + self.given_up < len(self.legs)

    @property
    def is_unproved(self) -> bool:
        """Whether searchers ended under it and none has answered it."""
        return bool(self.ended_under) and not self.answered

    @property
    def sends(self) -> int:
        """How often the request was sent."""
        return sum(leg.sends for leg in self.legs)


@attrs.define(eq=False, repr=False)
class Tables:
    """All state of the decider and its output of a tick.

    Attributes:
        name: of this entry.
        due_at: when what runs now should have run: the time of a timer that
            may fire late, or ``now``.
        possible_ends: searchers that broke off a send and may have ended.
        recent_ends: those that did, latest last.
        evacuated: data centres whose searchers get nothing.
        recent_suspects: requests that became suspect, and when.
        link_bytes_per_s: what this entry's link carries, 0 if not known.
        answer_bytes: of an answer with its head, usually, by route.
        takes_parts: whether other entries may hand parts to this one.
        helpers: other entries with a link, by name.
        parts: what helpers were asked for and have not ended.
        origins: what this entry asks for others, by name and part.
        unreported: requests whose rows control has not been told, and whether
            it knew of them before.
        to_review: requests whose standing may have changed.
    """

    data_centre: str
    policy: Policy
    rng: random.Random
    name: str = ""
    now: float = 0.0
    due_at: float = 0.0
    started_at: float = float("inf")
    out: list = attrs.field(factory=list)
    entries: int = 1
    services: dict[str, ServiceRules] = attrs.field(factory=dict)
    searchers: dict[str, Searcher] = attrs.field(factory=dict)
    by_service: dict[str, list[Searcher]] = attrs.field(factory=dict)
    requests: dict[int, Request] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    waiting: dict[str, list[tuple[int, int, Leg]]] = attrs.field(factory=dict)
    budgets: dict[str, SendBudget] = attrs.field(factory=dict)
    times: dict[str, RouteTimes] = attrs.field(factory=dict)
    patience: dict[str, float] = attrs.field(factory=dict)
    leaving: LeavingDelay = attrs.field(factory=LeavingDelay)
    suspects: SuspectTable = attrs.field(factory=SuspectTable)
    possible_ends: dict[SearcherKey, PossibleEnd] = attrs.field(factory=dict)
    recent_ends: deque[PossibleEnd] = attrs.field(
        factory=lambda: deque(maxlen=RECENT_ENDS)
    )
    recent_suspects: deque[tuple[float, bytes]] = attrs.field(
        factory=lambda: deque(maxlen=RECENT_ENDS)
    )
    evacuations: EvacuationView = attrs.field(factory=EvacuationView)
    evacuated: frozenset[str] = frozenset()
    unreported: dict[bytes, bool] = attrs.field(factory=dict)
    to_review: set[bytes] = attrs.field(factory=set)
    trials: dict[bytes, Trial] = attrs.field(factory=dict)
    link_bytes_per_s: float = 0.0
    answer_bytes: dict[str, float] = attrs.field(factory=dict)
    takes_parts: bool = False
    helpers: dict[str, Helper] = attrs.field(factory=dict)
    parts: dict[int, Part] = attrs.field(factory=dict)
    part_times: dict[str, RouteTimes] = attrs.field(factory=dict)
    origins: dict[tuple[str, int], Request] = attrs.field(factory=dict)
    ids: count = attrs.field(factory=lambda: count(1))
    timers: list = attrs.field(factory=list)

    def budget_of(self, service: str) -> SendBudget:
        """Returns the service's budget for second sends."""
        budget = self.budgets.get(service)
        if budget is None:
            policy = self.policy
            budget = SendBudget(
                policy.retry_ratio,
                policy.retry_slack / self.sharers,
                policy.retry_window_s,
                self.started_at,
                self.rng.random(),
            )
            self.budgets[service] = budget
        return budget

    @property
    def sharers(self) -> int:
        """The number of entries by which what all share is divided."""
        return max(self.policy.places, self.entries)

    def times_of(self, route: Route) -> RouteTimes:
        """Returns what sends on the route usually take."""
        times = self.times.get(route.name)
        if times is None:
            # Objectives are some four times the usual work time.
            times = RouteTimes(route.objective_s / 4)
            self.times[route.name] = times
        return times

    def times_of_parts(self, route: Route) -> RouteTimes:
        """Returns what parts of the route's queries usually take."""
        times = self.part_times.get(route.name)
        if times is None:
            times = RouteTimes(route.objective_s / 2)
            self.part_times[route.name] = times
        return times

    def set_timer(self, at: float, call: Callable[[], None]) -> None:
        """Calls ``call`` in the first tick from ``at`` on."""
        heapq.heappush(self.timers, (at, next(self.ids), call))

    def run_timers(self) -> None:
        """Calls what is due."""
        while self.timers and self.timers[0][0] <= self.now:
            self.due_at, _, call = heapq.heappop(self.timers)
            call()
