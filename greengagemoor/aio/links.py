"""Links between processes of ours: framed batches of messages over TCP."""

from __future__ import annotations

import asyncio
import struct
import zlib
from functools import lru_cache
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import sockets
from greengagemoor.aio.dialpace import DialPace
from greengagemoor.control.messages import Received, Send
from greengagemoor.errors import WireError
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.wire import codec
from greengagemoor.wire import peers_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

HEAD = struct.Struct("!I")
MOST_FRAME = 16_777_216
PACKED = 0x8000_0000
"""Bit of a frame's head that says that its batch is compressed."""
PACK_FROM = 400
"""Bytes from which a batch is compressed: the rows of 118 searchers are 7.7 KB,
and 3.1 KB packed; what is shorter gains little."""
PACK_LEVEL = 1
PACKED_KEPT = 4
"""Batches kept compressed: those of one moment, in different company."""
KEEP_ALIVE_S = 0.5
SILENT_S = 1.7
"""A link without a byte for three keep-alives is dead: a cut or a freeze drops
no connection by itself."""
ACCEPTED_KEEP_ALIVE_S = 1.0
DIALLED_SILENT_S = 2.3
"""The side that was dialled speaks half as often: callers are given an entry
until its link is dead, while an entry whose link is dead has others."""
LOOK_S = 0.1
"""How often a dialled link is looked at, to dial it again once it is gone."""


class Link(asyncio.Protocol):
    """One connection to another process; both sides send."""

    def __init__(self, links: Links, dialled: str = ""):
        """Starts unnamed.

        Args:
            links: all links of this process.
            dialled: the address, if this side opened the connection.
        """
        self._links = links
        self.dialled = dialled
        self.name = ""
        self.heard_at = 0.0
        self.sent_at = 0.0
        self.address = ""
        self._named = False
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the connection; the side that dialled speaks first."""
        self._transport = transport
        sockets.tune(transport)
        self.heard_at = self._links.now()
        self._links.open.add(self)
        if self.dialled:
            self.send([])

    def data_received(self, data: bytes) -> None:
        """Cuts frames out of what came."""
        self.heard_at = self._links.now()
        self._buffer += data
        while len(self._buffer) >= HEAD.size:
            (head,) = HEAD.unpack_from(self._buffer)
            size = head & ~PACKED
            if size > MOST_FRAME:
                log.event("link_bad_frame", level="ERROR", size=size)
                self.close()
                return
            end = HEAD.size + size
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[HEAD.size : end])
            del self._buffer[:end]
            self._take(frame, packed=bool(head & PACKED))

    def _take(self, frame: bytes, *, packed: bool) -> None:
        try:
            data = _unpack(frame) if packed else frame
            batch = pb.Batch.FromString(data)
            payloads = codec.from_batch(batch)
        except (WireError, ValueError, zlib.error) as exc:
            log.event("link_bad_batch", level="ERROR", reason=exc)
            self.close()
            return
        self.address = batch.address or self.address
        self._links.received(self, batch.sender, payloads)

    def send(self, payloads: list) -> None:
        """Sends messages in one frame; without any it is a keep-alive.

        The first frame names this process; repeated in each frame, name and
        address were 25 of a keep-alive's 34 bytes.
        """
        self.sent_at = self._links.now()
        name, address = self._links.name, self._links.address
        if self._named:
            name = address = ""
        self._named = True
        data = codec.to_batch(name, address, payloads).SerializeToString()
        head = len(data)
        if len(data) >= PACK_FROM:
            data = _pack(data)
            head = len(data) | PACKED
        self._links.sent_bytes += HEAD.size + len(data)
        self._transport.write(HEAD.pack(head) + data)

    def is_silent(self, now: float) -> bool:
        """Whether nothing came for so long that the link is dead."""
        limit = DIALLED_SILENT_S if self.dialled else SILENT_S
        return now - self.heard_at > limit

    def is_due(self, now: float) -> bool:
        """Whether a keep-alive is due."""
        pause = KEEP_ALIVE_S if self.dialled else ACCEPTED_KEEP_ALIVE_S
        return now - self.sent_at >= pause

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells that the link is gone."""
        self._links.lost(self)

    def close(self) -> None:
        """Closes at once."""
        if self._transport is not None:
            self._transport.abort()


