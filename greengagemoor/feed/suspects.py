"""Requests during which searchers terminated, merged over processes."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from greengagemoor.feed.messages import Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.feed.messages import SearcherKey

SUSPECT_THRESHOLD = 3
"""Terminated searchers that make a request suspect. One or two may terminate
during any request by chance; each further one costs callers a replica of a
shard for some seconds."""
QUARANTINE_THRESHOLD = 2
"""Trials with a terminated searcher that quarantine a request, where each
termination may have had another cause."""


class Standing(enum.Enum):
    """Classification of a request."""

    WATCHED = "watched"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


MAX_ROWS = {
    Standing.WATCHED: 2048,
    Standing.SUSPECT: 1024,
    Standing.QUARANTINED: 4096,
}
"""Most rows per standing, at some 300 bytes each. A crash of many searchers
briefly makes thousands of harmless requests watched; these take no space from
the quarantined ones."""


def standing_of(row: Suspect) -> Standing:
    """Returns the standing that follows from a row."""
    if row.sure or len(row.failed) >= QUARANTINE_THRESHOLD:
        return Standing.QUARANTINED
    if len(row.ended) >= SUSPECT_THRESHOLD:
        return Standing.SUSPECT
    return Standing.WATCHED


def join(one: Suspect, other: Suspect) -> Suspect:
    """Merges two rows of one request.

    The merge is commutative, associative and idempotent, so rows may arrive
    by any path, late and repeatedly, and processes need no agreement. A row of
    a higher epoch supersedes those from before the request was cleared.
    """
    if one.epoch != other.epoch:
        return one if one.epoch > other.epoch else other
    return attrs.evolve(
        one,
        ended=_bounded_union(SUSPECT_THRESHOLD, one.ended, other.ended),
        failed=_bounded_union(QUARANTINE_THRESHOLD, one.failed, other.failed),
        sure=one.sure or other.sure,
        route=max(one.route, other.route),
    )


def _bounded_union(
    limit: int, one: Iterable[SearcherKey], other: Iterable[SearcherKey]
) -> tuple[SearcherKey, ...]:
    """Returns the first ``limit`` keys of the union, in a fixed order."""
    union = {*one, *other}
    return tuple(sorted(union, key=lambda k: (k.searcher_id, k.start))[:limit])


class SuspectTable:
    """Rows by fingerprint, bounded per standing.

    If a standing is full, its oldest row is evicted. If the quarantine is full,
    new rows are rejected instead, so that a flood of requests cannot evict a
    quarantined one.

    Attributes:
        changes: number of changes of rows; 0 while no searcher has terminated.
    """

    def __init__(self):
        self.changes = 0
        self._rows: dict[Standing, dict[bytes, Suspect]] = {
            standing: {} for standing in Standing
        }

    def __len__(self) -> int:
        return sum(len(rows) for rows in self._rows.values())

    def get(self, fingerprint: bytes) -> Suspect | None:
        """Returns the row of a request; None if it has none."""
        found = (rows.get(fingerprint) for rows in self._rows.values())
        return next((row for row in found if row is not None), None)

    def standing(self, fingerprint: bytes) -> Standing:
        """Returns the standing of a request."""
        if not self.changes:
            return Standing.WATCHED
        for standing, rows in self._rows.items():
            if fingerprint in rows:
                return standing
        return Standing.WATCHED

    def join(self, row: Suspect) -> Suspect | None:
        """Merges a row.

        Returns:
            The resulting row; None if nothing changed or there is no room.
        """
        known = self.get(row.fingerprint)
        joined = row if known is None else join(known, row)
        if joined == known:
            return None
        standing = standing_of(joined)
        if not self._has_room(standing, row.fingerprint):
            return None
        self.drop(row.fingerprint)
        self._rows[standing][row.fingerprint] = joined
        self.changes += 1
        return joined

    def _has_room(self, standing: Standing, fingerprint: bytes) -> bool:
        rows = self._rows[standing]
        if fingerprint in rows or len(rows) < MAX_ROWS[standing]:
            return True
        if standing is Standing.QUARANTINED:
            return False
        del rows[next(iter(rows))]
        return True

    def drop(self, fingerprint: bytes) -> None:
        """Removes a row here; unlike clearing it, this affects no others."""
        for rows in self._rows.values():
            rows.pop(fingerprint, None)

    def rows(self, *standings: Standing) -> tuple[Suspect, ...]:
        """Returns all rows of the given standings."""
        return tuple(
            row
            for standing in standings
            for row in self._rows[standing].values()
        )

    def counts(self) -> dict[str, float]:
        """Returns the number of rows per standing, for metrics."""
        return {
            f"requests_{standing.value}": len(rows)
            for standing, rows in self._rows.items()
        }


def cleared(row: Suspect) -> Suspect:
    """Returns the row of a request after clearing it."""
    return attrs.evolve(
        row, epoch=row.epoch + 1, ended=(), failed=(), sure=False
    )
