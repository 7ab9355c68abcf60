"""Messages between the instances of ``greengagemoord``."""

from __future__ import annotations

import asyncio

from greengagemoor.control.messages import Send
from greengagemoor.shell.peers import PeerTransport

WAIT_S = 5.0
ADDRESS = "127.0.0.1:1"


class FailingTransport(PeerTransport):
    """Fails once as it waits for messages; records what it delivers."""

    def __init__(self):
        super().__init__("a", "127.0.0.1:1", print)
        self.errors = [RuntimeError("odd")]
        self.delivered = asyncio.Queue()

    async def _has_work(self, link):
        if self.errors:
            raise self.errors.pop()
        return await super()._has_work(link)

    async def _deliver(self, link, payloads):
        self.delivered.put_nowait(payloads)


class TestSending:
    """A peer receives messages again after any exception."""

    def test_messages_after_a_failed_task_are_sent(self):
        """Guards against a peer that receives nothing more."""
        transport = FailingTransport()

        async def play():
            transport._enqueue(Send("b", "first", address=ADDRESS))
            task = transport._links[ADDRESS].task
            await asyncio.wait([task])
            assert task.exception() is not None
            transport._enqueue(Send("b", "second", address=ADDRESS))
            payloads = await transport.delivered.get()
            transport._links[ADDRESS].task.cancel()
            return payloads

        loop = transport._loop
        payloads = loop.run_until_complete(asyncio.wait_for(play(), WAIT_S))
        loop.close()
        assert payloads == ["first", "second"]
