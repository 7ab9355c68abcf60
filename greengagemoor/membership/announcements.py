"""Takes in what backend servers say of themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.codes import Code
from greengagemoor.membership import wards
from greengagemoor.membership.messages import AnnounceReply
from greengagemoor.membership.rows import ServerRow, server_key

if TYPE_CHECKING:
    from greengagemoor.backends import BackendServer
    from greengagemoor.membership.messages import Announce
    from greengagemoor.membership.state import State
    from greengagemoor.query.messages import DrainSeen

LOAD_STEPS = 4


def take(state: State, msg: Announce) -> None:
    """Takes in an announcement, or refuses it with a code."""
    server = _coarse(msg.server)
    row = ServerRow(server)
    kept = state.table.rows.get(row.key)
    fault = _check(state, server, kept)
    if fault is not None:
        state.counters.refused += 1
        _reply(state, msg, fault.code, fault.detail)
        return
    heard = _note_life(state, row, msg.renewal)
    if kept is None or kept.server.order != server.order:
        state.take_row(row)
    elif kept.lost and heard:
        state.take_row(attrs.evolve(kept, watch=kept.watch + 1, lost=False))
    elif kept.lost:
        stale = "a copy of an old announcement of a lost server"
        _reply(state, msg, Code.ANNOUNCEMENT_STALE, stale)
        return
    _reply(state, msg, Code.ANNOUNCED, "")


def _note_life(state: State, row: ServerRow, renewal: int) -> bool:
    """Notes a sign of life where this process watches; returns if it is new."""
    mine = state.me.name in row.server.announced_to
    if not mine or row.server.state is ServerState.GONE:
        return False
    return wards.heard(state, row.key, renewal)


def _coarse(server: BackendServer) -> BackendServer:
    """Rounds the reported load, which is a hint and changes all the time."""
    load = round(server.load * LOAD_STEPS) / LOAD_STEPS
    return attrs.evolve(server, load=load)


@attrs.frozen
class _Fault:
    code: Code
    detail: str


def _check(
    state: State, server: BackendServer, kept: ServerRow | None
) -> _Fault | None:
    if state.document is None:
        return _Fault(Code.ANNOUNCEMENT_NOT_ALLOWED, "no document yet")
    if server.name not in state.allowed.get(server.service, {}):
        return _Fault(
            Code.ANNOUNCEMENT_NOT_ALLOWED,
            f"the document does not allow {server.name} for {server.service}",
        )
    conflict = _count_conflict(state, server)
    if conflict:
        return _Fault(Code.ANNOUNCEMENT_CONFLICT, conflict)
    if kept is not None and _is_stale(server, kept):
        stale = "a newer announcement is known"
        return _Fault(Code.ANNOUNCEMENT_STALE, stale)
    return None


def _is_stale(server: BackendServer, kept: ServerRow) -> bool:
    """Whether an announcement is older, or other words at the same order.

    A plain renewal repeats the row and is welcome. A load alone may change
    without a new sequence: it is a hint, and not worth a message to all.
    Where the row is kept as draining, a renewal that still says ready is one.
    """
    if server.order != kept.server.order:
        return server.order < kept.server.order
    drained = kept.server.state is ServerState.DRAINING
    opens = server.state in (ServerState.READY, ServerState.WARMING)
    state = kept.server.state if drained and opens else server.state
    renewed = attrs.evolve(server, load=kept.server.load, state=state)
    return renewed != kept.server


def _count_conflict(state: State, server: BackendServer) -> str:
    """Returns how the shard counts clash with what others hold, or ''."""
    counts = {held.version: held.shard_count for held in server.versions}
    clashes = (
        f"version {held.version} has {held.shard_count} shards at "
        f"{row.server.name}, not {counts[held.version]}"
        for row in state.table.servers_of(server.service)
        if row.server.name != server.name
        for held in row.server.versions
        if counts.get(held.version, held.shard_count) != held.shard_count
    )
    return next(clashes, "")


def _reply(state: State, msg: Announce, code: Code, detail: str) -> None:
    key = ServerRow(msg.server).key
    kept = state.table.rows.get(key)
    order = kept.server.order if isinstance(kept, ServerRow) else (0, 0)
    state.out.append(AnnounceReply(msg.token, code, *order, detail))


def take_drain(state: State, msg: DrainSeen) -> None:
    """Spreads a drain that an answer of the server told."""
    row = state.table.rows.get(server_key(msg.service, msg.name))
    if not isinstance(row, ServerRow):
        return
    opens = (ServerState.READY, ServerState.WARMING)
    same = row.server.incarnation == msg.incarnation
    if same and row.server.state in opens:
        drained = attrs.evolve(row.server, state=ServerState.DRAINING)
        state.take_row(attrs.evolve(row, server=drained))
