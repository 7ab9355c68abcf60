"""Writes operations to disk in a thread; those waiting share a sync."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.control.messages import Persisted, PersistFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.control.messages import Persist
    from greengagemoor.storage.store import Store


class DiskWriter:
    """Writes ``Persist`` operations in order."""

    def __init__(self, store: Store, put: Callable[[object], None]):
        self._store = store
        self._put = put
        self._inbox: queue.SimpleQueue[Persist | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk")
        self.syncs = 0

    def write(self, operation: Persist) -> None:
        """Queues an operation; ``Persisted`` follows when it is synced."""
        self._inbox.put(operation)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after all queued operations are synced."""
        self._inbox.put(None)
        self._thread.join()
        self._store.close()

    def _run(self) -> None:
        stopping = False
        while not stopping:
            operations, stopping = self._collect()
            if operations:
                self._write(operations)

    def _collect(self) -> tuple[list[Persist], bool]:
        items = [self._inbox.get()]
        while not self._inbox.empty():
            items.append(self._inbox.get())
        operations = [item for item in items if item is not None]
        return operations, len(operations) < len(items)

    def _write(self, operations: list[Persist]) -> None:
        last = operations[-1].op
        try:
            self._store.write(operations)
        except Exception as exc:
            # Not only storage errors: if any other one ended this thread,
            # the decider would wait for its sync for ever.
            log.event("disk_failed", level="ERROR", reason=exc)
            self._put(PersistFailed(operations[0].op, str(exc)))
            return
        self.syncs += 1
        self._put(Persisted(last))
