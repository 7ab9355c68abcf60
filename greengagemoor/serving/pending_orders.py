"""Orders that are carried out only while their callers still wait."""

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
MAX_AGE_S = 0.5
"""Seconds since an order may have been sent, after which it is not carried out:
half of the time after which an operator without an answer moves on."""
TEMPORARY_REDIRECT = 307


class PendingOrders:
    """Carries out orders, except those whose callers may have moved on.

    An operator without an answer repeats its order at another instance and may
    then give the opposite order. An instance that was suspended, or whose
    connection was interrupted, reads the first order only after that. Whether
    the operator has closed its connection by then is up to the operator.

    An order is not older than its connection. One on an older connection is
    redirected to this instance: an operator that still waits sends it again,
    on a new connection.
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

    def add(self, req: HttpRequest, carry_out: Callable[[float], None]) -> None:
        """Carries out an order, unless its caller may have moved on.

        Args:
            req: the order.
            carry_out: receives the time before which the order was not sent.
        """

        def run() -> None:
            del self._timers[req]
            # The process may have been suspended since the order was read.
            if not self._redirect_if_old(req):
                carry_out(_sent_after(req))

        if not self._redirect_if_old(req):
            self._timers[req] = self._call_later(CLOSE_DETECTION_S, run)

    def _redirect_if_old(self, req: HttpRequest) -> bool:
        """Redirects an order that may be too old; returns whether it is."""
        age_s = self._now() - _sent_after(req)
        if age_s <= MAX_AGE_S:
            return False
        log.event("order_redirected", target=req.target, age_s=round(age_s, 3))
        location = f"http://{req.conn.local_address}{req.target}".encode()
        req.conn.reply(
            req, TEMPORARY_REDIRECT, ((b"Location", location),), close=True
        )
        return True

    def discard(self, req: HttpRequest) -> None:
        """Discards the order of a caller that disconnected, if there is one."""
        timer = self._timers.pop(req, None)
        if timer is not None:
            timer.cancel()
            log.event("order_discarded", target=req.target)


def _sent_after(req: HttpRequest) -> float:
    """Returns a time before which an order was not sent.

    Its caller sends it after receiving the second packet of the handshake,
    which this side sends.
    """
    return req.conn.established_after - req.conn.handshake_s
