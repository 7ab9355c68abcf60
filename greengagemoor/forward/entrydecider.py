"""All decisions of one entry: what it knows, and what it sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.messages import OpReply, Received
from greengagemoor.feed import messages as feed
from greengagemoor.feed.view import View
from greengagemoor.forward.claiming import TrialClaims
from greengagemoor.forward.decider import ForwardDecider
from greengagemoor.forward.messages import (
    TrialDecided,
    TrialUnused,
    TrialWanted,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagemoor.forward.policy import Policy

_FOR_VIEW = (feed.LinkUp, feed.LinkDown, Received)
_FOR_FORWARD = (
    feed.SearcherLearnt,
    feed.SlowSearchers,
    feed.SuspectsLearnt,
    feed.EvacuationsLearnt,
    TrialDecided,
)
_FOR_CLAIMS = (TrialWanted, TrialUnused)
_SEEN = (feed.SlowSeen, feed.SuspectsSeen)
_INNER = _FOR_CLAIMS + _SEEN


class EntryDecider:
    """Puts the view of the fleet and the forward decider together.

    What control tells goes through the view to the forward decider in the
    same tick, and what that sees of searchers goes back the same way.
    """

    def __init__(
        self, me: feed.Subscribe, rng: random.Random, policy: Policy | None
    ):
        """Starts knowing nothing.

        Args:
            me: this entry, its address and data centre.
            rng: seeded source.
            policy: limits, or None for the defaults.
        """
        self.forward = ForwardDecider(me.data_centre, rng, policy, me.name)
        suspects = self.forward.tables.suspects
        self.view = View(
            me.name, me.address, me.data_centre, suspects, me.peer_address
        )
        self._claims = TrialClaims(me.name, rng)

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a clock that doesn't go back.
            msgs: messages of ``View`` and ``ForwardDecider``.

        Returns:
            What both say, in order.
        """
        feed_msgs, forward_msgs = [], []
        for msg in msgs:
            mine = feed_msgs if isinstance(msg, _FOR_VIEW) else forward_msgs
            mine.append(msg)
        out = self._step_view(now, feed_msgs)
        out += self._step_claims(now, filter(_is_reply, feed_msgs))
        self.forward.tables.takes_parts = self.view.me.ready
        learnt = [msg for msg in out if isinstance(msg, _FOR_FORWARD)]
        return out + self._step_forward(now, learnt + forward_msgs)

    def _step_view(self, now: float, msgs: list) -> list:
        due = now >= self.view.next_wake() or self.view.leaving
        if not msgs and not due:
            return []
        out = self.view.step(now, msgs)
        self.forward.set_entries(self.view.entries)
        return out

    def _step_forward(self, now: float, msgs: list) -> list:
        said = self.forward.step(now, msgs)
        inner = [msg for msg in said if isinstance(msg, _INNER)]
        if not inner:
            return said
        wanted = [msg for msg in inner if isinstance(msg, _FOR_CLAIMS)]
        seen = [msg for msg in inner if isinstance(msg, _SEEN)]
        said += self._step_claims(now, wanted)
        if seen:
            said += self.view.step(now, seen)
        return said

    def _step_claims(self, now: float, msgs: Iterable[object]) -> list:
        msgs = [*msgs]
        if not msgs and self._claims.is_idle:
            return []
        return self._claims.step(now, self.view.sources, msgs)

    def next_wake(self) -> float:
        """Returns when a tick is due although no message came."""
        wake = self.view.next_wake()
        for other in (self.forward.next_wake(), self._claims.next_wake()):
            if other is not None and other < wake:
                wake = other
        return wake


def _is_reply(msg: object) -> bool:
    return isinstance(msg, Received) and isinstance(msg.payload, OpReply)
