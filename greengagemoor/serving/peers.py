"""Links between entries, on which they share the shards of a query."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from greengagemoor import log
from greengagemoor.aio.links import Links
from greengagemoor.aio.requests import HttpRequest
from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.forward.partmessages import (
    AskPart,
    FromPeer,
    PartClosed,
    PartOpened,
    PeerDown,
    PeerUp,
    RequestCopy,
    ToPeer,
)
from greengagemoor.util.linebudget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.feed.messages import Helper

LINES_PER_S = 40.0
LINES_BURST = 80.0


class Peers:
    """Carries parts to and from other entries.

    They have links of their own: what control says goes on the others, and
    whoever links here is no control instance.
    """

    def __init__(
        self,
        name: str,
        address: str,
        put: Callable[[object], None],
        requests: dict[int, HttpRequest],
    ):
        """Prepares; ``start`` listens.

        Args:
            name: this entry.
            address: where other entries dial it.
            put: takes ``FromPeer``, ``PeerUp`` and ``PeerDown``.
            requests: what searchers are sent, by token.
        """
        self._put = put
        self._requests = requests
        self._links = Links(name, address, self._take)
        self._lines = LineBudget(LINES_PER_S, LINES_BURST)

    async def start(self) -> None:
        """Listens.

        Raises:
            OSError: the address can't be listened on.
        """
        await self._links.start()

    def want(self, helpers: tuple[Helper, ...]) -> None:
        """Keeps a link to each of these, and dials no others any more."""
        self._links.want({helper.address for helper in helpers})

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to other entries."""
        return self._links.sent_bytes

    def send(self, msg: ToPeer) -> None:
        """Sends to another entry; without a link the message is lost."""
        payload = msg.payload
        if isinstance(payload, AskPart):
            req = self._requests.get(msg.token)
            if req is None:
                return
            payload = attrs.evolve(payload, copy=_copy(req))
        self._links.send(Send(msg.name, payload))

    def open(self, msg: PartOpened) -> None:
        """Keeps what searchers are sent for another entry."""
        copy = msg.copy
        pairs = (line.partition(b": ") for line in copy.head.splitlines())
        headers = [(name, value) for name, _, value in pairs]
        self._requests[msg.token] = HttpRequest(
            copy.method, copy.target, headers, copy.body, 0.0, None
        )

    def close(self, now: float, msg: PartClosed) -> None:
        """Lets go of what searchers were sent for another entry."""
        self._requests.pop(msg.token, None)
        if self._lines.take(now):
            log.event(
                "part",
                request_id=msg.request_id,
                route=msg.route,
                peer=msg.peer,
                shards=msg.shards,
                answered=msg.answered,
                sends=msg.sends,
                elapsed_ms=round(1000 * msg.elapsed_s, 1),
                left_out=self._lines.take_dropped(),
            )

    def _take(self, msg: object) -> None:
        if isinstance(msg, Received):
            self._put(FromPeer(msg.sender, msg.payload))
        elif isinstance(msg, LinkUp):
            self._put(PeerUp(msg.name))
        elif isinstance(msg, LinkDown):
            self._put(PeerDown(msg.name))


def _copy(req: HttpRequest) -> RequestCopy:
    lines = (b"%s: %s\r\n" % pair for pair in req.headers)
    return RequestCopy(req.method, req.target, b"".join(lines), req.body)