@lru_cache(maxsize=PACKED_KEPT)
def _pack(data: bytes) -> bytes:
    """Compresses a batch; what goes out to many alike, once.

    After a loss of power all entries get the same rows in the same moment.
    """
    return zlib.compress(data, PACK_LEVEL)


def _unpack(frame: bytes) -> bytes:
    """Decompresses a batch, within the bound of a frame."""
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(frame, MOST_FRAME)
    if not unpacker.eof:
        raise WireError("a compressed batch is cut short or too large")
    return data


class Links:
    """All links of a process, by the name of the process at the other end."""

    def __init__(self, name: str, address: str, put: Callable[[object], None]):
        """Prepares; ``start`` listens.

        Args:
            name: this process.
            address: where others dial it; '' if nobody does.
            put: takes ``Received``, ``LinkUp`` and ``LinkDown``.
        """
        self.name = name
        self.address = address
        self.open: set[Link] = set()
        self.sent_bytes = 0
        self._put = put
        self._loop = asyncio.get_running_loop()
        self._by_name: dict[str, list[Link]] = {}
        self._wanted: dict[str, asyncio.Task] = {}
        self._server: asyncio.Server | None = None
        self._outbox: dict[str, list] = {}

    def now(self) -> float:
        """Returns the loop's time in seconds."""
        return self._loop.time()

    async def start(self) -> None:
        """Listens, and looks after the links.

        Raises:
            OSError: the address can't be listened on.
        """
        if self.address:
            host, _, port = self.address.rpartition(":")
            self._server = await self._loop.create_server(
                lambda: Link(self), host, int(port), backlog=512
            )
        self._loop.call_later(KEEP_ALIVE_S / 2, self._look_after)

    def want(self, addresses: set[str]) -> None:
        """Keeps a link to each address, and dials no other any more.

        A link that stands is left alone, wanted or not.
        """
        for address in set(self._wanted) - addresses:
            self._wanted.pop(address).cancel()
        for address in addresses - {self.address}:
            self._dial(address)

    def _dial(self, address: str) -> None:
        if address not in self._wanted:
            task = self._loop.create_task(self._keep_dialled(address))
            self._wanted[address] = task

    async def _keep_dialled(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        pace = DialPace()
        while any(link.dialled == address for link in self.open):
            await asyncio.sleep(LOOK_S)
        while True:
            try:
                async with asyncio.timeout(pace.connect_s):
                    _, link = await self._loop.create_connection(
                        lambda: Link(self, address), host, int(port)
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(pace.wait_s)
                pace.note_failure()
                continue
            pace = DialPace()
            while link in self.open:
                await asyncio.sleep(LOOK_S)

    def received(self, link: Link, name: str, payloads: list) -> None:
        """Takes in a batch, and the name of a link that had none."""
        if not link.name and not name:
            log.event("link_unnamed", level="ERROR")
            link.close()
            return
        if not link.name:
            link.name = name
            links = self._by_name.setdefault(name, [])
            links.append(link)
            if not link.dialled:
                link.send([])
            if len(links) == 1:
                log.event("link_up", peer=name)
                self._put(LinkUp(name))
        for payload in payloads:
            self._put(Received(link.name, payload, link.address))

    def lost(self, link: Link) -> None:
        """Forgets a link that is closed."""
        self.open.discard(link)
        links = self._by_name.get(link.name)
        if not links or link not in links:
            return
        links.remove(link)
        if not links:
            del self._by_name[link.name]
            log.event("link_down", level="WARNING", peer=link.name)
            self._put(LinkDown(link.name))

    def send(self, msg: Send) -> None:
        """Sends to a process by name; without a link the message is lost."""
        queue = self._outbox.get(msg.to)
        if queue is None:
            self._outbox[msg.to] = [msg.payload]
            self._loop.call_soon(self._flush, msg.to)
        else:
            queue.append(msg.payload)
        if msg.address and msg.to not in self._by_name:
            self._dial(msg.address)

    def _flush(self, name: str) -> None:
        payloads = self._outbox.pop(name)
        links = self._by_name.get(name)
        if links:
            links[-1].send(payloads)

    def _look_after(self) -> None:
        """Says that we live, and closes links that went silent."""
        now = self.now()
        for link in list(self.open):
            if link.is_silent(now):
                log.event("link_silent", level="WARNING", peer=link.name)
                link.close()
            elif link.is_due(now):
                link.send([])
        self._loop.call_later(KEEP_ALIVE_S / 2, self._look_after)
