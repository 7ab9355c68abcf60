"""In-memory tail of the replicated log, after the snapshot."""

from __future__ import annotations

import itertools
from itertools import dropwhile
from typing import TYPE_CHECKING

from greengagemoor.control.commands import (
    ApplyDocument,
    ChangeMembers,
    LogEntry,
    PutDocument,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.commands import Member

MAX_ENTRIES_PER_APPEND = 256
MAX_APPEND_BYTES = 2_097_152
"""Bound on the documents in one append, whose frame has a bound as well: a
member that lags by many large documents could never receive them at once."""


class Log:
    """Entries from ``first_index`` on; a snapshot covers earlier ones."""

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        base_members: tuple[Member, ...] = (),
    ):
        self._base_index = base_index
        self._base_term = base_term
        self._base_members = base_members
        self._entries: list[LogEntry] = []

    @property
    def first_index(self) -> int:
        """Index of the first entry kept."""
        return self._base_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at ``index``, None if it is trimmed or absent."""
        if index == self._base_index:
            return self._base_term
        if not self.first_index <= index <= self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def get(self, index: int) -> LogEntry:
        """Returns the entry at ``index``; it must be kept."""
        return self._entries[index - self.first_index]

    def slice(self, start: int, limit: int) -> tuple[LogEntry, ...]:
        """Returns up to ``limit`` entries from index ``start`` on."""
        offset = start - self.first_index
        return tuple(self._entries[offset : offset + limit])

    def slice_for_append(self, start: int) -> tuple[LogEntry, ...]:
        """Returns the entries from ``start`` on that one append carries.

        They are at least one, if there is any, at most
        ``MAX_ENTRIES_PER_APPEND``, and together not above
        ``MAX_APPEND_BYTES`` unless a single one is.
        """
        entries = self.slice(start, MAX_ENTRIES_PER_APPEND)
        sizes = itertools.accumulate(_document_size(e) for e in entries)
        fitting = sum(size <= MAX_APPEND_BYTES for size in sizes)
        return entries[: max(1, fitting)]

    def append(self, entry: LogEntry) -> None:
        """Adds the next entry."""
        self._entries.append(entry)

    def merge(self, entries: Iterable[LogEntry]) -> tuple[LogEntry, ...]:
        """Adds a leader's entries; returns those that were new.

        An entry that conflicts with a stored one replaces it and all later
        ones.
        """
        kept = [e for e in entries if e.index >= self.first_index]
        new = list(dropwhile(lambda e: self.term_at(e.index) == e.term, kept))
        if new:
            del self._entries[new[0].index - self.first_index :]
            self._entries.extend(new)
        return tuple(new)

    def trim(self, index: int) -> None:
        """Discards entries up to ``index``, which a snapshot now covers."""
        if index <= self._base_index:
            return
        term = self.term_at(index)
        members = self.members_at(index)
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term or 0
        self._base_members = members

    def members_at(self, index: int) -> tuple[Member, ...]:
        """Returns the member list in effect after ``index``."""
        kept = self._entries[: max(0, index - self._base_index)]
        for entry in reversed(kept):
            if isinstance(entry.command, ChangeMembers):
                return entry.command.members
        return self._base_members

    def last_members_index(self) -> int:
        """Returns the index of the newest member change kept, or the base."""
        return next(
            (
                entry.index
                for entry in reversed(self._entries)
                if isinstance(entry.command, ChangeMembers)
            ),
            self._base_index,
        )


def _document_size(entry: LogEntry) -> int:
    """Returns the bytes of an entry's document, 0 if it has none."""
    command = entry.command
    if isinstance(command, PutDocument):
        return len(command.packed)
    if isinstance(command, ApplyDocument):
        return len(command.text.encode())
    return 0
