"""Applies changes of searchers and of the document to the tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor.backends import ServerState
from greengagemoor.codes import Code
from greengagemoor.query import completing
from greengagemoor.query.messages import DrainReported
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


def handle_server_changed(state: State, msg: ServerChanged) -> None:
    """Adds a new searcher or updates a changed one."""
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
    state.mark_dirty(service)


def _new_row(
    state: State, service: ServiceRow, info: BackendServer, share: int
) -> Searcher:
    searcher = Searcher(
        info=info,
        share=share,
        ready_since=state.now,
        adaptive=service.settings.adaptive_limit,
        limit=_initial_limit(service.settings, info, share),
    )
    service.searchers[info.name] = searcher
    return searcher


def _initial_limit(rules: Service, info: BackendServer, share: int) -> float:
    slots_per_entry = -(-info.slots // rules.entries_per_service)
    return float(max(1, min(share, slots_per_entry)))


def _update_row(
    state: State,
    service: ServiceRow,
    searcher: Searcher,
    info: BackendServer,
    share: int,
) -> None:
    remove_holder(service, searcher)
    if _is_draining(searcher) and info.state is ServerState.READY:
        # An announcement sent before the drain may arrive after it. Draining
        # is final within an incarnation, so the older state is not applied.
        info = attrs.evolve(info, state=ServerState.DRAINING)
    if searcher.info.state is ServerState.WARMING:
        searcher.ready_since = state.now
    searcher.info = info
    searcher.share = share


def _is_draining(searcher: Searcher) -> bool:
    return searcher.info.state is ServerState.DRAINING


def mark_draining(state: State, searcher: Searcher) -> None:
    """Stops placing work on a searcher that reported a drain in an answer.

    Its announcement takes several gossip rounds to arrive, and does not arrive
    at all while this entry instance is partitioned; the answer comes first.
    """
    if searcher.info.state is ServerState.DRAINING:
        return
    _replace(
        state, searcher, attrs.evolve(searcher.info, state=ServerState.DRAINING)
    )
    state.out.append(
        DrainReported(
            searcher.info.service, searcher.info.name, searcher.info.incarnation
        )
    )


def remove_version(state: State, searcher: Searcher, version: int) -> None:
    """Records that a searcher no longer holds an index version."""
    remaining = tuple(v for v in searcher.info.versions if v.version != version)
    _replace(state, searcher, attrs.evolve(searcher.info, versions=remaining))


def _replace(state: State, searcher: Searcher, info: BackendServer) -> None:
    service = state.tables.services.get(info.service)
    if service is None or service.searchers.get(info.name) is not searcher:
        searcher.info = info
        return
    remove_holder(service, searcher)
    searcher.info = info
    add_holder(service, searcher)
    state.mark_dirty(service)


def handle_server_gone(state: State, msg: ServerGone) -> None:
    """Removes a searcher; its attempts in flight may still be answered."""
    service = state.tables.services.get(msg.service)
    if service is None:
        return
    searcher = service.searchers.pop(msg.name, None)
    if searcher is None:
        return
    remove_holder(service, searcher)
    state.mark_dirty(service)


def handle_document_changed(state: State, msg: DocumentChanged) -> None:
    """Applies a document: updates rules, adds and removes services."""
    state.document = msg.document
    state.document_version = msg.version
    rules = {service.name: service for service in msg.document.services}
    for name in set(state.tables.services) - set(rules):
        _remove_service(state, state.tables.services.pop(name))
    for name, service in rules.items():
        row = state.tables.services.get(name)
        if row is None:
            state.tables.services[name] = ServiceRow(service)
        elif row.settings != service:
            _change_rules(row, service)


def _change_rules(row: ServiceRow, rules: Service) -> None:
    row.settings = rules
    row.hedge_budgets.clear()
    row.retry_budgets.clear()
    for searcher in row.searchers.values():
        searcher.adaptive = rules.adaptive_limit


def _remove_service(state: State, row: ServiceRow) -> None:
    while (query := row.queue.pop()) is not None:
        completing.reject_queued(state, query, Code.NOT_RUN_UNKNOWN_SERVICE)
