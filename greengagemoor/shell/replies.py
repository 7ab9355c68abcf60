"""Passes replies to the threads that wait for them."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from itertools import count
from typing import Any


class PendingReplies:
    """Futures by token; a token belongs to one waiting thread."""

    def __init__(self):
        self._ids = count(1)
        self._lock = threading.Lock()
        self._waiting: dict[int, Future] = {}

    def register(self) -> tuple[int, Future]:
        """Returns a new token and the future of its answer."""
        fut: Future = Future()
        with self._lock:
            token = next(self._ids)
            self._waiting[token] = fut
        return token, fut

    def resolve(self, token: int, value: Any) -> None:
        """Sets the answer of a token; does nothing if nobody waits for it."""
        with self._lock:
            fut = self._waiting.pop(token, None)
        if fut is not None:
            fut.set_result(value)

    def wait(self, token: int, fut: Future, timeout: float) -> Any | None:
        """Returns the answer, or None if it did not come in time."""
        try:
            return fut.result(timeout)
        except FutureTimeoutError:
            with self._lock:
                self._waiting.pop(token, None)
            return None
