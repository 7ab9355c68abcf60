"""Distribution of suspect requests by a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.control.messages import Send
from greengagemoor.feed.messages import StandingChanged, Suspect, SuspectRows
from greengagemoor.feed.suspects import (
    Standing,
    SuspectTable,
    cleared,
    standing_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.subscribers import Subscribers

ENFORCED_STANDINGS = (Standing.SUSPECT, Standing.QUARANTINED)
"""Standings whose rows are sent on a new link between an entry and a control
instance. Watched requests are omitted: a crash of many searchers leaves
thousands of them, and all entries may link at the same time."""


class SuspectDistributor:
    """Merges rows from entries and other control instances and forwards them.

    Each entry sees few searchers terminate during one request; only the sum
    over all entries is conclusive. Each entry sends its rows to all linked
    control instances, and each of these forwards them to all entries, so one
    working control instance is sufficient.
    """

    def __init__(self, subscribers: Subscribers):
        """Creates an empty table.

        Args:
            subscribers: the processes that rows are sent to.
        """
        self.table = SuspectTable()
        self._subscribers = subscribers

    def rows_to_store(self) -> SuspectRows:
        """Returns the rows to store for a restart of this instance."""
        return SuspectRows(self.table.rows(*Standing))

    def restore(self, rows: Iterable[Suspect]) -> None:
        """Restores rows that were stored before a restart."""
        for row in rows:
            self.table.join(row)

    def merge(self, sender: str, rows: Iterable[Suspect]) -> list:
        """Merges rows; returns the resulting messages."""
        changed = []
        out: list = []
        for row in rows:
            before = self.table.standing(row.fingerprint)
            joined = self.table.join(row)
            if joined is None:
                continue
            changed.append(joined)
            if standing_of(joined) is not before:
                out.append(StandingChanged(joined))
        return [*out, *self._forward(sender, changed)]

    def clear(self, fingerprint: bytes) -> list:
        """Clears a request for an operator; returns the resulting messages."""
        row = self.table.get(fingerprint)
        if row is None:
            return []
        return self.merge("", (cleared(row),))

    def rows_message(self, name: str, *, is_entry: bool) -> list[Send]:
        """Returns the messages to a new subscriber.

        An entry needs no watched requests. Another control instance needs all
        rows, as it may have lost its disk.
        """
        return rows_message(
            self.table, name, ENFORCED_STANDINGS if is_entry else Standing
        )

    def _forward(self, sender: str, changed: list[Suspect]) -> list[Send]:
        if not changed:
            return []
        relevant = tuple(row for row in changed if _is_relevant_to_entries(row))
        out = []
        for name in self._subscribers:
            is_entry = self._subscribers.is_entry(name)
            rows = relevant if is_entry else tuple(changed)
            if rows and name != sender:
                out.append(Send(name, SuspectRows(rows)))
        return out


def rows_message(
    table: SuspectTable,
    name: str,
    standings: Iterable[Standing] = ENFORCED_STANDINGS,
) -> list[Send]:
    """Returns the message that sends the rows of a table to a process."""
    rows = table.rows(*standings)
    return [Send(name, SuspectRows(rows))] if rows else []


def _is_relevant_to_entries(row: Suspect) -> bool:
    """Whether entries hold the request back, or did before it was cleared."""
    return standing_of(row) is not Standing.WATCHED or row.epoch > 0
