"""The dealer of quotas in a control instance, and its log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.control.messages import Send
from greengagemoor.control.state import Role
from greengagemoor.quota.bucket import Margin
from greengagemoor.quota.dealer import DealingChanged, QuotaDealer
from greengagemoor.serving import message_dispatch
from greengagemoor.util.line_budget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.state import State
    from greengagemoor.serving.settings import ServingSettings

DEALING_LINES_PER_S = 0.2
DEALING_LINES_BURST = 20.0
"""Links that fail again and again would otherwise fill the log."""


def make_dealer(cfg: ServingSettings) -> QuotaDealer:
    """Returns a dealer with the margin of the settings."""
    return QuotaDealer(
        Margin(cfg.quota_window_s, cfg.quota_overage, cfg.quota_slack)
    )


class QuotaDealing:
    """Passes messages to the dealer, and logs when it starts or stops."""

    def __init__(self, cfg: ServingSettings):
        self.dealer = make_dealer(cfg)
        self._lines = LineBudget(DEALING_LINES_PER_S, DEALING_LINES_BURST)

    def note_state(self, state: State) -> None:
        """Passes on when the leader was last in contact with this member."""
        self.dealer.note_contact(_contact_at(state))

    def step(self, now: float, batch: Iterable[object]) -> list[Send]:
        """Runs the dealer; returns what is to be sent."""
        out = self.dealer.step(
            now, filter(message_dispatch.is_for_dealer, batch)
        )
        for msg in out:
            if isinstance(msg, DealingChanged):
                self._log(now, msg)
        return [msg for msg in out if isinstance(msg, Send)]

    def _log(self, now: float, msg: DealingChanged) -> None:
        if self._lines.try_take(now):
            log.event(
                "quota_dealing",
                active=msg.dealing,
                reason=msg.reason,
                left_out=self._lines.reset_dropped(),
            )


def _contact_at(state: State) -> float:
    """Returns when the leader, or at the leader a majority, was last heard."""
    if state.role is not Role.LEADER:
        return state.last_leader_contact_at
    answered = [
        state.now
        if voter == state.member_id
        else state.progress[voter].last_ack
        for voter in state.voters
    ]
    return sorted(answered, reverse=True)[len(answered) // 2]
