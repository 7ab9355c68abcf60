"""Detects silence of the backend servers that announce themselves here.

The watchers of a server are the instances in its ``announced_to``.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.membership.messages import HeardQuery, HeardReply
from greengagemoor.membership.rows import ServerRow
from greengagemoor.membership.state import WatchedServer

if TYPE_CHECKING:
    from greengagemoor.membership.state import State

DEFAULT_SILENT_AFTER_S = 3.0
ASK_WAIT_ROUNDS = 1.0
"""Rounds to wait for other watchers before a silent server is checked again."""


def silence_timeout_s(state: State) -> float:
    """Returns the seconds after which a silent server is dropped."""
    document = state.document
    return document.silent_after_s if document else DEFAULT_SILENT_AFTER_S


def record_renewal(state: State, key: str, renewal: int) -> bool:
    """Records a renewal; returns False for a copy of an old one."""
    ward = state.wards.get(key)
    if ward is not None and renewal <= ward.renewal:
        return False
    ward = _restart_silence_timer(state, key)
    ward.renewal = renewal
    return True


def _restart_silence_timer(state: State, key: str) -> WatchedServer:
    ward = state.wards.setdefault(key, WatchedServer(heard_at=state.now))
    ward.heard_at = state.now
    ward.asked_at = None
    if not ward.timed:
        ward.timed = True
        due = state.now + silence_timeout_s(state)
        heapq.heappush(state.ward_timers, (due, key))
    return ward


def update_watch(state: State, row: ServerRow) -> None:
    """Starts or ends watching as a server selects its watchers.

    An instance that restarted has lost its list of watched servers, and
    restores it from the rows that it receives.
    """
    is_watched_here = state.me.name in row.server.announced_to
    ward = state.wards.get(row.key)
    if not is_watched_here or row.server.state is ServerState.GONE:
        state.wards.pop(row.key, None)
    elif row.lost and ward is not None and _heard_recently(state, ward):
        _overrule_loss(state, row)
    elif not row.lost and (ward is None or not ward.timed):
        _restart_silence_timer(state, row.key)
    update_hidden(state, row)


def _overrule_loss(state: State, row: ServerRow) -> None:
    """Overrules a watcher that misses renewals which this instance receives.

    When a network partition heals, the side that lost a server sends its row;
    without this, every server of the other side would be dropped at that
    moment.
    """
    state.merge_row(attrs.evolve(row, watch=row.watch + 1, lost=False))


def _heard_recently(state: State, ward: WatchedServer) -> bool:
    recent = state.now - ward.heard_at < silence_timeout_s(state)
    return ward.renewal >= 0 and recent


def update_hidden_of(state: State, name: str) -> None:
    """Updates the hiding of the servers that a changed instance watches."""
    for key in list(state.table.watched_by.get(name, ())):
        update_hidden(state, state.table.rows[key])


def update_hidden(state: State, row: ServerRow) -> None:
    """Hides a server here when none of its watchers is live.

    If servers fail together with all their watchers, as with a rack, no
    instance detects the silence and attempts to them would go on. Hiding is
    local to this instance: one that is partitioned off sees all watchers as
    gone, and its view must not spread when the partition heals.
    """
    live = state.table.live_instances
    watchers = row.server.announced_to
    is_watched = not watchers or any(name in live for name in watchers)
    if is_watched or row.is_gone:
        state.orphans.pop(row.key, None)
        state.hidden.discard(row.key)
    elif row.key not in state.orphans and row.key not in state.hidden:
        due = state.now + silence_timeout_s(state)
        state.orphans[row.key] = due
        heapq.heappush(state.ward_timers, (due, row.key))


def process_timers(state: State) -> list[str]:
    """Processes due timers; returns the keys of servers newly hidden."""
    timers = state.ward_timers
    newly_hidden = []
    while timers and timers[0][0] <= state.now:
        _, key = heapq.heappop(timers)
        if key in state.orphans and state.orphans[key] <= state.now:
            del state.orphans[key]
            state.hidden.add(key)
            newly_hidden.append(key)
        ward = state.wards.get(key)
        due = _check_ward(state, key, ward) if ward is not None else None
        if due is not None:
            heapq.heappush(timers, (due, key))
        elif ward is not None:
            ward.timed = False
    return newly_hidden


def _check_ward(state: State, key: str, ward: WatchedServer) -> float | None:
    """Returns when to check again, or None when watching is over."""
    due = ward.heard_at + silence_timeout_s(state)
    if state.now < due:
        return due
    wait = ASK_WAIT_ROUNDS * state.timing.interval
    if ward.asked_at is None:
        ward.asked_at = state.now
        others = _other_watchers(state, key)
        for name in others:
            state.send(name, HeardQuery(key))
        if others:
            return state.now + wait
    if not _sees_majority(state):
        return state.now + wait
    _mark_lost(state, key)
    return None


def _sees_majority(state: State) -> bool:
    """Whether at least half of the known instances are live.

    Otherwise this instance itself is probably the one that is partitioned off.
    """
    live = len(state.table.live_instances)
    gone = sum(key.startswith("i:") for key in state.table.gone_since)
    return live >= gone


def _other_watchers(state: State, key: str) -> list[str]:
    row = state.table.rows.get(key)
    if not isinstance(row, ServerRow):
        return []
    live = state.table.live_instances
    return [
        name
        for name in row.server.announced_to
        if name != state.me.name and name in live
    ]


def _mark_lost(state: State, key: str) -> None:
    row = state.table.rows.get(key)
    if not isinstance(row, ServerRow) or row.is_gone:
        return
    state.counters.silent += 1
    state.merge_row(attrs.evolve(row, lost=True))


def handle_heard_query(state: State, sender: str, msg: HeardQuery) -> None:
    """Replies whether this instance received a renewal recently."""
    ward = state.wards.get(msg.key)
    heard_recently = ward is not None and _heard_recently(state, ward)
    state.send(sender, HeardReply(msg.key, heard_recently))


def handle_heard_reply(state: State, _: str, msg: HeardReply) -> None:
    """Keeps a server whose renewals another watcher still receives."""
    ward = state.wards.get(msg.key)
    if ward is not None and ward.asked_at is not None and msg.heard:
        ward.heard_at = state.now
        ward.asked_at = None
