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
