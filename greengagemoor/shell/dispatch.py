"""Sends attempts to backend servers with urllib3."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from greengagemoor.query.messages import AttemptFailed, Failure
from greengagemoor.shell import backend_api

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.query.messages import CancelAttempt, StartAttempt
    from greengagemoor.shell.clock import Clock

CONNECT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 16_000_000
MOST_POOLS = 4096

_current = threading.local()


class _TrackedConnection(HTTPConnection):
    """Makes itself known to the attempt whose thread uses it."""

    def request(self, *args, **kwargs):
        """Sends a request; see urllib3."""
        flight = getattr(_current, "flight", None)
        if flight is not None:
            flight.conn = self
        return super().request(*args, **kwargs)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _TrackedConnection


@attrs.define(eq=False)
class _Flight:
    """An attempt under way."""

    msg: StartAttempt
    conn: _TrackedConnection | None = None
    cancelled: bool = False


class Dispatcher:
    """Runs attempts in threads; a pool for each searcher keeps to its share.

    Every ``StartAttempt`` is answered by exactly one message.
    """

    def __init__(
        self,
        process: str,
        threads: int,
        clock: Clock,
        put: Callable[[object], None],
    ):
        self._process = process
        self._clock = clock
        self._put = put
        self._workers = ThreadPoolExecutor(threads, "attempts")
        self._pools: dict[str, _Pool] = {}
        self._flights: dict[int, _Flight] = {}
        self._busy: dict[str, int] = {}
        self._lock = threading.Lock()

    def start_attempt(self, msg: StartAttempt) -> None:
        """Starts an attempt in a thread of its own."""
        flight = _Flight(msg)
        with self._lock:
            self._flights[msg.attempt_id] = flight
            self._busy[msg.address] = self._busy.get(msg.address, 0) + 1
        self._workers.submit(self._run, flight)

    def cancel_attempt(self, msg: CancelAttempt) -> None:
        """Cancels by a message if a connection is free, else by hanging up.

        A further connection for the message could pass the cap. A connection
        that is hung up is closed, so no old answer can come on it later.
        """
        with self._lock:
            flight = self._flights.get(msg.attempt_id)
            if flight is None:
                return
            flight.cancelled = True
            busy = self._busy.get(msg.address, 0)
        if busy < flight.msg.share:
            self._workers.submit(self._send_cancel, flight)
        else:
            self._hang_up(flight)

    def stop(self) -> None:
        """Waits for attempts under way and closes all connections."""
        self._workers.shutdown(wait=True)
        for pool in self._pools.values():
            pool.close()

    def _run(self, flight: _Flight) -> None:
        msg = flight.msg
        _current.flight = flight
        try:
            result = self._ask(flight)
        except Exception:
            # Whatever went wrong, the decider must hear of it: an attempt
            # without an end would hold a slot for ever.
            result = AttemptFailed(msg.attempt_id, Failure.BROKEN)
        finally:
            _current.flight = None
            with self._lock:
                self._flights.pop(msg.attempt_id, None)
                self._busy[msg.address] -= 1
        self._put(result)

    def _ask(self, flight: _Flight):
        msg = flight.msg
        now = self._clock.now()
        if flight.cancelled or now >= msg.send_before:
            return AttemptFailed(msg.attempt_id, Failure.NOT_SENT)
        remaining = msg.deadline - now
        body = backend_api.request_body(msg, self._process, remaining)
        try:
            return self._exchange(msg, body, remaining)
        except (NewConnectionError, ConnectTimeoutError, EmptyPoolError):
            return AttemptFailed(msg.attempt_id, Failure.NOT_SENT)
        except ReadTimeoutError:
            return AttemptFailed(msg.attempt_id, Failure.TIMEOUT)
        except (HTTPError, OSError):
            failed = Failure.CANCELLED if flight.cancelled else Failure.BROKEN
            return AttemptFailed(msg.attempt_id, failed)

    def _exchange(self, msg: StartAttempt, body: bytes, remaining: float):
        """Sends and reads one answer.

        ``retries=False``: urllib3 must not repeat an attempt by itself.
        """
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, remaining), total=remaining
        )
        response = self._pool(msg).urlopen(
            "POST",
            backend_api.ATTEMPTS_PATH,
            body=body,
            headers={"Content-Type": "application/json"},
            retries=False,
            redirect=False,
            timeout=timeout,
            pool_timeout=remaining,
            preload_content=False,
        )
        data = response.read(MAX_ANSWER_BYTES + 1)
        whole = len(data) <= MAX_ANSWER_BYTES
        result = (
            backend_api.read_answer(msg, self._process, response.status, data)
            if whole
            else AttemptFailed(msg.attempt_id, Failure.MISMATCH)
        )
        if whole and not _is_mismatch(result):
            response.release_conn()
        else:
            response.close()
        return result

    def _pool(self, msg: StartAttempt) -> _Pool:
        with self._lock:
            pool = self._pools.get(msg.address)
            if pool is None:
                self._forget_pools()
                host, _, port = msg.address.rpartition(":")
                pool = _Pool(
                    host, int(port), maxsize=max(1, msg.share), block=True
                )
                self._pools[msg.address] = pool
            return pool

    def _forget_pools(self) -> None:
        """Closes pools of searchers that come and go, oldest first."""
        idle = (a for a in self._pools if not self._busy.get(a))
        while len(self._pools) >= MOST_POOLS:
            address = next(idle, None)
            if address is None:
                return
            self._pools.pop(address).close()

    def _send_cancel(self, flight: _Flight) -> None:
        msg = flight.msg
        name = backend_api.attempt_name(self._process, msg.attempt_id)
        body = json.dumps({"attempt_id": name}).encode()
        try:
            self._pool(msg).urlopen(
                "POST",
                backend_api.CANCELLATIONS_PATH,
                body=body,
                headers={"Content-Type": "application/json"},
                retries=False,
                timeout=urllib3.Timeout(total=CANCEL_TIMEOUT_S),
                pool_timeout=CANCEL_TIMEOUT_S,
            )
        except (HTTPError, OSError):
            self._hang_up(flight)

    def _hang_up(self, flight: _Flight) -> None:
        sock = flight.conn.sock if flight.conn is not None else None
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def _is_mismatch(result: object) -> bool:
    return (
        isinstance(result, AttemptFailed) and result.failure is Failure.MISMATCH
    )
