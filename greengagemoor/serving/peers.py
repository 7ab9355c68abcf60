"""Links between entries that share the work of a query."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor import log
from greengagemoor.aio.links import Links
from greengagemoor.aio.requests import HttpRequest
from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.forward.part_messages import (
    AskPart,
    FromPeer,
    PartClosed,
    PartOpened,
    PeerDown,
    PeerUp,
    RequestCopy,
    ToPeer,
)
from greengagemoor.util.line_budget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.feed.messages import Helper

PART_LINES_PER_S = 40.0
PART_LINES_BURST = 80.0


class Peers:
    """Exchanges parts of queries with other entries.

    These links are separate from the links to control instances: a message
    that arrives here is never handled as one of a control instance.
    """

    def __init__(
        self,
        name: str,
        address: str,
        put: Callable[[object], None],
        requests: dict[int, HttpRequest],
    ):
        """Does not listen yet; ``start`` does.

        Args:
            name: name of this entry.
            address: address on which other entries connect.
            put: receives ``FromPeer``, ``PeerUp`` and ``PeerDown``.
            requests: the requests to send to searchers, by token.
        """
        self._put = put
        self._requests = requests
        self._links = Links(name, address, self._receive)
        self._lines = LineBudget(PART_LINES_PER_S, PART_LINES_BURST)

    async def start(self) -> None:
        """Listens.

        Raises:
            OSError: the address can't be listened on.
        """
        await self._links.start()

    def set_addresses(self, helpers: tuple[Helper, ...]) -> None:
        """Maintains a link to each of these entries, and dials no others."""
        self._links.set_addresses({helper.address for helper in helpers})

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to other entries."""
        return self._links.sent_bytes

    def send(self, msg: ToPeer) -> None:
        """Sends a message to another entry; it is lost without a link."""
        payload = msg.payload
        if isinstance(payload, AskPart):
            req = self._requests.get(msg.token)
            if req is None:
                return
            payload = attrs.evolve(payload, copy=_copy_request(req))
        self._links.send(Send(msg.name, payload))

    def open(self, msg: PartOpened) -> None:
        """Stores the request of a part that another entry asked for."""
        copy = msg.copy
        pairs = (line.partition(b": ") for line in copy.head.splitlines())
        headers = [(name, value) for name, _, value in pairs]
        self._requests[msg.token] = HttpRequest(
            copy.method, copy.target, headers, copy.body, 0.0, None
        )

    def close(self, now: float, msg: PartClosed) -> None:
        """Discards the request of a part, and logs its end."""
        self._requests.pop(msg.token, None)
        if self._lines.try_take(now):
            log.event(
                "part",
                request_id=msg.request_id,
                route=msg.route,
                peer=msg.peer,
                shards=msg.shards,
                answered=msg.answered,
                sends=msg.sends,
                elapsed_ms=round(1000 * msg.elapsed_s, 1),
                left_out=self._lines.reset_dropped(),
            )

    def _receive(self, msg: object) -> None:
        if isinstance(msg, Received):
            self._put(FromPeer(msg.sender, msg.payload))
        elif isinstance(msg, LinkUp):
            self._put(PeerUp(msg.name))
        elif isinstance(msg, LinkDown):
            self._put(PeerDown(msg.name))


def _copy_request(req: HttpRequest) -> RequestCopy:
    lines = (b"%s: %s\r\n" % pair for pair in req.headers)
    return RequestCopy(req.method, req.target, b"".join(lines), req.body)
