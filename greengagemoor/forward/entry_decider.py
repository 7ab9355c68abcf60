"""Combines the fleet view, the forward decider and trial claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.messages import OpReply, Received
from greengagemoor.feed import messages as feed
from greengagemoor.feed.view import FeedView
from greengagemoor.forward.claiming import TrialClaims
from greengagemoor.forward.decider import ForwardDecider
from greengagemoor.forward.messages import (
    ClaimTrial,
    ReleaseTrialClaim,
    TrialVerdict,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagemoor.forward.policy import Policy

_FOR_VIEW = (feed.LinkUp, feed.LinkDown, Received)
_FOR_FORWARD = (
    feed.SearcherUpdated,
    feed.SlowSearchers,
    feed.SuspectsReceived,
    feed.EvacuationsUpdated,
    TrialVerdict,
)
_FOR_CLAIMS = (ClaimTrial, ReleaseTrialClaim)
_OBSERVATIONS = (feed.SlowSendObserved, feed.SuspectsObserved)
_INTERNAL = _FOR_CLAIMS + _OBSERVATIONS


class EntryDecider:
    """Runs the fleet view, the forward decider and trial claims of an entry.

    Updates of control instances pass through the view to the forward decider
    within one tick. The decider's observations of searchers go back to the
    view in the same tick.
    """

    def __init__(
        self, me: feed.Subscribe, rng: random.Random, policy: Policy | None
    ):
        """Starts with an empty view.

        Args:
            me: name, address and data centre of this entry.
            rng: seeded source.
            policy: limits, or None for the defaults.
        """
        self.forward = ForwardDecider(me.data_centre, rng, policy, me.name)
        suspects = self.forward.tables.suspects
        self.view = FeedView(
            me.name, me.address, me.data_centre, suspects, me.peer_address
        )
        self._claims = TrialClaims(me.name, rng)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a clock that doesn't go back.
            msgs: messages of ``FeedView`` and ``ForwardDecider``.

        Returns:
            Output messages of both, in order.
        """
        feed_msgs, forward_msgs = [], []
        for msg in msgs:
            queue = feed_msgs if isinstance(msg, _FOR_VIEW) else forward_msgs
            queue.append(msg)
        out = self._step_view(now, feed_msgs)
        out += self._step_claims(now, filter(_is_reply, feed_msgs))
        self.forward.tables.accepts_parts = self.view.me.ready
        updates = [msg for msg in out if isinstance(msg, _FOR_FORWARD)]
        return out + self._step_forward(now, updates + forward_msgs)

    def _step_view(self, now: float, msgs: list) -> list:
        due = now >= self.view.next_wake() or self.view.leaving
        if not msgs and not due:
            return []
        out = self.view.step(now, msgs)
        self.forward.set_entries(self.view.entries)
        self.forward.set_place(self.view.place)
        return out

    def _step_forward(self, now: float, msgs: list) -> list:
        out = self.forward.step(now, msgs)
        internal = [msg for msg in out if isinstance(msg, _INTERNAL)]
        if not internal:
            return out
        claim_msgs = [msg for msg in internal if isinstance(msg, _FOR_CLAIMS)]
        observed = [msg for msg in internal if isinstance(msg, _OBSERVATIONS)]
        out += self._step_claims(now, claim_msgs)
        if observed:
            out += self.view.step(now, observed)
        return out

    def _step_claims(self, now: float, msgs: Iterable[object]) -> list:
        msgs = [*msgs]
        if not msgs and self._claims.is_idle:
            return []
        return self._claims.step(now, self.view.sources, msgs)

    def next_wake(self) -> float:
        """Returns when a tick is due even without messages."""
        wake = self.view.next_wake()
        for other in (self.forward.next_wake(), self._claims.next_wake()):
            if other is not None and other < wake:
                wake = other
        return wake


def _is_reply(msg: object) -> bool:
    return isinstance(msg, Received) and isinstance(msg.payload, OpReply)
