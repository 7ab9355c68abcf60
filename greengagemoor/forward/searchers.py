"""Takes in what is learnt of searchers."""

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
        EvacuationsLearnt,
        SearcherRow,
        SlowSearchers,
    )
    from greengagemoor.forward.tables import Tables


def take(tables: Tables, row: SearcherRow) -> list[AttemptEnded]:
    """Takes in a row.

    Returns:
        The ends of sends that ran at an earlier start of the searcher.
    """
    if tables.possible_ends:
        evidence.note_row(tables, row)
    known = tables.searchers.get(row.searcher_id)
    if known is not None and known.start != row.start:
        return _take_new_start(tables, known, row)
    _take_row(tables, known, row)
    return []


def _take_row(
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


def _take_new_start(
    tables: Tables, old: Searcher, row: SearcherRow
) -> list[AttemptEnded]:
    """Forgets what was known of a searcher that has started again.

    The new process knows nothing of what ran at the old one, so those sends
    would never be answered. They may have run: only what may be repeated goes
    out again.
    """
    _remove(tables, old)
    _take_row(tables, None, row)
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


def take_slow(tables: Tables, msg: SlowSearchers) -> None:
    """Notes which searchers other entries find slow."""
    for key in msg.searchers:
        searcher = tables.searchers.get(key.searcher_id)
        if searcher is not None and searcher.start == key.start:
            searcher.slow_until = tables.now + msg.for_s


def take_evacuations(tables: Tables, msg: EvacuationsLearnt) -> None:
    """Notes which data centres are evacuated.

    What runs there ends in peace. Kept connections go: as long as one stands,
    its searcher counts it against its cap.
    """
    before = tables.evacuated
    tables.evacuations.take(msg.rows)
    tables.evacuated = tables.evacuations.active
    for row in tables.searchers.values():
        if row.data_centre in tables.evacuated - before:
            tables.out.append(CloseIdle(row.address))
        elif row.data_centre in before - tables.evacuated:
            _take_for_cold(tables, row)


def _take_for_cold(tables: Tables, row: Searcher) -> None:
    """Takes a searcher for cold that got nothing for some time.

    Its own word on that may be an announcement away.
    """
    rules = tables.services.get(row.service)
    if rules is not None:
        until = tables.now + rules.cold_for_s
        row.cold_until = max(row.cold_until, until)


def set_caps(tables: Tables) -> None:
    """Takes in changed caps, or another number of entries."""
    for searcher in tables.searchers.values():
        searcher.cap = share_of_cap(tables, searcher.service)


def share_of_cap(tables: Tables, service: str) -> int:
    """Returns this entry's share of a searcher's connections.

    A searcher resets connections beyond its cap. The share is a fixed part, by
    a number of entries that only grows, so that a cut that hides entries can't
    raise it.
    """
    rules = tables.services.get(service)
    cap = rules.connection_cap if rules is not None else tables.sharers
    return max(1, cap // tables.sharers)
