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
    monkeypatch.setattr(background, "_budgets", {})
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


class TestPeriodicCalls:
    """A periodic call goes on after an exception."""

    def test_next_call_follows_a_failed_one(self, events):
        """Guards against a timer that stops at its first exception."""

        async def play():
            done = asyncio.Event()
            calls = []

            def callback():
                calls.append(1)
                if len(calls) == 3:
                    done.set()
                raise ValueError(str(len(calls)))

            task = background.run_periodically("check", 0.001, callback)
            await done.wait()
            task.cancel()
            await asyncio.wait([task])

        before = background.failures()
        run(play())
        assert [line["reason"] for line in events] == [
            "ValueError: 1",
            "ValueError: 2",
            "ValueError: 3",
        ]
        assert {line["task"] for line in events} == {"check"}
        assert background.failures() == before + 3

    def test_cancelled_one_ends(self, events):
        """Guards against a call after the owner has stopped."""
        calls = []

        async def play():
            task = background.run_periodically(
                "check", 0.0, lambda: calls.append(1)
            )
            task.cancel()
            await asyncio.wait([task])

        run(play())
        assert (calls, events) == ([], [])


class TestRateOfLines:
    """A task that fails again and again leaves few lines."""

    @pytest.fixture(autouse=True)
    def clock(self, monkeypatch):
        """Replaces the clock of the budgets; returns its settable time."""
        now = [1000.0]
        monkeypatch.setattr(background.time, "monotonic", lambda: now[0])
        return now

    def test_lines_beyond_the_rate_are_counted(self, events, clock):
        """Guards against a failing task that displaces all other lines."""
        before = background.failures()
        for _ in range(100):
            background.log_failure("check", ValueError("x"))
        kept = len(events)
        clock[0] += 60.0
        background.log_failure("check", ValueError("x"))
        assert kept == background.LINES_BURST
        assert events[-1]["left_out"] == 100 - kept
        assert background.failures() == before + 101

    def test_other_task_still_gets_its_line(self, events):
        """Guards against the first failure of a task without a line."""
        for _ in range(100):
            background.log_failure("check", ValueError("x"))
        background.log_failure("store", KeyError("y"))
        assert events[-1]["task"] == "store"

    def test_number_of_budgets_is_bounded(self, events):
        """Guards against memory that grows with each new name."""
        for number in range(3 * background.MAX_BUDGETS):
            background.log_failure(f"dial {number}", ValueError("x"))
        assert len(background._budgets) <= background.MAX_BUDGETS
