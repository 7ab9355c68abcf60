"""Applies updates about searchers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.feed.messages import SearcherState
from greengagemoor.forward import evidence
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
        cap=share_of_cap(tables, row.service),
    )
    tables.searchers[searcher.searcher_id] = searcher
    tables.by_service.setdefault(searcher.service, []).append(searcher)
    return searcher


def _remove(tables: Tables, searcher: Searcher) -> None:
    del tables.searchers[searcher.searcher_id]
    tables.by_service[searcher.service].remove(searcher)


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


def set_caps(tables: Tables) -> None:
    """Recomputes connection caps from the service rules and entry count."""
    for searcher in tables.searchers.values():
        searcher.cap = share_of_cap(tables, searcher.service)


def share_of_cap(tables: Tables, service: str) -> int:
    """Returns this entry's share of a searcher's connection cap.

    A searcher resets connections beyond its cap. The cap is divided by a
    number of entries that only grows, so that a network partition, in which
    fewer entries are visible, can't raise the share.
    """
    rules = tables.services.get(service)
    cap = rules.connection_cap if rules is not None else tables.sharing_entries
    return max(1, cap // tables.sharing_entries)
