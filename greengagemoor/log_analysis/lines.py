"""Parses log lines of key=value pairs, with or without a prefix."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ "]*)')


@attrs.frozen
class LogLine:
    """One event of one process.

    Attributes:
        time: Unix seconds, by the clock of the machine that wrote the line.
        source: name of the process, from the line's ``instance`` field, else
            the last word before the line, else the file name.
    """

    time: float
    source: str
    event: str
    fields: dict[str, str]

    def get(self, name: str, default: str = "") -> str:
        """Returns the text of a field."""
        return self.fields.get(name, default)


def read_lines(texts: Iterable[str], source: str = "") -> list[LogLine]:
    """Returns the events in log lines; skips lines without one."""
    return [line for text in texts if (line := _read(text, source))]


def _read(text: str, source: str) -> LogLine | None:
    start = text.find("time=")
    if start < 0:
        return None
    fields = dict(_pairs(text[start:]))
    try:
        at = float(fields["time"])
        event = fields["event"]
    except (KeyError, ValueError):
        return None
    prefix_words = text[:start].split()
    name = fields.get("instance") or (
        prefix_words[-1] if prefix_words else source
    )
    return LogLine(at, name, event, fields)


def _pairs(text: str) -> Iterator[tuple[str, str]]:
    for match in PAIR.finditer(text):
        value = match[2]
        yield match[1], json.loads(value) if value[:1] == '"' else value


def merge(sources: Iterable[list[LogLine]]) -> list[LogLine]:
    """Returns the lines of all sources, sorted by time."""
    return sorted(
        (line for lines in sources for line in lines), key=lambda x: x.time
    )
