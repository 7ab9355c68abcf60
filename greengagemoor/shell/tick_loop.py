"""The tick loop: a thread that runs the deciders."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from greengagemoor import events, log

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.events import EventListeners
    from greengagemoor.node import Node
    from greengagemoor.shell.clock import Clock

MAX_SLEEP_S = 1.0
MAX_MESSAGES_PER_TICK = 2000


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
            msgs = self._collect()
            # A message on which a decider raises must not end all other
            # requests: the failure is logged and counted, the loop goes on.
            try:
                out = self._node.step(self._clock.now(), msgs)
            except Exception as exc:
                self._record_failure(exc)
                continue
            for msg in out:
                self._handle(msg)

    def _collect(self) -> list[object]:
        wait = self._node.next_wake() - self._clock.now()
        wait = min(max(wait, 0.0), MAX_SLEEP_S)
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
        log.event(
            "tick_failed",
            level="ERROR",
            reason=log.describe(exc),
            where=log.where(exc),
        )
        self._events.emit(events.TICK_FAILED, exc)
