"""What a process believes of others, for logs and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.feed import messages as feed
from greengagemoor.feed.suspects import Standing, standing_of
from greengagemoor.util.linebudget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagemoor.control.decider import ControlDecider
    from greengagemoor.control.evacuations import Evacuation
    from greengagemoor.serving.dialect import CallerWords

STANDINGS_PER_S = 5.0
STANDINGS_BURST = 50.0


class Beliefs:
    """Logs each change of role and document, and keeps what was told last."""

    def __init__(self):
        self._decider: ControlDecider | None = None
        self._role: tuple[str, int, str] = ("", 0, "")
        self._number = 0

    def note(self, decider: ControlDecider) -> None:
        """Looks at the member after a tick; logs what has changed."""
        self._decider = decider
        state = decider.state
        role = (state.role.value, state.term, state.leader_instance)
        if role != self._role:
            self._role = role
            log.event("role", role=role[0], term=role[1], leader=role[2])
        number = state.machine.numbered.number
        if number != self._number:
            self._number = number
            log.event("document", version=number)

    def gauges(self) -> dict[str, float]:
        """Returns numbers of the moment, for metrics."""
        group = self._decider.status().gauges() if self._decider else {}
        return {
            **group,
            "leads": float(self._role[0] == "leader"),
            "term": self._role[1],
            "document_version": self._number,
        }


def tell(msg: object, document: int) -> None:
    """Logs what an entry has learnt.

    Args:
        msg: what its decider says.
        document: number of the document in force there.
    """
    if isinstance(msg, feed.SearcherLearnt):
        _tell_searcher(msg.row)
    elif isinstance(msg, feed.SlowSearchers):
        _tell_slow(msg)
    elif isinstance(msg, feed.DifferenceRefused):
        _tell_refused(msg)
    elif isinstance(msg, feed.EvacuationsLearnt):
        tell_evacuations(msg.rows)
    elif isinstance(msg, feed.ReadyChanged):
        log.event("ready", ready=msg.ready, document=document)


def tell_evacuations(rows: Iterable[Evacuation]) -> None:
    """Tells which data centres are evacuated from now on, or no more."""
    for row in rows:
        log.event(
            "evacuation",
            data_centre=row.data_centre,
            active=row.active,
            number=row.number,
        )


class StandingLog:
    """Tells what a process thinks of requests, within a budget of lines.

    A crash of many searchers makes hundreds suspect at the same moment, and
    each entry hears of all of them.
    """

    def __init__(self):
        self._budget = LineBudget(STANDINGS_PER_S, STANDINGS_BURST)

    def note(self, now: float, row: feed.Suspect) -> None:
        """Tells one, and how many were left out since the last one."""
        if self._budget.take(now):
            _tell_standing(row, self._budget.take_dropped())


def _tell_standing(row: feed.Suspect, dropped: int) -> None:
    standing = standing_of(row)
    is_free = standing is Standing.WATCHED
    log.event(
        "request_standing",
        level="INFO" if is_free else "WARNING",
        digest=row.fingerprint.hex(),
        route=row.route,
        standing="cleared" if is_free else standing.value,
        epoch=row.epoch,
        searcher=_starts((*row.ended, *row.failed)),
        left_out=dropped,
    )


def _starts(keys: Iterable[feed.SearcherKey]) -> str:
    return ",".join(f"{key.searcher_id}@{key.start}" for key in keys)


def tell_no_route(words: CallerWords, path: str, document: int) -> None:
    """Tells that no route of the document allows a request."""
    log.event(
        "no_route",
        request_id=words.request_id,
        host=words.host,
        path=path,
        document=document,
    )


def _tell_searcher(row: feed.SearcherRow) -> None:
    """Tells what an entry believes of a searcher from now on."""
    log.event(
        "searcher",
        id=row.searcher_id,
        service=row.service,
        address=row.address,
        state=row.state.value,
        sequence=row.sequence,
        start=row.start,
    )


def _tell_slow(msg: feed.SlowSearchers) -> None:
    """Tells which searchers an entry leaves alone for a while."""
    ids = ",".join(key.searcher_id for key in msg.searchers)
    log.event("searcher_slow", searcher=ids, for_s=msg.for_s)


def _tell_refused(msg: feed.DifferenceRefused) -> None:
    """Tells that a document has to be fetched whole, and why."""
    log.event(
        "difference_refused",
        level="WARNING",
        peer=msg.source,
        version=msg.number,
        reason=msg.reason,
    )
