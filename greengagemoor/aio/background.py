"""Background tasks, and log lines for exceptions that nothing else handles."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from greengagemoor import log

if TYPE_CHECKING:
    from collections.abc import Coroutine

_failures = 0


def log_unhandled_exceptions() -> None:
    """Logs exceptions that end a task or a callback of the running loop.

    By default asyncio writes them to standard error in several lines, and those
    of a task only once the task object is deleted.
    """
    asyncio.get_running_loop().set_exception_handler(_handle_context)


def spawn(name: str, coro: Coroutine[Any, Any, None]) -> asyncio.Task:
    """Starts a task; an exception that ends it is logged when that happens."""
    task = asyncio.get_running_loop().create_task(coro, name=name)
    task.add_done_callback(_log_if_failed)
    return task


def failures() -> int:
    """Returns how many tasks and callbacks an exception has ended so far."""
    return _failures


def log_failure(name: str, exc: BaseException) -> None:
    """Logs and counts an exception that ended a task or a callback."""
    global _failures
    _failures += 1
    log.event(
        "task_failed",
        level="ERROR",
        task=name,
        reason=log.describe(exc),
        where=log.where(exc),
    )


def _log_if_failed(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        log_failure(task.get_name(), task.exception())


def _handle_context(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    exc = context.get("exception")
    if exc is None:
        loop.default_exception_handler(context)
        return
    task = context.get("task") or context.get("future")
    name = task.get_name() if isinstance(task, asyncio.Task) else ""
    log_failure(name or context["message"], exc)
