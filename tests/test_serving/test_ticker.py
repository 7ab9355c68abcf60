"""The ticker logs how long the event loop was blocked, and by what."""

from __future__ import annotations

import asyncio
import time

import pytest

from greengagemoor.serving import ticker
from greengagemoor.serving.ticker import Ticker
from greengagemoor.shell.clock import Clock
from tests.test_aio.helpers import run

BLOCK_S = 0.4


@pytest.fixture
def blocks(monkeypatch):
    """Returns (duration in s, what ran) of each line about a block."""
    written = []
    monkeypatch.setattr(
        ticker.log,
        "event",
        lambda name, **fields: written.append((fields["for_s"], fields["ran"])),
    )
    return written


class TestBlockedLoop:
    """A loop that stands still can be told from one that is idle."""

    def test_long_tick_is_logged(self, blocks):
        """Guards against a loop blocked by a tick without a trace of it."""

        async def play():
            Ticker(Clock(), lambda now, msgs: time.sleep(BLOCK_S)).tick()

        run(play())
        assert "tick" in {ran for for_s, ran in blocks if for_s >= BLOCK_S}

    def test_long_callback_is_logged(self, blocks):
        """Guards against a loop blocked by a callback without a trace."""

        async def play():
            Ticker(Clock(), lambda now, msgs: now).tick()
            time.sleep(BLOCK_S)
            await asyncio.sleep(0.01)

        run(play())
        assert "other" in {ran for _, ran in blocks}


class TestFailures:
    """A failing message or tick ends no others."""

    def test_other_messages_of_a_tick_are_handled(self):
        """Guards against answers lost because another message fails."""
        handled = []

        def handle(msg):
            if msg == "bad":
                raise KeyError(msg)
            handled.append(msg)

        async def play():
            one = Ticker(Clock(), lambda now, msgs: None)
            for msg in ("a", "bad", "b"):
                one.isolate(handle, msg)
            return one.failures

        assert run(play()) == 1
        assert handled == ["a", "b"]

    def test_tick_follows_a_failed_one(self, monkeypatch):
        """Guards against timers that stop at the first failed tick."""
        monkeypatch.setattr(ticker, "MAX_SLEEP_S", 0.005)

        async def play():
            done = asyncio.Event()
            ticks = []

            def tick(now, msgs):
                ticks.append(now)
                if len(ticks) == 3:
                    done.set()
                raise ValueError("x")

            Ticker(Clock(), tick).tick()
            await done.wait()

        run(play())

    def test_lines_of_failures_are_bounded(self, monkeypatch):
        """Guards against a decider that fills the log."""
        lines = []
        monkeypatch.setattr(
            ticker.log, "event", lambda name, **fields: lines.append(fields)
        )
        monkeypatch.setattr(ticker, "FAILED_LINES_PER_S", 0.0)

        def fail(now, msgs):
            raise ValueError("x")

        async def play():
            one = Ticker(Clock(), fail)
            for _ in range(100):
                one.tick()
            return one.failures

        assert run(play()) == 100
        assert len(lines) == ticker.FAILED_LINES_BURST
