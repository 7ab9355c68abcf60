"""Exceptions that end background work are logged when that happens."""

from __future__ import annotations

import asyncio

import pytest

from greengagemoor.aio import background
from tests.test_aio.helpers import run


@pytest.fixture
def events(monkeypatch):
    """Returns the fields of all lines logged in a test."""
    written = []
    monkeypatch.setattr(
        "greengagemoor.log.event",
        lambda name, **fields: written.append({"event": name, **fields}),
    )
    return written


async def fail():
    """Ends a task by an exception."""
    await asyncio.sleep(0)
    raise KeyError("missing")


class TestFailures:
    """Failures of tasks and callbacks leave one line and are counted."""

    def test_failed_task_is_logged_while_it_is_referenced(self, events):
        """Guards against a task whose end nobody sees."""

        async def play():
            task = background.spawn("store", fail())
            await asyncio.wait([task])
            await asyncio.sleep(0)
            return task

        before = background.failures()
        run(play())
        (line,) = events
        assert (line["event"], line["task"]) == ("task_failed", "store")
        assert line["reason"] == "KeyError: 'missing'"
        assert "test_background.py" in line["where"]
        assert background.failures() == before + 1

    def test_failed_callback_is_logged(self, events):
        """Guards against a timer that stops because its callback failed."""

        async def play():
            background.log_unhandled_exceptions()
            asyncio.get_running_loop().call_soon([].pop)
            await asyncio.sleep(0.01)

        run(play())
        assert [line["event"] for line in events] == ["task_failed"]
        assert "pop from empty list" in events[0]["reason"]

    def test_cancelled_task_is_no_failure(self, events):
        async def play():
            task = background.spawn("store", asyncio.sleep(10))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])

        run(play())
        assert events == []
