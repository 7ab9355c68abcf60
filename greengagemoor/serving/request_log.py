"""Log lines of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.forward.messages import Ending
from greengagemoor.util.line_budget import LineBudget

if TYPE_CHECKING:
    from greengagemoor.forward.messages import Respond, Step

EXPECTED_PER_S = 40.0
"""Lines a second for requests that went as expected: twice the rate of an entry
under normal load. Above it the lines are a sample."""
OTHERS_PER_S = 400.0
"""Lines a second for all other requests: enough for ten with all steps."""
BURST_S = 2.0
"""Lines of this many seconds, at the rates above, may be written at once."""
DROPPED_INTERVAL_S = 1.0
"""Shortest interval between lines that report the number of dropped lines."""


class RequestLog:
    """Logs one line for an expected answer, and all steps of any other.

    A request that was answered in full, within its objective and without a
    repeat gives one line, within a budget. One that was late, partial,
    rejected, failed or repeated gives a line for each step as well, within
    another budget, so that a burst of expected answers can't displace the
    lines that an operator looks for.
    """

    def __init__(self):
        self._expected = LineBudget(EXPECTED_PER_S, EXPECTED_PER_S * BURST_S)
        self._others = LineBudget(OTHERS_PER_S, OTHERS_PER_S * BURST_S)
        self._dropped_logged_at = 0.0

    def note(self, now: float, msg: Respond, document: int) -> None:
        """Logs the end of a request.

        Args:
            now: seconds.
            msg: its final answer.
            document: number of the document in force.
        """
        expected = _is_expected(msg)
        budget = self._expected if expected else self._others
        if not expected:
            for step in msg.steps:
                if budget.try_take(now):
                    _log_step(msg, step)
        if budget.try_take(now):
            _log_answer(msg, document)
        if now - self._dropped_logged_at >= DROPPED_INTERVAL_S:
            self._dropped_logged_at = now
            self._log_dropped()

    def _log_dropped(self) -> None:
        dropped = self._expected.reset_dropped() + self._others.reset_dropped()
        if dropped:
            log.event("log_lines_dropped", number=dropped)


def _is_expected(msg: Respond) -> bool:
    services = len(msg.route.services) if msg.route.gather else 1
    return (
        msg.ending is Ending.ANSWERED
        and msg.elapsed_s <= msg.route.objective_s
        and msg.sends == services
    )


def _log_answer(msg: Respond, document: int) -> None:
    log.event(
        "answer",
        request_id=msg.request_id,
        route=msg.route.name,
        digest=msg.fingerprint.hex(),
        document=document,
        ending=msg.ending.value,
        elapsed_ms=round(1000 * msg.elapsed_s, 1),
        sends=msg.sends,
        detail=msg.detail,
    )


def _log_step(msg: Respond, step: Step) -> None:
    age = 1000 * step.load_age_s
    log.event(
        "step",
        request_id=msg.request_id,
        kind=step.kind.value,
        after_ms=round(1000 * step.after_s, 1),
        service=step.service,
        searcher=step.searcher_id,
        cost=round(step.cost, 2),
        own=step.own,
        others=round(step.others, 1),
        load_age_ms=round(age) if age < 1e9 else -1,
        note=step.note,
    )
