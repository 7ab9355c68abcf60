"""Notifies the query decider when a row or the document changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.membership import failure_detector, server_watch
from greengagemoor.membership.rows import (
    InstanceState,
    ServerRow,
)
from greengagemoor.query.messages import ServerChanged, ServerGone

if TYPE_CHECKING:
    from greengagemoor.backends import BackendServer
    from greengagemoor.membership.rows import Row
    from greengagemoor.membership.state import State


def process_changes(state: State) -> None:
    """Processes the rows that changed in this tick."""
    while state.changed:
        _process_change(state, state.changed.pop(0))


def _process_change(state: State, row: Row) -> None:
    if isinstance(row, ServerRow):
        server_watch.update_watch(state, row)
        # update_watch may have overruled the row: show the one that is kept
        # now.
        notify_if_changed(state, state.table.rows[row.key])
        return
    if row.state is InstanceState.SUSPECT:
        failure_detector.start_suspicion(state, row)
        return
    was_hidden = set(state.hidden)
    server_watch.update_hidden_of(state, row.name)
    for key in was_hidden - state.hidden:
        notify_if_changed(state, state.table.rows[key])


def notify_if_changed(state: State, row: ServerRow) -> None:
    """Notifies the query decider if its view of a server changes."""
    current = _usable_server(state, row)
    previous = state.shown.get(row.key)
    if current == previous:
        return
    if current is None:
        del state.shown[row.key]
        state.out.append(ServerGone(row.server.name, row.server.service))
        return
    state.shown[row.key] = current
    state.out.append(current)


def _usable_server(state: State, row: ServerRow) -> ServerChanged | None:
    """Returns a usable server with its limits and the own share, or None."""
    allowed = state.allowed.get(row.server.service, {}).get(row.server.name)
    if allowed is None or row.is_gone or row.key in state.hidden:
        return None
    server = attrs.evolve(
        row.server,
        slots=min(row.server.slots, allowed.slots),
        connection_cap=min(row.server.connection_cap, allowed.connection_cap),
    )
    return ServerChanged(server, connection_share(state, server))


def connection_share(state: State, server: BackendServer) -> int:
    """Returns how many connections this entry may hold to a server.

    Each of the document's ``connection_places`` has a fixed part of the cap.
    It does not depend on which entries are seen as live, so that entries with
    different views never exceed the cap in sum. The parts of places without
    an entry stay unused.
    """
    listed = state.document and state.me.name in state.document.entries
    if not listed or not state.may_hold_shares:
        return 0
    return server.connection_cap // state.document.connection_places


def notify_hidden(state: State, keys: list[str]) -> None:
    """Notifies the query decider of servers that are now hidden."""
    for key in keys:
        notify_if_changed(state, state.table.rows[key])


def reevaluate_all(state: State) -> None:
    """Evaluates every server again, after a change of the document."""
    rows = [
        row for row in state.table.rows.values() if isinstance(row, ServerRow)
    ]
    for row in rows:
        notify_if_changed(state, row)


def reevaluate_service(state: State, service: str) -> None:
    """Evaluates the servers of one service again."""
    for row in list(state.table.servers_of(service)):
        notify_if_changed(state, row)
