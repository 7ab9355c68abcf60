"""Keeps the searcher rows and the snapshots they hold in step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.codes import Code
from greengagemoor.query import endings
from greengagemoor.query.messages import DrainSeen
from greengagemoor.query.snapshots import add_holder, remove_holder
from greengagemoor.query.tables import Searcher, ServiceRow

if TYPE_CHECKING:
    from greengagemoor.backends import BackendServer
    from greengagemoor.document import Service
    from greengagemoor.query.messages import (
        DocumentChanged,
        ServerChanged,
        ServerGone,
    )
    from greengagemoor.query.state import State


def change(state: State, msg: ServerChanged) -> None:
    """Enters a new or changed searcher."""
    service = state.tables.services.get(msg.server.service)
    if service is None:
        return
    searcher = service.searchers.get(msg.server.name)
    info = msg.server
    if searcher is None or info.incarnation > searcher.info.incarnation:
        if searcher is not None:
            remove_holder(service, searcher)
        searcher = _new_row(state, service, info, msg.share)
    else:
        _update_row(state, service, searcher, info, msg.share)
    add_holder(service, searcher)
    state.touch(service)


def _new_row(
    state: State, service: ServiceRow, info: BackendServer, share: int
) -> Searcher:
    searcher = Searcher(
        info=info,
        share=share,
        ready_since=state.now,
        adaptive=service.rules.adaptive_limit,
        limit=_first_limit(service.rules, info, share),
    )
    service.searchers[info.name] = searcher
    return searcher


def _first_limit(rules: Service, info: BackendServer, share: int) -> float:
    part = -(-info.slots // rules.entries_per_service)
    return float(max(1, min(share, part)))


def _update_row(
    state: State,
    service: ServiceRow,
    searcher: Searcher,
    info: BackendServer,
    share: int,
) -> None:
    remove_holder(service, searcher)
    if _is_drained(searcher) and info.state is ServerState.READY:
        # An announcement sent before the drain may come after it. Draining is
        # final within an incarnation, so the older word can't undo it.
        info = attrs.evolve(info, state=ServerState.DRAINING)
    if searcher.info.state is ServerState.WARMING:
        searcher.ready_since = state.now
    searcher.info = info
    searcher.share = share


def _is_drained(searcher: Searcher) -> bool:
    return searcher.info.state is ServerState.DRAINING


def drain(state: State, searcher: Searcher) -> None:
    """Takes no new work to a searcher that said in an answer that it drains.

    Its announcement takes rounds to arrive here, and never does while this
    entry is cut off; its own answer is the earliest word there is.
    """
    if searcher.info.state is ServerState.DRAINING:
        return
    _replace(
        state, searcher, attrs.evolve(searcher.info, state=ServerState.DRAINING)
    )
    state.out.append(
        DrainSeen(
            searcher.info.service, searcher.info.name, searcher.info.incarnation
        )
    )


def drop_version(state: State, searcher: Searcher, version: int) -> None:
    """Notes that a searcher no longer holds an index version."""
    left = tuple(v for v in searcher.info.versions if v.version != version)
    _replace(state, searcher, attrs.evolve(searcher.info, versions=left))


def _replace(state: State, searcher: Searcher, info: BackendServer) -> None:
    service = state.tables.services.get(info.service)
    if service is None or service.searchers.get(info.name) is not searcher:
        searcher.info = info
        return
    remove_holder(service, searcher)
    searcher.info = info
    add_holder(service, searcher)
    state.touch(service)


def leave(state: State, msg: ServerGone) -> None:
    """Takes out a searcher; attempts under way on it may still end well."""
    service = state.tables.services.get(msg.service)
    if service is None:
        return
    searcher = service.searchers.pop(msg.name, None)
    if searcher is None:
        return
    remove_holder(service, searcher)
    state.touch(service)


def change_document(state: State, msg: DocumentChanged) -> None:
    """Puts a document in force: rules change, services come and go."""
    state.document = msg.document
    state.document_version = msg.version
    rules = {service.name: service for service in msg.document.services}
    for name in set(state.tables.services) - set(rules):
        _drop_service(state, state.tables.services.pop(name))
    for name, service in rules.items():
        row = state.tables.services.get(name)
        if row is None:
            state.tables.services[name] = ServiceRow(service)
        elif row.rules != service:
            _change_rules(row, service)


def _change_rules(row: ServiceRow, rules: Service) -> None:
    row.rules = rules
    row.hedges.clear()
    row.retries.clear()
    for searcher in row.searchers.values():
        searcher.adaptive = rules.adaptive_limit


def _drop_service(state: State, row: ServiceRow) -> None:
    while (query := row.queue.pop()) is not None:
        endings.drop(state, query, Code.NOT_RUN_UNKNOWN_SERVICE)
