"""The tick loop: one thread that drives the deciders."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from greengagemoor import events, log

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.events import Events
    from greengagemoor.node import Node
    from greengagemoor.shell.clock import Clock

LONGEST_SLEEP_S = 1.0
MOST_MESSAGES = 2000


class TickLoop:
    """Takes messages from other threads, ticks, and acts on what comes out."""

    def __init__(self, node: Node, clock: Clock, bus: Events):
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
        """Sets what is done with a kind of message that a tick sends."""
        self._handlers[kind] = handler

    def put(self, msg: object) -> None:
        """Hands a message to the next tick; callable from any thread."""
        self._inbox.put(msg)

    def start(self) -> None:
        """Starts ticking."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the loop after the tick under way."""
        self._stopping.set()
        self._inbox.put(None)
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            msgs = self._collect()
            # One message that no decider can digest must not end the requests
            # of all others: the tick is logged and counted, and ticks go on.
            try:
                out = self._node.step(self._clock.now(), msgs)
            except Exception as exc:
                self._note_failure(exc)
                continue
            for msg in out:
                self._act(msg)

    def _collect(self) -> list[object]:
        wait = self._node.next_wake() - self._clock.now()
        wait = min(max(wait, 0.0), LONGEST_SLEEP_S)
        msgs: list[object] = []
        try:
            if wait > 0:
                msgs.append(self._inbox.get(timeout=wait))
            while len(msgs) < MOST_MESSAGES:
                msgs.append(self._inbox.get_nowait())
        except queue.Empty:
            pass
        return [msg for msg in msgs if msg is not None]

    def _act(self, msg: object) -> None:
        """Acts on one message; a failure leaves the others of its tick alone.

        A listener of an embedder may raise, and the same tick may hold the
        answers of many callers.
        """
        handler = self._handlers.get(type(msg))
        if handler is None:
            return
        try:
            handler(msg)
        except Exception as exc:
            self._note_failure(exc)

    def _note_failure(self, exc: Exception) -> None:
        self.failures += 1
        log.event(
            "tick_failed",
            level="ERROR",
            reason=repr(exc),
            where=log.where(exc),
        )
        self._events.emit(events.TICK_FAILED, exc)
