"""A caller's request, the handler interface and connection limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from greengagemoor.aio.connection import HttpConnection

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_048_576


@attrs.define(eq=False, repr=False)
class HttpRequest:
    """A complete request.

    Attributes:
        target: path and query, as received.
        headers: names and values in the order received, case unchanged.
        arrived_at: loop time of the first byte, in seconds.
        conn: connection for the reply; None in a copy of a request that another
            entry shares.
        token: id that the handler assigns; 0 until then.
        is_first: whether it is the first request of its connection.
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
        """Returns the first value of a header, given in lower case, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return None

    @property
    def network_s(self) -> float | None:
        """Part of the caller's wait spent on the network; None if not known.

        A new connection costs one round trip before the request is sent.
        """
        round_trip = self.conn.round_trip_s
        if round_trip is None:
            return None
        return 2 * round_trip if self.is_first else round_trip

    @property
    def path(self) -> str:
        """The target without the query string."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query string without the question mark; may be empty."""
        return self.target.partition("?")[2]


class Handler(Protocol):
    """Interface of the application behind a server."""

    def handle_request(self, req: HttpRequest) -> None:
        """Handles a request; calls ``req.conn.reply`` now or later."""

    def handle_disconnect(self, req: HttpRequest) -> None:
        """Handles a caller's disconnect before the reply was sent."""


@attrs.define(eq=False, repr=False)
class Limits:
    """Limits on the connections of one server.

    Attributes:
        closing: whether each reply closes its connection, as in a shutdown.
    """

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = MAX_BODY_BYTES
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0
    closing: bool = False
