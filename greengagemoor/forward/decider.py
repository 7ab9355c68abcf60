"""The forward decider: requests in, sends and answers out."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.feed.messages import (
    EvacuationsLearnt,
    SearcherLearnt,
    SlowSearchers,
    SuspectsLearnt,
)
from greengagemoor.forward import (
    choosing,
    completion,
    ended,
    evidence,
    searchers,
    starting,
    trials,
    trialtable,
)
from greengagemoor.forward.messages import (
    AnswerLeft,
    Arrived,
    AttemptEnded,
    CallerGone,
    Ending,
    ProbeEnded,
    TrialDecided,
)
from greengagemoor.forward.tables import (
    Leg,
    Policy,
    Request,
    Tables,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagemoor.routing.routes import RouteTable

END_MARGIN_S = 0.01
"""An answer leaves this long before the caller gives up."""


class ForwardDecider:
    """Places, repeats and merges; see ``forward.messages`` for its words."""

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        policy: Policy | None = None,
        name: str = "",
    ):
        """Starts without searchers.

        Args:
            data_centre: where this entry stands.
            rng: seeded source, for splits and ties.
            policy: limits, or None for the defaults.
            name: of this entry.
        """
        self.tables = Tables(data_centre, policy or Policy(), rng, name)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a clock that doesn't go back.
            msgs: ``Arrived``, ``CallerGone``, ``AttemptEnded``,
                ``AnswerLeft``, ``SearcherLearnt``, ``SlowSearchers``,
                ``EvacuationsLearnt``, ``ProbeEnded``, ``SuspectsLearnt``,
                ``TrialDecided``.

        Returns:
            ``StartAttempt``, ``CancelAttempt``, ``CloseIdle``, ``Respond``,
            ``SlowSeen``, ``ProbeSearcher``, ``SuspectsSeen``,
            ``TrialWanted``, ``TrialUnused`` and ``StandingChanged``.
        """
        tables = self.tables
        tables.now = tables.due_at = now
        tables.started_at = min(tables.started_at, now)
        tables.out = []
        for msg in msgs:
            self._take(msg)
        tables.run_timers()
        while tables.to_review:
            trials.review(tables, tables.to_review.pop())
        return tables.out

    def next_wake(self) -> float | None:
        """Returns when a tick is due although no message came."""
        timers = self.tables.timers
        return timers[0][0] if timers else None

    def set_routes(self, table: RouteTable) -> None:
        """Takes in what a new document says of services."""
        self.tables.services = table.services
        searchers.set_caps(self.tables)

    def set_entries(self, number: int) -> None:
        """Takes in how many entries share each searcher."""
        if number <= self.tables.entries:
            return
        self.tables.entries = number
        searchers.set_caps(self.tables)
        slack = self.tables.policy.retry_slack / self.tables.sharers
        for budget in self.tables.budgets.values():
            budget.slack = slack

    def gauges(self) -> dict[str, float]:
        """Returns numbers of the moment, for metrics."""
        tables = self.tables
        states = Counter(row.state.value for row in tables.searchers.values())
        waiting = sum(len(queue) for queue in tables.waiting.values())
        now = tables.now
        left = [budget.left(now) for budget in tables.budgets.values()]
        return {
            "requests_running": len(tables.requests),
            "sends_running": len(tables.attempts),
            "sends_waiting": waiting,
            "least_budget_left": min(left, default=0.0),
            **tables.suspects.counts(),
            "requests_held": sum(len(t.held) for t in tables.trials.values()),
            "leaving_delay_seconds": tables.leaving.usual_s,
            "searchers_evacuated": self._count_evacuated(),
            **{f"searchers_{name}": n for name, n in states.items()},
        }

    def _count_evacuated(self) -> int:
        places = self.tables.evacuated
        rows = self.tables.searchers.values()
        return sum(row.data_centre in places for row in rows)

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return not self.tables.requests

    def _take(self, msg: object) -> None:
        if isinstance(msg, AttemptEnded):
            self._take_ended(msg)
        elif isinstance(msg, Arrived):
            self._take_arrived(msg)
        elif isinstance(msg, CallerGone):
            request = self.tables.requests.get(msg.token)
            if request is not None:
                completion.finish(self.tables, request, Ending.CALLER_GONE)
        elif isinstance(msg, AnswerLeft):
            self.tables.leaving.note(msg.delay_s)
        elif isinstance(msg, SearcherLearnt):
            for ended_msg in searchers.take(self.tables, msg.row):
                self._take_ended(ended_msg)
        elif isinstance(msg, SlowSearchers):
            searchers.take_slow(self.tables, msg)
        elif isinstance(msg, EvacuationsLearnt):
            searchers.take_evacuations(self.tables, msg)
        elif isinstance(msg, ProbeEnded):
            evidence.take_probed(self.tables, msg.searcher, refused=msg.refused)
        elif isinstance(msg, SuspectsLearnt):
            for row in msg.rows:
                evidence.take_told(self.tables, row)
        elif isinstance(msg, TrialDecided):
            trials.take_decided(self.tables, msg)

    def _take_ended(self, msg: AttemptEnded) -> None:
        attempt = self.tables.attempts.get(msg.attempt_id)
        leg = ended.take_ended(self.tables, msg)
        if attempt is not None and attempt.leg.request.is_trial:
            trials.take_end(self.tables, attempt, msg)
        elif leg is not None:
            outcome = msg.outcome
            completion.end_leg(self.tables, leg, outcome, stale=msg.stale)

    def _take_arrived(self, msg: Arrived) -> None:
        tables = self.tables
        request = self._open(msg)
        tables.requests[msg.token] = request
        if tables.now >= request.ends_at:
            completion.finish(tables, request, Ending.NOT_RUN_DEADLINE)
            return
        if trialtable.is_refused(tables, request.fingerprint):
            completion.finish(tables, request, Ending.NOT_RUN_QUARANTINED)
            return
        if not self._can_serve(request):
            completion.finish(tables, request, Ending.NOT_RUN_NO_SEARCHER)
            return
        if evidence.is_suspect(tables, request.fingerprint):
            trials.hold(tables, request)
        else:
            starting.start(tables, request)
        if not request.done:
            self._arm(request)

    def _open(self, msg: Arrived) -> Request:
        """Makes the row, with the times by which it must end."""
        tables = self.tables
        route = msg.route
        now = tables.now
        waited = 0.0
        trip = self._caller_trip_s(msg)
        ends_at = now + route.time_limit_s - END_MARGIN_S
        if msg.patience_s is not None:
            # A caller that comes again has less patience left than others on
            # this route; the difference is what it has waited already.
            most = max(tables.patience.get(route.name, 0.0), msg.patience_s)
            tables.patience[route.name] = most
            waited = most - msg.patience_s
            ends_at = min(ends_at, now + msg.patience_s - trip / 2)
        left = route.objective_s - waited - trip
        left -= tables.leaving.margin_s(route.objective_s)
        if left <= 0:
            # Late already: a whole answer is worth one more objective.
            left = route.objective_s
        request = Request(
            token=msg.token,
            request_id=msg.request_id,
            route=route,
            arrived_at=now,
            give_at=min(ends_at, now + left),
            ends_at=ends_at,
            fingerprint=msg.fingerprint,
        )
        request.legs = [Leg(request, name) for name in self._services(route)]
        return request

    def _caller_trip_s(self, msg: Arrived) -> float:
        """Returns what the caller's clock runs while nothing is asked here."""
        policy = self.tables.policy
        way = policy.caller_way_s if msg.way_s is None else msg.way_s
        most = policy.most_way_share * msg.route.objective_s
        return min(way, most) + policy.caller_read_s

    def _services(self, route) -> tuple[str, ...]:
        if route.gather is not None:
            return route.gather.services
        if len(route.split) == 1:
            return (route.split[0].service,)
        weights = [part.weight for part in route.split]
        part = self.tables.rng.choices(route.split, weights)[0]
        return (part.service,)

    def _can_serve(self, request: Request) -> bool:
        """Whether enough services have a searcher, before any is asked.

        When all searchers of a shard are down, an answer below the floor
        would be made of work that is thrown away.
        """
        usable = sum(
            choosing.has_usable(self.tables, leg.service)
            for leg in request.legs
        )
        if request.route.gather is None:
            return usable > 0
        return completion.is_enough(request, usable)

    def _arm(self, request: Request) -> None:
        tables = self.tables
        look = partial(completion.look, tables, request)
        if request.route.gather is not None:
            tables.set_timer(request.give_at, look)
        else:
            busy = tables.policy.busy_share * request.route.objective_s
            at = tables.now + busy
            tables.set_timer(at, partial(self._end_busy, request))
        tables.set_timer(request.ends_at, partial(self._end, request))

    def _end_busy(self, request: Request) -> None:
        """Refuses what found no place in good time, so that it can go on."""
        if not request.done and not request.sends:
            completion.finish(self.tables, request, _unsent_ending(request))

    def _end(self, request: Request) -> None:
        if request.done:
            return
        is_gather = request.route.gather is not None
        if is_gather and completion.is_enough(request, request.answered):
            completion.finish(self.tables, request, Ending.PARTIAL)
        elif request.sends:
            completion.finish(self.tables, request, Ending.NO_ANSWER)
        else:
            completion.finish(self.tables, request, _unsent_ending(request))


def _unsent_ending(request: Request) -> Ending:
    held = request.is_held
    return Ending.NOT_RUN_SUSPECT if held else Ending.NOT_RUN_BUSY
