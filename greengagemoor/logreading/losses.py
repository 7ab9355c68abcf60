"""Where answers were lost or partial, by cause and by second."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.logreading.lines import LogLine

SERVED = ("answered", "partial")
WORST_SECONDS = 10
SENT = ("sent", "sent_beside")


@attrs.define
class Losses:
    """What callers lost, in answers: 1 is a whole answer that nobody got.

    A partial answer loses one less the square of the share of its shards, as
    callers value it. What was late isn't seen here: an answer's line doesn't
    tell its objective.

    Attributes:
        answers: answers told in the logs.
        partial: how many of them left shards out.
        by_cause: loss by cause.
        by_second: loss by Unix second.
        starts: seconds from a process's start until it was ready.
    """

    answers: int = 0
    partial: int = 0
    by_cause: Counter[str] = attrs.field(factory=Counter)
    by_second: Counter[int] = attrs.field(factory=Counter)
    starts: list[tuple[str, float]] = attrs.field(factory=list)

    def add(self, at: float, cause: str, loss: float) -> None:
        """Adds a loss."""
        self.by_cause[cause] += loss
        self.by_second[int(at)] += loss


def find_losses(lines: list[LogLine]) -> Losses:
    """Returns the losses that logs tell of.

    Args:
        lines: of all processes, in order.
    """
    found = Losses()
    sends: dict[str, Counter[str]] = defaultdict(Counter)
    began: dict[str, float] = {}
    for line in lines:
        if line.event == "step" and line.get("kind") in SENT:
            sends[line.get("request_id")][line.get("service")] += 1
        elif line.event == "answer":
            asked = sends.pop(line.get("request_id"), Counter())
            _take_answer(found, line, asked)
        elif line.event == "start":
            began[line.source] = line.at
        elif line.event == "ready" and line.get("ready") == "True":
            _take_ready(found, line, began)
    return found


def _take_ready(found: Losses, line: LogLine, began: dict[str, float]) -> None:
    start = began.pop(line.source, None)
    if start is not None:
        found.starts.append((line.source, line.at - start))


def _take_answer(found: Losses, line: LogLine, asked: Counter[str]) -> None:
    found.answers += 1
    ending = line.get("ending")
    if ending == "partial":
        found.partial += 1
        _take_partial(found, line, asked)
    elif ending not in SERVED:
        found.add(line.at, ending, 1.0)


def _take_partial(found: Losses, line: LogLine, asked: Counter[str]) -> None:
    missing = list(_missing(line.get("detail")))
    shards = max(len(asked | Counter(name for name, _ in missing)), 1)
    loss = 1.0 - (1.0 - len(missing) / shards) ** 2
    for service, state in missing:
        cause = f"partial: {_cause(state, asked[service])}"
        found.add(line.at, cause, loss / len(missing))


def _missing(detail: str) -> Iterator[tuple[str, str]]:
    """Yields the services without an answer; the last part is the latest."""
    for part in detail.split(","):
        service, _, state = part.partition(":")
        if service and not state.endswith("ms"):
            yield service, state


def _cause(state: str, sends: int) -> str:
    if not state.startswith("late"):
        return {
            "waits": "no place",
            "none": "no searcher",
            "refused": "searchers refused",
            "broken": "connections broke",
        }.get(state, "searchers failed")
    if sends < 2:
        return "late, no second send"
    return "late, second send too"


def tell(found: Losses) -> Iterator[str]:
    """Yields the account, a line each."""
    total = sum(found.by_cause.values())
    yield (
        f"{found.answers} answers told, {found.partial} of them partial, "
        f"{total:.1f} lost"
    )
    for cause, loss in found.by_cause.most_common():
        yield f"{loss:8.1f}  {cause}"
    yield "worst seconds"
    for second, loss in found.by_second.most_common(WORST_SECONDS):
        yield f"{loss:8.1f}  {second}"
    if found.starts:
        times = sorted(seconds for _, seconds in found.starts)
        middle = times[len(times) // 2]
        yield (
            f"{len(times)} starts until ready, median {middle:.2f} s, "
            f"longest {times[-1]:.2f} s"
        )
