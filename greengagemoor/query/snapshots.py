"""Selects the index version of a query; tracks the holders of shards."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from greengagemoor.backends import ServerState
from greengagemoor.query.tables import Snapshot

if TYPE_CHECKING:
    from greengagemoor.query.tables import Query, Searcher, ServiceRow


def add_holder(service: ServiceRow, searcher: Searcher) -> None:
    """Adds a searcher's versions, and its shards if it is ready."""
    ready = searcher.info.state is ServerState.READY and searcher.share > 0
    for held in searcher.info.versions:
        snapshot = service.snapshots.setdefault(
            held.version, Snapshot(held.version)
        )
        # The shard count is recorded for a searcher in any state: a shard whose
        # last holder drains must still be counted as missing.
        snapshot.shard_counts[held.shard_count] += 1
        for shard in held.shards if ready else ():
            holders = snapshot.holders.setdefault(shard, {})
            holders[searcher.info.name] = searcher


def remove_holder(service: ServiceRow, searcher: Searcher) -> None:
    """Removes everything that ``add_holder`` added for this searcher."""
    for held in searcher.info.versions:
        snapshot = service.snapshots.get(held.version)
        if snapshot is None:
            continue
        snapshot.shard_counts[held.shard_count] -= 1
        if snapshot.shard_counts[held.shard_count] <= 0:
            del snapshot.shard_counts[held.shard_count]
        _remove_shards(snapshot, held.shards, searcher.info.name)
        if not snapshot.shard_counts:
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
    service: ServiceRow, least_coverage: float, min_version: int
) -> Snapshot | None:
    """Returns the snapshot for a new query, None if none has a holder.

    The newest version with at least ``least_coverage`` is preferred, else the
    one with the most coverage. A version below ``min_version`` is never
    selected, so that a caller that sends the last version it saw does not get
    an older one. Nor is a version whose searchers announce different shard
    counts, since its coverage is not known.
    """
    usable = [
        snapshot
        for snapshot in service.snapshots.values()
        if snapshot.holders
        and not snapshot.in_conflict
        and snapshot.version >= min_version
    ]
    sufficient = [s for s in usable if s.coverage >= least_coverage]
    if sufficient:
        return max(sufficient, key=lambda s: s.version)
    return max(usable, key=lambda s: (s.coverage, s.version), default=None)


def shards_for(snapshot: Snapshot, key: str | None) -> tuple[int, ...]:
    """Returns the shards that a request needs: the key's shard, or all."""
    if key is None:
        return tuple(range(snapshot.shard_count))
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return (int.from_bytes(digest) % snapshot.shard_count,)


def pin_snapshot(query: Query) -> bool:
    """Pins a query to a snapshot; False when none has a holder."""
    min_version = query.request.least_snapshot
    coverage = query.request_class_rules.least_coverage
    snapshot = pick_snapshot(query.service, coverage, min_version)
    if snapshot is None:
        return False
    query.snapshot = snapshot.version
    query.shard_count = snapshot.shard_count
    query.needed = shards_for(snapshot, query.request.key)
    return True
