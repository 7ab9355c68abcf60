"""Calls of the soak's own callers."""

from __future__ import annotations

import asyncio

from soak.searchers import call


class AnswersAtOnce:
    """Stands for a pool: the answer comes in the next turn of the loop."""

    def send(self, address, data, done, is_mine):
        asyncio.get_running_loop().call_soon(done, None)
        return self

    def cancel(self):
        """Nothing runs."""


class TestCall:
    """A call ends when it is cancelled."""

    def test_also_together_with_its_answer(self):
        """A run of the soak never ended, after all its processes had.

        Its callers were cancelled just as an answer came; the wait kept the
        cancellation to itself, and they asked again, for ever:

            connect(6, 127.33.2.1:8226) = ECONNREFUSED, 1,200 times a second
        """

        async def ask_on():
            for _ in range(5):
                await call(AnswersAtOnce(), "127.0.0.1:1", "GET", "/")

        async def run():
            task = asyncio.create_task(ask_on())
            await asyncio.sleep(0)
            asyncio.get_running_loop().call_soon(task.cancel)
            await asyncio.wait([task])
            return task.cancelled()

        assert asyncio.run(run())
