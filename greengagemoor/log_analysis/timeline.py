"""State changes of processes over time, and where two disagree."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.log_analysis.lines import LogLine

SHOWN_FIELDS = {
    "start": ("role",),
    "stop": (),
    "reload": ("seeds",),
    "role": ("role", "term", "leader"),
    "members": ("joined", "promoted", "left", "voters", "majority", "reason"),
    "join_waiting": ("asked", "linked", "reason", "age_s"),
    "member_unavailable": ("reason", "age_s", "number"),
    "document": ("version",),
    "ready": ("ready", "document"),
    "searcher": ("service", "id", "state", "sequence"),
    "link_down": ("peer",),
    "loop_blocked": ("for_s", "ran"),
    "task_failed": ("task", "reason"),
    "process_failed": ("reason",),
    "disk_failed": ("reason",),
    "disk_unusable": ("reason",),
    "disk_damaged": ("reason",),
}


def timeline(lines: list[LogLine], *, searchers: bool) -> list[str]:
    """Returns the state changes of all processes, as lines by time.

    Args:
        lines: log lines of all processes, by time.
        searchers: whether changes of searchers are included.
    """
    shown = []
    for line in lines:
        if line.event not in SHOWN_FIELDS:
            continue
        if line.event == "searcher" and not searchers:
            continue
        words = " ".join(
            f"{name}={line.get(name)}" for name in SHOWN_FIELDS[line.event]
        )
        shown.append(
            f"{line.time:14.3f} {line.source:24} {line.event:10} "
            f"{words}".rstrip()
        )
    return shown


def disagreements(lines: list[LogLine], after_s: float) -> list[str]:
    """Returns where processes disagree, as lines.

    That is two leaders in one term, and an older document than another process
    has.

    Args:
        lines: log lines of all processes, by time.
        after_s: seconds for which an older document is not reported.
    """
    return [*_two_leaders(lines), *_behind(lines, after_s)]


def _two_leaders(lines: list[LogLine]) -> Iterator[str]:
    by_term: dict[str, str] = {}
    for line in lines:
        if line.event != "role" or line.get("role") != "leader":
            continue
        first = by_term.setdefault(line.get("term"), line.source)
        if first != line.source:
            yield (
                f"{line.time:.3f} {line.source} leads term {line.get('term')}, "
                f"as does {first}"
            )


def _behind(lines: list[LogLine], after_s: float) -> Iterator[str]:
    newest, since = 0, 0.0
    held: dict[str, int] = {}
    reported: set[tuple[str, int]] = set()
    for line in lines:
        if line.event == "start":
            held.pop(line.source, None)
        elif line.event == "document":
            version = int(line.get("version"))
            held[line.source] = max(version, held.get(line.source, 0))
            if version > newest:
                newest, since = version, line.time
        if line.time - since <= after_s:
            continue
        for source, version in held.items():
            if version < newest and (source, newest) not in reported:
                reported.add((source, newest))
                yield (
                    f"{line.time:.3f} {source} still has document {version}, "
                    f"{newest} was seen {line.time - since:.1f} s ago"
                )
