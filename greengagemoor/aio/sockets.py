"""Listening sockets, TCP options and round-trip times."""

from __future__ import annotations

import contextlib
import socket
import struct
from math import inf

USER_TIMEOUT_MS = 3000
"""TCP closes a connection whose data stays unacknowledged for this long.
Without it a connection to a machine that lost power hangs for many minutes."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
TCP_INFO = struct.Struct("68xI28xI")
"""Positions of ``tcpi_rtt``, in microseconds, and ``tcpi_total_retrans`` in
Linux's ``tcp_info``."""
BACKLOG = 1024
"""Connections waiting to be accepted: ten seconds at 100 requests a second, if
only one entry runs."""


def listen(address: str) -> socket.socket:
    """Returns a listening socket, before the process is ready to accept.

    After all instances were killed, callers' connections are refused until one
    listens, and callers give up after two refusals. Once this socket listens,
    connections wait in the kernel's backlog until the process can answer with
    a time to retry.

    Args:
        address: ip:port.

    Raises:
        OSError: listening on the address failed.
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


def set_options(transport) -> None:
    """Sets TCP keep-alive, the user timeout and no delay."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        # Options that the platform lacks are skipped.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def round_trip_s(transport) -> float | None:
    """Returns the kernel's round-trip time of a connection, in seconds.

    None if the platform does not report it.
    """
    rtt_us, _ = _tcp_info(transport)
    return rtt_us / 1e6 if rtt_us else None


def handshake_s(transport) -> float:
    """Returns how long the handshake of an accepted connection took at most.

    Valid until this side has sent data. Infinite if a packet was sent again:
    the round-trip time is then that of the last copy, and the other side may
    have received an earlier one. 0 if the platform does not report it.
    """
    rtt_us, retransmissions = _tcp_info(transport)
    return inf if retransmissions else rtt_us / 1e6


def _tcp_info(transport) -> tuple[int, int]:
    """Returns the round-trip time in microseconds, and retransmissions."""
    sock = transport and transport.get_extra_info("socket")
    if sock is None:
        return 0, 0
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size
        )
        return TCP_INFO.unpack(info)
    except (AttributeError, OSError, struct.error):
        # Not Linux; the network time to the caller is estimated then.
        return 0, 0
