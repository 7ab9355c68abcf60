"""Requests at the quota gate: held, admitted or refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.forward.messages import NOT_RUN
from greengagemoor.quota.refusal_counts import RefusalCounts
from greengagemoor.quota.rejections import QuotaRejected

if TYPE_CHECKING:
    import random

    from greengagemoor.forward.messages import Respond
    from greengagemoor.quota.gate_rows import AccountRow, Held

UNKNOWN_RETRY_S = (0.2, 0.4)
"""Range of the retry delay if the quota can't be known."""


class GateRequests:
    """Holds requests, and admits or refuses them.

    Attributes:
        now: time of the current tick.
        out: output of the current tick.
        totals: numbers of admitted and refused requests.
        refusals: numbers of refused requests, by account.
    """

    def __init__(self, rng: random.Random):
        """Starts without requests.

        Args:
            rng: seeded source, for retry delays.
        """
        self.now = 0.0
        self.out: list = []
        self.totals = {"admitted": 0, "rejected": 0, "unknown": 0}
        self.refusals = RefusalCounts()
        self._rng = rng
        self._holders: dict[int, AccountRow] = {}
        # Account and expiry of the token of each admitted request.
        self._admitted: dict[int, tuple[AccountRow, float]] = {}

    def gauges(self) -> dict[str, float]:
        """Returns the current values, for metrics."""
        return {
            "quota_held": len(self._holders),
            **{
                f"quota_{name}_total": number
                for name, number in self.totals.items()
            },
            **self.refusals.gauges(),
        }

    def hold(self, row: AccountRow, held: Held) -> None:
        """Keeps a request until it is admitted, refused or removed."""
        row.held[held.msg.token] = held
        self._holders[held.msg.token] = row

    def remove(self, token: int) -> Held | None:
        """Removes a held request; None if it isn't held."""
        row = self._holders.pop(token, None)
        if row is None:
            return None
        held = row.held.pop(token)
        held.done = True
        return held

    def serve(self, row: AccountRow) -> None:
        """Admits held requests while there are tokens, oldest first."""
        while row.held:
            valid_until = row.take_token(self.now)
            if valid_until is None:
                return
            held = self.remove(next(iter(row.held)))
            self.admit(row, held, valid_until)

    def admit(self, row: AccountRow, held: Held, valid_until: float) -> None:
        """Admits a request with a token."""
        self._admitted[held.msg.token] = (row, valid_until)
        self.totals["admitted"] += 1
        self._pass(held)

    def deny(self, row: AccountRow, wait_s: float) -> None:
        """Refuses the held requests of an account, and later ones for a time.

        Args:
            row: the account.
            wait_s: see ``AccountRow.deny``.
        """
        row.deny(self.now, wait_s)
        for token in list(row.held):
            self.reject_over_quota(row, self.remove(token))

    def reject_all_unknown(self, row: AccountRow) -> None:
        """Refuses the held requests of an account whose quota isn't known."""
        for token in list(row.held):
            self.reject_unknown(row, self.remove(token))

    def pass_all(self, row: AccountRow) -> None:
        """Outputs the held requests of an account that became unlimited."""
        for token in list(row.held):
            self._pass(self.remove(token))

    def _pass(self, held: Held) -> None:
        """Outputs a request, with the time for which it was held."""
        msg = held.msg
        if self.now > held.since:
            msg = attrs.evolve(msg, held_s=held.age_s(self.now))
        self.out.append(msg)

    def reject_over_quota(self, row: AccountRow, held: Held) -> None:
        """Refuses a request of an account without tokens."""
        self.totals["rejected"] += 1
        delay = row.next_retry_s(self.now, self._rng)
        self._reject(row, held, delay, over_quota=True)

    def reject_unknown(self, row: AccountRow, held: Held) -> None:
        """Refuses a request because no instance could tell the quota."""
        self.totals["unknown"] += 1
        delay = self._rng.uniform(*UNKNOWN_RETRY_S)
        self._reject(row, held, delay, over_quota=False)

    def _reject(
        self, row: AccountRow, held: Held, delay: float, *, over_quota: bool
    ) -> None:
        row.refusals += 1
        self.refusals.note(row.account.name, row.refusals)
        held_s = held.age_s(self.now)
        self.out.append(QuotaRejected(held.msg, held_s, over_quota, delay))

    def forget_admitted(self, token: int) -> None:
        """Counts a request as sent, whatever its end."""
        self._admitted.pop(token, None)

    def settle(self, answer: Respond) -> tuple[AccountRow, float] | None:
        """Ends a request.

        Args:
            answer: final answer of the forward decider to any request.

        Returns:
            Account and expiry of its token if that can be used again.
        """
        row, valid_until = self._admitted.pop(answer.token, (None, 0.0))
        if row is None or answer.sends or answer.ending not in NOT_RUN:
            return None
        return (row, valid_until) if valid_until > self.now else None

    def drop_expired(self) -> None:
        """Forgets admitted requests whose tokens have expired."""
        for token, (_, valid_until) in list(self._admitted.items()):
            if valid_until > self.now:
                break
            del self._admitted[token]
