"""Explains one request from logs: its history and the reason for its end."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.log_analysis.lines import LogLine

SEARCHER_LOOKBACK_S = 5.0
"""Seconds before an answer in which changes of searchers are reported."""
REASONS = {
    "answered": "it was answered in full",
    "partial": "the time for a whole answer was over, or a shard was given up",
    "searcher_failed": "the searchers that were asked reported a failure",
    "below_coverage": "too few shards could still answer",
    "no_answer": "no answer before its deadline, or before the entry shut down",
    "broken": "a connection broke after the request had been sent",
    "not_run_no_searcher": "no searcher could be asked",
    "not_run_busy": "no searcher had a free connection for it in time",
    "not_run_refused": "each searcher that was asked refused to run it",
    "not_run_suspect": "searchers crashed while running it; a trial goes first",
    "not_run_quarantined": "it crashes the searchers that run it",
    "not_run_quota": "its account was over its quota",
    "not_run_no_quota": "no control instance told the quota of its account",
    "not_run_overload": "capacity was short, or too few shards could answer",
    "not_run_leaving": "the entry was shutting down; another one serves it",
    "not_run_deadline": "its deadline had passed when it arrived",
}

STEP_TEXTS = {
    "quota": "held until then for the quota of its account",
    "waits": "waits: no searcher has a free connection",
    "held": "held until a trial of this request has completed",
    "refused": "refused by admission control before anything was sent",
    "trial": "the send is the trial of this request",
}


def explain(lines: list[LogLine], request_id: str) -> list[str]:
    """Returns the history of a request, as lines.

    Args:
        lines: log lines of all processes, by time.
        request_id: id that the caller gave to one attempt.
    """
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        return [f"no log line names request {request_id}"]
    return [*_history(own), *_conclusion(lines, own)]


def _history(own: list[LogLine]) -> Iterator[str]:
    steps = [line for line in own if line.event == "step"]
    for line in sorted(steps, key=lambda x: float(x.get("after_ms", "0"))):
        yield f"{float(line.get('after_ms')):8.1f} ms  {_format_step(line)}"
    for line in own:
        if line.event == "answer":
            yield (
                f"{float(line.get('elapsed_ms')):8.1f} ms  {line.source} "
                f"answers: {line.get('ending')}, {line.get('sends')} sends, "
                f"route {line.get('route')}, document {line.get('document')}"
            )
        elif line.event == "no_route":
            yield (
                f"{line.source} has no route for {line.get('host')}"
                f"{line.get('path')} in document {line.get('document')}"
            )


def _format_step(line: LogLine) -> str:
    kind = line.get("kind")
    place = f"{line.get('service')} {line.get('searcher')}".strip()
    if kind == "ended":
        return f"{place} ended: {line.get('note')}"
    if kind in STEP_TEXTS:
        return f"{place} {STEP_TEXTS[kind]}".strip()
    return (
        f"{place} {kind.replace('_', ' ')} (cost {line.get('cost')}, "
        f"{line.get('own')} own and {line.get('others')} others there, "
        f"reported {line.get('load_age_ms')} ms ago)"
    )


def _conclusion(lines: list[LogLine], own: list[LogLine]) -> Iterator[str]:
    answer = next((line for line in own if line.event == "answer"), None)
    if answer is None:
        yield "no answer in the logs: request cancelled, or process ended"
        return
    ending = answer.get("ending")
    yield f"reason: {REASONS.get(ending, ending)}"
    if answer.get("detail"):
        yield f"  {answer.get('detail')}"
    notes = Counter(
        f"{line.get('service')}: {line.get('note')}"
        for line in own
        if line.event == "step"
        and line.get("kind") == "ended"
        and not line.get("note").startswith("2")
    )
    yield from (f"  {number} x {note}" for note, number in notes.items())
    yield from _searcher_states(lines, own, answer)


def _searcher_states(
    lines: list[LogLine], own: list[LogLine], answer: LogLine
) -> Iterator[str]:
    """Yields state changes of the involved searchers shortly before the end."""
    asked = {line.get("searcher") for line in own} - {""}
    for line in lines:
        recent = answer.time - SEARCHER_LOOKBACK_S <= line.time <= answer.time
        same = line.source == answer.source and line.event == "searcher"
        if recent and same and line.get("id") in asked:
            ago = answer.time - line.time
            yield f"  {line.get('id')} {line.get('state')} {ago:.1f} s before"
