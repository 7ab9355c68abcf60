"""Writes that a member handed to its disk, and what waits for their sync."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from greengagemoor.control.messages import HardState, Persist
from greengagemoor.util import values

if TYPE_CHECKING:
    from greengagemoor.control.commands import LogEntry, Snapshot
    from greengagemoor.control.messages import Send
    from greengagemoor.control.state import State


@values.frozen
class AwaitingSync:
    """A message, or the member's own vote, that must wait for a sync.

    Attributes:
        op: operation that must be synced first; set by ``flush``.
        send: the message; None for the own vote.
        vote_term: term of the own vote.
    """

    op: int
    send: Send | None = None
    vote_term: int = 0


@attrs.define(eq=False, repr=False)
class DiskWrites:
    """Writes handed to the disk, and which of them are known to be synced.

    Attributes:
        op: last operation handed over.
        synced_op: last operation known to be synced.
        synced_index: last log index known to be synced.
        unsynced: (op, last log index) of operations not yet synced.
        hard_state_changed, entries, snapshot: writes not handed over yet.
        awaiting_sync: items that wait for the sync of an operation.
        new_awaiting_sync: items whose operation is not handed over yet.
    """

    op: int = 0
    synced_op: int = 0
    synced_index: int = 0
    unsynced: deque[tuple[int, int]] = attrs.field(factory=deque)
    hard_state_changed: bool = False
    entries: list[LogEntry] = attrs.field(factory=list)
    snapshot: Snapshot | None = None
    awaiting_sync: deque[AwaitingSync] = attrs.field(factory=deque)
    new_awaiting_sync: list[AwaitingSync] = attrs.field(factory=list)


def flush(state: State) -> None:
    """Hands the tick's writes to the disk and queues what waits for them."""
    disk = state.disk
    if disk.hard_state_changed or disk.entries or disk.snapshot:
        disk.op += 1
        hard = HardState(state.group, state.term, state.voted_for)
        if disk.snapshot:
            # The disk starts a new log after a snapshot. It needs the whole
            # tail, since entries written before may belong to another log.
            disk.hard_state_changed = True
            start = disk.snapshot.index + 1
            disk.entries = list(state.log.slice(start, state.log.last_index))
        state.out.append(
            Persist(
                op=disk.op,
                hard=hard if disk.hard_state_changed else None,
                entries=tuple(disk.entries),
                snapshot=disk.snapshot,
            )
        )
        disk.unsynced.append((disk.op, state.log.last_index))
        disk.hard_state_changed = False
        disk.entries = []
        disk.snapshot = None
    disk.awaiting_sync.extend(
        attrs.evolve(h, op=disk.op) for h in disk.new_awaiting_sync
    )
    disk.new_awaiting_sync = []


def mark_replaced(state: State, index: int) -> None:
    """Marks entries from ``index`` on as not synced.

    An operation that is not yet synced may have a last index whose entry has
    been replaced since; its sync does not cover the new entry there.
    """
    disk = state.disk
    disk.synced_index = min(disk.synced_index, index - 1)
    disk.unsynced = deque(
        (op, min(last, index - 1)) for op, last in disk.unsynced
    )


def mark_synced(state: State, op: int) -> list[AwaitingSync]:
    """Records that ``op`` is synced; returns the items that waited for it."""
    disk = state.disk
    disk.synced_op = max(disk.synced_op, op)
    while disk.unsynced and disk.unsynced[0][0] <= op:
        _, disk.synced_index = disk.unsynced.popleft()
    return release(state)


def release(state: State) -> list[AwaitingSync]:
    """Removes and returns held items whose sync is done, in order."""
    disk = state.disk
    released = []
    while disk.awaiting_sync and disk.awaiting_sync[0].op <= disk.synced_op:
        released.append(disk.awaiting_sync.popleft())
    return released
