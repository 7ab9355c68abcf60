"""A caller's request, who takes it, and the bounds on connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from greengagemoor.aio.connection import HttpConnection

HEADER_BYTES = 16_384
BODY_BYTES = 1_048_576


@attrs.define(eq=False, repr=False)
class HttpRequest:
    """A whole request.

    Attributes:
        target: path and query as they were sent.
        headers: in order, names as they were sent.
        arrived_at: loop time of its first byte.
        is_first: whether its connection was opened for it.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_at: float
    conn: HttpConnection
    token: int = 0
    is_first: bool = True

    def header(self, name: bytes) -> str | None:
        """Returns the first header of a name in lower case, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return None

    @property
    def way_s(self) -> float | None:
        """What its caller's clock spends on the network, None if not known.

        A new connection costs a round trip before the request is sent.
        """
        trip = self.conn.round_trip_s
        if trip is None:
            return None
        return 2 * trip if self.is_first else trip

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """What follows the question mark, '' if nothing."""
        return self.target.partition("?")[2]


class Handler(Protocol):
    """What a server does with requests."""

    def take(self, req: HttpRequest) -> None:
        """Takes a request; ``req.conn.reply`` follows, now or later."""

    def gone(self, req: HttpRequest) -> None:
        """The caller closed its connection before the reply."""


@attrs.define(eq=False, repr=False)
class Limits:
    """Bounds on one server's connections; times in seconds.

    Attributes:
        closing: every answer ends its connection, as in a shutdown.
    """

    header_bytes: int = HEADER_BYTES
    body_bytes: int = BODY_BYTES
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0
    closing: bool = False
