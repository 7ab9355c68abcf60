"""Disk thread: waiting operations share a sync, failures are reported."""

from __future__ import annotations

import queue

from greengagemoor.control.messages import Persist, Persisted, PersistFailed
from greengagemoor.errors import SyncFailedError
from greengagemoor.shell.disk import DiskWriter

WAIT_S = 20.0


class FakeStore:
    """A store that fails on demand."""

    def __init__(self, failure: Exception | None = None):
        self.failure = failure
        self.batches: list[list[Persist]] = []

    def write(self, operations: list[Persist]) -> None:
        """Records operations, or raises."""
        if self.failure is not None:
            raise self.failure
        self.batches.append(list(operations))

    def close(self) -> None:
        """Does nothing."""


def run(store: FakeStore, count: int) -> list:
    """Queues operations, starts the thread, returns its first message."""
    messages: queue.SimpleQueue = queue.SimpleQueue()
    writer = DiskWriter(store, messages.put)
    for op in range(1, count + 1):
        writer.write(Persist(op))
    writer.start()
    first = messages.get(timeout=WAIT_S)
    writer.stop()
    return [first]


class TestDiskWriter:
    """Waiting operations share a sync; every failure is reported."""

    def test_waiting_operations_share_a_sync(self):
        store = FakeStore()
        assert run(store, 5) == [Persisted(5)]
        assert [len(batch) for batch in store.batches] == [5]

    def test_failed_sync_is_reported(self):
        (message,) = run(FakeStore(SyncFailedError("full")), 2)
        assert message == PersistFailed(1, "full")

    def test_any_other_exception_is_reported(self):
        """The decider must not wait for ever for a sync.

        A write raises something other than a storage error. If that ends the
        disk thread unreported, the control instance answers nobody and logs
        nothing.
        """
        (message,) = run(FakeStore(ValueError("odd")), 1)
        assert isinstance(message, PersistFailed)
