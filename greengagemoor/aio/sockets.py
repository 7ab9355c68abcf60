"""Socket options that every connection of ours carries."""

from __future__ import annotations

import contextlib
import socket
import struct

UNACKED_MS = 3000
"""Bytes unacknowledged for this long end a connection: without it, one to a
machine that lost power hangs for many minutes."""
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBES = 3
ROUND_TRIP = struct.Struct("68xI")
"""Where Linux keeps ``tcpi_rtt``, in microseconds, in its ``tcp_info``."""
BACKLOG = 1024
"""Connections that may wait to be accepted: ten seconds of all that a site of
100 requests a second gets, should one entry be alone."""


def listen(address: str) -> socket.socket:
    """Listens at once, also before anything here can accept.

    After a kill of everything a caller's connection is refused until some
    process listens, and callers give up after two refusals. From here on it
    waits in the system's queue instead, until the process can tell when to
    come back.

    Args:
        address: ip and port.

    Raises:
        OSError: the address can't be listened on.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


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


def round_trip_s(transport) -> float | None:
    """Returns the round trip that the system has seen on a connection.

    None where it doesn't tell.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, ROUND_TRIP.size
        )
        (micros,) = ROUND_TRIP.unpack(info)
    except (AttributeError, OSError, struct.error):
        # Another system; the caller's way is guessed there.
        return None
    return micros / 1e6 if micros else None
