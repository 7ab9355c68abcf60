"""The tick loop: a thread that runs the deciders."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from greengagemoor import events, log
from greengagemoor.util.line_budget import LineBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.events import EventListeners
    from greengagemoor.node import Node
    from greengagemoor.shell.clock import Clock

MAX_SLEEP_S = 1.0
FAILED_PAUSE_S = 0.05
"""Pause after a failed tick, unless a message arrives."""
MAX_MESSAGES_PER_TICK = 2000
FAILED_LINES_PER_S = 2.0
FAILED_LINES_BURST = 20.0


class TickLoop:
    """Passes messages to the deciders and handles their output."""

    def __init__(self, node: Node, clock: Clock, bus: EventListeners):
        self._node = node
        self._clock = clock
        self._events = bus
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._handlers: dict[type, Callable[[object], None]] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticks")
        self._lines = LineBudget(FAILED_LINES_PER_S, FAILED_LINES_BURST)
        self._pause_s = 0.0
        self.failures = 0

    def add_handler(
        self, kind: type, handler: Callable[[object], None]
    ) -> None:
        """Sets the handler for a type of output message."""
        self._handlers[kind] = handler

    def put(self, msg: object) -> None:
        """Queues a message for the next tick; callable from any thread."""
        self._inbox.put(msg)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the loop after the current tick."""
        self._stopping.set()
        self._inbox.put(None)
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            msgs = self._collect(self._wait_s())
            # A message on which a decider raises must not end all other
            # requests: the failure is logged and counted, the loop goes on.
            try:
                out = self._node.step(self._clock.now(), msgs)
            except Exception as exc:
                # The step may be due again at once.
                self._pause_s = FAILED_PAUSE_S
                self._record_failure(exc)
                continue
            self._pause_s = 0.0
            for msg in out:
                self._handle(msg)

    def _wait_s(self) -> float:
        """Returns how long to wait for a message, in seconds."""
        try:
            wait = self._node.next_wake() - self._clock.now()
        except Exception as exc:
            self._record_failure(exc)
            return FAILED_PAUSE_S
        return max(min(wait, MAX_SLEEP_S), self._pause_s)

    def _collect(self, wait: float) -> list[object]:
        msgs: list[object] = []
        try:
            if wait > 0:
                msgs.append(self._inbox.get(timeout=wait))
            while len(msgs) < MAX_MESSAGES_PER_TICK:
                msgs.append(self._inbox.get_nowait())
        except queue.Empty:
            pass
        return [msg for msg in msgs if msg is not None]

    def _handle(self, msg: object) -> None:
        """Handles one message; an exception doesn't end the rest of the tick.

        An embedder's listener may raise, and the same tick may hold the
        answers to many callers.
        """
        handler = self._handlers.get(type(msg))
        if handler is None:
            return
        try:
            handler(msg)
        except Exception as exc:
            self._record_failure(exc)

    def _record_failure(self, exc: Exception) -> None:
        self.failures += 1
        self._log("tick_failed", exc)
        try:
            self._events.emit(events.TICK_FAILED, exc)
        except Exception as listener_exc:
            self._log("listener_failed", listener_exc)

    def _log(self, event: str, exc: Exception) -> None:
        if self._lines.try_take(self._clock.now()):
            log.event(
                event,
                level="ERROR",
                reason=log.describe(exc),
                where=log.where(exc),
                left_out=self._lines.reset_dropped(),
            )
