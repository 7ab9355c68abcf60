"""Writes log events as lines of key=value pairs."""

from __future__ import annotations

import json
import sys
import traceback
from pathlib import Path
from typing import Any

from greengagemoor.util.line_writer import LineWriter

MAX_FRAMES = 8
"""Innermost stack frames of an exception that are logged."""
_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"

_line_writer: LineWriter | None = None


def configure_loguru(level: str, instance: str) -> None:
    """Sends log lines of at least ``level`` to standard error."""
    from loguru import logger

    logger.remove()
    logger.add(
        sys.stderr, level=level, format=_FORMAT, backtrace=False, diagnose=False
    )
    logger.configure(extra={"instance": instance})


def pairs(**fields: Any) -> str:
    """Formats fields as key=value pairs; quotes values where needed."""
    return " ".join(
        f"{key}={_format_value(value)}" for key, value in fields.items()
    )


def _format_value(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else _to_text(value)
    is_plain = text and all(c.isprintable() and c not in ' "=' for c in text)
    return text if is_plain else json.dumps(text)


def _to_text(value: Any) -> str:
    try:
        return str(value)
    except Exception:
        # The line may report an error in an exception handler.
        return f"<{type(value).__name__}>"


def describe(exc: BaseException) -> str:
    """Returns the type and the text of an exception; never raises."""
    return f"{type(exc).__name__}: {_to_text(exc)}"


def where(exc: BaseException) -> str:
    """Returns the stack frames of an exception on one line, innermost last."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    return " ".join(
        f"{Path(frame.filename).name}:{frame.lineno}:{frame.name}"
        for frame in frames
    )


def configure_line_writer(instance: str) -> LineWriter:
    """Sends log lines to standard output without ever blocking.

    loguru is not used here: its import costs memory in each process, and its
    sinks block when the reader has stopped reading.

    Returns:
        The writer; the caller must call its ``flush`` regularly.
    """
    global _line_writer
    _line_writer = LineWriter(sys.stdout.fileno(), instance)
    return _line_writer


def dropped_lines() -> int:
    """Returns how many lines were dropped so far because of a slow reader."""
    return _line_writer.dropped if _line_writer is not None else 0


def event(name: str, level: str = "INFO", **fields: Any) -> None:
    """Logs an event, if its level is enabled."""
    if _line_writer is not None:
        if level != "DEBUG":
            _line_writer.write(level, pairs(event=name, **fields))
        return
    from loguru import logger

    logger.opt(depth=1).log(level, "{}", pairs(event=name, **fields))
