"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import sys
from typing import Any

from loguru import logger

_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"


def set_up(level: str, instance: str) -> None:
    """Sends log lines of at least ``level`` to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_FORMAT)
    logger.configure(extra={"instance": instance})


def pairs(**fields: Any) -> str:
    """Returns fields as key=value pairs; texts with spaces are quoted."""
    return " ".join(f"{key}={_show(value)}" for key, value in fields.items())


def _show(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    plain = text and all(c.isprintable() and c not in ' "=' for c in text)
    return text if plain else json.dumps(text)


def event(name: str, level: str = "INFO", **fields: Any) -> None:
    """Logs one event."""
    logger.opt(depth=1).log(level, "{}", pairs(event=name, **fields))
