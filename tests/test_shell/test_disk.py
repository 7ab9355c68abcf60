"""The disk thread: one sync for what waits, and no silent death."""

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
        """Takes operations, or raises."""
        if self.failure is not None:
            raise self.failure
        self.batches.append(list(operations))

    def close(self) -> None:
        """Does nothing."""


def run(store: FakeStore, count: int) -> list:
    """Writes some operations before the thread starts; returns its words."""
    said: queue.SimpleQueue = queue.SimpleQueue()
    writer = DiskWriter(store, said.put)
    for op in range(1, count + 1):
        writer.write(Persist(op))
    writer.start()
    first = said.get(timeout=WAIT_S)
    writer.stop()
    return [first]


class TestDiskWriter:
    """What waits shares a sync; every failure is told."""

    def test_group_commit(self):
        store = FakeStore()
        assert run(store, 5) == [Persisted(5)]
        assert [len(batch) for batch in store.batches] == [5]

    def test_failed_sync_is_told(self):
        (told,) = run(FakeStore(SyncFailedError("full")), 2)
        assert told == PersistFailed(1, "full")

    def test_any_other_failure_is_told_too(self):
        """A member that waits for ever.

        Symptom: a control instance answers nobody, and its log is silent.
        Sequence: a write raises something that is no storage error.
        Cause: the disk thread dies, and nobody hears of it.
        """
        (told,) = run(FakeStore(ValueError("odd")), 1)
        assert isinstance(told, PersistFailed)
