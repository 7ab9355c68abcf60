"""What each process believed over time, and where two disagreed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greengagemoor.logreading.lines import LogLine

TOLD = {
    "start": ("role",),
    "stop": (),
    "reload": ("seeds",),
    "role": ("role", "term", "leader"),
    "members": ("joined", "promoted", "left", "voters", "majority", "reason"),
    "join_waiting": ("asked", "reason", "age_s"),
    "document": ("version",),
    "ready": ("ready", "document"),
    "searcher": ("service", "id", "state", "sequence"),
    "link_down": ("peer",),
    "disk_failed": ("reason",),
    "disk_unusable": ("reason",),
    "disk_damaged": ("reason",),
}


def timeline(lines: list[LogLine], *, searchers: bool) -> list[str]:
    """Returns changes of belief in order, a line each.

    Args:
        lines: of all processes, in order.
        searchers: whether changes of searchers are shown.
    """
    told = []
    for line in lines:
        if line.event not in TOLD:
            continue
        if line.event == "searcher" and not searchers:
            continue
        words = " ".join(
            f"{name}={line.get(name)}" for name in TOLD[line.event]
        )
        told.append(
            f"{line.at:14.3f} {line.source:24} {line.event:10} {words}".rstrip()
        )
    return told


def disagreements(lines: list[LogLine], after_s: float) -> list[str]:
    """Returns where one process held an older document than another.

    Args:
        lines: of all processes, in order.
        after_s: for how long that is usual.
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
                f"{line.at:.3f} {line.source} leads term {line.get('term')}, "
                f"and so did {first}"
            )


def _behind(lines: list[LogLine], after_s: float) -> Iterator[str]:
    newest, since = 0, 0.0
    held: dict[str, int] = {}
    told: set[tuple[str, int]] = set()
    for line in lines:
        if line.event == "start":
            held.pop(line.source, None)
        elif line.event == "document":
            version = int(line.get("version"))
            held[line.source] = max(version, held.get(line.source, 0))
            if version > newest:
                newest, since = version, line.at
        if line.at - since <= after_s:
            continue
        for source, version in held.items():
            if version < newest and (source, newest) not in told:
                told.add((source, newest))
                yield (
                    f"{line.at:.3f} {source} still has document {version}, "
                    f"{newest} was seen {line.at - since:.1f} s ago"
                )
