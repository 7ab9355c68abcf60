"""Subscribers to rows, and the acknowledgements that wait for them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.feed.messages import Subscribe

MAX_ACK_DELAY_S = 0.6
"""Longest delay of an acknowledgement; the announcing searcher waits 1 s."""
ENTRY_RETENTION_S = 600.0
"""How long an entry counts for connection shares after its link closed."""


@attrs.define(eq=False, repr=False)
class _Subscriber:
    subscribe: Subscribe
    taken: int = 0

    @property
    def is_entry(self) -> bool:
        return bool(self.subscribe.address)

    @property
    def takes_place(self) -> bool:
        # An entry of a release without places reports no capacity, and closes
        # a link on which it receives one.
        return self.is_entry and self.subscribe.capacity > 0


@values.frozen
class _PendingAck:
    token: object
    number: int
    until: float


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
        self._pending_acks: deque[_PendingAck] = deque()

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

    def note_taken(self, name: str, number: int) -> None:
        """Records that a subscriber has received all rows up to a number."""
        subscriber = self._rows.get(name)
        if subscriber is not None:
            subscriber.taken = max(subscriber.taken, number)

    def delay_acknowledgement(
        self, now: float, token: object, number: int
    ) -> None:
        """Delays an acknowledgement until all subscribers have a number.

        A draining searcher stops serving some seconds after the
        acknowledgement. An entry that had not received the change by then
        would still send to it.
        """
        self._pending_acks.append(
            _PendingAck(token, number, now + MAX_ACK_DELAY_S)
        )

    def due_acknowledgements(self, now: float, number: int) -> list[object]:
        """Returns the tokens of the acknowledgements that are due.

        Args:
            now: seconds.
            number: number of the latest rows sent.
        """
        taken = min(
            (subscriber.taken for subscriber in self._rows.values()),
            default=number,
        )
        tokens = []
        while self._pending_acks:
            first = self._pending_acks[0]
            if first.number > taken and now < first.until:
                break
            tokens.append(self._pending_acks.popleft().token)
        return tokens

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
    def next_release(self) -> float | None:
        """Latest time of the first pending acknowledgement; None if none."""
        return self._pending_acks[0].until if self._pending_acks else None

    @property
    def held(self) -> int:
        """Number of pending acknowledgements."""
        return len(self._pending_acks)

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
