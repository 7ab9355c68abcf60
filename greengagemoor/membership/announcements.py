"""Validates and merges the announcements of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.codes import Code
from greengagemoor.membership import server_watch
from greengagemoor.membership.messages import AnnounceReply
from greengagemoor.membership.rows import ServerRow, server_key

if TYPE_CHECKING:
    from greengagemoor.backends import BackendServer
    from greengagemoor.membership.messages import Announce
    from greengagemoor.membership.state import State
    from greengagemoor.query.messages import DrainReported

LOAD_STEPS = 4
"""Steps per unit of load to which a reported load is rounded."""


def handle_announcement(state: State, msg: Announce) -> None:
    """Merges an announcement, or rejects it with a result code."""
    server = _round_load(msg.server)
    row = ServerRow(server)
    kept = state.table.rows.get(row.key)
    rejection = _check(state, server, kept)
    if rejection is not None:
        state.counters.refused += 1
        _reply(state, msg, rejection.code, rejection.detail)
        return
    is_new = _record_renewal(state, row, msg.renewal)
    if kept is None or kept.server.order != server.order:
        state.merge_row(row)
    elif kept.lost and is_new:
        state.merge_row(attrs.evolve(kept, watch=kept.watch + 1, lost=False))
    elif kept.lost:
        stale = "a copy of an old announcement of a lost server"
        _reply(state, msg, Code.ANNOUNCEMENT_STALE, stale)
        return
    _reply(state, msg, Code.ANNOUNCED, "")


def _record_renewal(state: State, row: ServerRow, renewal: int) -> bool:
    """Records a renewal of a watched server; returns whether it is new."""
    is_watched_here = state.me.name in row.server.announced_to
    if not is_watched_here or row.server.state is ServerState.GONE:
        return False
    return server_watch.record_renewal(state, row.key, renewal)


def _round_load(server: BackendServer) -> BackendServer:
    """Rounds the reported load: it is a hint that changes all the time."""
    load = round(server.load * LOAD_STEPS) / LOAD_STEPS
    return attrs.evolve(server, load=load)


@attrs.frozen
class _Rejection:
    code: Code
    detail: str


def _check(
    state: State, server: BackendServer, kept: ServerRow | None
) -> _Rejection | None:
    if state.document is None:
        return _Rejection(Code.ANNOUNCEMENT_NOT_ALLOWED, "no document yet")
    if server.name not in state.allowed.get(server.service, {}):
        return _Rejection(
            Code.ANNOUNCEMENT_NOT_ALLOWED,
            f"the document does not allow {server.name} for {server.service}",
        )
    conflict = _shard_count_conflict(state, server)
    if conflict:
        return _Rejection(Code.ANNOUNCEMENT_CONFLICT, conflict)
    if kept is not None and _is_stale(server, kept):
        stale = "a newer announcement is known"
        return _Rejection(Code.ANNOUNCEMENT_STALE, stale)
    return None


def _is_stale(server: BackendServer, kept: ServerRow) -> bool:
    """Returns whether an announcement is older, or differs at the same order.

    A renewal repeats the kept row and is accepted. The load may change
    without a new sequence: it is a hint, and not worth a message to every
    instance. If the row is kept as draining, an announcement that still says
    ready counts as a renewal, too.
    """
    if server.order != kept.server.order:
        return server.order < kept.server.order
    is_draining = kept.server.state is ServerState.DRAINING
    before_drain = server.state in (ServerState.READY, ServerState.WARMING)
    state = kept.server.state if is_draining and before_drain else server.state
    renewed = attrs.evolve(server, load=kept.server.load, state=state)
    return renewed != kept.server


def _shard_count_conflict(state: State, server: BackendServer) -> str:
    """Returns a shard count conflict with another server as text, or ''."""
    counts = {held.version: held.shard_count for held in server.versions}
    conflicts = (
        f"version {held.version} has {held.shard_count} shards at "
        f"{row.server.name}, not {counts[held.version]}"
        for row in state.table.servers_of(server.service)
        if row.server.name != server.name
        for held in row.server.versions
        if counts.get(held.version, held.shard_count) != held.shard_count
    )
    return next(conflicts, "")


def _reply(state: State, msg: Announce, code: Code, detail: str) -> None:
    key = ServerRow(msg.server).key
    kept = state.table.rows.get(key)
    order = kept.server.order if isinstance(kept, ServerRow) else (0, 0)
    state.out.append(AnnounceReply(msg.token, code, *order, detail))


def handle_drain(state: State, msg: DrainReported) -> None:
    """Records a drain that a server reported in an answer."""
    row = state.table.rows.get(server_key(msg.service, msg.name))
    if not isinstance(row, ServerRow):
        return
    states_before_drain = (ServerState.READY, ServerState.WARMING)
    same_incarnation = row.server.incarnation == msg.incarnation
    if same_incarnation and row.server.state in states_before_drain:
        draining = attrs.evolve(row.server, state=ServerState.DRAINING)
        state.merge_row(attrs.evolve(row, server=draining))
