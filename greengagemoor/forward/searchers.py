"""Applies updates about searchers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from greengagemoor.feed.messages import SearcherState
from greengagemoor.forward import assignment, evidence
from greengagemoor.forward.messages import (
    AttemptEnded,
    CancelAttempt,
    CloseIdle,
    Outcome,
)
from greengagemoor.forward.tables import Searcher

if TYPE_CHECKING:
    from greengagemoor.feed.messages import (
        EvacuationsUpdated,
        SearcherRow,
        SlowSearchers,
    )
    from greengagemoor.forward.tables import Tables

POSITION_RETENTION_S = 60.0
"""How long a searcher that has ended keeps its position in the assignment.
Without it, each restart of a searcher would move the other searchers of its
service to other entries twice, and each new pair costs a connection."""


def apply_row(tables: Tables, row: SearcherRow) -> list[AttemptEnded]:
    """Applies an update of a searcher's row.

    Returns:
        The ends of sends to an earlier process of the searcher.
    """
    if tables.possible_crashes:
        evidence.check_searcher_row(tables, row)
    known = tables.searchers.get(row.searcher_id)
    if known is not None and known.start != row.start:
        return _replace_restarted(tables, known, row)
    _apply_row(tables, known, row)
    return []


def _apply_row(
    tables: Tables, searcher: Searcher | None, row: SearcherRow
) -> None:
    if searcher is None:
        if row.state is SearcherState.GONE or not row.address:
            return
        searcher = _add(tables, row)
    searcher.state = row.state
    if row.state is SearcherState.LOST:
        _release_position(tables, searcher)
    else:
        _keep_position(tables, searcher)
    if row.state is SearcherState.READY:
        searcher.cold_until = tables.now + row.cold_left_s
    if row.state is SearcherState.GONE:
        _remove(tables, searcher)


def _replace_restarted(
    tables: Tables, old: Searcher, row: SearcherRow
) -> list[AttemptEnded]:
    """Replaces the state of a searcher that has restarted.

    The new process never answers the sends that ran at the old one. As these
    may have run, only repeatable requests are retried.
    """
    _remove(tables, old)
    _apply_row(tables, None, row)
    tables.out.append(CloseIdle(old.address))
    tables.out += [CancelAttempt(attempt_id) for attempt_id in old.attempts]
    reason = "the searcher has started again"
    return [
        AttemptEnded(attempt_id, Outcome.BROKEN, reason=reason)
        for attempt_id in old.attempts
    ]


def _add(tables: Tables, row: SearcherRow) -> Searcher:
    searcher = Searcher(
        searcher_id=row.searcher_id,
        service=row.service,
        address=row.address,
        data_centre=row.data_centre,
        state=row.state,
        slots=max(1, row.slots),
        start=row.start,
        cap=share_of_cap(tables, row.service, row.searcher_id),
    )
    tables.searchers[searcher.searcher_id] = searcher
    tables.by_service.setdefault(searcher.service, []).append(searcher)
    return searcher


def _remove(tables: Tables, searcher: Searcher) -> None:
    del tables.searchers[searcher.searcher_id]
    tables.by_service[searcher.service].remove(searcher)
    _release_position(tables, searcher)


def mark_slow(tables: Tables, msg: SlowSearchers) -> None:
    """Marks searchers that other entries report as slow."""
    for key in msg.searchers:
        searcher = tables.searchers.get(key.searcher_id)
        if searcher is not None and searcher.start == key.start:
            searcher.slow_until = tables.now + msg.for_s


def apply_evacuations(tables: Tables, msg: EvacuationsUpdated) -> None:
    """Updates the set of evacuated data centres.

    Sends under way there complete normally. Idle connections are closed, as a
    searcher counts them against its connection cap.
    """
    before = tables.evacuated
    tables.evacuations.merge(msg.rows)
    tables.evacuated = tables.evacuations.active
    for row in tables.searchers.values():
        if row.data_centre in tables.evacuated - before:
            tables.out.append(CloseIdle(row.address))
        elif row.data_centre in before - tables.evacuated:
            _mark_cold(tables, row)


def _mark_cold(tables: Tables, row: Searcher) -> None:
    """Treats a searcher as cold after a time without requests.

    The searcher itself reports this with its next announcement only.
    """
    rules = tables.services.get(row.service)
    if rules is not None:
        until = tables.now + rules.cold_for_s
        row.cold_until = max(row.cold_until, until)


def _keep_position(tables: Tables, searcher: Searcher) -> None:
    """Gives the searcher a position among those of its service."""
    positions = tables.positions.setdefault(searcher.service, {})
    is_new = searcher.searcher_id not in positions
    positions[searcher.searcher_id] = float("inf")
    if is_new:
        _set_caps_of(tables, searcher.service)


def _release_position(tables: Tables, searcher: Searcher) -> None:
    """Lets the position of a searcher that has ended expire."""
    positions = tables.positions.get(searcher.service, {})
    if positions.get(searcher.searcher_id) == float("inf"):
        until = tables.now + POSITION_RETENTION_S
        positions[searcher.searcher_id] = until
        expire = partial(_expire_positions, tables, searcher.service)
        tables.set_timer(until, expire)


def _expire_positions(tables: Tables, service: str) -> None:
    positions = tables.positions[service]
    expired = [name for name, at in positions.items() if at <= tables.now]
    for name in expired:
        del positions[name]
    if expired:
        _set_caps_of(tables, service)


def set_caps(tables: Tables) -> None:
    """Recomputes connection caps from the service rules and the place."""
    for service in tables.by_service:
        _set_caps_of(tables, service)


def _set_caps_of(tables: Tables, service: str) -> None:
    for searcher in tables.by_service.get(service, ()):
        before = searcher.cap
        searcher.cap = share_of_cap(tables, service, searcher.searcher_id)
        if before and not searcher.cap and tables.place is not None:
            tables.idle_to_close.append(searcher.address)


def share_of_cap(tables: Tables, service: str, searcher_id: str = "") -> int:
    """Returns this entry's share of a searcher's connection cap.

    A searcher resets connections beyond its cap. The cap is divided by a
    number of entries that only grows, so that a network partition, in which
    fewer entries are visible, can't raise the share.

    Returns:
        0 if entries outnumber the cap, and the searcher is not assigned to
        this entry or the entry's place is not known.
    """
    rules = tables.services.get(service)
    if rules is None:
        return 1
    cap, place = rules.connection_cap, tables.place
    entries = tables.entries if place is None else place.entries
    if entries <= cap:
        return max(1, cap // tables.sharing_entries)
    positions = sorted(tables.positions.get(service, ()))
    if place is None or searcher_id not in positions:
        return 0
    number = positions.index(searcher_id)
    assigned = assignment.is_assigned(
        place, service, number, len(positions), cap
    )
    return int(assigned)
