"""Links between instances: framed batches of messages over TCP."""

from __future__ import annotations

import asyncio
import struct
import zlib
from functools import lru_cache, partial
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import background, sockets
from greengagemoor.aio.dialler import Dialler
from greengagemoor.control.messages import Received, Send
from greengagemoor.errors import WireError
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.wire import codec
from greengagemoor.wire import peers_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

FRAME_HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 16_777_216
COMPRESSED_FLAG = 0x8000_0000
"""Flag in the frame header, next to the size: the batch is compressed."""
COMPRESS_FROM_BYTES = 400
"""Least size of a batch that is compressed. The rows of 118 searchers shrink
from 7.7 KB to 3.1 KB; shorter batches gain little."""
COMPRESSION_LEVEL = 1
COMPRESSED_CACHE_SIZE = 4
"""Compressed batches in the cache: several batches are broadcast at a time."""
KEEP_ALIVE_S = 0.5
"""Interval of keep-alives from the dialling side."""
SILENCE_TIMEOUT_S = 1.7
"""The accepting side closes a link after this long without a byte, that is,
after three missing keep-alives: a network partition or a frozen process closes
no connection by itself."""
ACCEPTED_KEEP_ALIVE_S = 1.0
"""Interval of keep-alives from the accepting side. It is longer because an
entry, which dials, has other links if one fails; the accepting side must detect
failures sooner, as callers are sent to an entry until its link is closed."""
DIALLED_SILENCE_TIMEOUT_S = 2.3
"""The dialling side closes a link after this long without a byte."""


