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
MAX_POOLS = 4096

_thread_local = threading.local()


class _TrackedConnection(HTTPConnection):
    """Records itself in the attempt that its thread is running."""

    def request(self, *args, **kwargs):
        """Sends a request; see urllib3."""
        flight = getattr(_thread_local, "flight", None)
        if flight is not None:
            flight.conn = self
        return super().request(*args, **kwargs)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _TrackedConnection


@attrs.define(eq=False)
class _InFlightAttempt:
    """A running attempt.

    Attributes:
        conn: connection it was sent on, None until then.
    """

    msg: StartAttempt
    conn: _TrackedConnection | None = None
    cancelled: bool = False


class AttemptDispatcher:
    """Runs attempts in worker threads.

    Each searcher has a connection pool, bounded by this entry's share.
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
        self._in_flight: dict[int, _InFlightAttempt] = {}
        self._running_by_address: dict[str, int] = {}
        self._lock = threading.Lock()

    def start_attempt(self, msg: StartAttempt) -> None:
        """Queues an attempt for a worker thread."""
        flight = _InFlightAttempt(msg)
        with self._lock:
            self._in_flight[msg.attempt_id] = flight
            self._running_by_address[msg.address] = (
                self._running_by_address.get(msg.address, 0) + 1
            )
        self._workers.submit(self._run, flight)

    def cancel_attempt(self, msg: CancelAttempt) -> None:
        """Sends a cancellation if a connection is free, else aborts.

        One more connection for the cancellation could exceed the share. An
        aborted connection is closed, so no late answer can arrive on it.
        """
        with self._lock:
            flight = self._in_flight.get(msg.attempt_id)
            if flight is None:
                return
            flight.cancelled = True
            running = self._running_by_address.get(msg.address, 0)
        if running < flight.msg.share:
            self._workers.submit(self._send_cancel, flight)
        else:
            self._abort_connection(flight)

    def stop(self) -> None:
        """Waits for running attempts and closes all connections."""
        self._workers.shutdown(wait=True)
        for pool in self._pools.values():
            pool.close()

    def _run(self, flight: _InFlightAttempt) -> None:
        msg = flight.msg
        _thread_local.flight = flight
        try:
            result = self._send(flight)
        except Exception:
            # The end of an attempt must always be reported: one without an
            # end would hold its slot for ever.
            result = AttemptFailed(msg.attempt_id, Failure.BROKEN)
        finally:
            _thread_local.flight = None
            with self._lock:
                self._in_flight.pop(msg.attempt_id, None)
                self._running_by_address[msg.address] -= 1
        self._put(result)

    def _send(self, flight: _InFlightAttempt):
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
        """Sends the attempt and reads the answer.

        ``retries=False``: urllib3 must not retry an attempt by itself.
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
        within_limit = len(data) <= MAX_ANSWER_BYTES
        result = (
            backend_api.read_answer(msg, self._process, response.status, data)
            if within_limit
            else AttemptFailed(msg.attempt_id, Failure.MISMATCH)
        )
        if within_limit and not _is_mismatch(result):
            response.release_conn()
        else:
            response.close()
        return result

    def _pool(self, msg: StartAttempt) -> _Pool:
        with self._lock:
            pool = self._pools.get(msg.address)
            if pool is None:
                self._close_idle_pools()
                host, _, port = msg.address.rpartition(":")
                pool = _Pool(
                    host, int(port), maxsize=max(1, msg.share), block=True
                )
                self._pools[msg.address] = pool
            return pool

    def _close_idle_pools(self) -> None:
        """Closes idle pools, oldest first, to stay below ``MAX_POOLS``."""
        idle = (a for a in self._pools if not self._running_by_address.get(a))
        while len(self._pools) >= MAX_POOLS:
            address = next(idle, None)
            if address is None:
                return
            self._pools.pop(address).close()

    def _send_cancel(self, flight: _InFlightAttempt) -> None:
        msg = flight.msg
        global_id = backend_api.global_attempt_id(self._process, msg.attempt_id)
        body = json.dumps({"attempt_id": global_id}).encode()
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
        except Exception:
            # An exception of a worker is seen by nobody.
            self._abort_connection(flight)

    def _abort_connection(self, flight: _InFlightAttempt) -> None:
        sock = flight.conn.sock if flight.conn is not None else None
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def _is_mismatch(result: object) -> bool:
    return (
        isinstance(result, AttemptFailed) and result.failure is Failure.MISMATCH
    )
