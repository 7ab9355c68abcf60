"""Orders that wait until the end of their connection would be noticed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor import log

if TYPE_CHECKING:
    from asyncio import TimerHandle
    from collections.abc import Callable

    from greengagemoor.aio.requests import HttpRequest

CLOSE_DETECTION_S = 0.05
"""Seconds from reading an order to carrying it out: at least a round trip to
the operator, as the end of a connection may follow its last request by one."""


class PendingOrders:
    """Carries out orders, except those whose callers disconnect before.

    An operator without an answer closes the connection, repeats its order at
    another instance and may then give the opposite order. An instance that was
    suspended, or whose connection was interrupted, reads the first order only
    after that. The end of its connection arrives right behind it.
    """

    def __init__(
        self,
        call_later: Callable[[float, Callable[[], None]], TimerHandle],
        now: Callable[[], float],
    ):
        """Starts without orders.

        Args:
            call_later: calls a function after a number of seconds, and not
                before the event loop has read from all connections.
            now: returns the time in seconds, by the clock of the connections'
                ``established_after``.
        """
        self._call_later = call_later
        self._now = now
        self._timers: dict[HttpRequest, TimerHandle] = {}

    def add(self, req: HttpRequest, carry_out: Callable[[], None]) -> None:
        """Carries out an order unless its caller disconnects before."""

        def run() -> None:
            del self._timers[req]
            carry_out()

        self._timers[req] = self._call_later(CLOSE_DETECTION_S, run)

    def age_s(self, req: HttpRequest) -> float:
        """Returns how many seconds ago an order was sent, at most.

        It was sent after its caller received the second packet of the
        handshake, which this side sent.
        """
        conn = req.conn
        return self._now() - conn.established_after + conn.handshake_s

    def discard(self, req: HttpRequest) -> None:
        """Discards the order of a caller that disconnected, if there is one."""
        timer = self._timers.pop(req, None)
        if timer is not None:
            timer.cancel()
            log.event("order_discarded", target=req.target)
