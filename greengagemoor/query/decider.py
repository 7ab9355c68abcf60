"""The query decider: messages in, messages out, no sockets and no clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from greengagemoor.query import (  # noqa: F401  (fills the registries)
    choosing,
    completion,
    endings,
    messages,
    outcomes,
    placing,
    requests,
    servers,
)
from greengagemoor.query.messages import ClaimVerdict, Failure
from greengagemoor.query.state import State
from greengagemoor.query.tables import Phase, TimerKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class QueryDecider:
    """Decides which searcher is asked what, when, and what callers get.

    Systems run in a fixed order each tick: receive, expire, place. A tick
    costs time in what changed: due timers and services marked dirty.
    """

    def __init__(self, home: str, rng: random.Random):
        """Starts without document and searchers.

        Args:
            home: data centre of this entry.
            rng: seeded source for all random choices.
        """
        self.state = State(home=home, rng=rng)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds on any clock that never goes back.
            msgs: messages of ``query.messages``, in order of arrival.

        Returns:
            Messages for the shell and for the other deciders.
        """
        state = self.state
        state.now = max(now, state.now)
        state.out = []
        for msg in msgs:
            _HANDLERS[type(msg)](state, msg)
        for kind, key in state.tables.due(state.now):
            _TIMERS[kind](state, key)
        placing.place_waiting(state)
        return state.out

    def next_wake(self) -> float | None:
        """Returns when a tick is due although no message came."""
        timers = self.state.tables.timers
        return timers[0][0] if timers else None

    def close(self) -> None:
        """Refuses new requests from now on; what runs goes on."""
        self.state.closing = True

    @property
    def is_idle(self) -> bool:
        """Whether no request waits and no attempt is under way."""
        return not self.state.tables.queries and not self.state.tables.attempts


def _set_control(state: State, msg: messages.ControlReady) -> None:
    state.control_ready = msg.ready


def _decide_claim(state: State, msg: messages.ClaimDecided) -> None:
    query = state.tables.by_token.get(msg.token)
    if query is None or query.phase is not Phase.CLAIMING:
        # The caller was told "not run" meanwhile. The ledger must hear it,
        # or a resend would be told that the request is in progress.
        endings.release_claim(state, msg)
        return
    if msg.verdict is ClaimVerdict.GRANTED:
        requests.start_claimed(state, query, msg.send_before)
    else:
        endings.end_unclaimed(state, query, msg)


def _expire_attempt(state: State, attempt_id: int) -> None:
    """Ends an attempt whose end the shell never reported."""
    if attempt_id in state.tables.attempts:
        outcomes.take_failure(
            state, messages.AttemptFailed(attempt_id, Failure.TIMEOUT)
        )


def _hedge(state: State, attempt_id: int) -> None:
    attempt = state.tables.attempts.get(attempt_id)
    if attempt is not None:
        placing.hedge(state, attempt)


def _cut(state: State, query_id: int) -> None:
    query = state.tables.queries.get(query_id)
    if query is not None:
        endings.settle(state, query)


def _dispatch(state: State, name: str) -> None:
    service = state.tables.services.get(name)
    if service is not None:
        state.touch(service)


_HANDLERS: dict[type, Callable[[State, object], None]] = {
    messages.Request: requests.take,
    messages.CallerGone: lambda s, m: endings.forget_waiter(s, m.token),
    messages.AttemptAnswer: outcomes.take_answer,
    messages.AttemptFailed: outcomes.take_failure,
    messages.ServerChanged: servers.change,
    messages.ServerGone: servers.leave,
    messages.DocumentChanged: servers.change_document,
    messages.ClaimDecided: _decide_claim,
    messages.ControlReady: _set_control,
}

_TIMERS: dict[TimerKind, Callable[[State, object], None]] = {
    TimerKind.WAITER: endings.end_waiter,
    TimerKind.CUT: _cut,
    TimerKind.HEDGE: _hedge,
    TimerKind.ATTEMPT: _expire_attempt,
    TimerKind.DISPATCH: _dispatch,
}
