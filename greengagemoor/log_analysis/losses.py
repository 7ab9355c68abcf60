"""Lost and partial answers in logs, by cause and by second."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.log_analysis.lines import LogLine

SERVED = ("answered", "partial")
WORST_SECONDS = 10
"""Seconds listed in the report: those with the largest losses."""
SENT = ("sent", "sent_beside")


@attrs.define
class Losses:
    """What callers lost, in answers: 1 is an answer that was not given.

    A partial answer counts as a loss of 1 minus the square of the share of
    shards that it covers, as callers value it. Late answers are not counted:
    the log line of an answer does not contain the objective of its route.

    Attributes:
        answers: number of answers in the logs.
        partial: number of those that omit shards.
        by_cause: loss by cause.
        by_second: loss by Unix second.
        starts: (process, seconds from its start until it was ready).
    """

    answers: int = 0
    partial: int = 0
    by_cause: Counter[str] = attrs.field(factory=Counter)
    by_second: Counter[int] = attrs.field(factory=Counter)
    starts: list[tuple[str, float]] = attrs.field(factory=list)

    def add(self, at: float, cause: str, loss: float) -> None:
        """Adds ``loss`` at Unix time ``at``."""
        self.by_cause[cause] += loss
        self.by_second[int(at)] += loss


def find_losses(lines: list[LogLine]) -> Losses:
    """Returns the losses found in logs.

    Args:
        lines: log lines of all processes, by time.
    """
    losses = Losses()
    sends: dict[str, Counter[str]] = defaultdict(Counter)
    started: dict[str, float] = {}
    for line in lines:
        if line.event == "step" and line.get("kind") in SENT:
            sends[line.get("request_id")][line.get("service")] += 1
        elif line.event == "answer":
            asked = sends.pop(line.get("request_id"), Counter())
            _add_answer(losses, line, asked)
        elif line.event == "start":
            started[line.source] = line.time
        elif line.event == "ready" and line.get("ready") == "True":
            _add_ready(losses, line, started)
    return losses


def _add_ready(
    losses: Losses, line: LogLine, started: dict[str, float]
) -> None:
    start = started.pop(line.source, None)
    if start is not None:
        losses.starts.append((line.source, line.time - start))


def _add_answer(losses: Losses, line: LogLine, asked: Counter[str]) -> None:
    losses.answers += 1
    ending = line.get("ending")
    if ending == "partial":
        losses.partial += 1
        _add_partial(losses, line, asked)
    elif ending not in SERVED:
        losses.add(line.time, ending, 1.0)


def _add_partial(losses: Losses, line: LogLine, asked: Counter[str]) -> None:
    missing = list(_missing(line.get("detail")))
    shards = max(len(asked | Counter(name for name, _ in missing)), 1)
    loss = 1.0 - (1.0 - len(missing) / shards) ** 2
    for service, state in missing:
        cause = f"partial: {_cause(state, asked[service])}"
        losses.add(line.time, cause, loss / len(missing))


def _missing(detail: str) -> Iterator[tuple[str, str]]:
    """Yields (service, state) of the services without an answer.

    Skips the part that names the last service to answer and its time.
    """
    for part in detail.split(","):
        service, _, state = part.partition(":")
        if service and not state.endswith("ms"):
            yield service, state


def _cause(state: str, sends: int) -> str:
    if not state.startswith("late"):
        return {
            "waits": "no free connection",
            "none": "no searcher",
            "refused": "searchers refused",
            "broken": "connections broke",
        }.get(state, "searchers failed")
    if sends < 2:
        return "late, no second send"
    return "late, second send too"


def format_report(losses: Losses) -> Iterator[str]:
    """Yields the report line by line."""
    total = sum(losses.by_cause.values())
    yield (
        f"{losses.answers} answers logged, {losses.partial} of them partial, "
        f"{total:.1f} lost"
    )
    for cause, loss in losses.by_cause.most_common():
        yield f"{loss:8.1f}  {cause}"
    yield "seconds with the largest losses"
    for second, loss in losses.by_second.most_common(WORST_SECONDS):
        yield f"{loss:8.1f}  {second}"
    if losses.starts:
        times = sorted(seconds for _, seconds in losses.starts)
        middle = times[len(times) // 2]
        yield (
            f"{len(times)} starts, until ready: median {middle:.2f} s, "
            f"longest {times[-1]:.2f} s"
        )
