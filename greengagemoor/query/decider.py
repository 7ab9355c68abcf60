"""The query decider: turns messages into messages, without I/O or a clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from greengagemoor.query import (  # noqa: F401  (fills the registries)
    choosers,
    completing,
    completion,
    messages,
    outcomes,
    placement,
    requests,
    servers,
)
from greengagemoor.query.messages import ClaimVerdict, Failure
from greengagemoor.query.state import State
from greengagemoor.query.tables import Phase, TimerKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class QueryDecider:
    """Decides which searchers are asked, when, and what callers are answered.

    Each tick handles the messages, then the expired timers, then places
    waiting queries. Its cost depends on the number of messages, expired timers
    and services marked dirty.
    """

    def __init__(self, data_centre: str, rng: random.Random):
        """Creates a decider without a document or searchers.

        Args:
            data_centre: data centre of this entry instance.
            rng: seeded source for all random choices.
        """
        self.state = State(data_centre=data_centre, rng=rng)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds on a monotonic clock.
            msgs: messages of ``query.messages``, in order of arrival.

        Returns:
            Messages for the shell and for the other deciders.
        """
        state = self.state
        state.now = max(now, state.now)
        state.out = []
        for msg in msgs:
            _HANDLERS[type(msg)](state, msg)
        for kind, key in state.tables.pop_due(state.now):
            _TIMERS[kind](state, key)
        placement.place_waiting(state)
        return state.out

    def next_wake(self) -> float | None:
        """Returns when the next timer expires, None without timers."""
        timers = self.state.tables.timers
        return timers[0][0] if timers else None

    def close(self) -> None:
        """Rejects new requests from now on; accepted requests are completed."""
        self.state.closing = True

    @property
    def is_idle(self) -> bool:
        """Whether no query waits and no attempt is in flight."""
        return not self.state.tables.queries and not self.state.tables.attempts


def _set_control_ready(state: State, msg: messages.ControlReady) -> None:
    state.control_ready = msg.ready


def _handle_claim_decided(state: State, msg: messages.ClaimDecided) -> None:
    query = state.tables.queries_by_token.get(msg.token)
    if query is None or query.phase is not Phase.CLAIMING:
        # The caller was answered "not run" meanwhile. The ledger must record
        # this, or a resend would be answered that the request is in progress.
        completing.release_claim(state, msg)
        return
    if msg.verdict is ClaimVerdict.GRANTED:
        requests.start_claimed(state, query, msg.send_before)
    else:
        completing.answer_unclaimed(state, query, msg)


def _expire_attempt(state: State, attempt_id: int) -> None:
    """Times out an attempt whose end the shell has not reported."""
    if attempt_id in state.tables.attempts:
        outcomes.handle_failure(
            state, messages.AttemptFailed(attempt_id, Failure.TIMEOUT)
        )


def _hedge(state: State, attempt_id: int) -> None:
    attempt = state.tables.attempts.get(attempt_id)
    if attempt is not None:
        placement.hedge(state, attempt)


def _settle_at_cut(state: State, query_id: int) -> None:
    query = state.tables.queries.get(query_id)
    if query is not None:
        completing.settle(state, query)


def _dispatch(state: State, name: str) -> None:
    service = state.tables.services.get(name)
    if service is not None:
        state.mark_dirty(service)


_HANDLERS: dict[type, Callable[[State, object], None]] = {
    messages.Request: requests.handle_request,
    messages.CallerGone: lambda s, m: completing.remove_waiter(s, m.token),
    messages.AttemptAnswer: outcomes.handle_answer,
    messages.AttemptFailed: outcomes.handle_failure,
    messages.ServerChanged: servers.handle_server_changed,
    messages.ServerGone: servers.handle_server_gone,
    messages.DocumentChanged: servers.handle_document_changed,
    messages.ClaimDecided: _handle_claim_decided,
    messages.ControlReady: _set_control_ready,
}

_TIMERS: dict[TimerKind, Callable[[State, object], None]] = {
    TimerKind.WAITER: completing.expire_waiter,
    TimerKind.CUT: _settle_at_cut,
    TimerKind.HEDGE: _hedge,
    TimerKind.ATTEMPT: _expire_attempt,
    TimerKind.DISPATCH: _dispatch,
}
