"""Parses lines of key=value pairs, whatever stands in front of them."""

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
        at: unix seconds, by the clock of the machine that wrote it.
        source: the process: the line's own field, what stood in front of the
            line, or the file's name.
    """

    at: float
    source: str
    event: str
    fields: dict[str, str]

    def get(self, name: str, default: str = "") -> str:
        """Returns a field as text."""
        return self.fields.get(name, default)


def read_lines(texts: Iterable[str], source: str = "") -> list[LogLine]:
    """Returns the events among lines; what is none is left out."""
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
    words = text[:start].split()
    name = fields.get("instance") or (words[-1] if words else source)
    return LogLine(at, name, event, fields)


def _pairs(text: str) -> Iterator[tuple[str, str]]:
    for match in PAIR.finditer(text):
        value = match[2]
        yield match[1], json.loads(value) if value[:1] == '"' else value


def merge(sources: Iterable[list[LogLine]]) -> list[LogLine]:
    """Returns the lines of all sources in the order of their clocks."""
    return sorted(
        (line for lines in sources for line in lines), key=lambda x: x.at
    )
