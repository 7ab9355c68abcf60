"""Entry side of quotas: holds requests of limited accounts for a token."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.forward.messages import Arrived, CallerGone
from greengagemoor.quota.dealer_choice import DealerChoice
from greengagemoor.quota.gate_requests import GateRequests
from greengagemoor.quota.gate_rows import AccountRow, Ask, Held
from greengagemoor.quota.messages import QuotaAsk, QuotaReply

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagemoor.forward.messages import Respond
    from greengagemoor.routing.routes import RouteTable

ANSWER_TIMEOUT_S = 0.01
"""Seconds until the next instance is asked: a quarter of an objective of 60 ms,
for which a request may be held, leaves time for its answer."""
MAX_SILENT = 3
"""Instances that may fail to answer before the held requests are refused."""
MAX_HOLD_SHARE = 0.25
"""Longest time that a request is held, as a share of its route's objective."""
SWEEP_INTERVAL_S = 1.0
KEEP_S = 3.0
"""Seconds after its last use in which an account is forgotten. Tokens, refusals
and retry slots all end sooner."""


class QuotaGate:
    """Admits requests of limited accounts while there are tokens for them.

    Tokens come from control instances, one ask per account at a time. Requests
    of other accounts pass.
    """

    def __init__(self, rng: random.Random):
        """Starts without links.

        Args:
            rng: seeded source, for retry delays.
        """
        self._requests = GateRequests(rng)
        self._dealers = DealerChoice()
        self._rows: dict[str, AccountRow] = {}
        # Includes asks that were replaced: their grants may still arrive.
        self._asks: dict[int, Ask] = {}
        self._ids = count(rng.getrandbits(40))
        self._timers: list[tuple[float, int, Ask | Held]] = []
        self._to_ask: dict[str, AccountRow] = {}
        self._sweep_at = 0.0
        self._due = False
        self._now = 0.0
        self._out: list = []
        self._asks_total = 0

    def step(self, now: float, msgs: Iterable[object]) -> list:
        """Runs one tick.

        Args:
            now: seconds of a monotonic clock.
            msgs: ``Arrived``, ``CallerGone``, ``LinkUp``, ``LinkDown``,
                ``Received``; others pass.

        Returns:
            ``Send``, ``QuotaRejected``, and the messages for the forward
            decider: ``Arrived``, if admitted, and those that pass.
        """
        self._now = self._requests.now = now
        self._out = self._requests.out = []
        self._due = False
        for msg in msgs:
            self._handle(msg)
        self._run_timers()
        while self._to_ask:
            _, row = self._to_ask.popitem()
            self._requests.serve(row)
            if row.held and row.ask is None:
                self._ask(row)
        if now >= self._sweep_at:
            self._sweep()
        return self._out

    def next_wake(self) -> float | None:
        """Returns the time of the next tick; None if none is needed."""
        if self._due:
            return self._now
        while self._timers and self._timers[0][2].done:
            heapq.heappop(self._timers)
        if self._timers:
            return min(self._timers[0][0], self._sweep_at)
        return self._sweep_at if self._rows else None

    @property
    def is_idle(self) -> bool:
        """Whether no limited account is in use."""
        return not self._rows

    def set_accounts(self, table: RouteTable) -> None:
        """Applies the limits of a new document to the accounts in use.

        Held requests of accounts that became unlimited pass in the next tick.
        Those of a removed account keep its previous limits.
        """
        for name, row in self._rows.items():
            account = table.account_named(name)
            if account is not None:
                row.apply_limits(account)
            elif table.accounts is None:
                free = attrs.evolve(row.account, rate_per_s=0.0, burst=0.0)
                row.apply_limits(free)
            if not row.account.is_limited:
                self._end_round(row)
                self._to_ask[name] = row
                self._due = True

    def settle(self, answer: Respond) -> None:
        """Takes the token of a request back if nothing was sent.

        Args:
            answer: final answer of the forward decider to any request.
        """
        returned = self._requests.settle(answer)
        if returned is None:
            return
        row, valid_until = returned
        # The row may have been forgotten since.
        row = self._rows.setdefault(row.account.name, row)
        row.touched_at = self._now
        row.add_tokens(1, valid_until)
        if row.held:
            self._to_ask[row.account.name] = row
            self._due = True

    def gauges(self) -> dict[str, float]:
        """Returns the current values, for metrics."""
        return {
            "quota_accounts": len(self._rows),
            "quota_asks_total": self._asks_total,
            **self._requests.gauges(),
        }

    def _handle(self, msg: object) -> None:
        if isinstance(msg, Arrived):
            if msg.account is not None and msg.account.is_limited:
                self._accept(msg)
            else:
                self._out.append(msg)
        elif isinstance(msg, CallerGone):
            self._requests.forget_admitted(msg.token)
            if self._requests.remove(msg.token) is None:
                self._out.append(msg)
        elif isinstance(msg, Received):
            self._handle_reply(msg.sender, msg.payload)
        elif isinstance(msg, LinkUp):
            self._dealers.add(msg.name)
        elif isinstance(msg, LinkDown):
            self._dealers.remove(msg.name)
            for row in self._rows.values():
                if row.ask is not None and row.ask.instance == msg.name:
                    self._replace_ask(row)
        else:
            self._out.append(msg)

    def _accept(self, msg: Arrived) -> None:
        now = self._now
        account = msg.account
        row = self._rows.get(account.name)
        if row is None:
            row = self._rows[account.name] = AccountRow(account, now)
        elif row.account is not account:
            row.apply_limits(account)
        row.touched_at = now
        held = Held(msg, now)
        valid_until = None if row.held else row.take_token(now)
        if valid_until is not None:
            self._requests.admit(row, held, valid_until)
        elif now < row.denied_until:
            self._requests.reject_over_quota(row, held)
        else:
            self._hold(row, held)

    def _hold(self, row: AccountRow, held: Held) -> None:
        msg = held.msg
        self._requests.hold(row, held)
        limit_s = MAX_HOLD_SHARE * msg.route.objective_s
        limit_s = min(limit_s, msg.route.time_limit_s)
        if msg.remaining_wait_s is not None:
            limit_s = min(limit_s, msg.remaining_wait_s)
        self._set_timer(self._now - msg.held_s + limit_s, held)
        self._to_ask[row.account.name] = row

    def _ask(self, row: AccountRow) -> None:
        """Asks the next instance, or refuses the held requests."""
        if not row.account.is_limited:
            self._requests.pass_all(row)
            return
        name = row.account.name
        instance = self._dealers.select(name, row.tried, self._now)
        if instance is None or row.silent >= MAX_SILENT:
            self._end_round(row)
            self._requests.reject_all_unknown(row)
            return
        row.tried.add(instance)
        number = row.number_to_ask(self._now)
        ask = Ask(next(self._ids), name, instance, number, self._now)
        row.ask = self._asks[ask.ask_id] = ask
        self._asks_total += 1
        self._out.append(Send(instance, QuotaAsk(ask.ask_id, name, number)))
        self._set_timer(self._now + ANSWER_TIMEOUT_S, ask)

    def _end_round(self, row: AccountRow) -> None:
        if row.ask is not None:
            row.ask.done = True
            row.ask = None
        row.tried.clear()
        row.silent = 0

    def _replace_ask(self, row: AccountRow) -> None:
        """Asks the next instance if requests still wait."""
        row.ask.done = True
        row.ask = None
        if row.held:
            self._to_ask[row.account.name] = row
        else:
            self._end_round(row)

    def _handle_reply(self, sender: str, reply: object) -> None:
        if not isinstance(reply, QuotaReply):
            return
        ask = self._asks.get(reply.ask_id)
        if ask is None or ask.instance != sender:
            return
        del self._asks[ask.ask_id]
        row = self._rows.get(ask.account)
        if row is None:
            return
        is_current = row.ask is ask
        if not reply.dealing:
            self._dealers.avoid(sender, self._now)
            if is_current:
                self._replace_ask(row)
            return
        row.touched_at = self._now
        granted = max(0, min(reply.granted, ask.number))
        # The dealer counted them after the ask was sent, so that they expire
        # in time however long the reply took.
        row.add_tokens(granted, ask.sent_at + reply.valid_s)
        self._requests.serve(row)
        if is_current:
            self._end_round(row)
            is_short = granted < ask.number
            if is_short and (row.held or not granted):
                self._requests.deny(row, reply.wait_s)
            elif row.held:
                # They arrived after the ask.
                self._to_ask[row.account.name] = row

    def _set_timer(self, at: float, target: Ask | Held) -> None:
        heapq.heappush(self._timers, (at, next(self._ids), target))

    def _run_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self._now:
            _, _, target = heapq.heappop(self._timers)
            if target.done:
                continue
            if isinstance(target, Held):
                row = self._rows[target.msg.account.name]
                self._requests.remove(target.msg.token)
                self._requests.reject_unknown(row, target)
            else:
                row = self._rows[target.account]
                row.silent += 1
                self._dealers.avoid(target.instance, self._now)
                self._replace_ask(row)

    def _sweep(self) -> None:
        """Forgets accounts that are not in use, and asks without an answer."""
        now = self._now
        self._sweep_at = now + SWEEP_INTERVAL_S
        for name, row in list(self._rows.items()):
            idle = not row.held and row.ask is None
            if idle and now - row.touched_at > KEEP_S:
                del self._rows[name]
        for ask_id, ask in list(self._asks.items()):
            if now - ask.sent_at <= KEEP_S:
                break
            if ask.done:
                del self._asks[ask_id]
        self._requests.drop_expired()
