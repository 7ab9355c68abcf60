"""Watches for silence of the backend servers that announce themselves here."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.membership.messages import HeardQuery, HeardReply
from greengagemoor.membership.rows import ServerRow, rendezvous_weight
from greengagemoor.membership.state import Ward

if TYPE_CHECKING:
    from greengagemoor.membership.state import State

DEFAULT_SILENT_S = 3.0
ASK_ROUNDS = 1.0


def silent_after(state: State) -> float:
    """Returns the seconds after which a silent server is dropped."""
    document = state.document
    return document.silent_after_s if document else DEFAULT_SILENT_S


def heard(state: State, key: str, renewal: int) -> bool:
    """Notes a sign of life; a copy of an old renewal is none."""
    ward = state.wards.get(key)
    if ward is None:
        ward = _watch(state, key)
    elif renewal <= ward.renewal:
        return False
    ward.heard_at = state.now
    ward.renewal = renewal
    ward.asked_at = None
    return True


def _watch(state: State, key: str) -> Ward:
    ward = state.wards[key] = Ward(heard_at=state.now)
    heapq.heappush(state.ward_timers, (state.now + silent_after(state), key))
    return ward


def note_row(state: State, row: ServerRow) -> None:
    """Starts or ends watching as a server names its guardians.

    A process that restarted has forgotten whom it watched; the rows that it
    learns again tell it.
    """
    mine = state.me.name in row.server.announced_to and not row.is_gone
    if mine and row.key not in state.wards:
        _watch(state, row.key)
    elif not mine:
        state.wards.pop(row.key, None)


def adopt_orphans(state: State, lost: str) -> None:
    """Watches over servers whose guardians are all gone, if it falls to us.

    A rack that takes servers and their guardians together leaves nobody to
    notice; one would see attempts go on to servers that are off.
    """
    live = state.table.live_instances
    for key in list(state.table.guarded.get(lost, ())):
        row = state.table.rows[key]
        if any(name in live for name in row.server.announced_to):
            continue
        heir = max(live, key=lambda name: rendezvous_weight(key, name))
        if heir == state.me.name and key not in state.wards:
            _watch(state, key)


def check(state: State) -> None:
    """Drops servers that stayed silent for too long."""
    timers = state.ward_timers
    while timers and timers[0][0] <= state.now:
        _, key = heapq.heappop(timers)
        ward = state.wards.get(key)
        if ward is not None:
            due = _check_ward(state, key, ward)
            if due is not None:
                heapq.heappush(timers, (due, key))


def _check_ward(state: State, key: str, ward: Ward) -> float | None:
    """Returns when to look again, None when the server was dropped."""
    due = ward.heard_at + silent_after(state)
    if state.now < due:
        return due
    wait = ASK_ROUNDS * state.timing.interval
    if ward.asked_at is None:
        others = _other_guardians(state, key)
        if others:
            ward.asked_at = state.now
            for name in others:
                state.send(name, HeardQuery(key))
            return state.now + wait
    _drop(state, key)
    return None


def _other_guardians(state: State, key: str) -> list[str]:
    row = state.table.rows.get(key)
    if not isinstance(row, ServerRow):
        return []
    live = state.table.live_instances
    return [
        name
        for name in row.server.announced_to
        if name != state.me.name and name in live
    ]


def _drop(state: State, key: str) -> None:
    state.wards.pop(key, None)
    row = state.table.rows.get(key)
    if not isinstance(row, ServerRow) or row.is_gone:
        return
    state.counters.silent += 1
    server = attrs.evolve(row.server, state=ServerState.GONE)
    state.take_row(ServerRow(server))


def take_query(state: State, sender: str, msg: HeardQuery) -> None:
    """Tells whether this process heard a server lately."""
    ward = state.wards.get(msg.key)
    recent = (
        ward is not None
        and ward.renewal >= 0
        and state.now - ward.heard_at < silent_after(state)
    )
    state.send(sender, HeardReply(msg.key, recent))


def take_reply(state: State, _: str, msg: HeardReply) -> None:
    """Keeps a server that another guardian still hears."""
    ward = state.wards.get(msg.key)
    if ward is not None and ward.asked_at is not None and msg.heard:
        ward.heard_at = state.now
        ward.asked_at = None
