"""Which index version a query is pinned to, and what holds it."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from greengagemoor.backends import ServerState
from greengagemoor.query.tables import Snapshot

if TYPE_CHECKING:
    from greengagemoor.query.tables import Query, Searcher, ServiceRow


def add_holder(service: ServiceRow, searcher: Searcher) -> None:
    """Enters what a searcher holds; only a ready one holds shards."""
    ready = searcher.info.state is ServerState.READY and searcher.share > 0
    for held in searcher.info.versions:
        snapshot = service.snapshots.setdefault(
            held.version, Snapshot(held.version)
        )
        # The count is entered for a searcher in any state: a shard whose last
        # holder drains must still be counted as missing.
        snapshot.counts[held.shard_count] += 1
        for shard in held.shards if ready else ():
            holders = snapshot.holders.setdefault(shard, {})
            holders[searcher.info.name] = searcher


def remove_holder(service: ServiceRow, searcher: Searcher) -> None:
    """Takes out all that ``add_holder`` entered for this searcher."""
    for held in searcher.info.versions:
        snapshot = service.snapshots.get(held.version)
        if snapshot is None:
            continue
        snapshot.counts[held.shard_count] -= 1
        if snapshot.counts[held.shard_count] <= 0:
            del snapshot.counts[held.shard_count]
        _remove_shards(snapshot, held.shards, searcher.info.name)
        if not snapshot.counts:
            del service.snapshots[held.version]


def _remove_shards(
    snapshot: Snapshot, shards: tuple[int, ...], name: str
) -> None:
    for shard in shards:
        holders = snapshot.holders.get(shard, {})
        holders.pop(name, None)
        if not holders:
            snapshot.holders.pop(shard, None)


def pick_snapshot(
    service: ServiceRow, least_coverage: float, floor: int
) -> Snapshot | None:
    """Returns the snapshot for a new query, None if none has a holder.

    Order of preference: meets the coverage rule, then newest; without any
    that meets the rule, the one with most coverage. A version below the
    caller's floor is never picked, so that a caller who names what it last
    saw does not go back. A version whose searchers claim different shard
    counts is never picked, since its coverage could not be told truly.
    """
    usable = [
        snapshot
        for snapshot in service.snapshots.values()
        if snapshot.holders
        and not snapshot.in_conflict
        and snapshot.version >= floor
    ]
    meeting = [s for s in usable if s.coverage >= least_coverage]
    if meeting:
        return max(meeting, key=lambda s: s.version)
    return max(usable, key=lambda s: (s.coverage, s.version), default=None)


def shards_for(snapshot: Snapshot, key: str | None) -> tuple[int, ...]:
    """Returns the shards a request needs: the key's one, or all."""
    if key is None:
        return tuple(range(snapshot.shard_count))
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return (int.from_bytes(digest) % snapshot.shard_count,)


def pin(query: Query) -> bool:
    """Pins a query to a snapshot; False when none has a holder."""
    floor = query.request.least_snapshot
    least = query.cls.least_coverage
    snapshot = pick_snapshot(query.service, least, floor)
    if snapshot is None:
        return False
    query.snapshot = snapshot.version
    query.shard_count = snapshot.shard_count
    query.needed = shards_for(snapshot, query.request.key)
    return True
