"""Numbers of refused requests, by account."""

from __future__ import annotations

from greengagemoor.util.labels import escape_label

MAX_ACCOUNTS = 24
"""Accounts with a count of their own; a document may have 100,000."""
OTHER_ACCOUNTS = "others"


class RefusalCounts:
    """Counts of the accounts refused most; the others share one count."""

    def __init__(self):
        self._counts: dict[str, int] = {}
        self._others = 0

    def note(self, account: str, recent: int) -> None:
        """Counts a refusal.

        Args:
            account: name of the account.
            recent: refusals of the account since it was last idle here. It gets
                its own count once it exceeds the lowest one, which joins the
                others.
        """
        if account in self._counts or len(self._counts) < MAX_ACCOUNTS:
            self._counts[account] = self._counts.get(account, 0) + 1
            return
        self._others += 1
        lowest = min(self._counts, key=self._counts.__getitem__)
        if recent > self._counts[lowest]:
            self._others += self._counts.pop(lowest) - recent
            self._counts[account] = recent

    def gauges(self) -> dict[str, int]:
        """Returns the counts, by name with label."""
        counts = {**self._counts}
        if self._others:
            counts[OTHER_ACCOUNTS] = counts.get(OTHER_ACCOUNTS, 0)
            counts[OTHER_ACCOUNTS] += self._others
        return {
            f'quota_refusals_total{{account="{escape_label(name)}"}}': number
            for name, number in counts.items()
        }
