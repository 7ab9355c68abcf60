"""Deals the tokens of client accounts to entries, at one control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.quota.account_row import WaitingAsk
from greengagemoor.quota.bucket import Margin
from greengagemoor.quota.collecting import Collector
from greengagemoor.quota.group import DealerGroup
from greengagemoor.quota.messages import (
    QuotaAsk,
    QuotaReply,
    TokenGrant,
    TokenRequest,
    TokenRow,
)
from greengagemoor.quota.row_table import RowTable
from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.quota.account_row import AccountRow
    from greengagemoor.quota.bucket import Part
    from greengagemoor.routing.accounts import ClientAccount

ASK_WAIT_S = 0.006
"""Longest time that an ask waits here; the entry tries another instance after
10 ms."""


@values.frozen
class DealingChanged:
    """This instance has started or stopped dealing.

    Attributes:
        reason: why it does not deal; '' if it does.
    """

    dealing: bool
    reason: str


class QuotaDealer:
    """Answers entries' asks from this member's parts of the quotas.

    Each member of the control group has an equal part of each quota. A member
    that lacks tokens collects those of the others. Tokens move and are never
    copied, so the sum of the parts is the quota whatever is lost, delayed or
    restarted, and a bound on what each part may hold needs no clock of another
    instance.
    """

    def __init__(self, margin: Margin | None = None):
        """Starts outside the group and without accounts.

        Args:
            margin: bounds of what is dealt beyond the quotas.
        """
        self.margin = margin or Margin()
        self._group = DealerGroup()
        self._table = RowTable(self.margin)
        self._collector = Collector()
        self._open: dict[str, AccountRow] = {}
        self._now = 0.0
        self._out: list[object] = []
        self._is_dealing = False
        self._granted = 0
        self._denied = 0

    # Inputs.

    def set_members(self, now: float, names: Iterable[str], own: str) -> None:
        """Sets the members of the control group, by instance name.

        Args:
            now: seconds.
            names: all members; () while this instance is outside the group.
            own: name of this instance.
        """
        if self._group.set_members(now, names, own):
            # Another member may have replaced this one in the meantime.
            self._table.restart(now)
        self._table.members = self._group.parts(now)

    def note_contact(self, at: float) -> None:
        """Records when the group's leader was last in contact with this member.

        Args:
            at: seconds; of the leader itself, when a majority answered it.
        """
        self._group.note_contact(at)

    def set_accounts(
        self, now: float, accounts: Iterable[ClientAccount]
    ) -> None:
        """Sets the accounts of the document in force."""
        self._table.set_accounts(now, accounts)

    def step(self, now: float, msgs: Iterable[object]) -> list[object]:
        """Handles messages and timers.

        Returns:
            ``Send`` and ``DealingChanged`` messages.
        """
        self._now, self._out = now, []
        self._table.members = self._group.parts(now)
        received = []
        for msg in msgs:
            if isinstance(msg, Received):
                received.append(msg)
                self._collector.note_received(msg.sender)
            elif isinstance(msg, LinkUp):
                self._group.link_up(msg.name)
            elif isinstance(msg, LinkDown):
                self._group.link_down(msg.name)
        self._group.update(now)
        self._update_dealing()
        self._collector.begin(now, self._table.members, self._group.others())
        for msg in received:
            self._handle(msg.sender, msg.payload)
        for name, row in list(self._open.items()):
            if self._is_dealing:
                self._advance(row)
            else:
                self._abandon(row)
            if not row.is_open:
                del self._open[name]
        self._out += self._collector.requests()
        self._table.sweep(now)
        return self._out

    def next_wake(self) -> float | None:
        """Returns when ``step`` is due without messages."""
        times = [row.next_wake() for row in self._open.values()]
        times.append(self._table.next_wake())
        if self._table.accounts:
            times.append(self._group.next_change(self._now))
        return min((at for at in times if at is not None), default=None)

    def gauges(self) -> dict[str, float]:
        """Returns the current gauges, by name."""
        return {
            "quota_dealing": float(self._is_dealing),
            "quota_accounts_active": len(self._table),
            "quota_tokens_granted_total": self._granted,
            "quota_asks_denied_total": self._denied,
            "quota_collections_total": self._collector.started,
        }

    def _update_dealing(self) -> None:
        obstacle = self._group.obstacle(self._now)
        if not self._table.accounts:
            obstacle = "no accounts"
        is_dealing = not obstacle
        if is_dealing != self._is_dealing:
            self._is_dealing = is_dealing
            self._out.append(DealingChanged(is_dealing, obstacle))

    # Messages.

    def _handle(self, sender: str, payload: object) -> None:
        if isinstance(payload, QuotaAsk):
            self._handle_ask(sender, payload)
        elif isinstance(payload, TokenRequest):
            self._handle_request(sender, payload)
        elif isinstance(payload, TokenGrant):
            self._handle_grant(sender, payload)

    def _handle_ask(self, sender: str, ask: QuotaAsk) -> None:
        account = self._table.accounts.get(ask.account)
        if account is None or not self._is_dealing:
            self._reply(sender, ask, dealing=False)
            return
        number = max(1, ask.number)
        if not account.is_limited:
            # The entry has an earlier document, in which there is a quota.
            self._reply(sender, ask, granted=number)
            return
        row = self._table.get(self._now, account)
        row.note_ask(self._now)
        if not row.waiting and row.bucket.try_take(number):
            self._reply(sender, ask, granted=number)
        else:
            until = self._now + ASK_WAIT_S
            row.waiting.append(WaitingAsk(sender, ask, number, until))
        self._open[ask.account] = row

    def _handle_request(self, sender: str, msg: TokenRequest) -> None:
        """Gives tokens to another member; answers in any case."""
        is_usable = self._is_dealing and sender in self._group.members
        rows = [
            TokenRow(name, self._give(name, msg.for_s) if is_usable else 0.0)
            for name in msg.accounts
        ]
        self._out.append(Send(sender, TokenGrant(tuple(rows))))

    def _give(self, name: str, for_s: float) -> float:
        account = self._table.accounts.get(name)
        if account is None or not account.is_limited:
            return 0.0
        row = self._table.get(self._now, account)
        if row.waiting:
            return 0.0
        # Of an account without a rate, all tokens are requested.
        wanted = for_s * account.rate_per_s if account.rate_per_s else None
        return row.bucket.give(wanted)

    def _handle_grant(self, sender: str, msg: TokenGrant) -> None:
        """Adds tokens that are still awaited.

        Late ones are lost. Otherwise tokens could accumulate in the network or
        in a frozen process while their givers gain others.
        """
        for given in msg.rows:
            row = self._table.find(given.account)
            if row is None or sender not in row.awaited:
                continue
            row.bucket.update(self._now, self._table.part(row.account))
            row.bucket.level += max(0.0, given.tokens)
            row.note_grant(self._now, sender, given.tokens)
            self._open[given.account] = row

    # Asks that wait.

    def _advance(self, row: AccountRow) -> None:
        """Answers waiting asks as far as possible, or collects tokens."""
        part = self._table.part(row.account)
        row.bucket.update(self._now, part)
        self._collector.drop_overdue(row)
        while row.waiting and row.bucket.try_take(row.waiting[0].number):
            first = row.waiting.popleft()
            self._reply(first.sender, first.ask, granted=first.number)
        while row.waiting and row.waiting[0].until <= self._now:
            self._answer_partly(row, part)
        is_collecting = row.awaited or (
            row.wants_tokens and self._collector.collect(row, part)
        )
        while row.waiting and not is_collecting:
            self._answer_partly(row, part)
        if not row.waiting:
            row.bucket.cap(part.limit)

    def _answer_partly(self, row: AccountRow, part: Part) -> None:
        """Answers the first waiting ask with what there is."""
        first = row.waiting.popleft()
        granted = row.bucket.take_up_to(first.number)
        wait_s = 0.0
        if not granted:
            self._denied += 1
            wait_s = self._collector.wait_s(row, part)
        self._reply(first.sender, first.ask, granted=granted, wait_s=wait_s)

    def _abandon(self, row: AccountRow) -> None:
        """Refers the waiting asks to other instances: this one has stopped."""
        while row.waiting:
            waiting = row.waiting.popleft()
            self._reply(waiting.sender, waiting.ask, dealing=False)
        row.awaited.clear()

    def _reply(
        self,
        sender: str,
        ask: QuotaAsk,
        *,
        granted: int = 0,
        wait_s: float = 0.0,
        dealing: bool = True,
    ) -> None:
        self._granted += granted
        reply = QuotaReply(
            ask_id=ask.ask_id,
            account=ask.account,
            granted=granted,
            valid_s=self.margin.valid_s,
            wait_s=wait_s,
            dealing=dealing,
        )
        self._out.append(Send(sender, reply))