class Link(asyncio.Protocol):
    """One connection to another instance; both sides send."""

    def __init__(self, links: Links, dialled: str = ""):
        """Makes a link whose peer is not known yet.

        Args:
            links: all links of this instance.
            dialled: the peer's address if this side opened the connection,
                '' otherwise.
        """
        self._links = links
        self.dialled = dialled
        self.name = ""
        self.last_received_at = 0.0
        self.last_sent_at = 0.0
        self.address = ""
        self._name_sent = False
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the link; the dialling side sends the first frame."""
        self._transport = transport
        sockets.set_options(transport)
        self.last_received_at = self._links.now()
        self._links.open_links.add(self)
        if self.dialled:
            self.send([])

    def data_received(self, data: bytes) -> None:
        """Splits the received bytes into frames."""
        self.last_received_at = self._links.now()
        self._buffer += data
        while len(self._buffer) >= FRAME_HEADER.size:
            (head,) = FRAME_HEADER.unpack_from(self._buffer)
            size = head & ~COMPRESSED_FLAG
            if size > MAX_FRAME_BYTES:
                log.event("link_bad_frame", level="ERROR", size=size)
                self.close()
                return
            end = FRAME_HEADER.size + size
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[FRAME_HEADER.size : end])
            del self._buffer[:end]
            self._handle_frame(frame, compressed=bool(head & COMPRESSED_FLAG))

    def _handle_frame(self, frame: bytes, *, compressed: bool) -> None:
        try:
            data = _decompress(frame) if compressed else frame
            batch = pb.Batch.FromString(data)
            payloads = codec.from_batch(batch)
        except (WireError, ValueError, zlib.error) as exc:
            log.event("link_bad_batch", level="ERROR", reason=exc)
            self.close()
            return
        self.address = batch.address or self.address
        self._links.handle_batch(self, batch.sender, payloads)

    def send(self, payloads: list) -> None:
        """Sends messages in one frame; an empty frame is a keep-alive.

        Only the first frame carries this instance's name and address; in every
        frame they would be 25 of a keep-alive's 34 bytes.
        """
        self.last_sent_at = self._links.now()
        name, address = self._links.name, self._links.address
        if self._name_sent:
            name = address = ""
        self._name_sent = True
        data = codec.to_batch(name, address, payloads).SerializeToString()
        head = len(data)
        if len(data) >= COMPRESS_FROM_BYTES:
            data = _compress(data)
            head = len(data) | COMPRESSED_FLAG
        self._links.sent_bytes += FRAME_HEADER.size + len(data)
        self._transport.write(FRAME_HEADER.pack(head) + data)

    def is_silent(self, now: float) -> bool:
        """Whether the silence timeout has passed."""
        limit = DIALLED_SILENCE_TIMEOUT_S if self.dialled else SILENCE_TIMEOUT_S
        return now - self.last_received_at > limit

    def is_due(self, now: float) -> bool:
        """Whether a keep-alive is due."""
        pause = KEEP_ALIVE_S if self.dialled else ACCEPTED_KEEP_ALIVE_S
        return now - self.last_sent_at >= pause

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the link from the links of this instance."""
        self._links.handle_closed(self)

    def close(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()


@lru_cache(maxsize=COMPRESSED_CACHE_SIZE)
def _compress(data: bytes) -> bytes:
    """Compresses a batch; one that is sent to many peers is compressed once.

    After a power loss all entries are sent the same rows at the same time.
    """
    return zlib.compress(data, COMPRESSION_LEVEL)


def _decompress(frame: bytes) -> bytes:
    """Decompresses a batch, up to the bound on a frame."""
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(frame, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise WireError(
            "compressed batch is truncated or exceeds the frame limit"
        )
    return data


class Links:
    """All links of an instance, by the name of the peer."""

    def __init__(self, name: str, address: str, put: Callable[[object], None]):
        """Prepares the links; ``start`` listens.

        Args:
            name: name of this instance.
            address: ip:port to listen on; '' to accept no links.
            put: receives ``Received``, ``LinkUp`` and ``LinkDown`` messages.
        """
        self.name = name
        self.address = address
        self.open_links: set[Link] = set()
        self.sent_bytes = 0
        self._put = put
        self._loop = asyncio.get_running_loop()
        self._by_name: dict[str, list[Link]] = {}
        self._dialler = Dialler(partial(Link, self), self._is_dialled)
        self._server: asyncio.Server | None = None
        self._outbox: dict[str, list] = {}

    def now(self) -> float:
        """Returns the loop's time in seconds."""
        return self._loop.time()

    @property
    def names(self) -> Collection[str]:
        """Names of the instances to which a link is open."""
        return self._by_name.keys()

    async def start(self) -> None:
        """Listens, and starts the periodic check of the links.

        Raises:
            OSError: listening on the address failed.
        """
        if self.address:
            host, _, port = self.address.rpartition(":")
            self._server = await self._loop.create_server(
                lambda: Link(self), host, int(port), backlog=512
            )
        background.run_periodically(
            "check_links", KEEP_ALIVE_S / 2, self._check_links
        )

    def set_addresses(self, addresses: set[str]) -> None:
        """Sets the addresses to keep links to.

        Other addresses are no longer dialled, but open links to them stay.
        """
        self._dialler.set_addresses(addresses - {self.address})

    @property
    def dialled_addresses(self) -> Collection[str]:
        """Addresses to which links are kept."""
        return self._dialler.tasks_by_address.keys()

    def _is_dialled(self, address: str) -> bool:
        return any(link.dialled == address for link in self.open_links)

    def handle_batch(self, link: Link, name: str, payloads: list) -> None:
        """Delivers a batch; stores the sender's name from the first one."""
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

    def handle_closed(self, link: Link) -> None:
        """Removes a closed link."""
        self.open_links.discard(link)
        links = self._by_name.get(link.name)
        if not links or link not in links:
            return
        links.remove(link)
        if not links:
            del self._by_name[link.name]
            log.event("link_down", level="WARNING", peer=link.name)
            self._put(LinkDown(link.name))

    def send(self, msg: Send) -> None:
        """Sends to an instance by name; drops the message without a link."""
        pending = self._outbox.get(msg.to)
        if pending is None:
            self._outbox[msg.to] = [msg.payload]
            self._loop.call_soon(self._flush, msg.to)
        else:
            pending.append(msg.payload)
        if msg.address and msg.to not in self._by_name:
            self._dialler.dial(msg.address)

    def _flush(self, name: str) -> None:
        payloads = self._outbox.pop(name)
        links = self._by_name.get(name)
        if links:
            links[-1].send(payloads)

    def _check_links(self) -> None:
        """Sends keep-alives that are due and closes silent links."""
        now = self.now()
        for link in list(self.open_links):
            try:
                self._check_link(link, now)
            except Exception as exc:
                background.log_failure("check_link", exc)
                link.close()

    def _check_link(self, link: Link, now: float) -> None:
        if link.is_silent(now):
            log.event("link_silent", level="WARNING", peer=link.name)
            link.close()
        elif link.is_due(now):
            link.send([])
