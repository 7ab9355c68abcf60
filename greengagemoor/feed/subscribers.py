"""Processes that asked for rows, and acknowledgements that wait for them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.feed.messages import Subscribe

HOLD_S = 0.6
"""Longest wait of an acknowledgement for the entries; callers wait 1 s."""
ENTRY_SEEN_S = 600.0
"""How long an entry counts for connection shares after it was last heard."""


@attrs.define(eq=False, repr=False)
class _Subscriber:
    subscribe: Subscribe
    taken: int = 0

    @property
    def is_entry(self) -> bool:
        return bool(self.subscribe.address)


@values.frozen
class _Waiting:
    token: object
    number: int
    until: float


class Subscribers:
    """Entries and other control instances with a link to this one."""

    def __init__(self):
        self._rows: dict[str, _Subscriber] = {}
        self._entries_seen: dict[str, float] = {}
        self._kept_entries = 0
        self._kept_until = float("-inf")
        self._waiting: deque[_Waiting] = deque()
        self._turn = 0

    def __iter__(self) -> Iterator[str]:
        """Goes through their names."""
        return iter(self._rows)

    def is_entry(self, name: str) -> bool:
        """Whether a process is an entry that is linked."""
        one = self._rows.get(name)
        return one is not None and one.is_entry

    def put(self, now: float, name: str, msg: Subscribe) -> bool:
        """Adds a process, or takes in what it says anew.

        Returns:
            Whether it is new on this link, so that it needs all rows.
        """
        known = self._rows.get(name)
        if known is not None:
            known.subscribe = msg
            return False
        self._rows[name] = _Subscriber(msg)
        if msg.address:
            self._entries_seen[name] = now
        return True

    def begin_with(self, now: float, entries: int) -> None:
        """Takes in how many entries there were before a restart.

        After a loss of power the first entry to come back would be told that
        it is alone, and take all that searchers and rules allow to all.
        """
        self._kept_entries = entries
        self._kept_until = now + ENTRY_SEEN_S

    def drop(self, name: str) -> None:
        """Forgets a process whose link is gone."""
        self._rows.pop(name, None)

    def note_taken(self, name: str, number: int) -> None:
        """Notes that a process has taken in all rows up to a number."""
        one = self._rows.get(name)
        if one is not None:
            one.taken = max(one.taken, number)

    def hold(self, now: float, token: object, number: int) -> None:
        """Holds an acknowledgement until all have taken in a number.

        A searcher that drains stops serving some seconds after the
        acknowledgement. If that outran the change, entries would go on
        sending to it.
        """
        self._waiting.append(_Waiting(token, number, now + HOLD_S))

    def release(self, now: float, number: int) -> list[object]:
        """Returns the tokens of what may be acknowledged now.

        Args:
            now: seconds.
            number: of the latest rows that were sent.
        """
        taken = min((one.taken for one in self._rows.values()), default=number)
        tokens = []
        while self._waiting:
            first = self._waiting[0]
            if first.number > taken and now < first.until:
                break
            tokens.append(self._waiting.popleft().token)
        return tokens

    def sweep(self, now: float) -> None:
        """Forgets entries that were not linked for long."""
        for name, one in self._rows.items():
            if one.is_entry:
                self._entries_seen[name] = now
        self._entries_seen = {
            name: seen
            for name, seen in self._entries_seen.items()
            if seen > now - ENTRY_SEEN_S
        }
        if now >= self._kept_until:
            self._kept_entries = 0

    @property
    def next_release(self) -> float | None:
        """Latest time of the first acknowledgement; None if none waits."""
        return self._waiting[0].until if self._waiting else None

    @property
    def held(self) -> int:
        """How many acknowledgements wait."""
        return len(self._waiting)

    @property
    def entries_seen(self) -> int:
        """How many entries were heard lately, gone ones included."""
        return max(len(self._entries_seen), self._kept_entries)

    def entries(self) -> list[Subscribe]:
        """Returns the entries that are linked."""
        rows = self._rows.values()
        return [one.subscribe for one in rows if one.is_entry]

    def ready(self) -> list[Subscribe]:
        """Returns the linked entries that take requests."""
        return [one for one in self.entries() if one.ready]

    def ready_in_turn(self) -> list[Subscribe]:
        """Returns the linked entries that take requests.

        Each time another one comes first: an answer may name a part only, and
        the last entries would otherwise never get a caller.
        """
        entries = self.ready()
        if not entries:
            return []
        self._turn = (self._turn + 1) % len(entries)
        return entries[self._turn :] + entries[: self._turn]
