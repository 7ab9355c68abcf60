"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import sys
import traceback
from pathlib import Path
from typing import Any

from greengagemoor.util.linewriter import LineWriter

MOST_FRAMES = 8
_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"

_plain: LineWriter | None = None


def set_up(level: str, instance: str) -> None:
    """Sends log lines of at least ``level`` to standard error."""
    from loguru import logger

    logger.remove()
    logger.add(
        sys.stderr, level=level, format=_FORMAT, backtrace=False, diagnose=False
    )
    logger.configure(extra={"instance": instance})


def pairs(**fields: Any) -> str:
    """Returns fields as key=value pairs; texts with spaces are quoted."""
    return " ".join(f"{key}={_show(value)}" for key, value in fields.items())


def _show(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    plain = text and all(c.isprintable() and c not in ' "=' for c in text)
    return text if plain else json.dumps(text)


def where(exc: BaseException) -> str:
    """Returns where an exception came from, innermost last, on one line."""
    frames = traceback.extract_tb(exc.__traceback__)[-MOST_FRAMES:]
    return " ".join(
        f"{Path(frame.filename).name}:{frame.lineno}:{frame.name}"
        for frame in frames
    )


def set_up_plain(instance: str) -> LineWriter:
    """Sends log lines to standard output without ever blocking.

    loguru stays out of these processes: its import costs memory in each of
    them, and its sinks wait for a reader that has stopped reading.

    Returns:
        The writer; someone must call its ``flush`` regularly.
    """
    global _plain
    _plain = LineWriter(sys.stdout.fileno(), instance)
    return _plain


def lines_lost() -> int:
    """Returns how many lines a slow reader has cost so far."""
    return _plain.dropped if _plain is not None else 0


def event(name: str, level: str = "INFO", **fields: Any) -> None:
    """Logs one event."""
    if _plain is not None:
        if level != "DEBUG":
            _plain.write(level, pairs(event=name, **fields))
        return
    from loguru import logger

    logger.opt(depth=1).log(level, "{}", pairs(event=name, **fields))
