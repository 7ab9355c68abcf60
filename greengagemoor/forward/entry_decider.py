"""Combines fleet view, quota gate, forward decider and trial claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.messages import OpReply, Received, Send
from greengagemoor.feed import messages as feed
from greengagemoor.feed.view import FeedView
from greengagemoor.forward.claiming import TrialClaims
from greengagemoor.forward.decider import ForwardDecider
from greengagemoor.forward.messages import (
    Arrived,
    ClaimTrial,
    ReleaseTrialClaim,
    Respond,
    TrialVerdict,
)
from greengagemoor.quota.gate import QuotaGate
from greengagemoor.quota.messages import QuotaReply
from greengagemoor.quota.rejections import QuotaRejected, build_answer

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagemoor.forward.policy import Policy
    from greengagemoor.routing.routes import RouteTable

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
    """Runs the parts of an entry: view, quota gate, forward decider, claims.

    Updates of control instances pass through the view to the forward decider
    within one tick, and admitted requests through the gate. The decider's
    observations of searchers go back to the view in the same tick.
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
            me.name,
            me.address,
            me.data_centre,
            suspects,
            me.peer_address,
            me.capacity,
        )
        self._claims = TrialClaims(me.name, rng)
        self._gate = QuotaGate(rng)
        self._has_limits = False

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a clock that doesn't go back.
            msgs: messages of ``FeedView``, ``QuotaGate`` and
                ``ForwardDecider``.

        Returns:
            Output messages of all, in order.
        """
        feed_msgs, quota_msgs, forward_msgs = [], [], []
        for msg in msgs:
            if not isinstance(msg, _FOR_VIEW):
                forward_msgs.append(msg)
            elif _is_quota_reply(msg):
                quota_msgs.append(msg)
            else:
                feed_msgs.append(msg)
        if feed_msgs:
            quota_msgs += filter(_is_link_change, feed_msgs)
        out = self._step_view(now, feed_msgs)
        out += self._step_claims(now, filter(_is_reply, feed_msgs))
        self.forward.tables.accepts_parts = self.view.me.ready
        updates = [msg for msg in out if isinstance(msg, _FOR_FORWARD)]
        answered, forward_msgs = self._step_gate(now, quota_msgs, forward_msgs)
        out += answered
        return out + self._step_forward(now, updates + forward_msgs)

    def set_routes(self, table: RouteTable) -> None:
        """Applies the services' rules and account limits of a new document."""
        self.forward.set_routes(table)
        self._gate.set_accounts(table)
        accounts = table.accounts or ()
        self._has_limits = any(account.is_limited for account in accounts)

    def gauges(self) -> dict[str, float]:
        """Returns the current values, for metrics."""
        return {**self.forward.gauges(), **self._gate.gauges()}

    def _step_gate(
        self, now: float, quota_msgs: list, forward_msgs: list
    ) -> tuple[list, list]:
        """Returns its output, and the messages for the forward decider."""
        # Most ticks have nothing for the gate.
        if self._gate.is_idle and not (
            quota_msgs
            or (self._has_limits and any(map(_is_limited, forward_msgs)))
        ):
            return [], forward_msgs
        out, passed = [], []
        for msg in self._gate.step(now, quota_msgs + forward_msgs):
            if isinstance(msg, QuotaRejected):
                out.append(build_answer(now, msg))
            elif isinstance(msg, Send):
                out.append(msg)
            else:
                passed.append(msg)
        return out, passed

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
        if not self._gate.is_idle:
            for msg in out:
                if isinstance(msg, Respond):
                    self._gate.settle(msg)
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
        others = [self.forward.next_wake(), self._claims.next_wake()]
        if not self._gate.is_idle:
            others.append(self._gate.next_wake())
        for other in others:
            if other is not None and other < wake:
                wake = other
        return wake


def _is_reply(msg: object) -> bool:
    return isinstance(msg, Received) and isinstance(msg.payload, OpReply)


def _is_quota_reply(msg: object) -> bool:
    return isinstance(msg, Received) and isinstance(msg.payload, QuotaReply)


def _is_link_change(msg: object) -> bool:
    return isinstance(msg, (feed.LinkUp, feed.LinkDown))


def _is_limited(msg: object) -> bool:
    return (
        isinstance(msg, Arrived)
        and msg.account is not None
        and msg.account.is_limited
    )
