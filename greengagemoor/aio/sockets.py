"""Socket options that every connection of ours carries."""

from __future__ import annotations

import contextlib
import socket

UNACKED_MS = 3000
"""Bytes unacknowledged for this long end a connection: without it, one to a
machine that lost power hangs for many minutes."""
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBES = 3


def tune(transport) -> None:
    """Sets keep-alive probes, a bound on silence and no delay."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
    ):
        # An option that this system lacks costs only its own protection.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
