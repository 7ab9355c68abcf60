"""State shared by the modules of the query decider."""

from __future__ import annotations

import random
from itertools import count
from typing import TYPE_CHECKING

import attrs

from greengagemoor.query.tables import AttemptKind, ServiceRow, Tables

if TYPE_CHECKING:
    from greengagemoor.document import Document


@attrs.define
class Counters:
    """Totals; a shard counts once per attempt that asks for it."""

    first_shards: int = 0
    retry_shards: int = 0
    hedge_shards: int = 0
    attempts: int = 0
    cancelled: int = 0
    late_answers: int = 0
    mismatches: int = 0
    joined: int = 0
    refused: int = 0
    displaced_queries: int = 0
    restarts: int = 0


@attrs.define(eq=False)
class State:
    """Tables, clock, random source and output of the query decider.

    Attributes:
        data_centre: data centre of this entry instance.
        out: messages that this tick sends.
        closing: True once new requests are rejected.
    """

    data_centre: str
    rng: random.Random
    tables: Tables = attrs.field(factory=Tables)
    counters: Counters = attrs.field(factory=Counters)
    document: Document | None = None
    document_version: int = 0
    now: float = 0.0
    out: list = attrs.field(factory=list)
    closing: bool = False
    control_ready: bool = False
    _attempt_ids: count = attrs.field(factory=lambda: count(1))
    _query_ids: count = attrs.field(factory=lambda: count(1))

    def next_attempt_id(self) -> int:
        """Returns an id that this process has not used."""
        return next(self._attempt_ids)

    def next_query_id(self) -> int:
        """Returns an id that this process has not used."""
        return next(self._query_ids)

    def mark_dirty(self, service: ServiceRow) -> None:
        """Marks a service for placement of its waiting queries."""
        self.tables.dirty[service.settings.name] = service

    def count_attempt(self, kind: AttemptKind, shards: int) -> None:
        """Counts an attempt and its shards by the kind of the attempt."""
        self.counters.attempts += 1
        if kind is AttemptKind.FIRST:
            self.counters.first_shards += shards
        elif kind is AttemptKind.RETRY:
            self.counters.retry_shards += shards
        else:
            self.counters.hedge_shards += shards
