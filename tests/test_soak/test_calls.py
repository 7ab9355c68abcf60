"""HTTP calls of the soak test."""

from __future__ import annotations

import asyncio

from soak.searchers import call


class ImmediatePool:
    """Fake pool whose answer arrives in the next iteration of the loop."""

    def send(self, address, data, done, matches_request):
        asyncio.get_running_loop().call_soon(done, None)
        return self

    def cancel(self):
        """Does nothing: no send is in progress."""


class TestCall:
    """Cancellation of a call."""

    def test_cancelled_as_its_answer_arrives(self):
        """A cancelled caller ends although its answer arrives at the same time.

        If the wait swallowed such a cancellation, the callers of a soak run
        would go on after all its processes have ended, with 1,200 refused
        connections a second.
        """

        async def send_calls():
            for _ in range(5):
                await call(ImmediatePool(), "127.0.0.1:1", "GET", "/")

        async def run():
            task = asyncio.create_task(send_calls())
            await asyncio.sleep(0)
            asyncio.get_running_loop().call_soon(task.cancel)
            await asyncio.wait([task])
            return task.cancelled()

        assert asyncio.run(run())
