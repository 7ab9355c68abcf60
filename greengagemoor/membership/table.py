"""The table of rows, with digests that are updated as rows change."""

from __future__ import annotations

import struct
from functools import lru_cache
from itertools import takewhile
from typing import TYPE_CHECKING

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.membership.rows import (
    InstanceRow,
    ServerRow,
    hash64,
)
from greengagemoor.util import json_conversion

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.membership.rows import Row

BUCKET_COUNT = 256
_BUCKET_DIGEST_MASK = 0xFFFFFFFF


class Table:
    """All rows of instances and backend servers.

    Digests cover live rows only. Gone rows are kept to reject older ones, and
    each instance removes them in its own time without digests that differ.

    Attributes:
        watched_by: keys of the servers that announce to an instance, by its
            name.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.buckets: list[dict[str, Row]] = [{} for _ in range(BUCKET_COUNT)]
        self.gone_since: dict[str, float] = {}
        self.live_instances: dict[str, InstanceRow] = {}
        self.by_data_centre: dict[str, dict[str, InstanceRow]] = {}
        self.by_role: dict[str, dict[str, InstanceRow]] = {}
        self.watched_by: dict[str, set[str]] = {}
        self.by_service: dict[str, dict[str, ServerRow]] = {}
        self._digests = [0] * BUCKET_COUNT
        self.root = 0

    def merge(self, row: Row, now: float) -> Row | None:
        """Merges a row if it is newer; returns the row kept, or None."""
        kept = self.rows.get(row.key)
        if kept is None and row.is_gone:
            return None
        if kept is not None:
            row = _keep_draining(kept, row)
            if not _is_newer(row, kept):
                return None
            self._unlink(kept)
        self._link(row, now)
        return row

    def _link(self, row: Row, now: float) -> None:
        self.rows[row.key] = row
        if row.is_gone:
            self.gone_since[row.key] = now
        else:
            self.gone_since.pop(row.key, None)
            self._toggle_digest(row)
            self.buckets[bucket_of(row.key)][row.key] = row
            self._index(row)

    def _index(self, row: Row) -> None:
        if isinstance(row, InstanceRow):
            self.live_instances[row.name] = row
            for index in self._instance_indexes(row):
                index[row.name] = row
            return
        self.by_service.setdefault(row.server.service, {})[row.key] = row
        for watcher in row.server.announced_to:
            self.watched_by.setdefault(watcher, set()).add(row.key)

    def _unlink(self, row: Row) -> None:
        if row.is_gone:
            return
        self._toggle_digest(row)
        del self.buckets[bucket_of(row.key)][row.key]
        if isinstance(row, InstanceRow):
            del self.live_instances[row.name]
            for index in self._instance_indexes(row):
                del index[row.name]
            return
        del self.by_service[row.server.service][row.key]
        for watcher in row.server.announced_to:
            self.watched_by[watcher].discard(row.key)

    def _instance_indexes(
        self, row: InstanceRow
    ) -> Iterator[dict[str, InstanceRow]]:
        yield self.by_data_centre.setdefault(row.data_centre, {})
        for role in row.roles:
            yield self.by_role.setdefault(role, {})

    def _toggle_digest(self, row: Row) -> None:
        digest = hash64(f"{row.key}{row.order}")
        index = bucket_of(row.key)
        self._digests[index] ^= digest & _BUCKET_DIGEST_MASK
        self.root ^= digest

    def remove_tombstones(self, before: float) -> list[str]:
        """Removes rows gone since before a time; returns their keys."""
        # Rows are inserted when they become gone, so the oldest come first.
        old = [
            key
            for key, _ in takewhile(
                lambda item: item[1] < before, self.gone_since.items()
            )
        ]
        for key in old:
            del self.gone_since[key]
            del self.rows[key]
        return old

    def pack_digests(self) -> bytes:
        """Returns the digests of all buckets, four bytes each."""
        return struct.pack(f">{BUCKET_COUNT}I", *self._digests)

    def differing_buckets(self, packed: bytes) -> list[int]:
        """Returns the buckets whose digests differ from a packed list."""
        if len(packed) != 4 * BUCKET_COUNT:
            return []
        other = struct.unpack(f">{BUCKET_COUNT}I", packed)
        return [
            index
            for index, (mine, theirs) in enumerate(
                zip(self._digests, other, strict=True)
            )
            if mine != theirs
        ]

    def servers_of(self, service: str) -> Iterator[ServerRow]:
        """Yields the live rows of one service."""
        yield from self.by_service.get(service, {}).values()


@lru_cache(maxsize=65536)
def bucket_of(key: str) -> int:
    """Returns the bucket that a key falls in."""
    return hash64(key) % BUCKET_COUNT


def _is_newer(row: Row, kept: Row) -> bool:
    if row.order != kept.order:
        return row.order > kept.order
    # Two contents at one order come from a fault at the source; all instances
    # must keep the same one, or their tables never become equal.
    return row != kept and _content_hash(row) > _content_hash(kept)


def _content_hash(row: Row) -> int:
    return hash64(json_conversion.encode_json(row))


def _keep_draining(kept: Row, row: Row) -> Row:
    """Keeps a draining server draining within its incarnation.

    An announcement of ready may overtake the one of draining, or come from a
    part of the server that does not yet drain; new work would then reach the
    server again.
    """
    if not isinstance(kept, ServerRow):
        return row
    is_draining = kept.server.state is ServerState.DRAINING
    same_incarnation = kept.server.incarnation == row.server.incarnation
    before_drain = row.server.state in (ServerState.READY, ServerState.WARMING)
    if is_draining and same_incarnation and before_drain:
        server = attrs.evolve(row.server, state=ServerState.DRAINING)
        return attrs.evolve(row, server=server)
    return row
