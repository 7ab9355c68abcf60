"""State that the modules of the membership decider share."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.messages import Send
from greengagemoor.membership.messages import Freshness
from greengagemoor.membership.rows import InstanceRow, InstanceState
from greengagemoor.membership.table import Table

if TYPE_CHECKING:
    from greengagemoor.document import AllowedServer, Document
    from greengagemoor.membership.rows import Row
    from greengagemoor.query.messages import ServerChanged


@attrs.frozen
class Timing:
    """Intervals in seconds.

    Attributes:
        interval: length of a round; failure detection scales with it.
        addresses_valid: how long callers may use the addresses received.
        control_silent: time without a confirmation by the control group after
            which control is not ready.
        tombstone: how long the rows of gone instances and servers are kept.
    """

    interval: float = 0.5
    addresses_valid: float = 5.0
    control_silent: float = 5.0
    tombstone: float = 10_800.0


@attrs.define
class PendingProbe:
    """An unanswered probe."""

    target: str
    sent_at: float
    relayed: bool = False


@attrs.define
class WatchedServer:
    """A backend server whose renewals this instance monitors.

    Attributes:
        heard_at: time from which its silence counts.
        renewal: newest one received; kept after a loss, so that a copy of an
            old announcement does not bring the server back.
        timed: whether a timer is set; a lost server has none.
        asked_at: time at which the other watchers were asked, or None.
    """

    heard_at: float
    renewal: int = -1
    timed: bool = False
    asked_at: float | None = None


@attrs.define
class Counters:
    """Totals for metrics and cost measurements."""

    rounds: int = 0
    compared: int = 0
    rows_taken: int = 0
    refused: int = 0
    silent: int = 0


@attrs.define(eq=False)
class State:
    """Table, clock, random generator and output of one tick.

    Attributes:
        hot: keys of changed rows, each with the number of its sends so far.
        changed: rows that changed in this tick.
        targets: peers still to probe in the current cycle.
        look_at: peers to probe in the next rounds, near a suspect.
        suspects: for each suspect, the time at which it is marked as gone.
        wards: servers that this instance watches, by key.
        orphans: for each server without live watchers, the time to hide it.
        hidden: keys of servers that are hidden from this instance's queries.
        read_version: version that a quorum confirmed since the start.
        shown: what the query decider was last notified of, by key.
    """

    me: InstanceRow
    seeds: dict[str, str]
    rng: random.Random
    timing: Timing = attrs.field(factory=Timing)
    table: Table = attrs.field(factory=Table)
    now: float = 0.0
    out: list = attrs.field(factory=list)
    counters: Counters = attrs.field(factory=Counters)
    # Anti-entropy.
    hot: dict[str, int] = attrs.field(factory=dict)
    changed: list[Row] = attrs.field(factory=list)
    round_at: float = 0.0
    probes: dict[int, PendingProbe] = attrs.field(factory=dict)
    next_probe: int = 1
    targets: list[str] = attrs.field(factory=list)
    differing_rounds: int = 0
    caught_up: bool = False
    awaits_last_rows: bool = False
    # Liveness.
    look_at: list[str] = attrs.field(factory=list)
    suspects: dict[str, float] = attrs.field(factory=dict)
    wards: dict[str, WatchedServer] = attrs.field(factory=dict)
    orphans: dict[str, float] = attrs.field(factory=dict)
    hidden: set[str] = attrs.field(factory=set)
    ward_timers: list[tuple[float, str]] = attrs.field(factory=list)
    # Document.
    document: Document | None = None
    document_version: int = 0
    packed_document: bytes = b""
    read_version: int = -1
    read_at: float = float("-inf")
    may_hold_shares: bool = False
    allowed: dict[str, dict[str, AllowedServer]] = attrs.field(factory=dict)
    fresh: Freshness = attrs.field(factory=Freshness)
    fresh_at: float = float("-inf")
    control_ready: bool = False
    asked_document_at: float = float("-inf")
    shown: dict[str, ServerChanged] = attrs.field(factory=dict)
    leaving: bool = False
    overloaded: bool = False

    @property
    def confirmed(self) -> bool:
        """Whether this instance has caught up with a quorum since its start."""
        return 0 <= self.read_version <= self.document_version

    def send(self, name: str, payload: object) -> None:
        """Sends to another instance."""
        row = self.table.rows.get(f"i:{name}")
        address = row.peer_address if isinstance(row, InstanceRow) else ""
        self.out.append(
            Send(name, payload, address or self.seeds.get(name, ""))
        )

    def merge_row(self, row: Row) -> Row | None:
        """Merges a row; the next probes carry it if it is a change."""
        kept = self.table.merge(row, self.now)
        if kept is not None:
            self.counters.rows_taken += 1
            self.hot[kept.key] = 0
            self.changed.append(kept)
        return kept

    def update_own_row(self, **changes) -> None:
        """Changes the own row; the next probes carry it."""
        self.me = attrs.evolve(
            self.me, sequence=self.me.sequence + 1, **changes
        )
        self.merge_row(self.me)

    @property
    def announced_state(self) -> InstanceState:
        """The state that this instance should announce now."""
        if self.leaving:
            return InstanceState.LEAVING
        if not self.confirmed or not self._is_listed():
            return InstanceState.STARTING
        if not self.caught_up and (self.seeds or self._has_peers):
            # Before the table is complete, this entry would reject queries
            # because no backend server appears to hold anything.
            return InstanceState.STARTING
        if self.overloaded:
            return InstanceState.OVERLOADED
        return InstanceState.READY

    @property
    def _has_peers(self) -> bool:
        return len(self.table.live_instances) > 1

    def _is_listed(self) -> bool:
        is_entry = "entry" in self.me.roles
        listed = self.document and self.me.name in self.document.entries
        return bool(listed) or not is_entry
