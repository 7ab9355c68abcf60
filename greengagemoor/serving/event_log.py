"""Log lines for roles, documents, searchers and suspect requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.control.evacuations import EvacuationView
from greengagemoor.control.join_messages import JoinRequest
from greengagemoor.control.joining import FIRST_NOTICE_S, MAX_NOTICE_INTERVAL_S
from greengagemoor.feed import messages as feed
from greengagemoor.feed.suspects import Standing, standing_of
from greengagemoor.util.line_budget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.decider import ControlDecider
    from greengagemoor.control.evacuations import Evacuation
    from greengagemoor.serving.dialect import RequestInfo

STANDING_LINES_PER_S = 5.0
STANDING_LINES_BURST = 50.0


class ControlStateLog:
    """Logs changes of a control instance's role, document and evacuations."""

    def __init__(self):
        self._evacuations = EvacuationView()
        self._decider: ControlDecider | None = None
        self._role: tuple[str, int, str] = ("", 0, "")
        self._document_number = 0

    def note(self, decider: ControlDecider) -> None:
        """Logs the role and the document if the last tick changed them."""
        self._decider = decider
        state = decider.state
        role = (state.role.value, state.term, state.leader_instance)
        if role != self._role:
            self._role = role
            log.event("role", role=role[0], term=role[1], leader=role[2])
        number = state.machine.numbered.number
        if number != self._document_number:
            self._document_number = number
            log.event("document", version=number)

    def note_evacuations(self, rows: Iterable[Evacuation]) -> None:
        """Logs the rows that are newer than those logged before."""
        log_evacuations(self._evacuations.merge(rows))

    def gauges(self) -> dict[str, float]:
        """Returns the current gauges, by name."""
        group = self._decider.status().gauges() if self._decider else {}
        return {
            **group,
            "leads": float(self._role[0] == "leader"),
            "term": self._role[1],
            "document_version": self._document_number,
        }


class UnavailableLog:
    """Logs that a control instance runs without its member of the group.

    Join requests get no answer meanwhile; without these lines such an instance
    can't be told from one that is down.
    """

    def __init__(self):
        self._since: float | None = None
        self._next_at = 0.0
        self._dropped = 0

    def note(self, now: float, msgs: Iterable[object]) -> None:
        """Notes a tick without a member, and the messages of that tick."""
        if self._since is None:
            self._since = now
            self._next_at = now + FIRST_NOTICE_S
            self._dropped = 0
        self._dropped += sum(
            isinstance(getattr(msg, "payload", None), JoinRequest)
            for msg in msgs
        )
        if now >= self._next_at:
            age_s = now - self._since
            self._next_at = now + min(age_s, MAX_NOTICE_INTERVAL_S)
            log.event(
                "member_unavailable",
                level="WARNING",
                reason="folder_not_open",
                age_s=round(age_s, 1),
                number=self._dropped,
            )

    def end(self) -> None:
        """Ends the wait: the member runs."""
        self._since = None


def log_change(msg: object, document: int) -> None:
    """Logs a change that an entry's decider reports.

    Args:
        msg: output message of the decider.
        document: number of the document in force at the entry.
    """
    if isinstance(msg, feed.SearcherUpdated):
        _log_searcher(msg.row)
    elif isinstance(msg, feed.SlowSearchers):
        _log_slow(msg)
    elif isinstance(msg, feed.DifferenceRejected):
        _log_rejected_difference(msg)
    elif isinstance(msg, feed.EvacuationsUpdated):
        log_evacuations(msg.rows)
    elif isinstance(msg, feed.ReadyChanged):
        log.event("ready", ready=msg.ready, document=document)


def log_evacuations(rows: Iterable[Evacuation]) -> None:
    """Logs which evacuations of data centres begin or end."""
    for row in rows:
        log.event(
            "evacuation",
            data_centre=row.data_centre,
            active=row.active,
            number=row.number,
        )


class StandingLog:
    """Logs changes in the standing of requests, within a budget of lines.

    A crash of many searchers makes hundreds of requests suspect at once, and
    each entry receives all of these changes.
    """

    def __init__(self):
        self._budget = LineBudget(STANDING_LINES_PER_S, STANDING_LINES_BURST)

    def note(self, now: float, row: feed.Suspect) -> None:
        """Logs one change, and how many were left out since the last line."""
        if self._budget.try_take(now):
            _log_standing(row, self._budget.reset_dropped())


def _log_standing(row: feed.Suspect, dropped: int) -> None:
    standing = standing_of(row)
    is_cleared = standing is Standing.WATCHED
    log.event(
        "request_standing",
        level="INFO" if is_cleared else "WARNING",
        digest=row.fingerprint.hex(),
        route=row.route,
        standing="cleared" if is_cleared else standing.value,
        epoch=row.epoch,
        searcher=_format_keys((*row.ended, *row.failed)),
        left_out=dropped,
    )


def _format_keys(keys: Iterable[feed.SearcherKey]) -> str:
    return ",".join(f"{key.searcher_id}@{key.start}" for key in keys)


def log_no_route(info: RequestInfo, path: str, document: int) -> None:
    """Logs that no route of the document matches a request."""
    log.event(
        "no_route",
        request_id=info.request_id,
        host=info.host,
        path=path,
        document=document,
    )


def log_unauthenticated(info: RequestInfo, route: str, document: int) -> None:
    """Logs that a request's key is missing or unknown, without the key."""
    log.event(
        "unauthenticated",
        request_id=info.request_id,
        route=route,
        reason="unknown key" if info.key else "missing key",
        document=document,
    )


def _log_searcher(row: feed.SearcherRow) -> None:
    """Logs the new state of a searcher at an entry."""
    log.event(
        "searcher",
        id=row.searcher_id,
        service=row.service,
        address=row.address,
        state=row.state.value,
        sequence=row.sequence,
        start=row.start,
    )


def _log_slow(msg: feed.SlowSearchers) -> None:
    """Logs which slow searchers an entry avoids, and for how long."""
    ids = ",".join(key.searcher_id for key in msg.searchers)
    log.event("searcher_slow", searcher=ids, for_s=msg.for_s)


def _log_rejected_difference(msg: feed.DifferenceRejected) -> None:
    """Logs why a difference is rejected; the whole document is fetched."""
    log.event(
        "difference_refused",
        level="WARNING",
        peer=msg.source,
        version=msg.number,
        reason=msg.reason,
    )
