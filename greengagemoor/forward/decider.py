"""The forward decider: maps input messages to sends and answers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from greengagemoor.feed.messages import (
    EvacuationsUpdated,
    SearcherUpdated,
    SlowSearchers,
    SuspectsReceived,
)
from greengagemoor.forward import (
    arrivals,
    attempt_end,
    completion,
    delegation,
    evidence,
    part_receiver,
    searchers,
    shutdown,
    trials,
)
from greengagemoor.forward.messages import (
    AnswerWritten,
    Arrived,
    AttemptEnded,
    CallerGone,
    CloseIdle,
    Ending,
    ProbeEnded,
    ShutdownStarted,
    TrialVerdict,
)
from greengagemoor.forward.part_messages import (
    AskPart,
    FromPeer,
    PartAnswered,
    PartConfirmed,
    PartDropped,
    PartTaken,
    PeerDown,
    PeerUp,
)
from greengagemoor.forward.policy import Policy
from greengagemoor.forward.tables import Tables

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagemoor.feed.messages import EntryPlace
    from greengagemoor.routing.routes import RouteTable


class ForwardDecider:
    """Selects searchers, retries and merges; see ``forward.messages``."""

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        policy: Policy | None = None,
        name: str = "",
    ):
        """Starts without searchers.

        Args:
            data_centre: the data centre of this entry.
            rng: seeded random source, for splits and ties.
            policy: limits, or None for the defaults.
            name: the name of this entry.
        """
        self.tables = Tables(data_centre, policy or Policy(), rng, name)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a monotonic clock.
            msgs: ``Arrived``, ``CallerGone``, ``AttemptEnded``,
                ``AnswerWritten``, ``SearcherUpdated``, ``SlowSearchers``,
                ``EvacuationsUpdated``, ``ProbeEnded``, ``SuspectsReceived``,
                ``TrialVerdict``, ``FromPeer``, ``PeerUp``, ``PeerDown``,
                ``ShutdownStarted``.

        Returns:
            ``StartAttempt``, ``CancelAttempt``, ``CloseIdle``, ``Respond``,
            ``SlowSendObserved``, ``ProbeSearcher``, ``SuspectsObserved``,
            ``ClaimTrial``, ``ReleaseTrialClaim``, ``StandingChanged``,
            ``ToPeer``, ``PartOpened`` and ``PartClosed``.
        """
        tables = self.tables
        tables.now = tables.due_at = now
        tables.started_at = min(tables.started_at, now)
        tables.out = [CloseIdle(at) for at in tables.idle_to_close]
        tables.idle_to_close.clear()
        for msg in part_receiver.filter_dropped(msgs):
            self._handle(msg)
        tables.run_timers()
        while tables.to_review:
            trials.review(tables, tables.to_review.pop())
        return tables.out

    def next_wake(self) -> float | None:
        """Returns the time of the next timer, None if there is none."""
        timers = self.tables.timers
        return timers[0][0] if timers else None

    def set_routes(self, table: RouteTable) -> None:
        """Applies the service rules of a new document."""
        self.tables.services = table.services
        searchers.set_caps(self.tables)

    def set_entries(self, number: int) -> None:
        """Updates the number of entries that share each searcher.

        A smaller number than before is ignored.
        """
        if number <= self.tables.entries:
            return
        self.tables.entries = number
        searchers.set_caps(self.tables)
        slack = self.tables.policy.retry_slack / self.tables.sharing_entries
        for budget in self.tables.budgets.values():
            budget.slack = slack

    def set_place(self, place: EntryPlace | None) -> None:
        """Updates the place of this entry, which determines its searchers."""
        if place != self.tables.place:
            self.tables.place = place
            searchers.set_caps(self.tables)

    def gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges, for metrics."""
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
            "leaving_delay_seconds": tables.answer_delay.usual_s,
            **(tables.admission.gauges(now) if tables.admission else {}),
            "searchers_evacuated": self._count_evacuated(),
            "searchers_assigned": self._count_assigned(),
            "entry_rank": -1 if tables.place is None else tables.place.rank,
            **{f"searchers_{name}": n for name, n in states.items()},
        }

    def _count_assigned(self) -> int:
        return sum(row.cap > 0 for row in self.tables.searchers.values())

    def _count_evacuated(self) -> int:
        data_centres = self.tables.evacuated
        rows = self.tables.searchers.values()
        return sum(row.data_centre in data_centres for row in rows)

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return not self.tables.requests

    def _handle(self, msg: object) -> None:
        if isinstance(msg, AttemptEnded):
            self._handle_ended(msg)
        elif isinstance(msg, Arrived):
            arrivals.accept(self.tables, msg)
        elif isinstance(msg, CallerGone):
            request = self.tables.requests.get(msg.token)
            if request is not None:
                completion.finish(self.tables, request, Ending.CALLER_GONE)
        elif isinstance(msg, AnswerWritten):
            self.tables.answer_delay.note(msg.delay_s)
        elif isinstance(msg, SearcherUpdated):
            for ended_msg in searchers.apply_row(self.tables, msg.row):
                self._handle_ended(ended_msg)
        elif isinstance(msg, SlowSearchers):
            searchers.mark_slow(self.tables, msg)
        elif isinstance(msg, EvacuationsUpdated):
            searchers.apply_evacuations(self.tables, msg)
        elif isinstance(msg, ProbeEnded):
            evidence.handle_probe_result(
                self.tables, msg.searcher, refused=msg.refused
            )
        elif isinstance(msg, SuspectsReceived):
            for row in msg.rows:
                evidence.merge_received_row(self.tables, row)
        elif isinstance(msg, TrialVerdict):
            trials.apply_verdict(self.tables, msg)
        elif isinstance(msg, FromPeer):
            self._handle_from_peer(msg.name, msg.payload)
        elif isinstance(msg, PeerUp):
            delegation.add_helper(self.tables, msg.name)
        elif isinstance(msg, PeerDown):
            delegation.remove_helper(self.tables, msg.name)
            part_receiver.end_parts_of(self.tables, msg.name)
        elif isinstance(msg, ShutdownStarted):
            shutdown.start(self.tables, msg)

    def _handle_from_peer(self, name: str, msg: object) -> None:
        if isinstance(msg, AskPart):
            part_receiver.accept_part(self.tables, name, msg)
        elif isinstance(msg, PartConfirmed):
            part_receiver.allow_second_sends(self.tables, name, msg)
        elif isinstance(msg, PartDropped):
            part_receiver.end_dropped_part(self.tables, name, msg)
        elif isinstance(msg, PartTaken):
            delegation.confirm_part(self.tables, name, msg)
        elif isinstance(msg, PartAnswered):
            delegation.receive_answers(self.tables, name, msg)

    def _handle_ended(self, msg: AttemptEnded) -> None:
        attempt = self.tables.attempts.get(msg.attempt_id)
        leg = attempt_end.take_ended(self.tables, msg)
        if attempt is not None and attempt.leg.request.is_trial:
            trials.take_end(self.tables, attempt, msg)
        elif leg is not None:
            outcome = msg.outcome
            completion.end_leg(self.tables, leg, outcome, stale=msg.stale)
