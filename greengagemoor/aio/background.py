"""Background tasks, and log lines for exceptions that nothing else handles."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from greengagemoor import log
from greengagemoor.util.line_budget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

LINES_PER_S = 0.2
"""Lines a second for the failures of one task."""
LINES_BURST = 5.0
MAX_BUDGETS = 200
"""Tasks whose lines are counted apart."""

_failures = 0
_budgets: dict[str, LineBudget] = {}
_running: set[asyncio.Task] = set()
"""An event loop itself holds only weak references to its tasks."""


def log_unhandled_exceptions() -> None:
    """Logs exceptions that end a task or a callback of the running loop.

    By default asyncio writes them to standard error in several lines, and those
    of a task only once the task object is deleted.
    """
    asyncio.get_running_loop().set_exception_handler(_handle_context)


def spawn(name: str, coro: Coroutine[Any, Any, Any]) -> asyncio.Task:
    """Starts a task; an exception that ends it is logged when that happens."""
    task = asyncio.get_running_loop().create_task(coro, name=name)
    _running.add(task)
    task.add_done_callback(_note_end)
    return task


def run_periodically(
    name: str, interval_s: float, callback: Callable[[], None]
) -> asyncio.Task:
    """Calls a function at an interval until the task is cancelled.

    An exception is logged and counted; the next call follows all the same.

    Args:
        name: names the task in log lines.
        interval_s: seconds before each call.
        callback: must not block.
    """
    return spawn(name, _repeat(name, interval_s, callback))


async def _repeat(
    name: str, interval_s: float, callback: Callable[[], None]
) -> None:
    while True:
        await asyncio.sleep(interval_s)
        try:
            callback()
        except Exception as exc:
            log_failure(name, exc)


def failures() -> int:
    """Returns how many exceptions no task or callback has handled so far."""
    return _failures


def log_failure(name: str, exc: BaseException) -> None:
    """Logs and counts an exception that no task or callback handled.

    Lines beyond a rate for each name are left out, and counted in the next.
    """
    global _failures
    _failures += 1
    budget = _budget_for(name)
    if budget.try_take(time.monotonic()):
        log.event(
            "task_failed",
            level="ERROR",
            task=name,
            reason=log.describe(exc),
            where=log.where(exc),
            left_out=budget.reset_dropped(),
        )


def _budget_for(name: str) -> LineBudget:
    budget = _budgets.get(name)
    if budget is None:
        if len(_budgets) >= MAX_BUDGETS:
            # Names hold addresses, of which there may be ever more.
            _budgets.clear()
        budget = _budgets[name] = LineBudget(LINES_PER_S, LINES_BURST)
    return budget


def _note_end(task: asyncio.Task) -> None:
    _running.discard(task)
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
