"""Detects requests that were running at a searcher when it crashed.

A broken connection is no proof of a crash: searchers also close idle
connections and reset single requests. A searcher has ended if nothing listens
at its address any more, or if the control instances report it. The end is then
counted against each request that was running there. No end is counted against a
request that any searcher has answered, as one that crashes every searcher is
never answered.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from greengagemoor.feed.messages import (
    StandingChanged,
    Suspect,
    SuspectsObserved,
)
from greengagemoor.feed.suspects import Standing, cleared, standing_of
from greengagemoor.forward.messages import ProbeSearcher

if TYPE_CHECKING:
    from greengagemoor.feed.messages import (
        SearcherKey,
        SearcherRow,
    )
    from greengagemoor.forward.tables import Attempt, Tables

CONFIRM_WITHIN_S = 5.0
"""Seconds within which the end of a searcher must be confirmed; control
instances report a silent one as lost about three seconds after its last
announcement."""
COMMON_CAUSE_S = 0.25
"""Seconds within which searchers of one rack or machine end together."""
OTHER_SUSPECTS_S = 4.0
"""Seconds after a request became suspect during which it may still crash
searchers: at entries not notified yet, and in its own trial."""
REPORT_S = 0.1
"""Seconds until an end is reported to the control instances. By then the other
shards of a harmless query have answered, and no report is needed."""


@attrs.define(eq=False)
class PossibleCrash:
    """A searcher whose connections broke, and that may have ended.

    Attributes:
        at: when the first connection broke.
        runs: requests that it was running: route names by fingerprint.
        ended: whether its end is confirmed.
    """

    searcher: SearcherKey
    at: float
    runs: dict[bytes, str] = attrs.field(factory=dict)
    ended: bool = False


def record_broken_send(tables: Tables, attempt: Attempt) -> None:
    """Records a send that broke before any byte of an answer."""
    request = attempt.leg.request
    if not request.fingerprint:
        return
    searcher = attempt.searcher
    key = searcher.key
    end = tables.possible_crashes.get(key)
    if end is None:
        end = PossibleCrash(key, tables.now)
        tables.possible_crashes[key] = end
        forget = partial(tables.possible_crashes.pop, key, None)
        tables.set_timer(tables.now + CONFIRM_WITHIN_S, forget)
        if tables.searchers.get(searcher.searcher_id) is searcher:
            tables.out.append(ProbeSearcher(key, searcher.address))
        else:
            _confirm(tables, end)
    end.runs[request.fingerprint] = request.route.name
    if end.ended:
        _count_end(tables, request.fingerprint, end)


def handle_probe_result(
    tables: Tables, key: SearcherKey, *, refused: bool
) -> None:
    """Handles the result of a probe of a searcher's address.

    If something listens there, the searcher may have restarted already; the
    control instances report that.
    """
    if refused:
        record_crash(tables, key)


def record_crash(tables: Tables, key: SearcherKey) -> None:
    """Confirms the end of a searcher where a send broke."""
    end = tables.possible_crashes.get(key)
    if end is not None:
        _confirm(tables, end)


def discard_possible_crash(tables: Tables, attempt: Attempt) -> None:
    """Discards a possible end if the searcher answers a send made after it."""
    end = tables.possible_crashes.get(attempt.searcher.key)
    if end is not None and not end.ended and attempt.sent_at > end.at:
        del tables.possible_crashes[attempt.searcher.key]


def _confirm(tables: Tables, end: PossibleCrash) -> None:
    if end.ended:
        return
    end.ended = True
    tables.recent_crashes.append(end)
    for fingerprint in end.runs:
        _count_end(tables, fingerprint, end)


def _count_end(tables: Tables, fingerprint: bytes, end: PossibleCrash) -> None:
    """Counts the end of a searcher against a request."""
    known = tables.suspects.get(fingerprint)
    row = Suspect(
        fingerprint,
        epoch=known.epoch if known is not None else 0,
        ended=(end.searcher,),
        route=end.runs[fingerprint],
    )
    _join_and_report(tables, row, tables.now + REPORT_S)


def note_failed_trial(
    tables: Tables, fingerprint: bytes, end: PossibleCrash
) -> None:
    """Records that the searcher of a request's trial has ended."""
    known = tables.suspects.get(fingerprint)
    if known is not None:
        sure = _is_only_cause(tables, fingerprint, end)
        row = attrs.evolve(known, failed=(end.searcher,), sure=sure)
        _join_and_report(tables, row, tables.now)


def clear_suspect(tables: Tables, fingerprint: bytes) -> None:
    """Clears a suspected request that a searcher has answered."""
    known = tables.suspects.get(fingerprint)
    if known is None or not (known.ended or known.failed):
        return
    if tables.unreported.get(fingerprint) is False:
        # No other instance has received the row yet.
        del tables.unreported[fingerprint]
        tables.suspects.drop(fingerprint)
        tables.to_review.add(fingerprint)
        return
    _join_and_report(tables, cleared(known), tables.now)


def _join_and_report(tables: Tables, row: Suspect, report_at: float) -> None:
    """Joins a row of this entry, and reports it to the control instances."""
    was_known = tables.suspects.get(row.fingerprint) is not None
    if not _join_row(tables, row):
        return
    tables.unreported.setdefault(row.fingerprint, was_known)
    tables.set_timer(report_at, partial(_report, tables))


def merge_received_row(tables: Tables, row: Suspect) -> None:
    """Joins a row received from the control instances."""
    if row.fingerprint in tables.unreported:
        # Others have the row too, so an answer must be reported to them.
        tables.unreported[row.fingerprint] = True
    _join_row(tables, row)


def _join_row(tables: Tables, row: Suspect) -> bool:
    """Joins a row; returns whether it changed what was known."""
    before = tables.suspects.standing(row.fingerprint)
    joined = tables.suspects.join(row)
    if joined is None:
        return False
    standing = standing_of(joined)
    if standing is not before:
        tables.out.append(StandingChanged(joined))
        if standing is Standing.SUSPECT:
            tables.recent_suspects.append((tables.now, row.fingerprint))
    tables.to_review.add(row.fingerprint)
    return True


def _report(tables: Tables) -> None:
    rows = (tables.suspects.get(key) for key in tables.unreported)
    known = tuple(row for row in rows if row is not None)
    tables.unreported.clear()
    if known:
        tables.out.append(SuspectsObserved(known))


def _is_only_cause(
    tables: Tables, fingerprint: bytes, end: PossibleCrash
) -> bool:
    """Whether a request is the only possible cause of a searcher's end.

    Searchers that end together have a common cause, such as their machine. If
    there was another suspect at the time, that one may be the cause, as it may
    have run there too.
    """
    together = any(
        abs(other.at - end.at) <= COMMON_CAUSE_S
        and fingerprint not in other.runs
        for other in tables.recent_crashes
    )
    since = end.at - OTHER_SUSPECTS_S
    others = any(
        at >= since and other != fingerprint
        for at, other in tables.recent_suspects
    )
    return not (together or others or len(end.runs) > 1)


def check_searcher_row(tables: Tables, row: SearcherRow) -> None:
    """Confirms possible ends by a searcher's restart or ended state."""
    for key in list(tables.possible_crashes):
        if key.searcher_id != row.searcher_id:
            continue
        if key.start < row.start or row.state.has_ended:
            record_crash(tables, key)


def is_suspect(tables: Tables, fingerprint: bytes) -> bool:
    """Whether a request may only be sent as a trial, or not at all."""
    return tables.suspects.standing(fingerprint) is not Standing.WATCHED
