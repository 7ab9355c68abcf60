"""Sends and receives messages between instances, over grpclib."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections import deque
from typing import TYPE_CHECKING

import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from greengagemoor import log
from greengagemoor.aio import background
from greengagemoor.control.messages import Received
from greengagemoor.errors import WireError
from greengagemoor.wire import codec, peers_pb2
from greengagemoor.wire.peers_grpc import PeersBase, PeersStub

if TYPE_CHECKING:
    from collections.abc import Callable

    from grpclib.server import Stream

    from greengagemoor.control.messages import Send

MAX_QUEUED_PER_LINK = 2000
MAX_MESSAGES_PER_BATCH = 200
DELIVER_TIMEOUT_S = 2.0
LINK_IDLE_S = 30.0
START_TIMEOUT_S = 10.0
SHUTDOWN_CHECKS = 20
SHUTDOWN_CHECK_INTERVAL_S = 0.05

# Raised by calls to a peer that is stopped, suspended or unreachable.
_CALL_ERRORS = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    asyncio.TimeoutError,
)


class PeerService(PeersBase):
    """Receives batches of messages from other instances."""

    def __init__(self, put: Callable[[object], None]):
        self._put = put

    async def Deliver(self, stream: Stream) -> None:  # noqa: N802
        """Passes each message of a batch to the tick loop."""
        batch = await stream.recv_message()
        try:
            payloads = codec.from_batch(batch)
        except WireError as exc:
            log.event("peer_message_refused", level="WARNING", reason=exc)
            payloads = []
        for payload in payloads:
            self._put(Received(batch.sender, payload, batch.address))
        await stream.send_message(peers_pb2.Receipt())


@attrs.define(eq=False)
class _Link:
    """An address to send to; queued messages are sent in batches."""

    address: str
    queue: deque = attrs.field(
        factory=lambda: deque(maxlen=MAX_QUEUED_PER_LINK)
    )
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task | None = None
    channel: Channel | None = None


class PeerTransport:
    """Sends and receives in one asyncio thread.

    A message that can't be delivered is dropped: every protocol that uses
    this transport resends at its own intervals.
    """

    def __init__(
        self, instance: str, address: str, put: Callable[[object], None]
    ):
        self._instance = instance
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._put = put
        self._links: dict[str, _Link] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="peers")
        self._ready = threading.Event()
        self._server: Server | None = None
        self.sent_bytes = 0
        self.sent_batches = 0

    def start(self) -> None:
        """Starts the thread; returns once connections are accepted."""
        self._thread.start()
        if not self._ready.wait(START_TIMEOUT_S) or self._server is None:
            raise OSError(f"can't listen on {self._host}:{self._port}")

    def send(self, msg: Send) -> None:
        """Queues a message; callable from any thread."""
        self._loop.call_soon_threadsafe(self._enqueue, msg)

    def stop(self) -> None:
        """Waits briefly for queued messages to be sent, then stops."""
        fut = asyncio.run_coroutine_threadsafe(self._shut_down(), self._loop)
        fut.result(START_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._listen())
        except OSError as exc:
            log.event("peer_listen_failed", level="ERROR", reason=exc)
            self._ready.set()
            return
        self._ready.set()
        self._loop.run_forever()

    async def _listen(self) -> None:
        background.log_unhandled_exceptions()
        server = Server([PeerService(self._put)])
        await server.start(self._host, self._port)
        self._server = server

    def _enqueue(self, msg: Send) -> None:
        link = self._links.get(msg.address)
        if link is None:
            link = self._links[msg.address] = _Link(msg.address)
        link.queue.append(msg.payload)
        link.wake.set()
        if link.task is None or link.task.done():
            link.task = self._loop.create_task(self._drain(link))

    async def _drain(self, link: _Link) -> None:
        """Sends queued messages until none came for ``LINK_IDLE_S``."""
        while await self._has_work(link):
            count = min(len(link.queue), MAX_MESSAGES_PER_BATCH)
            payloads = [link.queue.popleft() for _ in range(count)]
            try:
                await self._deliver(link, payloads)
            except Exception as exc:
                # No error may end this task: it would not be started again,
                # and the peer would receive nothing more.
                log.event("peer_send_broke", level="ERROR", reason=repr(exc))
                self._close(link)
        self._close(link)
        self._links.pop(link.address, None)

    async def _has_work(self, link: _Link) -> bool:
        if not link.queue:
            link.wake.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(link.wake.wait(), LINK_IDLE_S)
        return bool(link.queue)

    async def _deliver(self, link: _Link, payloads: list[object]) -> None:
        batch = codec.to_batch(self._instance, self._address, payloads)
        self.sent_bytes += batch.ByteSize()
        self.sent_batches += 1
        if link.channel is None:
            host, _, port = link.address.rpartition(":")
            link.channel = Channel(host, int(port))
        try:
            stub = PeersStub(link.channel)
            await stub.Deliver(batch, timeout=DELIVER_TIMEOUT_S)
        except _CALL_ERRORS as exc:
            log.event(
                "peer_send_failed",
                level="DEBUG",
                address=link.address,
                reason=type(exc).__name__,
            )
            self._close(link)

    def _close(self, link: _Link) -> None:
        if link.channel is not None:
            link.channel.close()
            link.channel = None

    async def _shut_down(self) -> None:
        for _ in range(SHUTDOWN_CHECKS):
            if not any(link.queue for link in self._links.values()):
                break
            await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
        await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
        for link in self._links.values():
            if link.task is not None:
                link.task.cancel()
            self._close(link)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
