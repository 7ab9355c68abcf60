"""State of the query decider that its systems share."""

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
    """Totals for metrics and the bench; shards count once an attempt."""

    first_shards: int = 0
    retry_shards: int = 0
    hedge_shards: int = 0
    attempts: int = 0
    cancelled: int = 0
    late_answers: int = 0
    mismatches: int = 0
    joined: int = 0
    refused: int = 0
    displaced: int = 0
    restarts: int = 0


@attrs.define(eq=False)
class State:
    """Tables, clock, randomness and output of one tick.

    Attributes:
        home: data centre of this entry.
        out: messages that this tick sends.
        closing: True once the entry takes no new requests.
    """

    home: str
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

    def touch(self, service: ServiceRow) -> None:
        """Marks a service whose waiting queries should be looked at."""
        self.tables.dirty[service.rules.name] = service

    def count_attempt(self, kind: AttemptKind, shards: int) -> None:
        """Counts an attempt by why it was started."""
        self.counters.attempts += 1
        if kind is AttemptKind.FIRST:
            self.counters.first_shards += shards
        elif kind is AttemptKind.RETRY:
            self.counters.retry_shards += shards
        else:
            self.counters.hedge_shards += shards
