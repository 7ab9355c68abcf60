"""Subscribers to rows, and what they have received."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from greengagemoor.feed.messages import RowsTaken, Subscribe

ENTRY_RETENTION_S = 600.0
"""How long an entry counts for connection shares after its link closed."""


@attrs.define(eq=False, repr=False)
class _Subscriber:
    subscribe: Subscribe
    taken: int = 0
    stored: int = 0

    @property
    def is_entry(self) -> bool:
        return bool(self.subscribe.address)

    @property
    def takes_place(self) -> bool:
        # An entry of a release without places reports no capacity, and closes
        # a link on which it receives one.
        return self.is_entry and self.subscribe.capacity > 0


class Subscribers:
    """Entries and other control instances with a link to this one.

    Attributes:
        entries_version: increases when the set of recent entries changes.
    """

    def __init__(self):
        self._rows: dict[str, _Subscriber] = {}
        self._entries_seen: dict[str, float] = {}
        self.entries_version = 0
        self._restored_entries = 0
        self._restored_until = float("-inf")

    def __iter__(self) -> Iterator[str]:
        """Iterates over their names."""
        return iter(self._rows)

    def is_entry(self, name: str) -> bool:
        """Whether a process is a linked entry."""
        subscriber = self._rows.get(name)
        return subscriber is not None and subscriber.is_entry

    def takes_place(self, name: str) -> bool:
        """Whether a process is a linked entry that uses its place."""
        subscriber = self._rows.get(name)
        return subscriber is not None and subscriber.takes_place

    def put(self, now: float, name: str, msg: Subscribe) -> bool:
        """Adds a subscriber or updates its subscription.

        Returns:
            Whether it is new on this link and so needs all rows.
        """
        known = self._rows.get(name)
        if known is not None:
            known.subscribe = msg
            return False
        self._rows[name] = _Subscriber(msg)
        if msg.address:
            self.entries_version += name not in self._entries_seen
            self._entries_seen[name] = now
        return True

    def restore(self, now: float, entries: int) -> None:
        """Restores the number of entries from before a restart.

        After a power loss the first entry to return would otherwise count as
        the only one, and use the whole allowance of searchers and rules.
        """
        self._restored_entries = entries
        self._restored_until = now + ENTRY_RETENTION_S

    def drop(self, name: str) -> None:
        """Removes a subscriber whose link is closed."""
        self._rows.pop(name, None)

    def note_taken(self, name: str, msg: RowsTaken) -> None:
        """Records which rows a subscriber has received and stored."""
        subscriber = self._rows.get(name)
        if subscriber is not None:
            subscriber.taken = max(subscriber.taken, msg.number)
            subscriber.stored = max(subscriber.stored, msg.stored)

    def taken_by_all(self, number: int) -> int:
        """Returns the number of the rows that all have received.

        Args:
            number: number of the latest rows sent, returned if there are no
                subscribers.
        """
        return min(
            (subscriber.taken for subscriber in self._rows.values()),
            default=number,
        )

    def count_stored(self, names: Iterable[str], number: int) -> int:
        """Counts the named subscribers that have stored all rows so far."""
        found = (self._rows.get(name) for name in names)
        return sum(row is not None and row.stored >= number for row in found)

    def sweep(self, now: float) -> None:
        """Stops counting entries that have been without a link for too long."""
        for name, subscriber in self._rows.items():
            if subscriber.is_entry:
                self._entries_seen[name] = now
        recent = {
            name: seen
            for name, seen in self._entries_seen.items()
            if seen > now - ENTRY_RETENTION_S
        }
        self.entries_version += len(recent) != len(self._entries_seen)
        self._entries_seen = recent
        if now >= self._restored_until:
            self._restored_entries = 0

    @property
    def recent_entry_count(self) -> int:
        """Number of entries linked recently, including those gone since."""
        return max(len(self._entries_seen), self._restored_entries)

    def recent_entry_names(self) -> list[str]:
        """Returns the sorted names of the entries linked recently."""
        return sorted(self._entries_seen)

    def entries(self) -> list[Subscribe]:
        """Returns the linked entries."""
        rows = self._rows.values()
        return [
            subscriber.subscribe for subscriber in rows if subscriber.is_entry
        ]

    def ready(self) -> list[Subscribe]:
        """Returns the linked entries that take requests."""
        return [entry for entry in self.entries() if entry.ready]
