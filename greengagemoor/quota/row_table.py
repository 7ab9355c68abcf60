"""The rows of active accounts at one dealer."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from greengagemoor.quota.account_row import AccountRow
from greengagemoor.quota.bucket import EPSILON, TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.quota.bucket import Margin, Part
    from greengagemoor.routing.accounts import ClientAccount

SWEEP_S = 0.25
SWEEP_ROWS = 200
"""Rows checked per sweep, less than 1 ms. With 1,000, asks of the same tick
would wait for 4 ms."""
SURPLUS_S = 60.0
"""Tokens above the capacity are kept at least this long after an ask."""


class RowTable:
    """Rows of the accounts that were used recently.

    The level of an account without a row follows from the time since this
    dealer started, so an account that is not used needs no row.

    Attributes:
        accounts: the accounts of the document in force, by name.
        members: number of parts of each quota.
    """

    def __init__(self, margin: Margin):
        self.accounts: dict[str, ClientAccount] = {}
        self.members = 1
        self._margin = margin
        self._rows: dict[str, AccountRow] = {}
        self._since = 0.0
        self._sweep_at = 0.0

    def __len__(self) -> int:
        """Returns the number of rows."""
        return len(self._rows)

    def restart(self, now: float) -> None:
        """Starts anew, with few tokens of each account."""
        self._since = now
        self._rows.clear()

    def set_accounts(
        self, now: float, accounts: Iterable[ClientAccount]
    ) -> None:
        """Sets the accounts; rows of removed ones remain until they are full.

        An account that is added again must not start with more than it left.
        """
        self.accounts = {account.name: account for account in accounts}
        for name, row in self._rows.items():
            row.bucket.update(now, self.part(row.account))
            account = self.accounts.get(name)
            if account is not None and account.is_limited:
                row.account = account
                row.bucket.cap(self.part(account).limit)

    def part(self, account: ClientAccount) -> Part:
        """Returns this member's part of a quota."""
        return self._margin.part(account, self.members)

    def find(self, name: str) -> AccountRow | None:
        """Returns the row of that name if there is one."""
        return self._rows.get(name)

    def get(self, now: float, account: ClientAccount) -> AccountRow:
        """Returns the row of an account, up to date; adds it if needed."""
        row = self._rows.get(account.name)
        part = self.part(account)
        if row is None:
            bucket = TokenBucket(self._idle_level(now, part), now)
            row = self._rows[account.name] = AccountRow(account, bucket)
        else:
            row.bucket.update(now, part)
        return row

    def _idle_level(self, now: float, part: Part) -> float:
        """Returns the level of an account not used since the start."""
        elapsed = max(0.0, now - self._since)
        return min(part.capacity, part.start + elapsed * part.rate)

    def next_wake(self) -> float | None:
        """Returns when the next sweep is due."""
        return self._sweep_at if self._rows else None

    def sweep(self, now: float) -> None:
        """Drops rows that are as full as those of accounts never used.

        Rows that remain go to the end, so that all are checked in turn.
        """
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_S
        for name in list(islice(self._rows, SWEEP_ROWS)):
            row = self._rows.pop(name)
            if not self._is_idle(now, row):
                self._rows[name] = row

    def _is_idle(self, now: float, row: AccountRow) -> bool:
        if row.is_open:
            return False
        part = self.part(row.account)
        row.bucket.update(now, part)
        full = part.capacity - EPSILON
        if row.bucket.level < full or self._idle_level(now, part) < full:
            return False
        # A surplus may be what a small account needs for its next request.
        fill_s = part.capacity / part.rate if part.rate else float("inf")
        return (
            row.bucket.level <= part.capacity + EPSILON
            or now - row.asked_at > max(SURPLUS_S, 2 * fill_s)
        )
